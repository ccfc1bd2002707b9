//! Fakes of the systems that the gateway depends on: the platform's metadata store and its workers.
//!
//! Both implement the part of the platform's protocol that the gateway uses through the clients in
//! `eelgrassdeal_platform`. The field names of the store's rows are spelled out both here and in
//! those clients instead of being shared, so that tests fail if one of them is wrong.

mod store;
mod worker;

pub use store::{MetadataStoreFake, StoreStats};
pub use worker::{WorkerArrival, WorkerFake, WorkerFault, WorkerOptions, WorkerRun};
