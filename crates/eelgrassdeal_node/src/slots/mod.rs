//! Slots of replicas: the allowances that this node received, the division of the limits of the
//! replicas that it owns, and the queue of requests that wait for a slot.
//!
//! A slot is the right to have one request in flight at a replica. Each replica has a limit on its
//! requests in flight and their KV tokens, and a set of nodes, its reporters, that may use it. One
//! of the reporters is its owner. Each reporter sends the owner reports, which state how many of
//! its requests are in flight and waiting. The owner replies with an allowance: the part of the
//! limit that the reporter may use until the allowance expires.

mod held_slot;
mod owner;
mod peer;
mod replica;
mod report;
mod table;

pub(crate) use held_slot::{HeldSlot, SlotConstraints};
pub(crate) use owner::{ProbeResult, record_probe_result, replicas_to_probe};
pub(crate) use peer::{call_peer, handle_peer_request};
pub(crate) use replica::{ReplicaTarget, largest_request_kv};
pub(crate) use report::{ping_peers, send_reports};
pub(crate) use table::SlotTable;
