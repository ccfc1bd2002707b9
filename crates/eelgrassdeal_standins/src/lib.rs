//! Fakes of the systems that eelgrassdeal depends on.
//!
//! The nodes of `eelgrassdeal_node` use a table service, an object store, a VM list, model engines,
//! which load their weights from a weight store, and plain services, which are HTTP services that
//! are not models. The gateway (`eelgrassdeal_gateway`) is another server program and uses a
//! metadata store, workers and a management API.
//!
//! Each fake is a struct that serves HTTP within the process of a test or measurement. All except
//! those three can also run in a separate process, as subcommands of
//! `eelgrassdeal-standin`. Faults are injected by methods; the fakes of the table service, object
//! store, VM list, engines and plain services also accept them in JSON by `POST /faults`. The JSON
//! for engines differs from that for the others. The protocols are those that `docs/operators.md`
//! specifies for the real systems.
//!
//! [`start_early_peer`] starts a peer that writes any bytes before it has read a request, and
//! [`malformed_answers`] are answers that no client may accept.

mod certificates;
mod early_answer;
mod engine;
mod fault;
mod gateway_platform;
mod object;
mod raw_answer;
mod server;
mod service;
mod table;
mod vm_list;
mod weights;

pub use certificates::CertificateAuthority;
pub use early_answer::{EarlyAnswer, EarlyEnd, start_early_peer};
pub use engine::{EngineFake, EngineOptions, EngineRun, StreamFault, answer_text, answer_token};
pub use fault::{FaultInjector, FaultPlan, FaultRates};
pub use gateway_platform::{
    CloudCall, CloudFake, CloudFault, MetadataStoreFake, StoreStats, WorkerArrival, WorkerFake,
    WorkerFault, WorkerOptions, WorkerRun,
};
pub use object::ObjectFake;
pub use raw_answer::{RawAnswer, broken_off_answers, malformed_answers};
pub use server::{Reply, ReplyBody, ServerHandle, empty_reply, json_reply, serve_http};
pub use service::{ServiceFake, ServiceRun};
pub use table::{AppliedPut, TableFake, TableStats};
pub use vm_list::{VmListFake, VmListStats};
pub use weights::WeightsFake;
