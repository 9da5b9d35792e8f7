//! Runs the soak example for a short time with a fixed seed.

use std::path::Path;
use std::process::Command;

/// Runs the soak with real processes, which fails if an invariant is violated.
fn run_soak(seed: u64, seconds: u64) {
    let bin = Path::new(env!("CARGO_BIN_EXE_jacinthhinge"));
    let soak = bin.with_file_name("examples").join("soak");
    let output = Command::new(soak)
        .args(["--seed", &seed.to_string()])
        .args(["--seconds", &seconds.to_string()])
        .args(["--callers", "3", "--bin"])
        .arg(bin)
        .output()
        .expect("cargo builds the soak with the tests");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
}

#[test]
fn invariants_hold_in_a_short_soak() {
    run_soak(1, 8);
}
