//! facade
