//! The `jacinthhinge` program.

fn main() {}
