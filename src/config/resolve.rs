//! Works out the values in effect from defaults and exceptions.

use std::net::SocketAddr;
use std::sync::LazyLock;

use super::Config;
use super::model::{ClassValues, EndpointRow, ExceptionRow, Scope, ServiceRow, State, Values};
use crate::id::{Id, Name};
use crate::packet::Class;
use crate::snapshot::{Endpoint, Policy, Service};

/// Values in effect where neither the fleet nor a service sets them.
static BUILTIN: LazyLock<Values> = LazyLock::new(|| {
    let service = Service::new("");
    let endpoint = Endpoint::new("", SocketAddr::from(([0; 4], 0)));
    Values {
        drain_limit: Some(service.drain),
        idle_limit: Some(service.idle),
        retry_share: Some(service.retries),
        slots: Some(endpoint.slots),
        conns: Some(endpoint.conns),
        reserve: Some(service.reserve),
        weight: Some(endpoint.weight),
        class: Class::ALL.map(|class| (class, builtin_class(class))).into(),
    }
});

/// A set of values, and where it was written.
#[derive(Clone, Copy)]
pub(super) struct Layer<'a> {
    pub origin: Origin<'a>,
    pub values: &'a Values,
}

/// Where a value was written.
#[derive(Clone, Copy)]
pub(super) enum Origin<'a> {
    Builtin,
    Fleet,
    Service(&'a Name),
    Exception(&'a ExceptionRow),
}

/// Services in effect on `host` of `zone`.
pub(super) fn services(config: &Config, host: &str, zone: &str) -> Vec<Service> {
    config
        .services
        .iter()
        .filter(|row| row.zones.iter().any(|name| **name == *zone))
        .map(|row| service(config, row, host, zone))
        .collect()
}

/// Layers that apply at a scope, the widest first.
pub(super) fn layers<'a>(
    config: &'a Config,
    service: Option<&'a ServiceRow>,
    at: &Scope,
) -> Vec<Layer<'a>> {
    let mut layers = vec![
        Layer {
            origin: Origin::Builtin,
            values: &BUILTIN,
        },
        Layer {
            origin: Origin::Fleet,
            values: &config.fleet,
        },
    ];
    layers.extend(service.map(|row| Layer {
        origin: Origin::Service(&row.name),
        values: &row.values,
    }));
    let mut exceptions: Vec<&ExceptionRow> = config
        .exceptions
        .iter()
        .filter(|row| row.scope.covers(at))
        .collect();
    exceptions.sort_by_key(|row| row.scope.narrowness());
    layers.extend(exceptions.into_iter().map(|row| Layer {
        origin: Origin::Exception(row),
        values: &row.set,
    }));
    layers
}

/// Policy in effect for a class at a scope.
pub(super) fn policy(
    config: &Config,
    service: Option<&ServiceRow>,
    at: &Scope,
    class: Class,
) -> Policy {
    let at = Scope {
        class: Some(class),
        ..at.clone()
    };
    let layers = layers(config, service, &at);
    Policy {
        rank: pick(&layers, |values| values.of_class(class, |own| own.rank)),
        deadline: pick(&layers, |values| values.of_class(class, |own| own.deadline)),
        service_time: pick(&layers, |values| {
            values.of_class(class, |own| own.service_time)
        }),
    }
}

fn builtin_class(class: Class) -> ClassValues {
    let policy = Policy::of(class);
    ClassValues {
        rank: Some(policy.rank),
        deadline: Some(policy.deadline),
        service_time: Some(policy.service_time),
    }
}

/// Scope of a service's own values on a host.
fn service_scope(row: &ServiceRow, host: &str, zone: &str) -> Scope {
    Scope {
        zone: Some(Name::from(zone)),
        service: Some(row.name.clone()),
        host: Some(Name::from(host)),
        ..Scope::default()
    }
}

fn service(config: &Config, row: &ServiceRow, host: &str, zone: &str) -> Service {
    let at = service_scope(row, host, zone);
    let layers = layers(config, Some(row), &at);
    let endpoints = row
        .endpoint
        .iter()
        .map(|own| endpoint(config, row, own, host, zone))
        .collect();
    Service {
        id: Id::of(&row.name),
        name: row.name.clone(),
        endpoints,
        classes: Class::ALL.map(|class| policy(config, Some(row), &at, class)),
        drain: pick(&layers, |values| values.drain_limit),
        idle: pick(&layers, |values| values.idle_limit),
        retries: pick(&layers, |values| values.retry_share),
        reserve: pick(&layers, |values| values.reserve),
    }
}

fn endpoint(
    config: &Config,
    row: &ServiceRow,
    own: &EndpointRow,
    host: &str,
    zone: &str,
) -> Endpoint {
    let at = Scope {
        zone: Some(own.zone.clone()),
        service: Some(row.name.clone()),
        host: Some(Name::from(host)),
        endpoint: Some(own.name.clone()),
        class: None,
    };
    let layers = layers(config, Some(row), &at);
    Endpoint {
        id: Id::of(&own.name),
        name: own.name.clone(),
        addr: own.addr,
        zone: own.zone.clone(),
        slots: pick(&layers, |values| values.slots),
        conns: pick(&layers, |values| values.conns),
        weight: pick(&layers, |values| values.weight),
        draining: own.state == State::Leaving,
        healthy: !config.is_unhealthy(&row.name, &own.name),
        local: *own.zone == *zone,
    }
}

/// The narrowest value; the built-in layer sets every field.
fn pick<T: Default>(layers: &[Layer<'_>], get: impl Fn(&Values) -> Option<T>) -> T {
    layers
        .iter()
        .rev()
        .find_map(|layer| get(layer.values))
        .unwrap_or_default()
}
