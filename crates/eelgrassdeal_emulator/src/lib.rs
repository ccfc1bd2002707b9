//! Emulates fleets in virtual time, so that a run of losses and repairs takes a fraction of a
//! second.
//!
//! - [`FleetSpec`] describes the size of a fleet, its models and the demand for them.
//! - [`LossScenario`] lists the losses and additions of upstreams, and when they occur.
//! - [`EmulatedFleet`] executes the steps of a
//!   [`GroupPlanner`](eelgrassdeal_dispatch::GroupPlanner) at emulated upstreams, which accept
//!   orders, load models and fail. The planner sees the results with the delays of a store.
//! - [`CapacityReport`] contains the share of the demand that the groups could serve.
//! - [`simulate_placement`] simulates nodes that place requests by outdated request counts, and
//!   reports how many requests wait inside a replica.
//!
//! [`EmulatedFleet`] emulates the upstreams and the store but no requests. The head of a group is its
//! first member, which receives the requests; nodes report it as silent if it sends no data for
//! them. Here the silent heads are derived from the state of the groups. The start of traffic, at
//! which clients would send their first request, is 10 s after the start of the fleet.

mod capacity;
mod fleet;
mod placement;
mod scenario;
mod spec;
mod upstream;

pub use capacity::CapacityReport;
pub use fleet::EmulatedFleet;
pub use placement::{
    PlacementPolicy, PlacementReport, PlacementSpec, ServiceTimes, simulate_placement,
};
pub use scenario::{FleetEvent, LossScenario};
pub use spec::FleetSpec;
