//! Messages, records and settings of eelgrassdeal.
//!
//! The code of each module is generated from `schema/*.proto` by `eelgrassdeal_codegen` and
//! committed, so that a build needs no generator.
//!
//! ```
//! use eelgrassdeal_schema::{config::Vm, decode_message, encode_message};
//!
//! let vm = Vm { id: "yul1-w01".to_owned(), accelerators: 4, ..Vm::default() };
//! let bytes = encode_message(&vm);
//! assert_eq!(decode_message::<Vm>(&bytes), Ok(vm));
//! ```

#![allow(missing_docs, reason = "the schema documents the generated items")]
#![allow(clippy::all, reason = "generated code")]

use bytes::Bytes;
use prost::Message;

/// JSON bodies of the operators' interface.
pub mod admin {
    include!("generated/eelgrassdeal.admin.rs");
}

/// Register, rules and configuration revisions.
pub mod config {
    include!("generated/eelgrassdeal.config.rs");
}

/// JSON bodies exchanged with engines, callers and the platform.
pub mod engine {
    include!("generated/eelgrassdeal.engine.rs");
}

/// Messages between gateway nodes.
pub mod gateway {
    include!("generated/eelgrassdeal.gateway.rs");
}

/// Messages between nodes.
pub mod peer {
    include!("generated/eelgrassdeal.peer.rs");
}

/// Rows of the table service.
pub mod records {
    include!("generated/eelgrassdeal.records.rs");
}

/// Settings of a node.
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
/// Returns the decoder's error when `bytes` is not a valid encoding of `M`.
pub fn decode_message<M: Message + Default>(bytes: &[u8]) -> Result<M, prost::DecodeError> {
    M::decode(bytes)
}
