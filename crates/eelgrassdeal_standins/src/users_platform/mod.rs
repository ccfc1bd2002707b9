//! Stand-ins for the users' platform: its metadata store and its workers.
//!
//! Both follow the published protocol as far as the gateway uses it. The store's words for rows are
//! written out here and in the adapter, so that a mistake in one shows against the other.

mod store;
mod worker;

pub use store::{MetadataStoreFake, StoreCalls};
pub use worker::{WorkerFake, WorkerFault, WorkerOptions, WorkerRun};
