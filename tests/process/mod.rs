//! A process of the `relay` command, its settings file and its log.

#![allow(dead_code, reason = "each test uses only some items")]

pub mod store;

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

/// Maximum time that a test waits for an event of a process.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// A process of the `relay` command on its own IP address.
pub struct Host {
    pub child: Child,
    lines: mpsc::Receiver<String>,
    pub file: PathBuf,
    pub ip: &'static str,
}

impl Host {
    /// Starts a process with the settings in `file`; its own address is `ip`.
    pub fn start(ip: &'static str, file: PathBuf) -> Self {
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
        let (sender, lines) = mpsc::channel();
        thread::spawn(move || {
            let mut read_lines = BufReader::new(output).lines().map_while(Result::ok);
            read_lines.try_for_each(|line| sender.send(line))
        });
        Self {
            child,
            lines,
            file,
            ip,
        }
    }

    /// Reads log lines up to the next one with this event.
    pub fn wait_for_event(&mut self, name: &str) -> Value {
        self.wait_for_event_but(name, "")
    }

    /// Reads log lines up to the next one with this event; none before it may be `unwanted`.
    pub fn wait_for_event_but(&mut self, name: &str, unwanted: &str) -> Value {
        let deadline = Instant::now() + EVENT_TIMEOUT;
        loop {
            let time_left = deadline.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(time_left);
            let line = line.unwrap_or_else(|err| panic!("no line before {name}: {err}"));
            let line: Value = serde_json::from_str(&line).expect("JSON");
            assert_ne!(line["event"], unwanted, "{line}");
            if line["event"] == name {
                return line;
            }
        }
    }

    /// Sends a signal to the process.
    pub fn send_signal(&self, signal: Signal) {
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
pub fn settings_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("jacinthhinge-{name}-{}", std::process::id()))
}

/// Returns settings for the host at `ip`, with the store at port 7100 of the same address.
pub fn settings_text(ip: &str, seeds: &[&str]) -> String {
    let at = |port: u16| format!("{ip}:{port}");
    let settings = json!({
        "NodeName": "host", "Ip": ip, "Zone": "za", "Region": "loop", "Seeds": seeds,
        "InternalPorts": [7010, 7020], "Bounds": {"GraceS": 6},
        "Listen": {"DatagramAddr": at(7000), "ReadyAddr": at(7001), "Control": at(7002)},
        "platform": {"Address": at(7100)},
    });
    settings.to_string()
}

/// Writes a settings file.
pub fn write_file(file: &Path, text: &str) {
    std::fs::write(file, text).expect("a file");
}
