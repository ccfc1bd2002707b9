//! Decides where and when a request runs.
//!
//! - Limit on the requests in flight at a replica: one node, the owner of the replica, divides the
//!   limit among the nodes with [`SlotOwner`]. Every node keeps the allowances that it received
//!   from owners in a [`SlotHolder`]. [`RampState`] raises the limit while a cold replica warms up.
//!   [`ReporterSet`] determines which nodes may use a replica and which of them is its owner.
//! - Order and admission of requests: [`AdmissionQueue`], [`RetryBudget`] and [`QuarantineList`].
//! - Whether a node may start requests at all: [`ConfirmationState`].
//!
//! A replica of a model is a group: a set of VMs that together run one copy of the model. A plain
//! service has no engines and so no KV cache; its replicas are its upstreams. An upstream is the
//! process to which requests are sent; that of a group is its engine, which runs the model. A slot
//! is the right to have one request in flight at a replica.
//!
//! All types are plain structs without I/O or clocks; the caller passes the current time.
//!
//! ```
//! use std::time::Instant;
//! use eelgrassdeal_routing::RetryBudget;
//!
//! let mut budget = RetryBudget::new(Instant::now());
//! assert!(budget.try_retry(Instant::now()));
//! ```

mod admission;
mod confirmation;
mod hash;
mod quarantine;
mod ramp;
mod reporters;
mod retry;
mod slot;

pub use admission::{AdmissionQueue, AdmissionResult, QueuedRequest};
pub use confirmation::{
    CONFIRMATION_LIFETIME, ConfirmationState, PEER_REACHABLE_TIMEOUT, ServePermission,
};
pub use hash::{AFFINITY_PROMPT_BYTES, affinity_key, rendezvous_weight};
pub use quarantine::{CrashStrike, QuarantineList, QuarantineVerdict, RequestFingerprint};
pub use ramp::{RampSettings, RampState};
pub use reporters::{
    FailureDetector, MEMBERSHIP_DELAY, REPORTERS_PER_REPLICA, ReporterSet, VoterSet,
    select_reporters,
};
pub use retry::RetryBudget;
pub use slot::{
    ALLOWANCE_LIFETIME, LoadReport, OwnerSettings, REPORT_INTERVAL, ReplicaLimit, SlotDemand,
    SlotDestination, SlotHolder, SlotOwner, SlotPolicy, StartConstraints, StartedSlot,
};
