//! Message, record and settings types of eelgrassdeal.
//!
//! `eelgrassdeal_codegen` generates the code of each module from `schema/*.proto`. The generated
//! code is committed, so that a build does not run the generator.
//!
//! ```
//! use eelgrassdeal_schema::{config::Vm, decode_message, encode_message};
//!
//! let vm = Vm { id: "yul1-w01".to_owned(), accelerators: 4, ..Vm::default() };
//! let bytes = encode_message(&vm);
//! assert_eq!(decode_message::<Vm>(&bytes), Ok(vm));
//! ```

#![allow(missing_docs, reason = "generated items have the comments of the schema")]
#![allow(clippy::all, reason = "generated code")]

use bytes::Bytes;
use prost::Message;

/// JSON bodies of a node's admin interface for operators.
pub mod admin {
    include!("generated/eelgrassdeal.admin.rs");
}

/// Contents of the register and rules files, and of configuration revisions.
pub mod config {
    include!("generated/eelgrassdeal.config.rs");
}

/// JSON bodies exchanged with engines, callers and the platform.
pub mod engine {
    include!("generated/eelgrassdeal.engine.rs");
}

/// Messages between gateway nodes: fleet state and relayed orders.
pub mod gateway {
    include!("generated/eelgrassdeal.gateway.rs");
}

/// Messages between nodes over QUIC: calls with a request and a reply.
pub mod peer {
    include!("generated/eelgrassdeal.peer.rs");
}

/// Records stored as rows of the platform's table service.
pub mod records {
    include!("generated/eelgrassdeal.records.rs");
}

/// Contents of a node's settings file.
pub mod settings {
    include!("generated/eelgrassdeal.settings.rs");
}

/// Encodes a message as protobuf.
pub fn encode_message<M: Message>(message: &M) -> Bytes {
    Bytes::from(message.encode_to_vec())
}

/// Decodes a protobuf message.
///
/// # Errors
///
/// Returns the decoder's error if `bytes` is not a valid encoding of `M`.
pub fn decode_message<M: Message + Default>(bytes: &[u8]) -> Result<M, prost::DecodeError> {
    M::decode(bytes)
}
