//! Slots of replicas: this node's allowances, the accounting of the replicas that it owns, and the
//! queue of the requests that wait.

mod held;
mod owner;
mod peer;
mod replica;
mod report;
mod table;

pub(crate) use held::{HeldSlot, SlotNeed};
pub(crate) use owner::{ProbeResult, note_probe, serving_replicas};
pub(crate) use peer::{call_peer, handle_peer_request};
pub(crate) use replica::{ReplicaTarget, largest_request_kv};
pub(crate) use report::{ping_peers, send_reports};
pub(crate) use table::SlotTable;
