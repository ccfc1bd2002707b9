//! Stand-ins for the systems around eelgrassdeal: table service, object store, list of VMs, weight
//! store, model engines and plain services.
//!
//! Each stand-in is a struct that can run in the process of a test or measurement, and a
//! subcommand of `eelgrassdeal-standin`. Faults are switched on by methods, or by `POST /faults`
//! on a stand-in that runs as a process of its own. The protocols are those that
//! `docs/operators.md` names for the real systems.

mod certificates;
mod engine;
mod fault;
mod object;
mod server;
mod service;
mod table;
mod users_platform;
mod vm_list;
mod weights;

pub use certificates::CertificateFolder;
pub use engine::{EngineFake, EngineOptions, EngineRun, StreamFault, answer_text, answer_token};
pub use fault::{FaultMix, FaultPlan, FaultSwitch};
pub use object::ObjectFake;
pub use server::{Reply, ReplyBody, ServerHandle, empty_reply, json_reply, serve_http};
pub use service::{ServiceFake, ServiceRun};
pub use table::{AppliedPut, TableFake, TableStats};
pub use users_platform::{
    MetadataStoreFake, StoreCalls, WorkerFake, WorkerFault, WorkerOptions, WorkerRun,
};
pub use vm_list::{VmListFake, VmListStats};
pub use weights::WeightsFake;
