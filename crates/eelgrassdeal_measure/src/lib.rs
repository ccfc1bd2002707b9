//! Simulations of group planning and of slot allocation, as a library.
//!
//! They compare the policies of eelgrassdeal with simple baseline policies under the same load and
//! the same failures. The other measurements are in the program `eelgrassdeal-measure`.

mod first_fit;
mod fleet_events;
mod groups;
mod slots;

pub use groups::{GroupsOptions, measure_groups};
pub use slots::measure_slots;
