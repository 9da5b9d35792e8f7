//! Collects the faults found in a configuration.

use std::collections::HashMap;
use std::fmt::Write;

use crate::error::{Error, Result};

/// Minimum Jaro-Winkler similarity, from zero to one, at which a known name is suggested.
const MIN_SIMILARITY: f64 = 0.75;

/// Collects faults, each with its location and a remedy.
pub(super) struct Faults<'a> {
    file: &'a str,
    lines: HashMap<String, usize>,
    list: Vec<Fault>,
}

struct Fault {
    line: Option<usize>,
    path: String,
    location: String,
    message: String,
    remedy: String,
}

impl<'a> Faults<'a> {
    /// Creates a collector for `file`, with the line of each path that is known.
    pub fn new(file: &'a str, lines: HashMap<String, usize>) -> Self {
        Self {
            file,
            lines,
            list: Vec::new(),
        }
    }

    /// Adds a fault at the field path `path`.
    pub fn add(&mut self, path: &str, fault: impl Into<String>, remedy: impl Into<String>) {
        let line = self.line_of(path);
        let location = match line {
            Some(line) => format!("{}:{line}: {path}", self.file),
            None => format!("{}: {path}", self.file),
        };
        self.list.push(Fault {
            line,
            path: path.to_owned(),
            location,
            message: fault.into(),
            remedy: remedy.into(),
        });
    }

    /// Adds a fault at a line, while field paths are not known yet.
    pub fn add_at_line(&mut self, line: Option<usize>, fault: &str, remedy: &str) {
        let location = match line {
            Some(line) => format!("{}:{line}", self.file),
            None => self.file.to_owned(),
        };
        self.list.push(Fault {
            line,
            path: String::new(),
            location,
            message: fault.to_owned(),
            remedy: remedy.to_owned(),
        });
    }

    /// Returns true when there is no fault.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns true when there is no fault at or below `path`.
    pub fn is_clean(&self, path: &str) -> bool {
        !self.list.iter().any(|fault| fault.path.starts_with(path))
    }

    /// Returns an error that lists all faults, one per line, or `Ok` without faults.
    pub fn into_result(mut self) -> Result<()> {
        self.list.sort_by_key(|fault| fault.line);
        let mut rest = self.list.into_iter();
        let Some(first) = rest.next() else {
            return Ok(());
        };
        let mut remedy = first.remedy;
        for next in rest {
            let _ = write!(
                remedy,
                "\n{}: {}; {}",
                next.location, next.message, next.remedy
            );
        }
        Err(Error::config(first.location, first.message, remedy))
    }

    /// Returns the line of the path, or of the nearest enclosing table.
    fn line_of(&self, path: &str) -> Option<usize> {
        let mut path = path;
        loop {
            if let Some(line) = self.lines.get(path) {
                return Some(*line);
            }
            let end = path.rfind(['.', '['])?;
            path = &path[..end];
        }
    }
}

/// Returns the remedy for an unknown name: the most similar known name, or all of them.
pub(super) fn suggest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    let known: Vec<&str> = known.into_iter().collect();
    let nearest = known
        .iter()
        .map(|other| (strsim::jaro_winkler(name, other), *other))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0));
    match nearest {
        Some((_, other)) => format!("did you mean `{other}`?"),
        None if known.is_empty() => "no name is known here; add it first".to_owned(),
        None => format!("expected one of {}", known.join(", ")),
    }
}
