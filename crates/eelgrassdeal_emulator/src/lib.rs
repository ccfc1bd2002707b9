//! Emulates the fleet that a [`GroupPlanner`](eelgrassdeal_dispatch::GroupPlanner) plans, in virtual
//! time, so that a day of losses is played in a fraction of a second.
//!
//! - [`FleetSpec`] says how large the fleet is and what it has to serve.
//! - [`LossScript`] says which upstreams fail, come and go, and when.
//! - [`EmulatedFleet`] carries out a planner's steps at upstreams that take orders, load models and
//!   fail, and shows them to the planner with the delays of a store.
//! - [`CapacityReport`] says how much of the demand the groups could serve.
//!
//! - [`play_placement`] plays requests that many nodes place with late counts, and says how many
//!   wait inside a replica.
//!
//! The fleet emulates upstreams and the store. What the nodes see of silent heads is derived from the
//! state of the groups; requests are not played there.

mod capacity;
mod fleet;
mod placement;
mod script;
mod spec;
mod upstream;

pub use capacity::CapacityReport;
pub use fleet::EmulatedFleet;
pub use placement::{PlacementPolicy, PlacementReport, PlacementSpec, play_placement};
pub use script::{FleetEvent, LossScript};
pub use spec::FleetSpec;
