//! Each published value is checked on its own before it is used. The fleet's defaults and the keys
//! were refused by this check because no service stood beside them, and hosts went on without them.

use jacinthhinge::control::{BuiltConfig, ConfigBuilder, Values};
use jacinthhinge::prelude::*;

use crate::zone::{Node, Zone};

const FILE: &str = r#"
    [fleet]
    slots = 7

    [service.adserve]
    zones = ["sv-a"]

    [[service.adserve.endpoint]]
    name = "a-1"
    addr = "10.1.1.1:80"
    zone = "sv-a"
"#;

#[test]
fn each_value_of_a_valid_file_passes_alone() {
    let config = Config::parse("test.toml", FILE).expect("a valid file");
    for (key, value) in config.values() {
        Config::check_value(&key, &value.to_string()).expect(&key);
    }
    let keys = r#"{"current":"a secret of some length","other":"another secret, as long"}"#;
    Config::check_value("keys", keys).expect("valid keys");
}

#[test]
fn invalid_fleet_value_is_refused_alone() {
    for text in [r#"{"slots":"many"}"#, r#"{"unknown":1}"#, "{"] {
        Config::check_value("fleet", text).expect_err(text);
    }
}

#[test]
fn host_uses_the_defaults_of_the_fleet() {
    let builder = ConfigBuilder::new(|values: &Values| {
        let texts = values
            .iter()
            .filter_map(|(key, value)| Some((&**key, value.json.as_deref()?)));
        let config = Config::from_values(texts)?;
        Ok(BuiltConfig {
            services: config.services("sv-a-000", "sv-a"),
            ..BuiltConfig::default()
        })
    })
    .with_check(Config::check_value);
    let config = Config::parse("test.toml", FILE).expect("a valid file");
    let mut zone = Zone::new();
    zone.platform.up = true;
    for (key, value) in config.values() {
        zone.set_value(&key, Some(&value.to_string()));
    }
    zone.config_builder = builder;
    zone.start(0);
    zone.run_for(Duration::from_secs(6));
    let slots = |node: &Node| {
        let service = node.snapshot.services.get(&Id::of("adserve"));
        service.map(|service| service.endpoints[0].slots)
    };
    assert!(zone.all_nodes(|node| slots(node) == Some(7)));
}
