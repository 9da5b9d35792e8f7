//! Parses TOML text into JSON values and records the line of each path.

use std::collections::HashMap;

use serde_json::{Map, Number, Value};
use toml::Spanned;
use toml::de::{DeArray, DeTable, DeValue};

use super::fault::Faults;
use crate::error::Result;

/// Values of a TOML file, with the line of each field path.
pub(super) struct ParsedToml {
    pub root: Value,
    pub lines: HashMap<String, usize>,
}

/// Parses `text`; syntax errors are reported with their lines.
pub(super) fn read_toml(file: &str, text: &str) -> Result<ParsedToml> {
    let (table, errors) = DeTable::parse_recoverable(text);
    let mut faults = Faults::new(file, HashMap::new());
    for error in errors {
        let line = error.span().map(|span| line_at(text, span.start));
        faults.add_at_line(line, error.message(), syntax_remedy(error.message()));
    }
    faults.into_result()?;

    let mut converter = JsonConverter {
        text,
        lines: HashMap::new(),
    };
    let root = converter.table("", table.get_ref());
    Ok(ParsedToml {
        root,
        lines: converter.lines,
    })
}

fn syntax_remedy(message: &str) -> &'static str {
    if message.contains("duplicate") {
        "remove one of the two"
    } else {
        "correct the syntax, as in config/hraunvik.toml"
    }
}

/// Returns the path of a field inside `path`.
pub(super) fn field_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

/// Returns the path of an item in the array at `path`.
pub(super) fn item_path(path: &str, index: usize) -> String {
    format!("{path}[{index}]")
}

struct JsonConverter<'a> {
    text: &'a str,
    lines: HashMap<String, usize>,
}

impl JsonConverter<'_> {
    fn table(&mut self, path: &str, table: &DeTable<'_>) -> Value {
        let mut map = Map::new();
        for (key, value) in table {
            let name = key.get_ref();
            let inner_path = field_path(path, name);
            let line = line_at(self.text, key.span().start);
            self.lines.insert(inner_path.clone(), line);
            map.insert(name.to_string(), self.value(&inner_path, value));
        }
        Value::Object(map)
    }

    fn array(&mut self, path: &str, array: &DeArray<'_>) -> Value {
        let mut list = Vec::with_capacity(array.len());
        for (index, value) in array.iter().enumerate() {
            let inner_path = item_path(path, index);
            let line = line_at(self.text, value.span().start);
            self.lines.insert(inner_path.clone(), line);
            list.push(self.value(&inner_path, value));
        }
        Value::Array(list)
    }

    fn value(&mut self, path: &str, value: &Spanned<DeValue<'_>>) -> Value {
        match value.get_ref() {
            DeValue::String(text) => Value::String(text.to_string()),
            DeValue::Integer(number) => i64::from_str_radix(number.as_str(), number.radix())
                .map_or(Value::Null, Value::from),
            DeValue::Float(number) => number
                .as_str()
                .parse()
                .ok()
                .and_then(Number::from_f64)
                .map_or(Value::Null, Value::Number),
            DeValue::Boolean(flag) => Value::Bool(*flag),
            DeValue::Datetime(time) => Value::String(time.to_string()),
            DeValue::Array(array) => self.array(path, array),
            DeValue::Table(table) => self.table(path, table),
        }
    }
}

fn line_at(text: &str, offset: usize) -> usize {
    let before = text.as_bytes().iter().take(offset);
    before.filter(|byte| **byte == b'\n').count() + 1
}
