//! The gateway's decision logic. It does no network I/O and does not read the clock: the caller
//! passes the current time to every decision.
//!
//! A node is one gateway process. An upstream is a process that runs requests, either as a member of
//! a group or on its own.
//!
//! - Operator configuration: [`ServiceConfig`] with its routes, services and client accounts.
//! - Fleet state: [`UpstreamRecord`] and [`GroupRecord`], collected in a [`FleetView`].
//! - Replicas: [`GroupPlanner`] forms, monitors and repairs groups of upstreams.
//! - Placement: [`LoadTracker`] selects the upstream that runs a request.
//! - Notices: [`NoticeTracker`] heeds upstreams that leave or want no requests for a while.
//! - Rate limits: [`LimitTracker`] divides the limits that upstreams name among the nodes.
//! - Waiting: [`RequestQueue`] orders and bounds the requests that wait for free capacity.
//! - Fairness: [`AccountTurns`] orders the client accounts by what all nodes placed lately.
//! - Crashes: [`CrashLedger`] finds what the requests that crash upstreams have in common.
//! - Streams: [`EventAssembler`] tells whole events and a complete stream from what was broken off.
//! - Memory: [`BufferBudget`] shares what a node may hold for responses.
//! - Fleet-wide limits: [`ColdShare`] and [`RetryShare`] are the shares that one node may use.
//! - Nodes: [`NodeDirectory`] tracks the other nodes by their heartbeats.
//! - Duties: [`DutyTerm`], [`UsageLedger`], [`SealBook`] and [`FleetClock`] decide on the calls that one
//!   node at a time makes.
//! - Workers: [`ScalePlanner`] decides how many workers each service has in each data centre.
//! - Store tables: [`TableMirror`] is a local copy that nodes replicate among each other.

mod admission;
mod balance;
mod buffer_budget;
mod config;
mod counts;
mod crash_ledger;
mod directory;
mod duty;
mod event_stream;
mod fleet;
mod limit;
mod notice;
mod placement;
mod planner;
mod queue;
mod rate_limit;
mod scaling;
mod settings;
mod slot_share;
mod snapshot_budget;
mod table;
mod turns;

pub use admission::ReplicaSpeed;
pub use buffer_budget::BufferBudget;
pub use config::{
    AccountEntry, CallerLimits, EngineSpec, ModelSpec, RouteKind, RouteRule, ScaleSpec,
    ServiceConfig, ServiceSpec, ServiceSplit,
};
pub use counts::CountScope;
pub use crash_ledger::{
    CrashLedger, CrashReport, CrashSuspect, MAX_QUARANTINE, Quarantine, SuspectReport,
};
pub use directory::{NodeCondition, NodeDirectory, NodeHeartbeat, NodeRole, NodeStage};
pub use duty::{
    AnswerWatch, CallBackoff, CallBudget, DutyTerm, FleetClock, SealBook, SealChange, SealedReport,
    SourceCounts, TermLease, TermState, UsageDelta, UsageLedger, UsageScope, UsageSource,
    UsageTimes, WindowCounts,
};
pub use event_stream::{EndSignal, EventAssembler, EventFault, StreamEnd};
pub use fleet::{
    FleetSummary, FleetView, GroupMembership, GroupRecord, GroupState, Replica, UpstreamRecord,
    UpstreamState,
};
pub use limit::{ColdLimit, ColdShare, RetryLimits, RetryShare};
pub use notice::{LeavingHint, MAX_PAUSE, NoticeCause, NoticeTracker, PauseEnd, TakenBack};
pub use placement::{
    LoadTracker, PlacementConstraints, PlacementRefusal, PlacementTarget, SlotUse,
};
pub use planner::{
    GroupPlanner, GroupWrite, OrderKind, OrderOutcome, PlanStep, PlannerSettings, ProbeOutcome,
    ProbeTarget, TrafficSummary, UpstreamOrder, WriteOutcome,
};
pub use queue::{QueueId, RequestQueue, UsualTimeout, WaitingKey, WaitingRequest};
pub use rate_limit::{EndedLimit, LimitChange, LimitForecast, LimitHint, LimitTracker, SendCount};
pub use scaling::{ScalePlanner, ScaleTarget};
pub use settings::{
    DutyKind, DutySettings, GatewaySettings, ListenAddresses, OperatorLimits, StoreAddress,
    TableTimings,
};
pub use slot_share::SlotShare;
pub use snapshot_budget::SnapshotBudget;
pub use table::{RowChange, SharedTable, TableChanges, TableMirror, VersionGap};
pub use turns::{AccountTurns, TurnAccount};
