//! Measurements of eelgrassdeal, each with a baseline policy in the same run.

mod first_fit;
mod fleet_events;
mod groups;
mod slots;

pub use groups::{GroupsOptions, measure_groups};
pub use slots::run_slots;
