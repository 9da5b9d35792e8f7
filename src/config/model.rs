//! Typed tables of a configuration, in the layout of the operators' file.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize, Serializer};
use serde_with::{serde_as, skip_serializing_none};

use super::units::DurationText;
use crate::id::Name;
use crate::packet::Class;

/// Values that the fleet, a service or an exception sets.
#[serde_as]
#[skip_serializing_none]
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(super) struct Values {
    #[serde_as(as = "Option<DurationText>")]
    pub drain_limit: Option<Duration>,
    #[serde_as(as = "Option<DurationText>")]
    pub idle_limit: Option<Duration>,
    pub retry_share: Option<f64>,
    pub slots: Option<u32>,
    pub conns: Option<u32>,
    pub reserve: Option<u32>,
    pub weight: Option<f64>,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub class: BTreeMap<Class, ClassValues>,
}

impl Values {
    pub const FIELDS: [&'static str; 8] = [
        "drain_limit",
        "idle_limit",
        "retry_share",
        "slots",
        "conns",
        "reserve",
        "weight",
        "class",
    ];

    /// Returns a value that is set for one class.
    pub fn class_value<T>(
        &self,
        class: Class,
        get: impl Fn(&ClassValues) -> Option<T>,
    ) -> Option<T> {
        self.class.get(&class).and_then(get)
    }
}

/// Values that are set for one class of work.
#[serde_as]
#[skip_serializing_none]
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(super) struct ClassValues {
    pub rank: Option<u32>,
    #[serde_as(as = "Option<DurationText>")]
    pub deadline: Option<Duration>,
    #[serde_as(as = "Option<DurationText>")]
    pub service_time: Option<Duration>,
}

impl ClassValues {
    pub const FIELDS: [&'static str; 3] = ["rank", "deadline", "service_time"];
}

/// A row of the service table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct ServiceRow {
    #[serde(skip)]
    pub name: Name,
    pub zones: Vec<Name>,
    #[serde(flatten)]
    pub values: Values,
    pub endpoint: Vec<EndpointRow>,
}

/// A row of the endpoint table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct EndpointRow {
    #[serde(skip)]
    pub path: String,
    pub name: Name,
    pub addr: SocketAddr,
    pub zone: Name,
    pub state: State,
}

impl EndpointRow {
    pub const FIELDS: [&'static str; 4] = ["name", "addr", "zone", "state"];
}

/// Whether an endpoint accepts new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum State {
    #[default]
    Live,
    Leaving,
}

/// A row of the exception table.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ExceptionRow {
    pub path: String,
    pub scope: Scope,
    pub set: Values,
    pub reason: String,
    pub author: String,
    pub date: String,
}

impl ExceptionRow {
    pub const FIELDS: [&'static str; 5] = ["scope", "set", "reason", "author", "date"];
}

impl Serialize for ExceptionRow {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let set = match self.scope.class {
            Some(class) => serde_json::to_value(self.set.class.get(&class)),
            None => serde_json::to_value(&self.set),
        };
        let row = SerializedException {
            scope: self.scope.to_string(),
            set: set.map_err(serde::ser::Error::custom)?,
            reason: &self.reason,
            author: &self.author,
            date: &self.date,
        };
        row.serialize(serializer)
    }
}

#[derive(Serialize)]
struct SerializedException<'a> {
    scope: String,
    set: serde_json::Value,
    reason: &'a str,
    author: &'a str,
    date: &'a str,
}

/// A row of the evacuation table: an order that keeps new flows out of a zone.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct EvacuationRow {
    #[serde(skip)]
    pub zone: Name,
    pub reason: String,
    pub author: String,
    pub date: String,
}

impl EvacuationRow {
    pub const FIELDS: [&'static str; 3] = ["reason", "author", "date"];
}

/// Scope of an exception or of a lookup; parts that are not set match everything.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Scope {
    pub zone: Option<Name>,
    pub service: Option<Name>,
    pub host: Option<Name>,
    pub endpoint: Option<Name>,
    pub class: Option<Class>,
}

impl Scope {
    pub const KINDS: [&'static str; 5] = ["zone", "service", "host", "endpoint", "class"];

    /// Returns true when every part that `self` sets is equal in `at`.
    pub fn covers(&self, at: &Self) -> bool {
        fn matches<T: PartialEq>(expected: Option<&T>, actual: Option<&T>) -> bool {
            expected.is_none() || expected == actual
        }
        matches(self.zone.as_ref(), at.zone.as_ref())
            && matches(self.service.as_ref(), at.service.as_ref())
            && matches(self.host.as_ref(), at.host.as_ref())
            && matches(self.endpoint.as_ref(), at.endpoint.as_ref())
            && matches(self.class.as_ref(), at.class.as_ref())
    }

    /// Returns a sort key that is higher for more specific scopes: an endpoint outranks a
    /// host, a host a service, and a service a zone.
    pub fn specificity(&self) -> (bool, bool, bool, bool) {
        (
            self.endpoint.is_some(),
            self.host.is_some(),
            self.service.is_some(),
            self.zone.is_some(),
        )
    }
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        let names = [&self.zone, &self.service, &self.host, &self.endpoint];
        for (kind, name) in Self::KINDS.iter().zip(names) {
            if let Some(name) = name {
                write!(f, "{separator}{kind}/{name}")?;
                separator = " ";
            }
        }
        if let Some(class) = self.class {
            write!(f, "{separator}class/{}", class_name(class))?;
        }
        Ok(())
    }
}

/// The two secrets that the live ticket keys are derived from.
#[derive(Clone, Eq, PartialEq, Serialize)]
pub(super) struct Secrets {
    pub current: String,
    pub other: String,
}

impl Secrets {
    pub const FIELDS: [&'static str; 2] = ["current", "other"];
}

impl fmt::Debug for Secrets {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secrets(..)")
    }
}

/// Returns the name of a class in files and scopes.
pub(super) fn class_name(class: Class) -> &'static str {
    match class {
        Class::Confirm => "confirm",
        Class::Order => "order",
        Class::Lookup => "lookup",
        Class::Stream => "stream",
        Class::Upload => "upload",
        Class::Photo => "photo",
    }
}

/// Returns the class with this name.
pub(super) fn class_by_name(name: &str) -> Option<Class> {
    Class::ALL
        .into_iter()
        .find(|class| class_name(*class) == name)
}
