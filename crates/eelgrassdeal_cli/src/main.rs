//! Binary
fn main() {}
