//! Reads plain JSON values into the tables of a configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::Deserialize;
use serde_json::{Map, Value};

use super::fault::{Faults, suggest};
use super::field::{any_table, count, duration, list, optional, required, share, table, text};
use super::model::{
    ClassValues, EndpointRow, ExceptionRow, Scope, Secrets, ServiceRow, State, Values, class_name,
    class_named,
};
use super::source::field_path;
use super::{Config, EXCEPTION, FLEET, KEYS, NAME_LENGTH, SERVICE, is_name};
use crate::id::Name;
use crate::packet::Class;

const SECTIONS: [&str; 4] = [FLEET, SERVICE, EXCEPTION, KEYS];

const SECRET_LENGTH: usize = 16;
const REASON_WORDS: usize = 3;

const DRAIN_RANGE: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_hours(24);
const IDLE_RANGE: RangeInclusive<Duration> = Duration::from_secs(5)..=Duration::from_hours(24);
const TIME_RANGE: RangeInclusive<Duration> = Duration::from_millis(1)..=Duration::from_hours(1);
const SHARE_RANGE: RangeInclusive<f64> = 0.0..=1.0;
const WEIGHT_RANGE: RangeInclusive<f64> = 0.01..=100.0;
const SLOT_RANGE: RangeInclusive<u32> = 1..=100_000;
const CONN_RANGE: RangeInclusive<u32> = 1..=10_000_000;
const RESERVE_RANGE: RangeInclusive<u32> = 0..=100_000;
const RANK_RANGE: RangeInclusive<u32> = 0..=1_000;

/// Reads a whole configuration; what cannot be read is reported and left out.
pub(super) fn read_config(root: &Value, faults: &mut Faults<'_>) -> Config {
    let mut config = Config::default();
    let Some(root) = table(root, "", &SECTIONS, faults) else {
        return config;
    };
    if let Some(fleet) = root.get(FLEET) {
        config.fleet = read_values(fleet, FLEET, &Values::FIELDS, faults);
    }
    if let Some(services) = root.get(SERVICE) {
        config.services = read_services(services, faults);
    }
    if let Some(exceptions) = root.get(EXCEPTION) {
        config.exceptions = list(exceptions, EXCEPTION, faults, read_exception);
    }
    if let Some(keys) = root.get(KEYS) {
        config.secrets = read_secrets(keys, faults);
    }
    config
}

/// Endpoints that a health report names; a malformed report names none.
pub(super) fn read_health(report: &Value) -> Vec<Name> {
    let names = report.get("unhealthy").and_then(Value::as_array);
    names
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
        .map(Name::from)
        .collect()
}

/// Reads a scope such as `service/kleurmatch class/photo`.
pub(super) fn read_scope(text: &str, path: &str, faults: &mut Faults<'_>) -> Option<Scope> {
    let mut scope = Scope::default();
    for part in text.split_whitespace() {
        read_scope_part(part, &mut scope, path, faults)?;
    }
    if scope == Scope::default() {
        faults.add(
            path,
            "the scope is empty",
            "name what it is about, as in `service/adserve` or `endpoint/a-3`",
        );
        return None;
    }
    Some(scope)
}

fn read_scope_part(
    part: &str,
    scope: &mut Scope,
    path: &str,
    faults: &mut Faults<'_>,
) -> Option<()> {
    let Some((kind, name)) = part.split_once('/') else {
        let fault = format!("`{part}` is not a scope");
        faults.add(path, fault, "write KIND/NAME, as in `service/adserve`");
        return None;
    };
    let known = Scope::KINDS.contains(&kind);
    if !known {
        let fault = format!("unknown kind of scope `{kind}`");
        faults.add(path, fault, suggest(kind, Scope::KINDS));
        return None;
    }
    let name = check_name(name, path, faults)?;
    let twice = match kind {
        "zone" => scope.zone.replace(name).is_some(),
        "service" => scope.service.replace(name).is_some(),
        "host" => scope.host.replace(name).is_some(),
        "endpoint" => scope.endpoint.replace(name).is_some(),
        _ => scope
            .class
            .replace(read_class(&name, path, faults)?)
            .is_some(),
    };
    if twice {
        let fault = format!("the scope names two of kind `{kind}`");
        faults.add(path, fault, "write one exception for each");
        return None;
    }
    Some(())
}

fn read_class(name: &str, path: &str, faults: &mut Faults<'_>) -> Option<Class> {
    let class = class_named(name);
    if class.is_none() {
        let fault = format!("unknown class `{name}`");
        faults.add(path, fault, suggest(name, Class::ALL.map(class_name)));
    }
    class
}

fn read_services(value: &Value, faults: &mut Faults<'_>) -> Vec<ServiceRow> {
    let Some(services) = any_table(value, SERVICE, faults) else {
        return Vec::new();
    };
    services
        .iter()
        .filter_map(|(name, value)| read_service(name, value, faults))
        .collect()
}

fn read_service(name: &str, value: &Value, faults: &mut Faults<'_>) -> Option<ServiceRow> {
    let path = field_path(SERVICE, name);
    let name = check_name(name, &path, faults)?;
    let known: Vec<&str> = Values::FIELDS
        .into_iter()
        .chain(["zones", "endpoint"])
        .collect();
    let values = read_values(value, &path, &known, faults);
    let own = value.as_object()?;
    let zones = required(own, &path, "zones", faults, |value, path, faults| {
        Some(read_zones(value, path, faults))
    });
    let endpoint = own
        .get("endpoint")
        .map(|value| list(value, &field_path(&path, "endpoint"), faults, read_endpoint));
    Some(ServiceRow {
        name,
        zones: zones.unwrap_or_default(),
        values,
        endpoint: endpoint.unwrap_or_default(),
    })
}

fn read_zones(value: &Value, path: &str, faults: &mut Faults<'_>) -> Vec<Name> {
    if value.as_array().is_some_and(Vec::is_empty) {
        faults.add(path, "no zone is named", "name the zones that serve it");
    }
    list(value, path, faults, read_name)
}

fn read_endpoint(value: &Value, path: &str, faults: &mut Faults<'_>) -> Option<EndpointRow> {
    if let Some(field) = exception_field(value) {
        let fault = format!("an endpoint sets `{field}` by itself");
        let remedy = "write an [[exception]] with scope `endpoint/NAME` and the reason";
        faults.add(&field_path(path, field), fault, remedy);
        return None;
    }
    let own = table(value, path, &EndpointRow::FIELDS, faults)?;
    let name = required(own, path, "name", faults, read_name);
    let addr = required(own, path, "addr", faults, read_addr);
    let zone = required(own, path, "zone", faults, read_name);
    let state = optional(own, path, "state", faults, read_state);
    Some(EndpointRow {
        path: path.to_owned(),
        name: name?,
        addr: addr?,
        zone: zone?,
        state: state.unwrap_or_default(),
    })
}

/// A field of an endpoint that only an exception may set.
fn exception_field(value: &Value) -> Option<&'static str> {
    let own = value.as_object()?;
    Values::FIELDS
        .into_iter()
        .find(|field| own.contains_key(*field))
}

fn read_addr(value: &Value, path: &str, faults: &mut Faults<'_>) -> Option<SocketAddr> {
    let remedy = "write the IP number and port, as in `10.1.0.3:8080`";
    let Ok(addr) = text(value, path, faults)?.parse::<SocketAddr>() else {
        faults.add(path, format!("{value} is not an address"), remedy);
        return None;
    };
    let ip = addr.ip();
    if ip.to_canonical() != ip {
        let fault = format!("{addr} is an IPv4 address written as IPv6");
        let canonical = SocketAddr::new(ip.to_canonical(), addr.port());
        faults.add(path, fault, format!("write `{canonical}`"));
        return None;
    }
    if addr.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        faults.add(
            path,
            format!("{addr} does not name a single endpoint"),
            remedy,
        );
        return None;
    }
    Some(addr)
}

fn read_state(value: &Value, path: &str, faults: &mut Faults<'_>) -> Option<State> {
    let state = State::deserialize(value).ok();
    if state.is_none() {
        let fault = format!("{value} is not a state");
        faults.add(path, fault, "write \"live\" or \"leaving\"");
    }
    state
}

fn read_values(value: &Value, path: &str, known: &[&str], faults: &mut Faults<'_>) -> Values {
    let Some(own) = table(value, path, known, faults) else {
        return Values::default();
    };
    Values {
        drain_limit: optional(own, path, "drain_limit", faults, |v, p, f| {
            duration(v, p, &DRAIN_RANGE, f)
        }),
        idle_limit: optional(own, path, "idle_limit", faults, |v, p, f| {
            duration(v, p, &IDLE_RANGE, f)
        }),
        retry_share: optional(own, path, "retry_share", faults, |v, p, f| {
            share(v, p, &SHARE_RANGE, f)
        }),
        slots: optional(own, path, "slots", faults, |v, p, f| {
            count(v, p, &SLOT_RANGE, f)
        }),
        conns: optional(own, path, "conns", faults, |v, p, f| {
            count(v, p, &CONN_RANGE, f)
        }),
        reserve: optional(own, path, "reserve", faults, |v, p, f| {
            count(v, p, &RESERVE_RANGE, f)
        }),
        weight: optional(own, path, "weight", faults, |v, p, f| {
            share(v, p, &WEIGHT_RANGE, f)
        }),
        class: optional(own, path, "class", faults, read_classes).unwrap_or_default(),
    }
}

fn read_classes(
    value: &Value,
    path: &str,
    faults: &mut Faults<'_>,
) -> Option<BTreeMap<Class, ClassValues>> {
    let mut classes = BTreeMap::new();
    for (name, value) in any_table(value, path, faults)? {
        let inner = field_path(path, name);
        if let Some(class) = read_class(name, &inner, faults) {
            classes.insert(class, read_class_values(value, &inner, faults));
        }
    }
    Some(classes)
}

fn read_class_values(value: &Value, path: &str, faults: &mut Faults<'_>) -> ClassValues {
    let Some(own) = table(value, path, &ClassValues::FIELDS, faults) else {
        return ClassValues::default();
    };
    ClassValues {
        rank: optional(own, path, "rank", faults, |v, p, f| {
            count(v, p, &RANK_RANGE, f)
        }),
        deadline: optional(own, path, "deadline", faults, |v, p, f| {
            duration(v, p, &TIME_RANGE, f)
        }),
        service_time: optional(own, path, "service_time", faults, |v, p, f| {
            duration(v, p, &TIME_RANGE, f)
        }),
    }
}

fn read_exception(value: &Value, path: &str, faults: &mut Faults<'_>) -> Option<ExceptionRow> {
    let own = table(value, path, &ExceptionRow::FIELDS, faults)?;
    let scope = required(own, path, "scope", faults, |value, path, faults| {
        read_scope(text(value, path, faults)?, path, faults)
    });
    let reason = required(own, path, "reason", faults, read_reason);
    let author = required(own, path, "author", faults, read_author);
    let date = required(own, path, "date", faults, read_date);
    let scope = scope?;
    let set = required(own, path, "set", faults, |value, path, faults| {
        Some(read_set(value, &scope, path, faults))
    });
    Some(ExceptionRow {
        path: path.to_owned(),
        set: set?,
        scope,
        reason: reason?,
        author: author?,
        date: date?,
    })
}

/// Reads what an exception sets, of the fields that its scope has.
fn read_set(value: &Value, scope: &Scope, path: &str, faults: &mut Faults<'_>) -> Values {
    if value.as_object().is_some_and(Map::is_empty) {
        faults.add(
            path,
            "it sets nothing",
            "set a field or remove the exception",
        );
    }
    let Some(class) = scope.class else {
        let known: &[&str] = match scope.endpoint {
            Some(_) => &["slots", "conns", "weight"],
            None => &Values::FIELDS[..7],
        };
        return read_values(value, path, known, faults);
    };
    let own = read_class_values(value, path, faults);
    Values {
        class: BTreeMap::from([(class, own)]),
        ..Values::default()
    }
}

fn read_reason(value: &Value, path: &str, faults: &mut Faults<'_>) -> Option<String> {
    let text = text(value, path, faults)?.trim();
    if text.split_whitespace().count() < REASON_WORDS {
        let remedy = "write why it is needed, for someone who reads it in a year";
        faults.add(path, "the reason is too short", remedy);
        return None;
    }
    Some(text.to_owned())
}

fn read_author(value: &Value, path: &str, faults: &mut Faults<'_>) -> Option<String> {
    let text = text(value, path, faults)?.trim();
    if text.is_empty() {
        faults.add(path, "the author is empty", "write who answers for it");
        return None;
    }
    Some(text.to_owned())
}

fn read_date(value: &Value, path: &str, faults: &mut Faults<'_>) -> Option<String> {
    let text = text(value, path, faults)?;
    if !is_date(text) {
        let fault = format!("{value} is not a date");
        faults.add(path, fault, "write YEAR-MONTH-DAY, as in 2026-11-03");
        return None;
    }
    Some(text.to_owned())
}

fn is_date(text: &str) -> bool {
    let midnight = format!("{text}T00:00:00Z");
    text.len() == "2026-11-03".len() && humantime::parse_rfc3339(&midnight).is_ok()
}

fn read_secrets(value: &Value, faults: &mut Faults<'_>) -> Option<Secrets> {
    let own = table(value, KEYS, &Secrets::FIELDS, faults)?;
    let current = required(own, KEYS, "current", faults, read_secret);
    let other = required(own, KEYS, "other", faults, read_secret);
    Some(Secrets {
        current: current?,
        other: other?,
    })
}

/// Reads a secret; faults do not repeat it.
fn read_secret(value: &Value, path: &str, faults: &mut Faults<'_>) -> Option<String> {
    let secret = value.as_str().filter(|text| text.len() >= SECRET_LENGTH);
    if secret.is_none() {
        let fault = format!("the secret is not a string of at least {SECRET_LENGTH} characters");
        faults.add(path, fault, "make one with `openssl rand -hex 32`");
    }
    secret.map(str::to_owned)
}

fn read_name(value: &Value, path: &str, faults: &mut Faults<'_>) -> Option<Name> {
    check_name(text(value, path, faults)?, path, faults)
}

fn check_name(name: &str, path: &str, faults: &mut Faults<'_>) -> Option<Name> {
    if !is_name(name) {
        let fault = format!("`{name}` is not a valid name");
        let remedy = format!("use 1 to {NAME_LENGTH} letters, digits, `-` and `_`");
        faults.add(path, fault, remedy);
        return None;
    }
    Some(Name::from(name))
}
