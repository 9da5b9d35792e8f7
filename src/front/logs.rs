//! Logs as JSON lines on standard output.
//!
//! A line has the fields `time`, `level`, `host` and `event`, and the fields of the
//! event. Logging never blocks: a bounded queue passes the lines to a writer thread, and
//! the lines per second of each kind of event are limited. Dropped lines are counted and
//! reported once per second and kind of event as the event `left_out`. Only a process that
//! ends waits, for a limited time, until its last lines are written.

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
use smallvec::SmallVec;

use crate::error::{Error, Result};
use crate::id::Name;

/// Capacity of the queue of unwritten lines, about one megabyte.
const QUEUE_SIZE: usize = 4_096;

/// Maximum lines per second of one kind of event, well above the rate of a healthy host:
/// each new flow is one line, and a host with a tenth of a core opens about 100 flows per
/// second.
const EVENT_LIMIT: u32 = 250;

/// Maximum lines per second of one kind of warning or error. It is higher than the limit
/// for other events, since these lines matter more.
const WARNING_LIMIT: u32 = 1_000;

/// Period over which the limits count lines.
const LIMIT_WINDOW: Duration = Duration::from_secs(1);

/// Maximum time that a process which ends waits for its last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Item of the queue of the writer thread.
enum Queued {
    Line(String),
    /// Request for a message once all lines before it have been written.
    Flush(SyncSender<()>),
}

/// Starts logging for the host named `host`, at `level`.
///
/// # Errors
///
/// Returns an error when the level is invalid or the writer thread cannot be started.
pub fn start(level: &str, host: &str) -> Result<()> {
    let invalid = |fault: String| Error::setting("--log", fault, "use a level such as info");
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
    // Dropping the handle would stop the logger, which runs until the process exits.
    std::mem::forget(logger);
    Ok(())
}

/// Waits, for half a second at most, until the lines logged so far are written.
pub fn flush() {
    log::logger().flush();
}

/// Writes queued lines until the queue is closed, all waiting lines in one call.
fn write_lines(queue: &Receiver<Queued>) {
    let mut out = io::stdout().lock();
    while let Ok(first) = queue.recv() {
        let mut text = String::new();
        let mut flushed: SmallVec<[SyncSender<()>; 1]> = SmallVec::new();
        for queued in std::iter::once(first).chain(queue.try_iter()) {
            match queued {
                Queued::Line(line) => text.push_str(&line),
                Queued::Flush(done) => flushed.push(done),
            }
        }
        if out.write_all(text.as_bytes()).is_err() {
            // Standard output is closed; the host continues without logs.
            return;
        }
        for done in flushed {
            // An error means that nobody waits any more.
            let _ = done.send(());
        }
    }
}

struct JsonWriter {
    host: Name,
    sender: SyncSender<Queued>,
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
        let (done, flushed) = sync_channel(1);
        let is_queued = self.sender.try_send(Queued::Flush(done)).is_ok();
        if is_queued && flushed.recv_timeout(FLUSH_TIMEOUT).is_ok() {
            return Ok(());
        }
        Err(io::ErrorKind::TimedOut.into())
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
        // The visitor never fails, and the fields come from the log macros of this crate.
        let _ = record.key_values().visit(&mut fields);
        format!("{}\n", Value::Object(fields.0))
    }

    /// Queues a line, or counts it as dropped when the queue is full.
    fn send(&self, limiter: &mut RateLimiter, line: String, event: &str) {
        if let Err(TrySendError::Full(_)) = self.sender.try_send(Queued::Line(line)) {
            limiter.count_dropped(event);
        }
    }
}

/// Limits the log lines per second of each kind of event.
#[derive(Debug, Default)]
pub struct RateLimiter {
    window_start: Option<Instant>,
    line_counts: HashMap<String, u32>,
    dropped: HashMap<String, u64>,
    last_dropped: HashMap<String, u64>,
}

impl RateLimiter {
    /// Counts a line and returns true if it is within the limit of its kind of event.
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

    /// Returns the number of lines dropped in the previous window, by kind of event, and
    /// resets it.
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
