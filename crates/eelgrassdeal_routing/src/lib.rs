//! Decisions on where and when a request runs.
//!
//! - Limits of a replica: [`SlotOwner`] accounts for them at the owner node, [`SlotHolder`] is the
//!   side of every node, [`RampState`] lets a cold replica warm up, [`ReporterSet`] says which
//!   nodes take part.
//! - Order of requests: [`AdmissionQueue`], [`RetryBudget`] and [`QuarantineList`].
//! - Whether to start anything: [`ConfirmationState`].
//!
//! All types are plain structs; the caller passes the time.
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
    CONFIRMATION_LIFETIME, ConfirmationState, PEER_REACH_LIFETIME, ServePermission,
};
pub use hash::{AFFINITY_PROMPT_BYTES, affinity_key, rendezvous_weight};
pub use quarantine::{CrashStrike, QuarantineList, QuarantineVerdict, RequestFingerprint};
pub use ramp::{RampSettings, RampState};
pub use reporters::{
    MEMBERSHIP_DELAY, PeerSuspicion, REPORTERS_PER_REPLICA, ReporterSet, VoterSet, select_reporters,
};
pub use retry::RetryBudget;
pub use slot::{
    ALLOWANCE_LIFETIME, LoadReport, OwnerSettings, REPORT_INTERVAL, ReplicaLimit, SlotDemand,
    SlotHolder, SlotOwner, SlotPolicy, SlotTarget, StartChoice, StartedSlot,
};
