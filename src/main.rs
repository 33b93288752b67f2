//! Operators' command line.
fn main() {}
