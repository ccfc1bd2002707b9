//! Measurement commands of eelgrassdeal, each with a baseline policy in the same run.

mod slots;

pub use slots::run_slots;
