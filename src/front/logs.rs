//! Logs as JSON lines on standard output.
//!
//! A line has `time`, `level`, `host`, `event` and what the event is about. A thread
//! that logs never waits: lines go through a bounded queue to a thread of its own,
//! and each kind of event has a budget of lines a second. What is left out is
//! counted, and told once a second and kind as the event `left_out`.

use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, LogSpecification, Logger};
use log::kv::{Error as KvError, Key, Value as KvValue, VisitSource};
use log::{Level, LevelFilter, Record};
use serde_json::{Map, Value, json};

use crate::error::{Error, Result};
use crate::id::Name;

/// JsonWriter that may wait to be written; about a megabyte.
const QUEUE_SIZE: usize = 4_096;

/// JsonWriter a second of one kind of event, well above what a host in health writes: a
/// new flow is one line, and a host of a tenth of a core opens some 100 a second.
const EVENT_LIMIT: u32 = 250;

/// JsonWriter a second of one kind of warning or error, which go before others.
const WARNING_LIMIT: u32 = 1_000;

/// Span of a budget.
const LIMIT_WINDOW: Duration = Duration::from_secs(1);

/// Starts the logger of a host.
///
/// # Errors
///
/// Fails when the level cannot be read or the writing thread cannot be started.
pub fn start(level: &str, host: &str) -> Result<()> {
    let invalid = |fault: String| Error::setting("--log", fault, "write a level such as info");
    let spec = LogSpecification::parse(level).map_err(|error| invalid(error.to_string()))?;
    let (sender, lines) = sync_channel(QUEUE_SIZE);
    std::thread::Builder::new()
        .name("logs".to_owned())
        .spawn(move || write_lines(&lines))
        .map_err(|source| Error::io("start the log thread", source))?;
    let writer = JsonWriter {
        host: host.into(),
        sender,
        limiter: Mutex::default(),
    };
    let logger = Logger::with(spec)
        .log_to_writer(Box::new(writer))
        .start()
        .map_err(|error| invalid(error.to_string()))?;
    // The handle would stop the logger when dropped; the process logs until its end.
    std::mem::forget(logger);
    Ok(())
}

/// Writes lines as they come, those that wait together in one call.
fn write_lines(lines: &Receiver<String>) {
    let mut out = io::stdout().lock();
    while let Ok(first) = lines.recv() {
        let mut text = first;
        for line in lines.try_iter() {
            text.push_str(&line);
        }
        if out.write_all(text.as_bytes()).is_err() {
            // Nobody reads the logs any more; the host goes on.
            return;
        }
    }
}

struct JsonWriter {
    host: Name,
    sender: SyncSender<String>,
    limiter: Mutex<RateLimiter>,
}

impl LogWriter for JsonWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
        let event = record.args().to_string();
        let time = now.format_rfc3339();
        let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        let admitted = limiter.admit(&event, record.level(), Instant::now());
        for (event, count) in limiter.take_dropped() {
            let dropped_line = json!({
                "time": time, "level": "WARN", "host": self.host, "event": "left_out",
                "kind": event, "count": count,
            });
            self.send(&mut limiter, format!("{dropped_line}\n"), "left_out");
        }
        if admitted {
            let line = self.format_line(&time, &event, record);
            self.send(&mut limiter, line, &event);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }

    fn max_log_level(&self) -> LevelFilter {
        LevelFilter::Trace
    }
}

impl JsonWriter {
    fn format_line(&self, time: &str, event: &str, record: &Record) -> String {
        let mut fields = FieldVisitor(Map::new());
        fields.0.insert("time".to_owned(), json!(time));
        fields
            .0
            .insert("level".to_owned(), json!(record.level().as_str()));
        fields.0.insert("host".to_owned(), json!(self.host));
        fields.0.insert("event".to_owned(), json!(event));
        // The fields come from the program's own macros, which cannot fail.
        let _ = record.key_values().visit(&mut fields);
        format!("{}\n", Value::Object(fields.0))
    }

    /// Queues a line, or counts it as left out when the queue is full.
    fn send(&self, limiter: &mut RateLimiter, line: String, event: &str) {
        if let Err(TrySendError::Full(_)) = self.sender.try_send(line) {
            limiter.count_dropped(event);
        }
    }
}

/// JsonWriter of each kind of event in the current second.
#[derive(Debug, Default)]
pub struct RateLimiter {
    window_start: Option<Instant>,
    line_counts: HashMap<String, u32>,
    dropped: HashMap<String, u64>,
    last_dropped: HashMap<String, u64>,
}

impl RateLimiter {
    /// Takes a line off the budget of its kind; false when that is spent.
    pub fn admit(&mut self, event: &str, level: Level, now: Instant) -> bool {
        let is_over = |start| now.duration_since(start) >= LIMIT_WINDOW;
        if self.window_start.is_none_or(is_over) {
            self.window_start = Some(now);
            self.line_counts.clear();
            self.last_dropped = std::mem::take(&mut self.dropped);
        }
        let limit = if level <= Level::Warn {
            WARNING_LIMIT
        } else {
            EVENT_LIMIT
        };
        let count = self.line_counts.entry(event.to_owned()).or_default();
        *count += 1;
        let admitted = *count <= limit;
        if !admitted {
            self.count_dropped(event);
        }
        admitted
    }

    /// What was left out in the second before, by kind of event; told once.
    pub fn take_dropped(&mut self) -> HashMap<String, u64> {
        std::mem::take(&mut self.last_dropped)
    }

    fn count_dropped(&mut self, event: &str) {
        *self.dropped.entry(event.to_owned()).or_default() += 1;
    }
}

struct FieldVisitor(Map<String, Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor {
    fn visit_pair(&mut self, key: Key<'kvs>, value: KvValue<'kvs>) -> Result<(), KvError> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| json!(value.to_string()));
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
