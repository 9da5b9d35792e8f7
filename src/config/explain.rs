//! Reports where each effective value was set.

use std::collections::HashMap;

use serde::Serialize;
use serde_json::Value;

use super::check::KnownNames;
use super::fault::Faults;
use super::model::{ClassValues, EndpointRow, Scope, ServiceRow, State, Values, class_name};
use super::resolve::{Layer, Origin, Resolver};
use super::{Config, check, read, to_json};
use crate::error::Result;
use crate::id::Name;
use crate::packet::Class;

/// Stands for the file name in faults of a scope.
const SOURCE_NAME: &str = "scope";

/// Fields that are set per endpoint.
pub(super) const ENDPOINT_FIELDS: [&str; 3] = ["slots", "conns", "weight"];

/// An effective value.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ExplainedValue {
    /// Name of the field.
    pub field: String,
    /// The value, in the form that operators write.
    pub value: String,
    /// Where the value was set.
    pub from: String,
}

/// Lists the effective values at the scope in `text`.
pub(super) fn explain(config: &Config, text: &str) -> Result<Vec<ExplainedValue>> {
    let mut faults = Faults::new(SOURCE_NAME, HashMap::new());
    let scope = read::read_scope(text, text, &mut faults);
    if let Some(scope) = &scope {
        KnownNames::new(config).check_scope(scope, text, &mut faults);
    }
    faults.into_result()?;
    Ok(explain_scope(config, &scope.unwrap_or_default()))
}

fn explain_scope(config: &Config, scope: &Scope) -> Vec<ExplainedValue> {
    let resolver = Resolver::new(config);
    let endpoint = check::endpoints(config)
        .find(|(_, endpoint)| Some(&endpoint.name) == scope.endpoint.as_ref());
    if let Some((row, endpoint)) = endpoint {
        let mut explained = explain_endpoint(&resolver, scope, row, endpoint);
        explained.extend(explain_evacuation(config, &endpoint.zone));
        return explained;
    }
    let row = config
        .services
        .iter()
        .find(|row| Some(&row.name) == scope.service.as_ref());
    if let Some(class) = scope.class {
        return explain_class(&resolver, scope, row, class);
    }
    let mut explained = explain_fields(&resolver.layers(row, scope), &Values::FIELDS[..7]);
    for class in Class::ALL {
        explained.extend(explain_class(&resolver, scope, row, class));
    }
    let zone = scope.zone.as_ref();
    explained.extend(zone.and_then(|zone| explain_evacuation(config, zone)));
    explained
}

/// Returns the order that evacuates a zone, if there is one.
fn explain_evacuation(config: &Config, zone: &Name) -> Option<ExplainedValue> {
    let row = config.evacuations.iter().find(|row| row.zone == *zone)?;
    Some(ExplainedValue {
        field: "evacuated".to_owned(),
        value: "true".to_owned(),
        from: format!(
            "evacuate {} by {}, {}: {}",
            row.zone, row.author, row.date, row.reason
        ),
    })
}

fn explain_endpoint<'a>(
    resolver: &Resolver<'a>,
    scope: &Scope,
    row: &'a ServiceRow,
    endpoint: &EndpointRow,
) -> Vec<ExplainedValue> {
    let at = Scope {
        zone: Some(endpoint.zone.clone()),
        service: Some(row.name.clone()),
        ..scope.clone()
    };
    let state = match endpoint.state {
        State::Live => "live",
        State::Leaving => "leaving",
    };
    let fixed_fields = [
        ("service", row.name.to_string()),
        ("addr", endpoint.addr.to_string()),
        ("zone", endpoint.zone.to_string()),
        ("state", state.to_owned()),
    ];
    let mut explained: Vec<ExplainedValue> = fixed_fields
        .into_iter()
        .map(|(field, value)| ExplainedValue {
            field: field.to_owned(),
            value,
            from: format!("service/{}", row.name),
        })
        .collect();
    explained.extend(explain_fields(
        &resolver.layers(Some(row), &at),
        &ENDPOINT_FIELDS,
    ));
    explained
}

fn explain_class<'a>(
    resolver: &Resolver<'a>,
    scope: &Scope,
    row: Option<&'a ServiceRow>,
    class: Class,
) -> Vec<ExplainedValue> {
    let at = Scope {
        class: Some(class),
        ..scope.clone()
    };
    let name = class_name(class);
    let layers = resolver.layers(row, &at);
    ClassValues::FIELDS
        .into_iter()
        .filter_map(|field| {
            let prefix = format!("class.{name}.{field}");
            explain_field(&layers, &prefix, |values| {
                values["class"][name][field].clone()
            })
        })
        .collect()
}

fn explain_fields(layers: &[Layer<'_>], fields: &[&str]) -> Vec<ExplainedValue> {
    fields
        .iter()
        .filter_map(|field| explain_field(layers, field, |values| values[*field].clone()))
        .collect()
}

fn explain_field(
    layers: &[Layer<'_>],
    field: &str,
    get: impl Fn(&Value) -> Value,
) -> Option<ExplainedValue> {
    layers.iter().rev().find_map(|layer| {
        let value = get(&to_json(layer.values));
        (!value.is_null()).then(|| ExplainedValue {
            field: field.to_owned(),
            value: value_text(&value),
            from: origin_text(layer.origin),
        })
    })
}

fn origin_text(origin: Origin<'_>) -> String {
    match origin {
        Origin::Builtin => "built in".to_owned(),
        Origin::Fleet => "fleet".to_owned(),
        Origin::Service(name) => format!("service/{name}"),
        Origin::Exception(row) => format!(
            "exception {} by {}, {}: {}",
            row.scope, row.author, row.date, row.reason
        ),
    }
}

/// Formats a value as text, with strings unquoted.
pub(super) fn value_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
