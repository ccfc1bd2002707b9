//! Decisions of the gateway, without a network and without a clock of their own.
//!
//! - What operators declare: [`ServiceConfig`], its routes, services and client accounts.
//! - What the fleet reports: [`UpstreamRecord`], [`GroupRecord`], gathered in a [`FleetView`].
//! - Replicas: [`GroupPlanner`] forms, watches and repairs groups of upstreams.
//! - Placement: [`LoadBook`] chooses the upstream of a request.
//! - Limits over all nodes: [`ColdShare`] and [`RetryAllowance`].
//! - Nodes: [`NodeDirectory`] knows the others by their heartbeats.
//! - The store's tables: [`TableMirror`] is a copy that nodes keep and pass on.
//!
//! The caller passes the time to every decision.

mod config;
mod counts;
mod directory;
mod fleet;
mod limit;
mod placement;
mod planner;
mod settings;
mod table;

pub use config::{
    AccountEntry, CallerLimits, EngineSpec, ModelSpec, RouteKind, RouteRule, ServiceConfig,
    ServiceSpec, ServiceSplit,
};
pub use counts::CountSource;
pub use directory::{NodeBeat, NodeCondition, NodeDirectory, NodeRole, NodeStage};
pub use fleet::{
    FleetSummary, FleetView, GroupMembership, GroupRecord, GroupState, Replica, UpstreamRecord,
    UpstreamState,
};
pub use limit::{ColdBound, ColdShare, RetryAllowance, RetryBound};
pub use placement::{LoadBook, PlacementNeed, PlacementRefusal, PlacementTarget};
pub use planner::{
    GroupPlanner, GroupWrite, OrderKind, OrderOutcome, PlanStep, PlannerSettings, ProbeOutcome,
    ProbeTarget, TrafficSummary, UpstreamOrder, WriteOutcome,
};
pub use settings::{GatewaySettings, LimitBounds, ListenAddresses, StoreAddress, TablePace};
pub use table::{RowChange, SharedTable, TableChanges, TableMirror, VersionGap};
