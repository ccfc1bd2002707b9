//! Fakes of the systems that the gateway depends on: the platform's metadata store, its workers and
//! its management API.
//!
//! All implement the part of the platform's protocol that the gateway uses through the clients in
//! `eelgrassdeal_platform`. The field names of the store's rows and of calls are spelled out both here
//! and in those clients instead of being shared, so that tests fail if one of them is wrong.

mod cloud;
mod store;
mod worker;

pub use cloud::{CloudCall, CloudFake, CloudFault};
pub use store::{MetadataStoreFake, StoreStats};
pub use worker::{WorkerArrival, WorkerFake, WorkerFault, WorkerOptions, WorkerRun};
