//! The record of a run: one line for each event, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            start: Instant::now(),
        })
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn line(&self, text: &str) {
        let time = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(|err| err.into_inner());
        let _ = writeln!(file, "{time:8.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:8.3} {text}", self.now().as_secs_f64());
    }

    pub fn sleep_until(&self, time: Duration) {
        std::thread::sleep(time.saturating_sub(self.now()));
    }
}
