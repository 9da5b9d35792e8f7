//! The `relay` command as a process: its settings file and its signals.

mod process;

use std::io::Write;

use process::{Host, settings_path, settings_text, write_file};
use rustix::process::Signal;

#[test]
fn settings_are_reloaded_and_invalid_ones_refused() {
    let file = settings_path("settings");
    write_file(&file, &settings_text("127.90.1.1", &["127.90.1.2:7002"]));
    let mut host = Host::start("127.90.1.1", file);
    host.wait_for_event("started");
    write_file(&host.file, "{\"NodeName\": ");
    host.send_signal(Signal::HUP);
    let refused = host.wait_for_event("settings_refused");
    let cause = refused["cause"].as_str().expect("a cause");
    assert!(cause.contains("write the file again"), "{cause}");
    // A changed file is also detected without a signal.
    write_file(&host.file, &settings_text(host.ip, &["127.90.1.3:7002"]));
    let applied = host.wait_for_event("settings_in_force");
    assert_eq!(applied["seeds"], "[127.90.1.3:7010]");
    host.send_signal(Signal::HUP);
    host.wait_for_event("settings_unchanged");
    host.send_signal(Signal::TERM);
    host.wait_for_event("ended");
    assert!(host.child.wait().expect("its status").success());
}

#[test]
fn sighup_during_startup_does_not_stop_the_host() {
    let file = settings_path("pipe");
    let mode = rustix::fs::Mode::from_raw_mode(0o600);
    rustix::fs::mknodat(rustix::fs::CWD, &file, rustix::fs::FileType::Fifo, mode, 0)
        .expect("a pipe");
    let mut host = Host::start("127.90.2.1", file);
    // Blocks until the host opens the pipe to read its settings.
    let mut pipe = std::fs::File::options()
        .write(true)
        .open(&host.file)
        .expect("the pipe");
    host.send_signal(Signal::HUP);
    pipe.write_all(settings_text(host.ip, &[]).as_bytes())
        .expect("the host runs");
    drop(pipe);
    host.wait_for_event("started");
}
