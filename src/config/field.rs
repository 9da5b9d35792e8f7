//! Reads single fields, lists and tables, and reports invalid ones.

use std::ops::RangeInclusive;
use std::time::Duration;

use serde_json::{Map, Value};
use serde_with::DeserializeAs;

use super::EXCEPTION;
use super::fault::{Faults, suggest};
use super::model::ClassValues;
use super::source::{field_path, item_path};
use super::units::DurationText;

/// Reads the items of an array; invalid items are reported and left out.
pub(super) fn read_list<T>(
    value: &Value,
    path: &str,
    faults: &mut Faults<'_>,
    read: impl Fn(&Value, &str, &mut Faults<'_>) -> Option<T>,
) -> Vec<T> {
    let Some(list) = value.as_array() else {
        let remedy = match value {
            Value::Object(_) => format!("write [[{path}]] with double brackets"),
            _ => "write an array in brackets".to_owned(),
        };
        faults.add(path, type_fault(value, "an array"), remedy);
        return Vec::new();
    };
    list.iter()
        .enumerate()
        .filter_map(|(index, value)| read(value, &item_path(path, index), faults))
        .collect()
}

/// Reads a required field.
pub(super) fn read_required<T>(
    fields: &Map<String, Value>,
    path: &str,
    name: &str,
    faults: &mut Faults<'_>,
    read: impl FnOnce(&Value, &str, &mut Faults<'_>) -> Option<T>,
) -> Option<T> {
    if !fields.contains_key(name) {
        faults.add(
            path,
            format!("`{name}` is missing"),
            format!("add `{name}`"),
        );
        return None;
    }
    read_optional(fields, path, name, faults, read)
}

/// Reads an optional field.
pub(super) fn read_optional<T>(
    fields: &Map<String, Value>,
    path: &str,
    name: &str,
    faults: &mut Faults<'_>,
    read: impl FnOnce(&Value, &str, &mut Faults<'_>) -> Option<T>,
) -> Option<T> {
    read(fields.get(name)?, &field_path(path, name), faults)
}

/// Reads a table and reports fields that are not among `known`.
pub(super) fn read_table<'v>(
    value: &'v Value,
    path: &str,
    known: &[&str],
    faults: &mut Faults<'_>,
) -> Option<&'v Map<String, Value>> {
    let fields = read_any_table(value, path, faults)?;
    for name in fields.keys() {
        if !known.contains(&name.as_str()) {
            let fault = format!("unknown field `{name}`");
            let remedy = match misplaced_remedy(name, path) {
                Some(remedy) => remedy.to_owned(),
                None => suggest(name, known.iter().copied()),
            };
            faults.add(&field_path(path, name), fault, remedy);
        }
    }
    Some(fields)
}

/// Returns the remedy for a class field that is set outside a class.
fn misplaced_remedy(name: &str, path: &str) -> Option<&'static str> {
    let by_class = ClassValues::FIELDS.contains(&name);
    if path.starts_with(EXCEPTION) && (by_class || name == "class") {
        return Some("name a class in the scope, as in `service/adserve class/photo`");
    }
    by_class.then_some("set it for a class, as in `class.photo.rank`")
}

/// Reads a table with any fields.
pub(super) fn read_any_table<'v>(
    value: &'v Value,
    path: &str,
    faults: &mut Faults<'_>,
) -> Option<&'v Map<String, Value>> {
    let fields = value.as_object();
    if fields.is_none() {
        faults.add(path, type_fault(value, "a table"), "write a table here");
    }
    fields
}

/// Reads a string.
pub(super) fn read_text<'v>(
    value: &'v Value,
    path: &str,
    faults: &mut Faults<'_>,
) -> Option<&'v str> {
    let text = value.as_str();
    if text.is_none() {
        faults.add(path, type_fault(value, "a string"), "write it in quotes");
    }
    text
}

/// Reads a duration and checks that it is in `range`.
pub(super) fn read_duration(
    value: &Value,
    path: &str,
    range: &RangeInclusive<Duration>,
    faults: &mut Faults<'_>,
) -> Option<Duration> {
    let Ok(duration) = <DurationText as DeserializeAs<Duration>>::deserialize_as(value) else {
        let fault = format!("{value} is not a duration");
        faults.add(
            path,
            fault,
            "write a number and its unit, as in \"250ms\" or \"2s\"",
        );
        return None;
    };
    if !range.contains(&duration) {
        let least = humantime::format_duration(*range.start());
        let most = humantime::format_duration(*range.end());
        let remedy = format!("write a duration from {least} to {most}");
        faults.add(path, format!("{value} is out of range"), remedy);
        return None;
    }
    Some(duration)
}

/// Reads a number and checks that it is in `range`.
pub(super) fn read_number(
    value: &Value,
    path: &str,
    range: &RangeInclusive<f64>,
    faults: &mut Faults<'_>,
) -> Option<f64> {
    if !value.is_number() {
        faults.add(path, type_fault(value, "a number"), "write it as in `0.5`");
        return None;
    }
    let number = value.as_f64().filter(|number| range.contains(number));
    if number.is_none() {
        let remedy = format!("write a number from {} to {}", range.start(), range.end());
        faults.add(path, format!("{value} is out of range"), remedy);
    }
    number
}

/// Reads an integer and checks that it is in `range`.
pub(super) fn read_integer(
    value: &Value,
    path: &str,
    range: &RangeInclusive<u32>,
    faults: &mut Faults<'_>,
) -> Option<u32> {
    if !value.is_number() {
        faults.add(path, type_fault(value, "a number"), "write it as in `3`");
        return None;
    }
    let number = value.as_u64().and_then(|number| u32::try_from(number).ok());
    let number = number.filter(|number| range.contains(number));
    if number.is_none() {
        let (least, most) = (range.start(), range.end());
        let remedy = format!("write a whole number from {least} to {most}");
        faults.add(path, format!("{value} is out of range"), remedy);
    }
    number
}

fn type_fault(value: &Value, expected: &str) -> String {
    let kind = match value {
        Value::Null => "nothing",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "an array",
        Value::Object(_) => "a table",
    };
    format!("expected {expected}, found {kind}")
}
