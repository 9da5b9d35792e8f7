//! Says where the values in effect come from.

use std::collections::HashMap;

use serde::Serialize;
use serde_json::Value;

use super::check::Known;
use super::fault::Faults;
use super::model::{ClassValues, EndpointRow, Scope, ServiceRow, State, Values, class_name};
use super::resolve::{Layer, Origin, Resolver};
use super::{Config, check, json, read};
use crate::error::Result;
use crate::packet::Class;

/// Place of faults in a scope.
const PLACE: &str = "scope";

/// Fields that an endpoint has of its own.
pub(super) const ENDPOINT_FIELDS: [&str; 3] = ["slots", "conns", "weight"];

/// A value in effect.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Explained {
    /// Field that it is the value of.
    pub field: String,
    /// The value, as operators write it.
    pub value: String,
    /// Where it was written.
    pub from: String,
}

/// Values in effect at a scope, which is read from `text`.
pub(super) fn explain(config: &Config, text: &str) -> Result<Vec<Explained>> {
    let mut faults = Faults::new(PLACE, HashMap::new());
    let scope = read::read_scope(text, text, &mut faults);
    if let Some(scope) = &scope {
        Known::new(config).check_scope(scope, text, &mut faults);
    }
    faults.finish()?;
    Ok(explain_scope(config, &scope.unwrap_or_default()))
}

fn explain_scope(config: &Config, scope: &Scope) -> Vec<Explained> {
    let resolver = Resolver::new(config);
    let endpoint = check::endpoints(config)
        .find(|(_, endpoint)| Some(&endpoint.name) == scope.endpoint.as_ref());
    if let Some((row, endpoint)) = endpoint {
        return explain_endpoint(&resolver, scope, row, endpoint);
    }
    let row = config
        .services
        .iter()
        .find(|row| Some(&row.name) == scope.service.as_ref());
    if let Some(class) = scope.class {
        return explain_class(&resolver, scope, row, class);
    }
    let mut list = explain_fields(&resolver.layers(row, scope), &Values::FIELDS[..7]);
    for class in Class::ALL {
        list.extend(explain_class(&resolver, scope, row, class));
    }
    list
}

fn explain_endpoint<'a>(
    resolver: &Resolver<'a>,
    scope: &Scope,
    row: &'a ServiceRow,
    endpoint: &EndpointRow,
) -> Vec<Explained> {
    let at = Scope {
        zone: Some(endpoint.zone.clone()),
        service: Some(row.name.clone()),
        ..scope.clone()
    };
    let state = match endpoint.state {
        State::Live => "live",
        State::Leaving => "leaving",
    };
    let own = [
        ("service", row.name.to_string()),
        ("addr", endpoint.addr.to_string()),
        ("zone", endpoint.zone.to_string()),
        ("state", state.to_owned()),
    ];
    let mut list: Vec<Explained> = own
        .into_iter()
        .map(|(field, value)| Explained {
            field: field.to_owned(),
            value,
            from: format!("service/{}", row.name),
        })
        .collect();
    list.extend(explain_fields(
        &resolver.layers(Some(row), &at),
        &ENDPOINT_FIELDS,
    ));
    list
}

fn explain_class<'a>(
    resolver: &Resolver<'a>,
    scope: &Scope,
    row: Option<&'a ServiceRow>,
    class: Class,
) -> Vec<Explained> {
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

fn explain_fields(layers: &[Layer<'_>], fields: &[&str]) -> Vec<Explained> {
    fields
        .iter()
        .filter_map(|field| explain_field(layers, field, |values| values[*field].clone()))
        .collect()
}

fn explain_field(
    layers: &[Layer<'_>],
    field: &str,
    get: impl Fn(&Value) -> Value,
) -> Option<Explained> {
    layers.iter().rev().find_map(|layer| {
        let value = get(&json(layer.values));
        (!value.is_null()).then(|| Explained {
            field: field.to_owned(),
            value: plain(&value),
            from: origin(layer.origin),
        })
    })
}

fn origin(origin: Origin<'_>) -> String {
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

/// The value as text, strings without quotes.
pub(super) fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
