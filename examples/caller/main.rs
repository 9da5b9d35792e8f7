//! caller
fn main() {}
