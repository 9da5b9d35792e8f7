//! Reads JSON values into the typed tables of a configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::Deserialize;
use serde_json::{Map, Value};

use super::fault::{Faults, suggest};
use super::field::{
    read_any_table, read_duration, read_integer, read_list, read_number, read_optional,
    read_required, read_table, read_text,
};
use super::model::{
    ClassValues, EndpointRow, EvacuationRow, ExceptionRow, Scope, Secrets, ServiceRow, State,
    Values, class_by_name, class_name,
};
use super::source::field_path;
use super::{Config, EVACUATE, EXCEPTION, FLEET, KEYS, MAX_NAME_LENGTH, SERVICE, is_name};
use crate::id::Name;
use crate::packet::Class;
use crate::snapshot::MAX_SLOTS;

const SECTIONS: [&str; 5] = [FLEET, SERVICE, EXCEPTION, EVACUATE, KEYS];

const MIN_SECRET_LENGTH: usize = 16;
const MIN_REASON_WORDS: usize = 3;

const DRAIN_RANGE: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_hours(24);
const IDLE_RANGE: RangeInclusive<Duration> = Duration::from_secs(5)..=Duration::from_hours(24);
const TIME_RANGE: RangeInclusive<Duration> = Duration::from_millis(1)..=Duration::from_hours(1);
const SHARE_RANGE: RangeInclusive<f64> = 0.0..=1.0;
const WEIGHT_RANGE: RangeInclusive<f64> = 0.01..=100.0;
const SLOT_RANGE: RangeInclusive<u32> = 1..=MAX_SLOTS;
const CONN_RANGE: RangeInclusive<u32> = 1..=10_000_000;
const RESERVE_RANGE: RangeInclusive<u32> = 0..=MAX_SLOTS;
const RANK_RANGE: RangeInclusive<u32> = 0..=1_000;

/// Reads a whole configuration; invalid values are reported and left out.
pub(super) fn read_config(root: &Value, faults: &mut Faults<'_>) -> Config {
    let mut config = Config::default();
    let Some(root) = read_table(root, "", &SECTIONS, faults) else {
        return config;
    };
    if let Some(fleet) = root.get(FLEET) {
        config.fleet = read_values(fleet, FLEET, &Values::FIELDS, faults);
    }
    if let Some(services) = root.get(SERVICE) {
        config.services = read_services(services, faults);
    }
    if let Some(exceptions) = root.get(EXCEPTION) {
        config.exceptions = read_list(exceptions, EXCEPTION, faults, read_exception);
    }
    if let Some(evacuations) = root.get(EVACUATE) {
        config.evacuations = read_evacuations(evacuations, faults);
    }
    if let Some(keys) = root.get(KEYS) {
        config.secrets = read_secrets(keys, faults);
    }
    config
}

/// Returns the unhealthy endpoints in a health report; none if it is malformed.
pub(super) fn read_health(report: &Value) -> Vec<Name> {
    let names = report.get("unhealthy").and_then(Value::as_array);
    names
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
        .map(Name::from)
        .collect()
}

/// Reads an evacuation order of the platform. The key alone is the order, so what cannot be
/// read of its value stays empty.
pub(super) fn read_order(zone: &str, value: &Value) -> EvacuationRow {
    let text = |name| {
        let text = value.get(name).and_then(Value::as_str);
        text.unwrap_or_default().to_owned()
    };
    EvacuationRow {
        zone: zone.into(),
        reason: text("reason"),
        author: text("author"),
        date: text("date"),
    }
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
            "write what it applies to, as in `service/adserve` or `endpoint/a-3`",
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
    let duplicate = match kind {
        "zone" => scope.zone.replace(name).is_some(),
        "service" => scope.service.replace(name).is_some(),
        "host" => scope.host.replace(name).is_some(),
        "endpoint" => scope.endpoint.replace(name).is_some(),
        _ => scope
            .class
            .replace(read_class(&name, path, faults)?)
            .is_some(),
    };
    if duplicate {
        let fault = format!("the scope has more than one `{kind}`");
        faults.add(path, fault, "write one exception for each");
        return None;
    }
    Some(())
}

fn read_class(name: &str, path: &str, faults: &mut Faults<'_>) -> Option<Class> {
    let class = class_by_name(name);
    if class.is_none() {
        let fault = format!("unknown class `{name}`");
        faults.add(path, fault, suggest(name, Class::ALL.map(class_name)));
    }
    class
}

fn read_services(value: &Value, faults: &mut Faults<'_>) -> Vec<ServiceRow> {
    let Some(services) = read_any_table(value, SERVICE, faults) else {
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
    let fields = value.as_object()?;
    let zones = read_required(fields, &path, "zones", faults, |value, path, faults| {
        Some(read_zones(value, path, faults))
    });
    let endpoint = fields
        .get("endpoint")
        .map(|value| read_list(value, &field_path(&path, "endpoint"), faults, read_endpoint));
    Some(ServiceRow {
        name,
        zones: zones.unwrap_or_default(),
        values,
        endpoint: endpoint.unwrap_or_default(),
    })
}

fn read_zones(value: &Value, path: &str, faults: &mut Faults<'_>) -> Vec<Name> {
    if value.as_array().is_some_and(Vec::is_empty) {
        faults.add(
            path,
            "the list of zones is empty",
            "list the zones that serve it",
        );
    }
    read_list(value, path, faults, read_name)
}

fn read_endpoint(value: &Value, path: &str, faults: &mut Faults<'_>) -> Option<EndpointRow> {
    if let Some(field) = exception_field(value) {
        let fault = format!("an endpoint table cannot set `{field}`");
        let remedy = "write an [[exception]] with scope `endpoint/NAME` and the reason";
        faults.add(&field_path(path, field), fault, remedy);
        return None;
    }
    let fields = read_table(value, path, &EndpointRow::FIELDS, faults)?;
    let name = read_required(fields, path, "name", faults, read_name);
    let addr = read_required(fields, path, "addr", faults, read_addr);
    let zone = read_required(fields, path, "zone", faults, read_name);
    let state = read_optional(fields, path, "state", faults, read_state);
    Some(EndpointRow {
        path: path.to_owned(),
        name: name?,
        addr: addr?,
        zone: zone?,
        state: state.unwrap_or_default(),
    })
}

/// Finds a field in an endpoint table that only an exception may set.
fn exception_field(value: &Value) -> Option<&'static str> {
    let fields = value.as_object()?;
    Values::FIELDS
        .into_iter()
        .find(|field| fields.contains_key(*field))
}

fn read_addr(value: &Value, path: &str, faults: &mut Faults<'_>) -> Option<SocketAddr> {
    let remedy = "write the IP number and port, as in `10.1.0.3:8080`";
    let Ok(addr) = read_text(value, path, faults)?.parse::<SocketAddr>() else {
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
    let Some(fields) = read_table(value, path, known, faults) else {
        return Values::default();
    };
    Values {
        drain_limit: read_optional(fields, path, "drain_limit", faults, |v, p, f| {
            read_duration(v, p, &DRAIN_RANGE, f)
        }),
        idle_limit: read_optional(fields, path, "idle_limit", faults, |v, p, f| {
            read_duration(v, p, &IDLE_RANGE, f)
        }),
        retry_share: read_optional(fields, path, "retry_share", faults, |v, p, f| {
            read_number(v, p, &SHARE_RANGE, f)
        }),
        slots: read_optional(fields, path, "slots", faults, |v, p, f| {
            read_integer(v, p, &SLOT_RANGE, f)
        }),
        conns: read_optional(fields, path, "conns", faults, |v, p, f| {
            read_integer(v, p, &CONN_RANGE, f)
        }),
        reserve: read_optional(fields, path, "reserve", faults, |v, p, f| {
            read_integer(v, p, &RESERVE_RANGE, f)
        }),
        weight: read_optional(fields, path, "weight", faults, |v, p, f| {
            read_number(v, p, &WEIGHT_RANGE, f)
        }),
        class: read_optional(fields, path, "class", faults, read_classes).unwrap_or_default(),
    }
}

fn read_classes(
    value: &Value,
    path: &str,
    faults: &mut Faults<'_>,
) -> Option<BTreeMap<Class, ClassValues>> {
    let mut classes = BTreeMap::new();
    for (name, value) in read_any_table(value, path, faults)? {
        let inner = field_path(path, name);
        if let Some(class) = read_class(name, &inner, faults) {
            classes.insert(class, read_class_values(value, &inner, faults));
        }
    }
    Some(classes)
}

fn read_class_values(value: &Value, path: &str, faults: &mut Faults<'_>) -> ClassValues {
    let Some(fields) = read_table(value, path, &ClassValues::FIELDS, faults) else {
        return ClassValues::default();
    };
    ClassValues {
        rank: read_optional(fields, path, "rank", faults, |v, p, f| {
            read_integer(v, p, &RANK_RANGE, f)
        }),
        deadline: read_optional(fields, path, "deadline", faults, |v, p, f| {
            read_duration(v, p, &TIME_RANGE, f)
        }),
        service_time: read_optional(fields, path, "service_time", faults, |v, p, f| {
            read_duration(v, p, &TIME_RANGE, f)
        }),
    }
}

fn read_exception(value: &Value, path: &str, faults: &mut Faults<'_>) -> Option<ExceptionRow> {
    let fields = read_table(value, path, &ExceptionRow::FIELDS, faults)?;
    let scope = read_required(fields, path, "scope", faults, |value, path, faults| {
        read_scope(read_text(value, path, faults)?, path, faults)
    });
    let reason = read_required(fields, path, "reason", faults, read_reason);
    let author = read_required(fields, path, "author", faults, read_author);
    let date = read_required(fields, path, "date", faults, read_date);
    let scope = scope?;
    let set = read_required(fields, path, "set", faults, |value, path, faults| {
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

fn read_evacuations(value: &Value, faults: &mut Faults<'_>) -> Vec<EvacuationRow> {
    let Some(zones) = read_any_table(value, EVACUATE, faults) else {
        return Vec::new();
    };
    zones
        .iter()
        .filter_map(|(zone, value)| read_evacuation(zone, value, faults))
        .collect()
}

fn read_evacuation(zone: &str, value: &Value, faults: &mut Faults<'_>) -> Option<EvacuationRow> {
    let path = field_path(EVACUATE, zone);
    let zone = check_name(zone, &path, faults)?;
    let fields = read_table(value, &path, &EvacuationRow::FIELDS, faults)?;
    let reason = read_required(fields, &path, "reason", faults, read_reason);
    let author = read_required(fields, &path, "author", faults, read_author);
    let date = read_required(fields, &path, "date", faults, read_date);
    Some(EvacuationRow {
        zone,
        reason: reason?,
        author: author?,
        date: date?,
    })
}

/// Reads the values that an exception sets, limited to the fields of its scope.
fn read_set(value: &Value, scope: &Scope, path: &str, faults: &mut Faults<'_>) -> Values {
    if value.as_object().is_some_and(Map::is_empty) {
        faults.add(
            path,
            "the exception sets nothing",
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
    let class_values = read_class_values(value, path, faults);
    Values {
        class: BTreeMap::from([(class, class_values)]),
        ..Values::default()
    }
}

fn read_reason(value: &Value, path: &str, faults: &mut Faults<'_>) -> Option<String> {
    let text = read_text(value, path, faults)?.trim();
    if text.split_whitespace().count() < MIN_REASON_WORDS {
        let why = if path.starts_with(EVACUATE) {
            "the zone is evacuated"
        } else {
            "the exception is needed"
        };
        let remedy = format!("explain in a few words why {why}");
        faults.add(path, "the reason is too short", remedy);
        return None;
    }
    Some(text.to_owned())
}

fn read_author(value: &Value, path: &str, faults: &mut Faults<'_>) -> Option<String> {
    let text = read_text(value, path, faults)?.trim();
    if text.is_empty() {
        faults.add(
            path,
            "the author is empty",
            "write who is responsible for it",
        );
        return None;
    }
    Some(text.to_owned())
}

fn read_date(value: &Value, path: &str, faults: &mut Faults<'_>) -> Option<String> {
    let text = read_text(value, path, faults)?;
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
    let fields = read_table(value, KEYS, &Secrets::FIELDS, faults)?;
    let current = read_required(fields, KEYS, "current", faults, read_secret);
    let other = read_required(fields, KEYS, "other", faults, read_secret);
    Some(Secrets {
        current: current?,
        other: other?,
    })
}

/// Reads a secret; faults never contain it.
fn read_secret(value: &Value, path: &str, faults: &mut Faults<'_>) -> Option<String> {
    let secret = value
        .as_str()
        .filter(|text| text.len() >= MIN_SECRET_LENGTH);
    if secret.is_none() {
        let fault =
            format!("the secret is not a string of at least {MIN_SECRET_LENGTH} characters");
        faults.add(path, fault, "make one with `openssl rand -hex 32`");
    }
    secret.map(str::to_owned)
}

fn read_name(value: &Value, path: &str, faults: &mut Faults<'_>) -> Option<Name> {
    check_name(read_text(value, path, faults)?, path, faults)
}

fn check_name(name: &str, path: &str, faults: &mut Faults<'_>) -> Option<Name> {
    if !is_name(name) {
        let fault = format!("`{name}` is not a valid name");
        let remedy = format!("use 1 to {MAX_NAME_LENGTH} letters, digits, `-` and `_`");
        faults.add(path, fault, remedy);
        return None;
    }
    Some(Name::from(name))
}
