//! Stand-ins and helpers of the second review's scripts, with the standard library only.

pub mod client;
pub mod cold;
pub mod http;
pub mod json;
pub mod process;
pub mod record;
pub mod store;
pub mod worker;
