//! The operators' configuration: what is accepted, refused and in effect.

use jacinthhinge::prelude::*;
use proptest::prelude::*;
use serde_json::Value;

const HRAUNVIK: &str = include_str!("../config/hraunvik.toml");
const VERHAEGHE: &str = include_str!("../config/verhaeghe.toml");

const SMALL: &str = r#"
[fleet]
drain_limit = "5m"

[service.adserve]
zones = ["sv-a", "sv-b"]
slots = 3

[[service.adserve.endpoint]]
name = "a-1"
addr = "127.0.0.1:21001"
zone = "sv-a"

[[service.adserve.endpoint]]
name = "a-2"
addr = "127.0.0.1:21002"
zone = "sv-b"
state = "leaving"

[service.kleurmatch]
zones = ["sv-a"]

[[service.kleurmatch.endpoint]]
name = "k-1"
addr = "127.0.0.1:22101"
zone = "sv-a"
"#;

fn parse(text: &str) -> Config {
    Config::parse("t.toml", text).unwrap()
}

fn refusal(text: &str) -> String {
    Config::parse("t.toml", text).unwrap_err().to_string()
}

/// The small file with `more` at its end.
fn with(more: &str) -> String {
    format!("{SMALL}{more}")
}

/// The small file with `from` replaced.
fn replaced(from: &str, to: &str) -> String {
    assert!(SMALL.contains(from), "{from} is not in the small file");
    SMALL.replacen(from, to, 1)
}

fn exception(scope: &str, set: &str) -> String {
    format!(
        "\n[[exception]]\nscope = \"{scope}\"\nset = {{ {set} }}\n\
         reason = \"tried in a test\"\nauthor = \"tester\"\ndate = 2026-11-03\n"
    )
}

fn through_values(config: &Config) -> Config {
    let values = texts(config);
    Config::from_values(pairs(&values)).unwrap()
}

fn texts(config: &Config) -> Vec<(String, String)> {
    let values = config.values().into_iter();
    values
        .map(|(key, value)| (key, value.to_string()))
        .collect()
}

fn pairs(values: &[(String, String)]) -> impl Iterator<Item = (&str, &str)> {
    values
        .iter()
        .map(|(key, text)| (key.as_str(), text.as_str()))
}

fn service(config: &Config, name: &str, host: &str, zone: &str) -> Service {
    let services = config.services(host, zone);
    services
        .into_iter()
        .find(|service| &*service.name == name)
        .unwrap()
}

#[test]
fn samples_are_accepted_and_survive_the_platform() {
    for (text, main, slots, zone) in [
        (HRAUNVIK, "adserve", 3, "sv-a"),
        (VERHAEGHE, "bestel", 2, "kortrijk"),
    ] {
        let config = parse(text);
        assert_eq!(through_values(&config), config);
        let service = service(&config, main, "host", zone);
        assert_eq!(service.endpoints.len(), 14);
        assert!(
            service
                .endpoints
                .iter()
                .all(|e| e.slots == slots && e.local)
        );
    }
}

#[test]
fn endpoints_of_other_zones_are_not_local_and_leaving_ones_drain() {
    let service = service(&parse(SMALL), "adserve", "h", "sv-a");
    let seen: Vec<_> = service
        .endpoints
        .iter()
        .map(|e| (&*e.name, e.local, e.draining))
        .collect();
    assert_eq!(seen, [("a-1", true, false), ("a-2", false, true)]);
}

#[test]
fn services_of_other_zones_are_left_out() {
    assert_eq!(parse(SMALL).services("h", "sv-b").len(), 1);
    assert_eq!(parse(SMALL).services("h", "elsewhere").len(), 0);
}

/// Each wrong file, and all that it is told.
#[test]
fn refusals_name_place_and_remedy() {
    let cases = [
        with("[fleet2]\n"),
        replaced("drain_limit", "drain_limt"),
        replaced("slots = 3", "slots = 0"),
        replaced("slots = 3", "slots = \"3\""),
        replaced("slots = 3", "slots = 3000000000000"),
        replaced("slots = 3", "reserve = 2"),
        replaced("slots = 3", "retry_share = 1.5"),
        replaced("slots = 3", "weight = nan"),
        replaced("slots = 3", "idle_limit = \"1s\""),
        replaced("\"5m\"", "5"),
        replaced("\"5m\"", "\"5 parsecs\""),
        replaced("\"5m\"", "\"5m"),
        replaced("name = \"a-2\"", "name = \"a-1\""),
        replaced("name = \"a-2\"", "name = \"a 2\""),
        replaced("name = \"a-2\"", ""),
        replaced("name = \"a-2\"", "name = \"a-2\"\nweight = 2"),
        replaced("127.0.0.1:22101", "127.0.0.1:21001"),
        replaced("127.0.0.1:22101", "0.0.0.0:21001"),
        replaced("127.0.0.1:22101", "sv-a-1:21001"),
        replaced("zone = \"sv-b\"", "zone = \"sv-c\""),
        replaced("\"leaving\"", "\"gone\""),
        replaced("zones = [\"sv-a\"]", "zones = []"),
        replaced("zones = [\"sv-a\"]", ""),
        with("[fleet.class.confrim]\nrank = 1\n"),
        with("[fleet.class.photo]\ndeadline = \"1s\"\nservice_time = \"2s\"\n"),
        with("[keys]\ncurrent = \"hunter2\"\nother = 7\n"),
        with("[keys]\ncurrent = \"0123456789abcdef\"\nother = \"0123456789abcdef\"\n"),
        with(&exception("endpoint/a-9", "slots = 1")),
        with(&exception("service/adsrv", "slots = 1")),
        with(&exception("zone/sv-c", "slots = 1")),
        with(&exception("service/kleurmatch endpoint/a-1", "slots = 1")),
        with(&exception("endpoint/a-1", "drain_limit = \"1s\"")),
        with(&exception("class/photo", "slots = 1")),
        with(&exception("class/photo endpoint/a-1", "rank = 1")),
        with(&exception("rack/7", "slots = 1")),
        with(&exception("adserve", "slots = 1")),
        with(&exception("zone/sv-a zone/sv-b", "slots = 1")),
        with(&exception("", "slots = 1")),
        with(&exception("service/adserve", "")),
        with(&exception("endpoint/a-1", "slots = 1").replace("tried in a test", "because")),
        with(&exception("endpoint/a-1", "slots = 1").replace("reason", "#")),
        with(&exception("endpoint/a-1", "slots = 1").replace("author", "#")),
        with(&exception("endpoint/a-1", "slots = 1").replace("date", "#")),
        with(&exception("endpoint/a-1", "slots = 1").replace("2026-11-03", "\"2026-02-30\"")),
    ];
    let refusals: Vec<String> = cases.iter().map(|text| refusal(text)).collect();
    insta::assert_snapshot!(refusals.join("\n---\n"), @r#"
    t.toml:27: fleet2: unknown field `fleet2`; did you mean `fleet`?
    ---
    t.toml:3: fleet.drain_limt: unknown field `drain_limt`; did you mean `drain_limit`?
    ---
    t.toml:7: service.adserve.slots: 0 is out of range; write a whole number from 1 to 100000
    ---
    t.toml:7: service.adserve.slots: a text stands where a number belongs; write it as in `3`
    ---
    t.toml:7: service.adserve.slots: 3000000000000 is out of range; write a whole number from 1 to 100000
    ---
    t.toml:7: service.adserve.reserve: reserve 2 leaves long work no slot; set `reserve` below the slots of every endpoint
    ---
    t.toml:7: service.adserve.retry_share: 1.5 is out of range; write a number from 0 to 1
    ---
    t.toml:7: service.adserve.weight: nothing readable stands where a number belongs; write it as in `0.5`
    ---
    t.toml:7: service.adserve.idle_limit: "1s" is out of range; write one from 5s to 1day
    ---
    t.toml:3: fleet.drain_limit: 5 is no duration; write a number and its unit, as in "250ms" or "2s"
    ---
    t.toml:3: fleet.drain_limit: "5 parsecs" is no duration; write a number and its unit, as in "250ms" or "2s"
    ---
    t.toml:3: invalid basic string, expected `"`; write it as TOML
    ---
    t.toml:15: service.adserve.endpoint[1].name: the name `a-1` stands twice; give one of them another name
    ---
    t.toml:15: service.adserve.endpoint[1].name: `a 2` is no name; use 1 to 64 letters, digits, `-` and `_`
    ---
    t.toml:14: service.adserve.endpoint[1]: `name` is missing; add `name`
    ---
    t.toml:16: service.adserve.endpoint[1].weight: an endpoint sets `weight` by itself; write an [[exception]] with scope `endpoint/NAME` and the reason
    ---
    t.toml:25: service.kleurmatch.endpoint[0].addr: address 127.0.0.1:21001 already belongs to endpoint `a-1` of service `adserve`; give each endpoint its own address
    ---
    t.toml:25: service.kleurmatch.endpoint[0].addr: 0.0.0.0:21001 names no single endpoint; write the IP number and port, as in `10.1.0.3:8080`
    ---
    t.toml:25: service.kleurmatch.endpoint[0].addr: "sv-a-1:21001" is no address; write the IP number and port, as in `10.1.0.3:8080`
    ---
    t.toml:17: service.adserve.endpoint[1].zone: `sv-c` is none of the service's zones; did you mean `sv-b`?
    ---
    t.toml:18: service.adserve.endpoint[1].state: "gone" is no state; write "live" or "leaving"
    ---
    t.toml:21: service.kleurmatch.zones: no zone is named; name the zones that serve it
    t.toml:26: service.kleurmatch.endpoint[0].zone: `sv-a` is none of the service's zones; none is known; add it first
    ---
    t.toml:20: service.kleurmatch: `zones` is missing; add `zones`
    ---
    t.toml:27: fleet.class.confrim: unknown class `confrim`; did you mean `confirm`?
    ---
    t.toml:5: service.adserve.class.photo.service_time: service time is over the deadline; raise `deadline` or lower `service_time`
    t.toml:20: service.kleurmatch.class.photo.service_time: service time is over the deadline; raise `deadline` or lower `service_time`
    ---
    t.toml:28: keys.current: the secret is no text of 16 characters or more; make one with `openssl rand -hex 32`
    t.toml:29: keys.other: the secret is no text of 16 characters or more; make one with `openssl rand -hex 32`
    ---
    t.toml:27: keys: both secrets are the same; make a second secret for `other`
    ---
    t.toml:29: exception[0].scope: no endpoint `a-9` is in scope; did you mean `a-2`?
    ---
    t.toml:29: exception[0].scope: no service `adsrv` is in scope; did you mean `adserve`?
    ---
    t.toml:29: exception[0].scope: no zone `sv-c` is in scope; did you mean `sv-b`?
    ---
    t.toml:29: exception[0].scope: no endpoint `a-1` is in scope; did you mean `k-1`?
    ---
    t.toml:30: exception[0].set.drain_limit: unknown field `drain_limit`; known are slots, conns, weight
    ---
    t.toml:30: exception[0].set.slots: unknown field `slots`; known are rank, deadline, service_time
    ---
    t.toml:29: exception[0].scope: an endpoint has no values by class; name the service in place of the endpoint
    ---
    t.toml:29: exception[0].scope: unknown kind of scope `rack`; known are zone, service, host, endpoint, class
    ---
    t.toml:29: exception[0].scope: `adserve` is no scope; write KIND/NAME, as in `service/adserve`
    ---
    t.toml:29: exception[0].scope: the scope names two of kind `zone`; write one exception for each
    ---
    t.toml:29: exception[0].scope: the scope is empty; name what it is about, as in `service/adserve` or `endpoint/a-3`
    ---
    t.toml:30: exception[0].set: it sets nothing; set a field or remove the exception
    ---
    t.toml:31: exception[0].reason: the reason says too little; write why it is needed, for someone who reads it in a year
    ---
    t.toml:28: exception[0]: `reason` is missing; add `reason`
    ---
    t.toml:28: exception[0]: `author` is missing; add `author`
    ---
    t.toml:28: exception[0]: `date` is missing; add `date`
    ---
    t.toml:33: exception[0].date: "2026-02-30" is no date; write YEAR-MONTH-DAY, as in 2026-11-03
    "#);
}
