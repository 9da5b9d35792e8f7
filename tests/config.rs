//! Configuration: parsing, validation, exceptions, explanations and changes.

use jacinthhinge::prelude::*;
use proptest::prelude::*;
use serde_json::{Value, json};

const HRAUNVIK: &str = include_str!("../config/hraunvik.toml");
const VERHAEGHE: &str = include_str!("../config/verhaeghe.toml");

/// A small valid configuration, which the tests modify.
const BASE_CONFIG: &str = r#"
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

fn parse_error(text: &str) -> String {
    Config::parse("t.toml", text).unwrap_err().to_string()
}

/// Returns the base configuration with `more` appended.
fn with_appended(more: &str) -> String {
    format!("{BASE_CONFIG}{more}")
}

/// Returns the base configuration with `from` replaced.
fn with_replaced(from: &str, to: &str) -> String {
    assert!(
        BASE_CONFIG.contains(from),
        "{from} is not in the base configuration"
    );
    BASE_CONFIG.replacen(from, to, 1)
}

fn exception_text(scope: &str, set: &str) -> String {
    format!(
        "\n[[exception]]\nscope = \"{scope}\"\nset = {{ {set} }}\n\
         reason = \"tried in a test\"\nauthor = \"tester\"\ndate = 2026-11-03\n"
    )
}

/// Converts a configuration to platform values and back.
fn round_trip_values(config: &Config) -> Config {
    let values = values_as_text(config);
    Config::from_values(as_str_pairs(&values)).unwrap()
}

fn values_as_text(config: &Config) -> Vec<(String, String)> {
    let values = config.values().into_iter();
    values
        .map(|(key, value)| (key, value.to_string()))
        .collect()
}

fn as_str_pairs(values: &[(String, String)]) -> impl Iterator<Item = (&str, &str)> {
    values
        .iter()
        .map(|(key, text)| (key.as_str(), text.as_str()))
}

/// Returns a service as the given host in the given zone sees it.
fn find_service(config: &Config, name: &str, host: &str, zone: &str) -> Service {
    let services = config.services(host, zone);
    services
        .into_iter()
        .find(|service| &*service.name == name)
        .unwrap()
}

#[test]
fn sample_files_parse_and_round_trip_through_platform_values() {
    for (text, main, slots, zone) in [
        (HRAUNVIK, "adserve", 3, "sv-a"),
        (VERHAEGHE, "bestel", 2, "kortrijk"),
    ] {
        let config = parse(text);
        assert_eq!(round_trip_values(&config), config);
        let service = find_service(&config, main, "host", zone);
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
    let service = find_service(&parse(BASE_CONFIG), "adserve", "h", "sv-a");
    let found: Vec<_> = service
        .endpoints
        .iter()
        .map(|e| (&*e.name, e.local, e.draining))
        .collect();
    assert_eq!(found, [("a-1", true, false), ("a-2", false, true)]);
}

#[test]
fn services_of_other_zones_are_excluded() {
    assert_eq!(parse(BASE_CONFIG).services("h", "sv-b").len(), 1);
    assert_eq!(parse(BASE_CONFIG).services("h", "elsewhere").len(), 0);
}

/// Parses invalid files and checks all reported errors.
#[test]
fn invalid_fields_are_reported_with_location_and_remedy() {
    let cases = [
        String::new(),
        with_appended("[service.adserve]\n"),
        with_replaced("drain_limit = \"5m\"", "rank = 3"),
        with_appended("[fleet2]\n"),
        with_replaced("drain_limit", "drain_limt"),
        with_replaced("slots = 3", "slots = 0"),
        with_replaced("slots = 3", "slots = \"3\""),
        with_replaced("slots = 3", "slots = 3000000000000"),
        with_replaced("slots = 3", "reserve = 3"),
        with_replaced("slots = 3", "retry_share = 1.5"),
        with_replaced("slots = 3", "weight = nan"),
        with_replaced("slots = 3", "idle_limit = \"1s\""),
        with_replaced("\"5m\"", "5"),
        with_replaced("\"5m\"", "\"5 parsecs\""),
        with_replaced("\"5m\"", "\"5m"),
        with_appended("[fleet.class.confrim]\nrank = 1\n"),
        with_appended("[fleet.class.photo]\ndeadline = \"1s\"\nservice_time = \"2s\"\n"),
        with_appended("[keys]\ncurrent = \"hunter2\"\nother = 7\n"),
        with_appended("[keys]\ncurrent = \"0123456789abcdef\"\nother = \"0123456789abcdef\"\n"),
    ];
    let errors: Vec<String> = cases.iter().map(|text| parse_error(text)).collect();
    insta::assert_snapshot!(errors.join("\n---\n"), @r#"
    t.toml: service: no service is defined; add [service.NAME]
    ---
    t.toml:27: duplicate key; remove one of the two
    ---
    t.toml:3: fleet.rank: unknown field `rank`; set it for a class, as in `class.photo.rank`
    ---
    t.toml:27: fleet2: unknown field `fleet2`; did you mean `fleet`?
    ---
    t.toml:3: fleet.drain_limt: unknown field `drain_limt`; did you mean `drain_limit`?
    ---
    t.toml:7: service.adserve.slots: 0 is out of range; write a whole number from 1 to 100000
    ---
    t.toml:7: service.adserve.slots: expected a number, found a string; write it as in `3`
    ---
    t.toml:7: service.adserve.slots: 3000000000000 is out of range; write a whole number from 1 to 100000
    ---
    t.toml:7: service.adserve.reserve: reserve 3 leaves no slot for long-running work; set `reserve` below the slots of an endpoint
    ---
    t.toml:7: service.adserve.retry_share: 1.5 is out of range; write a number from 0 to 1
    ---
    t.toml:7: service.adserve.weight: expected a number, found nothing; write it as in `0.5`
    ---
    t.toml:7: service.adserve.idle_limit: "1s" is out of range; write a duration from 5s to 1day
    ---
    t.toml:3: fleet.drain_limit: 5 is not a duration; write a number and its unit, as in "250ms" or "2s"
    ---
    t.toml:3: fleet.drain_limit: "5 parsecs" is not a duration; write a number and its unit, as in "250ms" or "2s"
    ---
    t.toml:3: invalid basic string, expected `"`; correct the syntax, as in config/hraunvik.toml
    ---
    t.toml:27: fleet.class.confrim: unknown class `confrim`; did you mean `confirm`?
    ---
    t.toml:5: service.adserve.class.photo.service_time: the service time is over the deadline; raise `deadline` or lower `service_time`
    t.toml:20: service.kleurmatch.class.photo.service_time: the service time is over the deadline; raise `deadline` or lower `service_time`
    ---
    t.toml:28: keys.current: the secret is not a string of at least 16 characters; make one with `openssl rand -hex 32`
    t.toml:29: keys.other: the secret is not a string of at least 16 characters; make one with `openssl rand -hex 32`
    ---
    t.toml:27: keys: both secrets are the same; make a second secret for `other`
    "#);
}

#[test]
fn invalid_services_are_reported_with_location_and_remedy() {
    let cases = [
        with_replaced(
            "[[service.kleurmatch.endpoint]]",
            "[service.kleurmatch.endpoint]",
        ),
        with_replaced("127.0.0.1:22101", "[::ffff:127.0.0.1]:22101"),
        with_replaced("name = \"a-2\"", "name = \"a-1\""),
        with_replaced("name = \"a-2\"", "name = \"a 2\""),
        with_replaced("name = \"a-2\"", ""),
        with_replaced("name = \"a-2\"", "name = \"a-2\"\nweight = 2"),
        with_replaced("127.0.0.1:22101", "127.0.0.1:21001"),
        with_replaced("127.0.0.1:22101", "0.0.0.0:21001"),
        with_replaced("127.0.0.1:22101", "sv-a-1:21001"),
        with_replaced("zone = \"sv-b\"", "zone = \"sv-c\""),
        with_replaced("\"leaving\"", "\"gone\""),
        with_replaced("zones = [\"sv-a\"]", "zones = []"),
        with_replaced("zones = [\"sv-a\"]", ""),
        with_appended("[service.kleurmatch.class.order]\ndeadline = \"4s\"\n"),
    ];
    let errors: Vec<String> = cases.iter().map(|text| parse_error(text)).collect();
    insta::assert_snapshot!(errors.join("\n---\n"), @r#"
    t.toml:23: service.kleurmatch.endpoint: expected an array, found a table; write [[service.kleurmatch.endpoint]] with double brackets
    ---
    t.toml:25: service.kleurmatch.endpoint[0].addr: [::ffff:127.0.0.1]:22101 is an IPv4 address written as IPv6; write `127.0.0.1:22101`
    ---
    t.toml:15: service.adserve.endpoint[1].name: the name `a-1` is used twice; give one of them another name
    ---
    t.toml:15: service.adserve.endpoint[1].name: `a 2` is not a valid name; use 1 to 64 letters, digits, `-` and `_`
    ---
    t.toml:14: service.adserve.endpoint[1]: `name` is missing; add `name`
    ---
    t.toml:16: service.adserve.endpoint[1].weight: an endpoint table cannot set `weight`; write an [[exception]] with scope `endpoint/NAME` and the reason
    ---
    t.toml:25: service.kleurmatch.endpoint[0].addr: address 127.0.0.1:21001 already belongs to endpoint `a-1` of service `adserve`; give each endpoint its own address
    ---
    t.toml:25: service.kleurmatch.endpoint[0].addr: 0.0.0.0:21001 does not name a single endpoint; write the IP number and port, as in `10.1.0.3:8080`
    ---
    t.toml:25: service.kleurmatch.endpoint[0].addr: "sv-a-1:21001" is not an address; write the IP number and port, as in `10.1.0.3:8080`
    ---
    t.toml:17: service.adserve.endpoint[1].zone: `sv-c` is not a zone of the service; did you mean `sv-b`?
    ---
    t.toml:18: service.adserve.endpoint[1].state: "gone" is not a state; write "live" or "leaving"
    ---
    t.toml:21: service.kleurmatch.zones: the list of zones is empty; list the zones that serve it
    ---
    t.toml:20: service.kleurmatch: `zones` is missing; add `zones`
    ---
    t.toml:28: service.kleurmatch.class.order.deadline: a deadline over 3s outlasts the lease of at-most-once work; write a deadline of at most 3s
    "#);
}

#[test]
fn invalid_exceptions_are_reported_with_location_and_remedy() {
    let cases = [
        with_appended(&exception_text("endpoint/a-9", "slots = 1")),
        with_appended(&exception_text("service/adsrv", "slots = 1")),
        with_appended(&exception_text("zone/sv-c", "slots = 1")),
        with_appended(&exception_text(
            "service/kleurmatch endpoint/a-1",
            "slots = 1",
        )),
        with_appended(&exception_text("endpoint/a-1", "drain_limit = \"1s\"")),
        with_appended(&exception_text("class/photo", "slots = 1")),
        with_appended(&exception_text("service/adserve", "rank = 1")),
        with_appended(&exception_text("class/photo endpoint/a-1", "rank = 1")),
        with_appended(&exception_text("rack/7", "slots = 1")),
        with_appended(&exception_text("adserve", "slots = 1")),
        with_appended(&exception_text("zone/sv-a zone/sv-b", "slots = 1")),
        with_appended(&exception_text("", "slots = 1")),
        with_appended(&exception_text("service/adserve", "")),
        with_appended(
            &exception_text("endpoint/a-1", "slots = 1").replace("tried in a test", "because"),
        ),
        with_appended(&exception_text("endpoint/a-1", "slots = 1").replace("reason", "#")),
        with_appended(&exception_text("endpoint/a-1", "slots = 1").replace("author", "#")),
        with_appended(&exception_text("endpoint/a-1", "slots = 1").replace("date", "#")),
        with_appended(
            &exception_text("endpoint/a-1", "slots = 1").replace("2026-11-03", "\"2026-02-30\""),
        ),
    ];
    let errors: Vec<String> = cases.iter().map(|text| parse_error(text)).collect();
    insta::assert_snapshot!(errors.join("\n---\n"), @r#"
    t.toml:29: exception[0].scope: no endpoint `a-9` is in scope; did you mean `a-2`?
    ---
    t.toml:29: exception[0].scope: no service `adsrv` is in scope; did you mean `adserve`?
    ---
    t.toml:29: exception[0].scope: no zone `sv-c` is in scope; did you mean `sv-b`?
    ---
    t.toml:29: exception[0].scope: no endpoint `a-1` is in scope; did you mean `k-1`?
    ---
    t.toml:30: exception[0].set.drain_limit: unknown field `drain_limit`; expected one of slots, conns, weight
    ---
    t.toml:30: exception[0].set.slots: unknown field `slots`; expected one of rank, deadline, service_time
    ---
    t.toml:30: exception[0].set.rank: unknown field `rank`; name a class in the scope, as in `service/adserve class/photo`
    ---
    t.toml:29: exception[0].scope: an endpoint has no values by class; name the service instead of the endpoint
    ---
    t.toml:29: exception[0].scope: unknown kind of scope `rack`; expected one of zone, service, host, endpoint, class
    ---
    t.toml:29: exception[0].scope: `adserve` is not a scope; write KIND/NAME, as in `service/adserve`
    ---
    t.toml:29: exception[0].scope: the scope has more than one `zone`; write one exception for each
    ---
    t.toml:29: exception[0].scope: the scope is empty; write what it applies to, as in `service/adserve` or `endpoint/a-3`
    ---
    t.toml:30: exception[0].set: the exception sets nothing; set a field or remove the exception
    ---
    t.toml:31: exception[0].reason: the reason is too short; explain in a few words why the exception is needed
    ---
    t.toml:28: exception[0]: `reason` is missing; add `reason`
    ---
    t.toml:28: exception[0]: `author` is missing; add `author`
    ---
    t.toml:28: exception[0]: `date` is missing; add `date`
    ---
    t.toml:33: exception[0].date: "2026-02-30" is not a date; write YEAR-MONTH-DAY, as in 2026-11-03
    "#);
}

#[test]
fn invalid_platform_values_are_reported_with_key_and_remedy() {
    let cases: [&[(&str, &str)]; 6] = [
        &[("flet", "{}")],
        &[("fleet", "{")],
        &[("fleet", "[]")],
        &[("fleet", r#"{"slots":0}"#)],
        &[("service/a.b", r#"{"zones":["gent"]}"#)],
        &[("keys", r#""0123456789abcdef""#)],
    ];
    let errors = cases.map(|values| {
        let error = Config::from_values(values.iter().copied()).unwrap_err();
        assert!(error.is_config());
        error.to_string()
    });
    insta::assert_snapshot!(errors.join("\n---\n"), @r#"
    platform: flet: unknown key; did you mean `fleet`?
    ---
    platform: fleet: the value is not JSON; publish values that `jacinthhinge check` accepts
    ---
    platform: fleet: expected a table, found an array; write a table here
    ---
    platform: fleet.slots: 0 is out of range; write a whole number from 1 to 100000
    ---
    platform: service.a.b: `a.b` is not a valid name; use 1 to 64 letters, digits, `-` and `_`
    ---
    platform: keys: expected a table, found a string; write a table here
    "#);
}

#[test]
fn weight_round_trips_exactly_through_platform_values() {
    let text = with_replaced("slots = 3", "weight = 99.29641593204848");
    let config = parse(&text);
    assert_eq!(round_trip_values(&config), config);
}

#[test]
fn narrower_exceptions_take_precedence_then_later_ones() {
    let text = with_appended(
        &[
            exception_text("endpoint/a-1", "slots = 9"),
            exception_text("host/sv-a-1", "slots = 8"),
            exception_text("service/adserve", "slots = 7"),
            exception_text("zone/sv-b", "slots = 6, drain_limit = \"7m\""),
            exception_text("service/adserve class/photo", "rank = 1"),
            exception_text("class/photo", "rank = 2"),
            exception_text("service/adserve class/photo", "rank = 3"),
        ]
        .concat(),
    );
    let config = parse(&text);
    let slots = |host, zone| {
        let service = find_service(&config, "adserve", host, zone);
        [service.endpoints[0].slots, service.endpoints[1].slots]
    };
    assert_eq!(slots("sv-a-1", "sv-a"), [9, 8]);
    assert_eq!(slots("sv-a-2", "sv-a"), [9, 7]);
    let drain = |zone| {
        find_service(&config, "adserve", "h", zone)
            .drain_limit
            .as_secs()
    };
    assert_eq!([drain("sv-a"), drain("sv-b")], [300, 420]);
    let rank = |name| find_service(&config, name, "h", "sv-a").classes[Class::Photo.index()].rank;
    assert_eq!([rank("adserve"), rank("kleurmatch")], [3, 2]);
}

#[test]
fn explain_reports_the_source_of_each_value() {
    let config = parse(&with_appended(&exception_text("endpoint/a-1", "slots = 9")));
    let explain_lines = |scope: &str| {
        let list = config.explain(scope).unwrap();
        let lines = list
            .iter()
            .map(|e| format!("{} = {} ({})", e.field, e.value, e.from));
        lines.collect::<Vec<_>>().join("\n")
    };
    insta::assert_snapshot!(explain_lines("endpoint/a-1"), @r#"
    service = adserve (service/adserve)
    addr = 127.0.0.1:21001 (service/adserve)
    zone = sv-a (service/adserve)
    state = live (service/adserve)
    slots = 9 (exception endpoint/a-1 by tester, 2026-11-03: tried in a test)
    conns = 2000 (built in)
    weight = 1.0 (built in)
    "#);
    insta::assert_snapshot!(explain_lines("service/adserve class/photo"), @r#"
    class.photo.rank = 10 (built in)
    class.photo.deadline = 30s (built in)
    class.photo.service_time = 500ms (built in)
    "#);
    insta::assert_snapshot!(config.explain("endpoint/a-7").unwrap_err(), @"scope: endpoint/a-7: no endpoint `a-7` is in scope; did you mean `a-2`?");
    assert!(explain_lines("zone/sv-a").contains("drain_limit = 5m (fleet)"));
}

#[test]
fn health_reports_only_mark_endpoints_unhealthy() {
    let values = values_as_text(&parse(BASE_CONFIG));
    let report = r#"{"unhealthy":["a-1","stranger"]}"#;
    let all =
        as_str_pairs(&values).chain([("health/adserve", report), ("health/none", "nonsense")]);
    let config = Config::from_values(all).unwrap();
    let service = find_service(&config, "adserve", "h", "sv-a");
    let healthy: Vec<bool> = service.endpoints.iter().map(|e| e.healthy).collect();
    assert_eq!(healthy, [false, true]);
    assert!(
        config
            .values()
            .iter()
            .all(|(key, _)| !key.starts_with("health/"))
    );
}

fn with_keys(current: char, other: char) -> String {
    let secret = |letter: char| letter.to_string().repeat(16);
    with_appended(&format!(
        "[keys]\ncurrent = \"{}\"\nother = \"{}\"\n",
        secret(current),
        secret(other)
    ))
}

#[test]
fn ticket_keys_are_derived_from_both_secrets() {
    let keys = parse(&with_keys('A', 'B')).keys().unwrap();
    assert!(keys == TicketKeys::new(&"A".repeat(16), &"B".repeat(16)));
    assert!(parse(BASE_CONFIG).keys().is_none());
}

#[test]
fn secrets_are_never_shown() {
    let first = parse(&with_keys('Q', 'Z'));
    let second = parse(&with_keys('Z', 'Q'));
    let shown = format!(
        "{first:?} {:?} {:?} {:?}",
        first.diff(&second),
        first.explain("service/adserve"),
        Config::check_change(&first, &parse(&with_keys('X', 'Y'))),
    );
    assert!(shown.contains("keys.current"));
    for letter in ["Q", "Z", "X", "Y"] {
        assert!(!shown.contains(&letter.repeat(8)), "{shown}");
    }
}

#[test]
fn changes_that_break_flows_are_refused() {
    let check_change = |old: &str, new: &str| match Config::check_change(&parse(old), &parse(new)) {
        Ok(()) => "accepted".to_owned(),
        Err(error) => error.to_string(),
    };
    let (a, b) = ("127.0.0.1:22101", "127.0.0.1:29999");
    let leaving = with_replaced(
        "zone = \"sv-a\"\n\n[[",
        "zone = \"sv-a\"\nstate = \"leaving\"\n\n[[",
    );
    let without = leaving.replacen("\nname = \"a-1\"", "\nname = \"a-3\"", 1);
    let without = without.replacen("127.0.0.1:21001", "127.0.0.1:21003", 1);
    let results = [
        check_change(BASE_CONFIG, BASE_CONFIG),
        check_change(&with_keys('A', 'B'), &with_keys('B', 'A')),
        check_change(&with_keys('A', 'B'), &with_keys('A', 'C')),
        check_change(&with_keys('A', 'B'), &with_keys('C', 'A')),
        check_change(&with_keys('A', 'B'), &with_keys('B', 'C')),
        check_change(&with_keys('A', 'B'), BASE_CONFIG),
        check_change(
            BASE_CONFIG,
            &BASE_CONFIG
                .replace("127.0.0.1:21002", b)
                .replace(a, "127.0.0.1:21002"),
        ),
        check_change(BASE_CONFIG, &without),
        check_change(BASE_CONFIG, &leaving),
        check_change(&leaving, &without),
    ];
    insta::assert_snapshot!(results.join("\n---\n"), @r#"
    accepted
    ---
    accepted
    ---
    accepted
    ---
    change: keys.current: the new current key was not live before, so other hosts would refuse its tickets; first publish it as `other`, and swap the two when every host has it
    ---
    change: keys.other: the key that live tickets are sealed with is dropped; swap the two keys first, and replace `other` later
    ---
    change: keys: the ticket keys are removed; keep both keys in the file
    ---
    change: service.kleurmatch.endpoint[0].addr: address 127.0.0.1:21002 moves from service `adserve` to another one in a single change; publish a configuration without it, and add it after the drain limit
    change: service.adserve.endpoint[1].addr: endpoint `a-2` moves from 127.0.0.1:21002 to 127.0.0.1:29999; add an endpoint of another name, and let the old one leave
    change: service.kleurmatch.endpoint[0].addr: endpoint `k-1` moves from 127.0.0.1:22101 to 127.0.0.1:21002; add an endpoint of another name, and let the old one leave
    ---
    change: service.adserve: live endpoint `a-1` is removed; set its state to "leaving", and remove it after the drain limit
    ---
    accepted
    ---
    accepted
    "#);
}

#[test]
fn differences_are_listed_by_path() {
    let old = parse(&with_keys('A', 'B'));
    let new = parse(&with_keys('B', 'A').replace("slots = 3", "slots = 4"));
    let lines: Vec<String> = old
        .diff(&new)
        .iter()
        .map(|d| format!("{}: {:?} -> {:?}", d.path, d.old, d.new))
        .collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    keys.current: Some("(hidden)") -> Some("(hidden)")
    keys.other: Some("(hidden)") -> Some("(hidden)")
    service/adserve.slots: Some("3") -> Some("4")
    "#);
    assert_eq!(old.diff(&old), []);
}

/// Generates the values of a fleet or a service in the platform's format.
fn any_values() -> impl Strategy<Value = Value> {
    let times = (1..600_000_u64, 5_000..600_000_u64);
    let counts = (2..9_u32, 1..5_000_u32, 0..2_u32);
    let shares = (0.0..=1.0, 0.01..=100.0);
    let class = (0..100_u32, 100..500_u64, 1..100_u64);
    (times, counts, shares, class).prop_map(|(times, counts, shares, class)| {
        json!({
            "drain_limit": format!("{}ms", times.0),
            "idle_limit": format!("{}ms", times.1),
            "slots": counts.0, "conns": counts.1, "reserve": counts.2,
            "retry_share": shares.0, "weight": shares.1,
            "class": {"photo": {
                "rank": class.0,
                "deadline": format!("{}ms", class.1),
                "service_time": format!("{}ms", class.2),
            }},
        })
    })
}

fn any_exception() -> impl Strategy<Value = Value> {
    let scope = prop_oneof![
        (0..3_u32).prop_map(|n| format!("endpoint/s0-{n}")),
        (0..3_u32).prop_map(|n| format!("service/s{n}")),
        (0..2_u32).prop_map(|n| format!("zone/z{n}")),
        (0..2_u32, 0..3_u32).prop_map(|(n, m)| format!("host/h{n} service/s{m}")),
    ];
    (scope, 2..9_u32, 0.01..=100.0).prop_map(|(scope, slots, weight)| {
        json!({
            "scope": scope, "set": {"slots": slots, "weight": weight},
            "reason": "drawn by a test", "author": "tester", "date": "2026-11-03",
        })
    })
}

/// Generates a complete configuration as a JSON value with the structure of the file.
fn any_config() -> impl Strategy<Value = Value> {
    let services = prop::collection::vec((any_values(), any::<[bool; 3]>()), 3);
    let exceptions = prop::collection::vec(any_exception(), 0..5);
    (any_values(), services, exceptions).prop_map(|(fleet, services, exceptions)| {
        let services: serde_json::Map<String, Value> = services
            .into_iter()
            .enumerate()
            .map(|(index, (values, leaving))| {
                (format!("s{index}"), service_value(index, values, leaving))
            })
            .collect();
        json!({"fleet": fleet, "service": services, "exception": exceptions})
    })
}

fn service_value(service: usize, mut values: Value, leaving: [bool; 3]) -> Value {
    let endpoints = leaving.iter().enumerate().map(|(index, leaving)| {
        json!({
            "name": format!("s{service}-{index}"),
            "addr": format!("127.0.0.1:{}", 20_000 + service * 10 + index),
            "zone": format!("z{}", index % 2),
            "state": if *leaving { "leaving" } else { "live" },
        })
    });
    values["endpoint"] = endpoints.collect();
    values["zones"] = json!(["z0", "z1"]);
    values
}

fn platform_values(root: &Value) -> Vec<(String, String)> {
    let services = root["service"].as_object().unwrap();
    let services = services
        .iter()
        .map(|(name, value)| (format!("service/{name}"), value));
    let others = [
        ("fleet", &root["fleet"]),
        ("exceptions", &root["exception"]),
    ];
    let others = others.map(|(key, value)| (key.to_owned(), value));
    let all = services.chain(others);
    all.map(|(key, value)| (key, value.to_string())).collect()
}

/// Replaces the item at `position` of a depth-first walk over the value.
fn replace_nth(value: &mut Value, position: &mut usize, replacement: &Value) {
    if *position == 0 {
        value.clone_from(replacement);
    }
    *position = position.wrapping_sub(1);
    match value {
        Value::Array(list) => list
            .iter_mut()
            .for_each(|item| replace_nth(item, position, replacement)),
        Value::Object(map) => map
            .values_mut()
            .for_each(|item| replace_nth(item, position, replacement)),
        _ => {}
    }
}

fn any_json() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,12}".prop_map(Value::from),
        Just(json!([])),
        Just(json!({})),
        Just(json!({"class": {"photo": []}})),
    ]
}

proptest! {
    #[test]
    fn file_and_platform_values_produce_the_same_services(root in any_config()) {
        let text = toml::to_string(&root).unwrap();
        let config = parse(&text);
        let values = platform_values(&root);
        let served = Config::from_values(as_str_pairs(&values)).unwrap();
        let round_tripped = round_trip_values(&config);
        for host in ["h0", "h1", "h2"] {
            for zone in ["z0", "z1"] {
                let expected = config.services(host, zone);
                prop_assert_eq!(&served.services(host, zone), &expected);
                prop_assert_eq!(&round_tripped.services(host, zone), &expected);
            }
        }
    }

    #[test]
    fn explain_agrees_with_the_services(root in any_config()) {
        let config = parse(&toml::to_string(&root).unwrap());
        for endpoint in config.services("h1", "z0").iter().flat_map(|s| &s.endpoints) {
            let explained = config.explain(&format!("host/h1 endpoint/{}", endpoint.name)).unwrap();
            let value = |field: &str| explained.iter().find(|e| e.field == field).unwrap().value.clone();
            prop_assert_eq!(value("slots"), endpoint.slots.to_string());
            prop_assert_eq!(value("conns"), endpoint.max_conns.to_string());
            prop_assert_eq!(value("weight"), Value::from(endpoint.weight).to_string());
        }
    }

    #[test]
    fn diff_is_empty_only_for_equal_configurations(old in any_config(), new in any_config()) {
        let old = parse(&toml::to_string(&old).unwrap());
        let new = parse(&toml::to_string(&new).unwrap());
        prop_assert_eq!(old.diff(&new).is_empty(), old == new);
        prop_assert!(old.diff(&old).is_empty());
        prop_assert!(Config::check_change(&old, &old).is_ok());
        prop_assert!(Config::check_change(&old, &new).is_ok());
    }

    #[test]
    fn arbitrary_text_does_not_panic(text in "\\PC{0,200}") {
        let _ = Config::parse("t.toml", &text);
    }

    #[test]
    fn truncated_or_patched_file_does_not_panic(from in 0..3_000_usize, to in 0..3_000_usize, patch in "\\PC{0,8}") {
        let count = HRAUNVIK.chars().count();
        let head = HRAUNVIK.chars().take(from % count);
        let tail = HRAUNVIK.chars().skip(to % count);
        let text: String = head.chain(patch.chars()).chain(tail).collect();
        let _ = Config::parse("t.toml", &text);
    }

    #[test]
    fn malformed_value_does_not_panic(mut root in any_config(), position in 1..60_usize, with in any_json()) {
        let mut remaining = position;
        replace_nth(&mut root, &mut remaining, &with);
        if root["service"].is_object() {
            let values = platform_values(&root);
            let _ = Config::from_values(as_str_pairs(&values));
        }
    }

    #[test]
    fn arbitrary_key_and_text_do_not_panic(key in "(fleet|keys|exceptions|service/|health/)?\\PC{0,12}", text in "\\PC{0,40}") {
        let _ = Config::from_values([(key.as_str(), text.as_str())]);
    }
}

/// An evacuation of the zone sv-b, as operators write it.
const EVACUATION: &str = r#"
[evacuate.sv-b]
reason = "the power is switched over"
author = "eva"
date = 2026-11-03
"#;

/// Guards against an order that is lost between the file, the platform and the hosts.
#[test]
fn evacuation_is_published_and_read_back() {
    let text = with_appended(EVACUATION).replace("= 2026-11-03", "= \"2026-11-03\"");
    let config = parse(&text);
    assert_eq!(config, parse(&with_appended(EVACUATION)));
    let zones: Vec<Name> = config.evacuated_zones().into_iter().collect();
    assert_eq!(zones, ["sv-b".into()]);
    let values: Vec<(String, String)> = config
        .values()
        .into_iter()
        .map(|(key, value)| (key, value.to_string()))
        .collect();
    assert!(values.iter().any(|(key, _)| key == "evacuate/sv-b"));
    let pairs = values.iter().map(|(key, text)| (&**key, &**text));
    let read = Config::from_values(pairs).unwrap();
    assert_eq!(read.evacuated_zones(), config.evacuated_zones());
    assert!(read.diff(&config).is_empty());
    assert_eq!(
        config.to_string(),
        "2 services, 3 endpoints, 0 exceptions, 1 evacuated zones"
    );
}

/// Guards against an order that is refused because of its body: the key is the order.
#[test]
fn evacuation_of_the_platform_is_valid_whatever_its_body() {
    for text in ["{}", "", "{", "[1]", r#"{"reason":5,"more":1}"#] {
        Config::check_value("evacuate/sv-b", text).unwrap();
        let values = [
            ("service/bestel", r#"{"zones":["gent"]}"#),
            ("evacuate/sv-b", text),
            ("evacuate/not a name", text),
        ];
        let zones = Config::from_values(values).unwrap().evacuated_zones();
        assert_eq!(zones.len(), 2, "{text}");
    }
    assert!(Config::check_value("evacuate/", "{}").is_err());
}

/// Guards against an evacuation that operators do not see where they look up a zone or an
/// endpoint, or before they publish it.
#[test]
fn evacuation_is_explained_and_shown_as_a_difference() {
    let config = parse(&with_appended(EVACUATION));
    for scope in ["zone/sv-b", "endpoint/a-2"] {
        let explained = config.explain(scope).unwrap();
        let order = explained.last().unwrap();
        assert_eq!((&*order.field, &*order.value), ("evacuated", "true"));
        assert_eq!(
            order.from,
            "evacuate sv-b by eva, 2026-11-03: the power is switched over"
        );
    }
    for scope in ["zone/sv-a", "endpoint/a-1", "service/adserve"] {
        let explained = config.explain(scope).unwrap();
        assert!(
            explained.iter().all(|value| value.field != "evacuated"),
            "{scope}"
        );
    }
    let changes = parse(BASE_CONFIG).diff(&config);
    let paths: Vec<&str> = changes.iter().map(|change| &*change.path).collect();
    assert_eq!(
        paths,
        [
            "evacuate/sv-b.author",
            "evacuate/sv-b.date",
            "evacuate/sv-b.reason"
        ]
    );
    Config::check_change(&parse(BASE_CONFIG), &config).unwrap();
    Config::check_change(&config, &parse(BASE_CONFIG)).unwrap();
}

/// Guards against a zone without endpoints, which is not known yet, that makes the file invalid.
#[test]
fn evacuation_of_an_unknown_zone_is_accepted() {
    let config = parse(&with_appended(&EVACUATION.replace("sv-b", "nowhere")));
    assert_eq!(config.evacuated_zones().len(), 1);
}

#[test]
fn invalid_evacuations_are_reported_with_line_and_remedy() {
    let cases = [
        ("reason = \"the power is switched over\"\n", ""),
        ("the power is switched over", "power"),
        ("reason", "reasn"),
        ("author = \"eva\"\n", ""),
        ("2026-11-03", "\"soon\""),
        ("[evacuate.sv-b]", "[evacuate.\"sv b\"]"),
        ("[evacuate.sv-b]", "[evacuat.sv-b]"),
        ("author", "until = 5\nauthor"),
    ];
    let errors: Vec<String> = cases
        .iter()
        .map(|(from, to)| parse_error(&with_appended(&EVACUATION.replace(from, to))))
        .collect();
    insta::assert_snapshot!(errors.join("\n---\n"), @r#"
    t.toml:28: evacuate.sv-b: `reason` is missing; add `reason`
    ---
    t.toml:29: evacuate.sv-b.reason: the reason is too short; explain in a few words why the zone is evacuated
    ---
    t.toml:28: evacuate.sv-b: `reason` is missing; add `reason`
    t.toml:29: evacuate.sv-b.reasn: unknown field `reasn`; did you mean `reason`?
    ---
    t.toml:28: evacuate.sv-b: `author` is missing; add `author`
    ---
    t.toml:31: evacuate.sv-b.date: "soon" is not a date; write YEAR-MONTH-DAY, as in 2026-11-03
    ---
    t.toml:28: evacuate.sv b: `sv b` is not a valid name; use 1 to 64 letters, digits, `-` and `_`
    ---
    t.toml:28: evacuat: unknown field `evacuat`; did you mean `evacuate`?
    ---
    t.toml:30: evacuate.sv-b.until: unknown field `until`; expected one of reason, author, date
    "#);
}
