//! The record of a run, and the rules that were broken.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::SocketAddrV4;
use std::time::Instant;

use crate::packet::Flow;

/// An opening packet that an endpoint took.
pub struct Opening {
    pub flow: Flow,
    pub endpoint: String,
    pub at: Instant,
    pub host: SocketAddrV4,
}

pub struct Record {
    out: BufWriter<File>,
    start: Instant,
    pub broken: Vec<String>,
    pub openings: Vec<Opening>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            out: BufWriter::new(File::create(path)?),
            start: Instant::now(),
            broken: Vec::new(),
            openings: Vec::new(),
        })
    }

    pub fn line(&mut self, text: &str) {
        let _ = writeln!(
            self.out,
            "{:9.4} {text}",
            self.start.elapsed().as_secs_f64()
        );
    }

    pub fn broken(&mut self, rule: &str, text: &str) {
        self.line(&format!("BROKEN {rule}: {text}"));
        self.broken.push(format!("{rule}: {text}"));
    }

    pub fn opening(&mut self, flow: &Flow, endpoint: &str, host: SocketAddrV4) {
        self.line(&format!(
            "opening {} to {} taken by {endpoint} through {}",
            flow.client,
            flow.vip,
            host.ip()
        ));
        let endpoint = endpoint.to_owned();
        self.openings.push(Opening {
            flow: *flow,
            endpoint,
            at: Instant::now(),
            host,
        });
    }

    pub fn finish(&mut self) {
        let _ = self.out.flush();
    }
}
