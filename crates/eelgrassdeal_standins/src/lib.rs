//! Fakes of the systems that eelgrassdeal depends on: table service, object store, VM list, weight
//! store, model engines, plain services, and the metadata store and workers of the gateway.
//!
//! Each fake is a struct that serves HTTP within the process of a test or measurement. Most of them
//! are also available as subcommands of `eelgrassdeal-standin`. Faults are injected by methods, or
//! by `POST /faults` if the fake runs in a separate process. The protocols are those that
//! `docs/operators.md` specifies for the real systems.

mod certificates;
mod engine;
mod fault;
mod gateway_platform;
mod object;
mod server;
mod service;
mod table;
mod vm_list;
mod weights;

pub use certificates::CertificateAuthority;
pub use engine::{EngineFake, EngineOptions, EngineRun, StreamFault, answer_text, answer_token};
pub use fault::{FaultInjector, FaultPlan, FaultRates};
pub use gateway_platform::{
    MetadataStoreFake, StoreStats, WorkerFake, WorkerFault, WorkerOptions, WorkerRun,
};
pub use object::ObjectFake;
pub use server::{Reply, ReplyBody, ServerHandle, empty_reply, json_reply, serve_http};
pub use service::{ServiceFake, ServiceRun};
pub use table::{AppliedPut, TableFake, TableStats};
pub use vm_list::{VmListFake, VmListStats};
pub use weights::WeightsFake;
