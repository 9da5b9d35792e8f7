//! Checks that span several fields of a configuration.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use super::fault::{Faults, suggest};
use super::model::{EndpointRow, Scope, ServiceRow, class_name};
use super::resolve::Resolver;
use super::source::field_path;
use super::{Config, KEYS, SERVICE};
use crate::control::lease::MAX_ONCE_DEADLINE;
use crate::id::{Id, Name};
use crate::packet::Class;
use crate::snapshot::{Policy, Service};

/// Reports faults that span several fields.
pub(super) fn check_config(config: &Config, faults: &mut Faults<'_>) {
    if config.services.is_empty() && faults.is_empty() {
        faults.add(SERVICE, "no service is defined", "add [service.NAME]");
    }
    check_ids(config, faults);
    check_addresses(config, faults);
    check_zones(config, faults);
    if faults.is_clean(SERVICE) {
        check_scopes(config, faults);
    }
    check_secrets(config, faults);
    if faults.is_empty() {
        check_effective_values(config, faults);
    }
}

/// Returns the path of a service.
pub(super) fn service_path(row: &ServiceRow) -> String {
    field_path(SERVICE, &row.name)
}

/// Iterates over every endpoint with its service.
pub(super) fn endpoints(config: &Config) -> impl Iterator<Item = (&ServiceRow, &EndpointRow)> {
    config
        .services
        .iter()
        .flat_map(|row| row.endpoint.iter().map(move |endpoint| (row, endpoint)))
}

fn check_ids(config: &Config, faults: &mut Faults<'_>) {
    let mut services = HashMap::new();
    for row in &config.services {
        check_id(&row.name, &service_path(row), &mut services, faults);
    }
    let mut names = HashMap::new();
    for (_, endpoint) in endpoints(config) {
        let path = field_path(&endpoint.path, "name");
        check_id(&endpoint.name, &path, &mut names, faults);
    }
}

fn check_id<'a>(
    name: &'a Name,
    path: &str,
    seen: &mut HashMap<Id, &'a Name>,
    faults: &mut Faults<'_>,
) {
    let Some(first) = seen.insert(Id::of(name), name) else {
        return;
    };
    let fault = if first == name {
        format!("the name `{name}` is used twice")
    } else {
        format!("`{name}` and `{first}` have the same id")
    };
    faults.add(path, fault, "give one of them another name");
}

fn check_addresses(config: &Config, faults: &mut Faults<'_>) {
    let mut seen: HashMap<SocketAddr, (&ServiceRow, &EndpointRow)> = HashMap::new();
    for (row, endpoint) in endpoints(config) {
        let Some((first, other)) = seen.insert(endpoint.addr, (row, endpoint)) else {
            continue;
        };
        let fault = format!(
            "address {} already belongs to endpoint `{}` of service `{}`",
            endpoint.addr, other.name, first.name
        );
        let remedy = "give each endpoint its own address";
        faults.add(&field_path(&endpoint.path, "addr"), fault, remedy);
    }
}

fn check_zones(config: &Config, faults: &mut Faults<'_>) {
    for (row, endpoint) in endpoints(config) {
        if !row.zones.is_empty() && !row.zones.contains(&endpoint.zone) {
            let fault = format!("`{}` is not a zone of the service", endpoint.zone);
            let remedy = suggest(&endpoint.zone, row.zones.iter().map(|zone| &**zone));
            faults.add(&field_path(&endpoint.path, "zone"), fault, remedy);
        }
    }
}

fn check_scopes(config: &Config, faults: &mut Faults<'_>) {
    let known = KnownNames::new(config);
    for row in &config.exceptions {
        known.check_scope(&row.scope, &field_path(&row.path, "scope"), faults);
    }
}

/// Names of the configuration that a scope may contain.
pub(super) struct KnownNames<'a> {
    zones: BTreeSet<&'a str>,
    services: BTreeSet<&'a str>,
    endpoints: BTreeMap<&'a str, (&'a ServiceRow, &'a EndpointRow)>,
}

impl<'a> KnownNames<'a> {
    pub fn new(config: &'a Config) -> Self {
        Self {
            zones: config.zones().map(|zone| &**zone).collect(),
            services: config.services.iter().map(|row| &*row.name).collect(),
            endpoints: endpoints(config)
                .map(|(row, endpoint)| (&*endpoint.name, (row, endpoint)))
                .collect(),
        }
    }

    /// Reports unknown names in a scope.
    pub fn check_scope(&self, scope: &Scope, path: &str, faults: &mut Faults<'_>) {
        check_known("zone", scope.zone.as_ref(), &self.zones, path, faults);
        check_known(
            "service",
            scope.service.as_ref(),
            &self.services,
            path,
            faults,
        );
        if let Some(name) = &scope.endpoint {
            self.check_endpoint(name, scope, path, faults);
        }
        if scope.endpoint.is_some() && scope.class.is_some() {
            let remedy = "name the service instead of the endpoint";
            faults.add(path, "an endpoint has no values by class", remedy);
        }
    }

    fn check_endpoint(&self, name: &Name, scope: &Scope, path: &str, faults: &mut Faults<'_>) {
        let found = self.endpoints.get(&**name);
        if found.is_some_and(|(row, endpoint)| is_in_scope(scope, row, endpoint)) {
            return;
        }
        let candidates: BTreeSet<&str> = self
            .endpoints
            .values()
            .filter(|(row, endpoint)| is_in_scope(scope, row, endpoint))
            .map(|(_, endpoint)| &*endpoint.name)
            .collect();
        check_known("endpoint", Some(name), &candidates, path, faults);
    }
}

fn is_in_scope(scope: &Scope, row: &ServiceRow, endpoint: &EndpointRow) -> bool {
    let service = scope.service.as_ref().is_none_or(|name| *name == row.name);
    let zone = scope
        .zone
        .as_ref()
        .is_none_or(|name| *name == endpoint.zone);
    service && zone
}

fn check_known(
    kind: &str,
    name: Option<&Name>,
    known: &BTreeSet<&str>,
    path: &str,
    faults: &mut Faults<'_>,
) {
    let Some(name) = name else {
        return;
    };
    if !known.contains(&**name) {
        let fault = format!("no {kind} `{name}` is in scope");
        faults.add(path, fault, suggest(name, known.iter().copied()));
    }
}

fn check_secrets(config: &Config, faults: &mut Faults<'_>) {
    let identical = config
        .secrets
        .as_ref()
        .is_some_and(|secrets| secrets.current == secrets.other);
    if identical {
        let remedy = "make a second secret for `other`";
        faults.add(KEYS, "both secrets are the same", remedy);
    }
}

/// Checks the effective values at every host and zone where an exception may change them.
fn check_effective_values(config: &Config, faults: &mut Faults<'_>) {
    let resolver = Resolver::new(config);
    let any_host = Name::from("");
    let mut reported = BTreeSet::new();
    for row in &config.services {
        let scopes: Vec<&Scope> = resolver.exceptions_of(row).map(|row| &row.scope).collect();
        let named = scopes.iter().filter_map(|scope| scope.host.as_ref());
        let hosts: BTreeSet<&Name> = named.chain([&any_host]).collect();
        let has_zones = scopes.iter().any(|scope| scope.zone.is_some());
        let count = if has_zones { row.zones.len() } else { 1 };
        for zone in row.zones.iter().take(count) {
            for host in &hosts {
                check_service(&resolver.service(row, host, zone), &mut reported, faults);
            }
        }
    }
}

fn check_service(service: &Service, reported: &mut BTreeSet<String>, faults: &mut Faults<'_>) {
    let path = field_path(SERVICE, &service.name);
    let slots = service.endpoints.iter().map(|endpoint| endpoint.slots);
    let reserve_path = field_path(&path, "reserve");
    if slots
        .max()
        .is_some_and(|slots| service.reserved_slots >= slots)
        && reported.insert(reserve_path.clone())
    {
        let fault = format!(
            "reserve {} leaves no slot for long-running work",
            service.reserved_slots
        );
        let remedy = "set `reserve` below the slots of an endpoint";
        faults.add(&reserve_path, fault, remedy);
    }
    for class in Class::ALL {
        let class_path = format!("{path}.class.{}", class_name(class));
        let policy = service.classes[class.index()];
        check_policy(class, policy, &class_path, reported, faults);
    }
}

fn check_policy(
    class: Class,
    policy: Policy,
    path: &str,
    reported: &mut BTreeSet<String>,
    faults: &mut Faults<'_>,
) {
    let time_path = field_path(path, "service_time");
    if policy.service_time > policy.deadline && reported.insert(time_path.clone()) {
        let fault = "the service time is over the deadline";
        faults.add(
            &time_path,
            fault,
            "raise `deadline` or lower `service_time`",
        );
    }
    let deadline_path = field_path(path, "deadline");
    let too_long = class.is_at_most_once() && policy.deadline > MAX_ONCE_DEADLINE;
    if too_long && reported.insert(deadline_path.clone()) {
        let limit = humantime::format_duration(MAX_ONCE_DEADLINE);
        let fault = format!("a deadline over {limit} outlasts the lease of at-most-once work");
        faults.add(
            &deadline_path,
            fault,
            format!("write a deadline of at most {limit}"),
        );
    }
}
