//! A host of the users' platform as a process: its settings and its stop.

use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

/// A host with an address of its own.
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

    /// The next line of an event.
    fn event(&mut self, name: &str) -> Value {
        loop {
            let line = self.lines.next().expect("the host runs");
            let line: Value = serde_json::from_str(&line.expect("text")).expect("JSON");
            if line["event"] == name {
                return line;
            }
        }
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("an id");
        kill_process(Pid::from_raw(id).expect("an id"), signal).expect("it runs");
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // It has ended already where the test went well.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Place of a host's settings file.
fn place(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("jacinthhinge-{name}-{}", std::process::id()))
}

fn settings(ip: &str, seeds: &[&str]) -> String {
    let at = |port: u16| format!("{ip}:{port}");
    let settings = json!({
        "NodeName": "host", "Ip": ip, "Zone": "za", "Region": "loop", "Seeds": seeds,
        "InternalPorts": [7010, 7020], "Bounds": {"GraceS": 6},
        "Listen": {"DatagramAddr": at(7000), "ReadyAddr": at(7001), "Control": at(7002)},
        "platform": {"Address": at(7100)},
    });
    settings.to_string()
}

fn write(file: &Path, text: &str) {
    std::fs::write(file, text).expect("a file");
}

#[test]
fn settings_are_read_again_and_bad_ones_refused() {
    let file = place("settings");
    write(&file, &settings("127.90.1.1", &["127.90.1.2:7002"]));
    let mut host = Host::start("127.90.1.1", file);
    host.event("started");
    write(&host.file, "{\"NodeName\": ");
    host.signal(Signal::HUP);
    let refused = host.event("settings_refused");
    let cause = refused["cause"].as_str().expect("a cause");
    assert!(cause.contains("write the file again"), "{cause}");
    // A change without a signal is found as well.
    write(&host.file, &settings(host.ip, &["127.90.1.3:7002"]));
    let taken = host.event("settings_in_force");
    assert_eq!(taken["seeds"], "[127.90.1.3:7010]");
    host.signal(Signal::HUP);
    host.event("settings_unchanged");
    host.signal(Signal::TERM);
    host.event("ended");
    assert!(host.child.wait().expect("its status").success());
}

#[test]
fn hangup_at_the_start_does_not_end_a_host() {
    let file = place("pipe");
    let mode = rustix::fs::Mode::from_raw_mode(0o600);
    rustix::fs::mknodat(rustix::fs::CWD, &file, rustix::fs::FileType::Fifo, mode, 0)
        .expect("a pipe");
    let mut host = Host::start("127.90.2.1", file);
    // Opens once the host opens the pipe to read its settings.
    let mut pipe = std::fs::File::options()
        .write(true)
        .open(&host.file)
        .expect("the pipe");
    host.signal(Signal::HUP);
    pipe.write_all(settings(host.ip, &[]).as_bytes())
        .expect("the host runs");
    drop(pipe);
    host.event("started");
}
