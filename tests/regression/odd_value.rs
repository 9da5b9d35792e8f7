//! One odd value among those of the operators stops all hosts from following every later change,
//! and one odd entry in the host list stops them from following that list.

use jacinthhinge::control::{BuiltConfig, ConfigBuilder, Values};
use jacinthhinge::front::host_list;
use jacinthhinge::prelude::*;
use serde_json::json;

use crate::zone::{Node, Zone};

/// Time after its acknowledgement within which a change is in force.
const APPLY_LIMIT: Duration = Duration::from_secs(6);

/// Depth of nesting that overflows the stack of a recursive parser.
const DEPTH: usize = 100_000;

fn builder() -> ConfigBuilder {
    ConfigBuilder::new(|values: &Values| {
        let texts = values
            .iter()
            .filter_map(|(key, value)| Some((&**key, value.json.as_deref()?)));
        let config = Config::from_values(texts)?;
        Ok(BuiltConfig {
            services: config.services("sv-a-000", "sv-a"),
            ..BuiltConfig::default()
        })
    })
    .with_check(Config::check_value)
}

/// Returns the value of a service with one endpoint, as operators publish it.
fn service(name: &str, slots: u32, port: u16) -> String {
    let text = format!(
        r#"
        [service.{name}]
        zones = ["sv-a"]
        slots = {slots}
        [[service.{name}.endpoint]]
        name = "{name}-1"
        addr = "10.1.1.1:{port}"
        zone = "sv-a"
        "#
    );
    let config = Config::parse("test.toml", &text).expect("a valid file");
    let mut values = config.values().into_iter();
    let key = format!("service/{name}");
    let value = values.find(|(known, _)| *known == key);
    value.expect("the service").1.to_string()
}

fn slots(node: &Node, name: &str) -> Option<u32> {
    let service = node.snapshot.services.get(&Id::of(name))?;
    service.endpoints.first().map(|endpoint| endpoint.slots)
}

#[test]
fn odd_value_does_not_hold_back_the_others() {
    let deep = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    let regular = service("adserve", 3, 80);
    let odd = [
        ("service/adserve", deep.clone()),
        ("service/adserve", "[".repeat(DEPTH)),
        ("service/adserve", regular.replace(":80", ":65536")),
        (
            "service/adserve",
            regular.replace(":3", ":18446744073709551616"),
        ),
        ("service/adserve", regular.replace(":3", ":1e400")),
        ("service/adserve", json!({"zones": 1e300}).to_string()),
        ("service/other", deep),
        ("stray/key", "1".to_owned()),
        ("exceptions", "[".repeat(DEPTH)),
    ];
    for (key, text) in odd {
        assert_ne!(text, regular);
        let shown: String = text.chars().take(60).collect();
        let mut zone = Zone::new();
        zone.seeds = (0..3).map(crate::zone::peer_addr).collect();
        zone.platform.up = true;
        zone.set_value("service/adserve", Some(&regular));
        for host in 0..3 {
            zone.config_builder = builder();
            zone.start(host);
        }
        zone.run_for(APPLY_LIMIT);
        zone.set_value(key, Some(&text));
        zone.run_for(Duration::from_secs(1));
        zone.set_value("service/bestel", Some(&service("bestel", 2, 81)));
        let is_applied = |zone: &Zone| zone.all_nodes(|node| slots(node, "bestel") == Some(2));
        let elapsed = zone.run_until_condition(APPLY_LIMIT, is_applied);
        assert!(elapsed.is_some(), "{key} {shown}");
        assert!(
            zone.all_nodes(|node| slots(node, "adserve") == Some(3)),
            "{key} {shown}"
        );
        let refused = |node: &Node| node.control.tables().counters.refused_entries;
        assert!(zone.all_nodes(|node| refused(node) == 1), "{key} {shown}");
    }
}

#[test]
fn odd_entry_of_the_host_list_does_not_hold_back_the_others() {
    let valid = r#"{"name":"h","zone":"sv-a","state":"live","peer":"127.0.0.1:7"}"#;
    let deep = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    let odd = [
        deep.clone(),
        format!(r#"{{"name":{deep}}}"#),
        valid.replace(":7\"", ":65536\""),
        valid.replace("live", "resting"),
        valid.replace("\"h\"", "1e400"),
        "1e400".to_owned(),
        "null".to_owned(),
    ];
    for text in odd {
        let shown: String = text.chars().take(60).collect();
        let list = format!("[{valid},{text},{valid}]");
        let hosts = host_list::parse(9.into(), &list).expect("the valid entries");
        assert_eq!(hosts.hosts.len(), 2, "{shown}");
    }
}
