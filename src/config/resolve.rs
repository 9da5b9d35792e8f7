//! Computes the effective values from defaults and exceptions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::LazyLock;

use super::Config;
use super::model::{ClassValues, EndpointRow, ExceptionRow, Scope, ServiceRow, State, Values};
use crate::id::{Id, Name};
use crate::packet::Class;
use crate::snapshot::{Endpoint, Policy, Service};

/// Built-in values, for fields that neither the fleet nor a service sets.
static BUILTIN: LazyLock<Values> = LazyLock::new(|| {
    let service = Service::new("");
    let endpoint = Endpoint::new("", SocketAddr::from(([0; 4], 0)));
    Values {
        drain_limit: Some(service.drain_limit),
        idle_limit: Some(service.idle_limit),
        retry_share: Some(service.retry_share),
        slots: Some(endpoint.slots),
        conns: Some(endpoint.max_conns),
        reserve: Some(service.reserved_slots),
        weight: Some(endpoint.weight),
        class: Class::ALL
            .map(|class| (class, builtin_class_values(class)))
            .into(),
    }
});

/// A set of values and its origin.
#[derive(Clone, Copy)]
pub(super) struct Layer<'a> {
    pub origin: Origin<'a>,
    pub values: &'a Values,
}

/// Where a value was set.
#[derive(Clone, Copy)]
pub(super) enum Origin<'a> {
    Builtin,
    Fleet,
    Service(&'a Name),
    Exception(&'a ExceptionRow),
}

/// A configuration with its exceptions indexed by endpoint and by service.
pub(super) struct Resolver<'a> {
    config: &'a Config,
    general: Vec<&'a ExceptionRow>,
    by_service: Index<'a>,
    by_endpoint: Index<'a>,
}

type Index<'a> = HashMap<&'a Name, Vec<&'a ExceptionRow>>;

impl<'a> Resolver<'a> {
    pub fn new(config: &'a Config) -> Self {
        let mut resolver = Self {
            config,
            general: Vec::new(),
            by_service: Index::new(),
            by_endpoint: Index::new(),
        };
        for row in &config.exceptions {
            resolver.add(row);
        }
        resolver
    }

    fn add(&mut self, row: &'a ExceptionRow) {
        let list = match (&row.scope.endpoint, &row.scope.service) {
            (Some(name), _) => self.by_endpoint.entry(name).or_default(),
            (None, Some(name)) => self.by_service.entry(name).or_default(),
            (None, None) => &mut self.general,
        };
        list.push(row);
    }

    /// Returns the exceptions that may apply to this service and endpoint.
    ///
    /// Rows of equal specificity are in the same list, so they keep the order of the file.
    fn candidates(
        &self,
        service: Option<&Name>,
        endpoint: Option<&Name>,
    ) -> impl Iterator<Item = &'a ExceptionRow> {
        let by_service = service.and_then(|name| self.by_service.get(name));
        let by_endpoint = endpoint.and_then(|name| self.by_endpoint.get(name));
        let named = by_service.into_iter().chain(by_endpoint).flatten();
        self.general.iter().chain(named).copied()
    }

    /// Returns the exceptions that may change values of a service or its endpoints.
    pub fn exceptions_of(&self, row: &'a ServiceRow) -> impl Iterator<Item = &'a ExceptionRow> {
        let endpoints = row.endpoint.iter();
        let by_endpoint = endpoints.filter_map(|endpoint| self.by_endpoint.get(&endpoint.name));
        self.candidates(Some(&row.name), None)
            .chain(by_endpoint.flatten().copied())
    }

    /// Returns the layers that apply at a scope, the least specific first.
    pub fn layers(&self, service: Option<&'a ServiceRow>, at: &Scope) -> Vec<Layer<'a>> {
        let mut layers = vec![
            Layer {
                origin: Origin::Builtin,
                values: &BUILTIN,
            },
            Layer {
                origin: Origin::Fleet,
                values: &self.config.fleet,
            },
        ];
        layers.extend(service.map(|row| Layer {
            origin: Origin::Service(&row.name),
            values: &row.values,
        }));
        let mut exceptions: Vec<&ExceptionRow> = self
            .candidates(at.service.as_ref(), at.endpoint.as_ref())
            .filter(|row| row.scope.covers(at))
            .collect();
        exceptions.sort_by_key(|row| row.scope.specificity());
        layers.extend(exceptions.into_iter().map(|row| Layer {
            origin: Origin::Exception(row),
            values: &row.set,
        }));
        layers
    }

    /// Returns a service with the values that apply on `host` of `zone`.
    pub fn service(&self, row: &'a ServiceRow, host: &Name, zone: &Name) -> Service {
        let at = Scope {
            zone: Some(zone.clone()),
            service: Some(row.name.clone()),
            host: Some(host.clone()),
            ..Scope::default()
        };
        let layers = self.layers(Some(row), &at);
        let endpoints = row
            .endpoint
            .iter()
            .map(|endpoint| self.endpoint(row, endpoint, host, zone))
            .collect();
        Service {
            warmup_limit: None,
            id: Id::of(&row.name),
            name: row.name.clone(),
            endpoints,
            retired: false,
            classes: Class::ALL.map(|class| self.policy(row, &at, class)),
            drain_limit: most_specific(&layers, |values| values.drain_limit),
            idle_limit: most_specific(&layers, |values| values.idle_limit),
            retry_share: most_specific(&layers, |values| values.retry_share),
            reserved_slots: most_specific(&layers, |values| values.reserve),
        }
    }

    fn endpoint(
        &self,
        row: &'a ServiceRow,
        endpoint: &EndpointRow,
        host: &Name,
        zone: &Name,
    ) -> Endpoint {
        let at = Scope {
            zone: Some(endpoint.zone.clone()),
            service: Some(row.name.clone()),
            host: Some(host.clone()),
            endpoint: Some(endpoint.name.clone()),
            class: None,
        };
        let layers = self.layers(Some(row), &at);
        Endpoint {
            id: Id::of(&endpoint.name),
            name: endpoint.name.clone(),
            addr: endpoint.addr,
            zone: endpoint.zone.clone(),
            slots: most_specific(&layers, |values| values.slots),
            max_conns: most_specific(&layers, |values| values.conns),
            weight: most_specific(&layers, |values| values.weight),
            draining: endpoint.state == State::Leaving,
            healthy: !self.config.is_unhealthy(&row.name, &endpoint.name),
            local: endpoint.zone == *zone,
            ..Endpoint::new(&endpoint.name, endpoint.addr)
        }
    }

    fn policy(&self, row: &'a ServiceRow, at: &Scope, class: Class) -> Policy {
        let at = Scope {
            class: Some(class),
            ..at.clone()
        };
        let layers = self.layers(Some(row), &at);
        Policy {
            rank: most_specific(&layers, |values| {
                values.class_value(class, |class_values| class_values.rank)
            }),
            deadline: most_specific(&layers, |values| {
                values.class_value(class, |class_values| class_values.deadline)
            }),
            service_time: most_specific(&layers, |values| {
                values.class_value(class, |class_values| class_values.service_time)
            }),
        }
    }
}

/// Returns the services that apply on `host` of `zone`.
pub(super) fn effective_services(config: &Config, host: &str, zone: &str) -> Vec<Service> {
    let resolver = Resolver::new(config);
    let (host, zone) = (Name::from(host), Name::from(zone));
    config
        .services
        .iter()
        .filter(|row| row.zones.contains(&zone))
        .map(|row| resolver.service(row, &host, &zone))
        .collect()
}

fn builtin_class_values(class: Class) -> ClassValues {
    let policy = Policy::of(class);
    ClassValues {
        rank: Some(policy.rank),
        deadline: Some(policy.deadline),
        service_time: Some(policy.service_time),
    }
}

/// Returns the value of the most specific layer; the built-in layer sets every field.
fn most_specific<T: Default>(layers: &[Layer<'_>], get: impl Fn(&Values) -> Option<T>) -> T {
    layers
        .iter()
        .rev()
        .find_map(|layer| get(layer.values))
        .unwrap_or_default()
}
