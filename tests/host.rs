//! The `relay` command as a process: its settings file and its signals.

use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

/// A process of the `relay` command on its own IP address.
struct Host {
    child: Child,
    lines: std::io::Lines<BufReader<std::process::ChildStdout>>,
    file: PathBuf,
    ip: &'static str,
}

impl Host {
    fn start(ip: &'static str, file: PathBuf) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_jacinthhinge"))
            .arg("relay")
            .arg("--settings")
            .arg(&file)
            .args(["--ops-port", "7030"])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program");
        let output = child.stdout.take().expect("its output");
        let lines = BufReader::new(output).lines();
        Self {
            child,
            lines,
            file,
            ip,
        }
    }

    /// Reads log lines up to the next one with this event.
    fn wait_for_event(&mut self, name: &str) -> Value {
        loop {
            let line = self.lines.next().expect("the host runs");
            let line: Value = serde_json::from_str(&line.expect("text")).expect("JSON");
            if line["event"] == name {
                return line;
            }
        }
    }

    fn send_signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("an id");
        kill_process(Pid::from_raw(id).expect("an id"), signal).expect("it runs");
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // The process has already exited if the test passed.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Returns the path of a host's settings file.
fn settings_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("jacinthhinge-{name}-{}", std::process::id()))
}

fn settings_text(ip: &str, seeds: &[&str]) -> String {
    let at = |port: u16| format!("{ip}:{port}");
    let settings = json!({
        "NodeName": "host", "Ip": ip, "Zone": "za", "Region": "loop", "Seeds": seeds,
        "InternalPorts": [7010, 7020], "Bounds": {"GraceS": 6},
        "Listen": {"DatagramAddr": at(7000), "ReadyAddr": at(7001), "Control": at(7002)},
        "platform": {"Address": at(7100)},
    });
    settings.to_string()
}

fn write_file(file: &Path, text: &str) {
    std::fs::write(file, text).expect("a file");
}

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
