//! Settings that change while a host runs, without a network.
//!
//! A changed settings file was logged as in force while only the seeds in it were used.

mod relaying;

use jacinthhinge::control::{Action, BuiltConfig, ConfigBuilder, Control, Event, LiveSettings};
use jacinthhinge::platform::settings::{self, ReloadedSettings, SettingsChange};
use jacinthhinge::prelude::*;
use jacinthhinge::snapshot::WarmupLimit;
use relaying::{addr, ms, relay_control};
use serde_json::{Value as Json, json};

fn settings_json() -> Json {
    json!({
        "NodeName": "edge-1", "Ip": "10.1.0.10", "Zone": "sv-a", "Region": "is-sudvestur",
        "Listen": {"DatagramAddr": "10.1.0.10:8172", "ReadyAddr": "10.1.0.10:8167"},
        "InternalPorts": [7720, 7735], "Seeds": ["10.2.0.40:8166"],
        "Zones": {"sv-a": "is-sudvestur"},
        "Bounds": {"GraceS": 6, "WarmupExcess": 1.5, "WarmupSlack": 5}, "platform": {"Address": "10.200.1.7:8169"},
    })
}

/// Reads `text` into the settings of a running host.
fn update(settings: &mut ReloadedSettings, text: &Json) -> SettingsChange {
    settings.update(settings::parse(&text.to_string()).expect("settings"))
}

fn start() -> ReloadedSettings {
    ReloadedSettings::new(settings::parse(&settings_json().to_string()).expect("settings"))
}

#[test]
fn each_field_that_changes_alone_is_named() {
    let cases = [
        ("/NodeName", json!("edge-2"), false),
        ("/Ip", json!("10.1.0.11"), false),
        ("/Zone", json!("sv-b"), false),
        ("/Region", json!("other"), false),
        ("/Listen/DatagramAddr", json!("10.1.0.10:1"), false),
        ("/Listen/ReadyAddr", json!("10.1.0.10:1"), false),
        ("/InternalPorts", json!([1, 16]), false),
        ("/Seeds", json!(["10.3.0.1:8166"]), true),
        ("/platform/Address", json!("10.200.1.8:8169"), true),
        ("/Bounds/GraceS", json!(9), true),
        ("/Bounds/WarmupExcess", json!(2.0), true),
        ("/Bounds/WarmupSlack", json!(0), true),
        (
            "/Zones",
            json!({"sv-a": "is-sudvestur", "sv-b": "is-sudvestur"}),
            true,
        ),
    ];
    for (pointer, value, can_change) in cases {
        let mut settings = start();
        let before = settings.in_force.clone();
        let mut text = settings_json();
        *text.pointer_mut(pointer).expect("a field") = value;
        let field = pointer[1..].replace('/', ".");
        let change = update(&mut settings, &text);
        let (named, others) = if can_change {
            (&change.applied, &change.need_restart)
        } else {
            (&change.need_restart, &change.applied)
        };
        assert_eq!(named[..], [&*field]);
        assert!(others.is_empty(), "{field}: {others:?}");
        assert_eq!(settings.in_force != before, can_change, "{field}");
        let repeated = update(&mut settings, &text);
        assert_eq!(repeated, SettingsChange::default(), "{field}");
        let reverted = update(&mut settings, &settings_json());
        assert_eq!(!reverted.applied.is_empty(), can_change, "{field}");
        assert!(reverted.need_restart.is_empty(), "{field}");
        assert_eq!(settings.in_force, before, "{field}");
    }
}

#[test]
fn field_that_needs_a_restart_does_not_hold_back_the_others() {
    let mut settings = start();
    let mut text = settings_json();
    text["Zone"] = json!("sv-b");
    text["Bounds"]["GraceS"] = json!(9);
    let change = update(&mut settings, &text);
    assert_eq!(change.need_restart[..], ["Zone"]);
    assert_eq!(change.applied[..], ["Bounds.GraceS"]);
    assert_eq!(&*settings.in_force.zone, "sv-a");
    assert_eq!(settings.in_force.grace_period, Duration::from_secs(9));
    text["Seeds"] = json!([]);
    let change = update(&mut settings, &text);
    assert_eq!(change.applied[..], ["Seeds"]);
    assert!(change.need_restart.is_empty(), "reported before");
}

fn live_settings(store: &str) -> LiveSettings {
    LiveSettings {
        config_builder: None,
        store_addr: addr(store),
        seeds: vec![],
        drain_limit: Duration::from_secs(5),
    }
}

/// Handles changed settings and returns the number of watches that begin at once.
fn count_watches(control: &mut Control, now: u64, settings: LiveSettings) -> usize {
    let outbox = control.handle(ms(now), Event::Settings(settings));
    let is_watch = |action: &&Action| matches!(action, Action::Watch { .. });
    outbox.iter().filter(is_watch).count()
}

#[test]
fn watch_at_the_earlier_address_of_the_store_is_replaced_at_once() {
    let mut control = relay_control();
    let (first, second) = (live_settings("10.0.0.1:1"), live_settings("10.0.0.1:2"));
    assert_eq!(count_watches(&mut control, 0, first.clone()), 0);
    control.handle(ms(100), Event::Tick);
    let update = jacinthhinge::control::ValueUpdate {
        revision: 7.into(),
        is_full: true,
        ..Default::default()
    };
    control.handle(ms(200), Event::Values(Ok(update)));
    let started = (300..1_000).step_by(100).any(|at| {
        let outbox = control.handle(ms(at), Event::Tick);
        outbox.iter().any(|a| matches!(a, Action::Watch { .. }))
    });
    assert!(started);
    assert_eq!(count_watches(&mut control, 1_050, first), 0);
    assert_eq!(count_watches(&mut control, 1_060, second.clone()), 1);
    assert_eq!(count_watches(&mut control, 1_070, second), 0);
    assert_eq!(control.tables().counters.replaced_watches, 1);
}

#[test]
fn read_that_failed_at_the_earlier_address_is_repeated_without_a_pause() {
    let mut control = relay_control();
    count_watches(&mut control, 0, live_settings("10.0.0.1:1"));
    control.handle(ms(100), Event::Tick);
    for at in 0..5 {
        let failure = Err(Error::platform("down"));
        control.handle(ms(100 + at), Event::Values(failure));
    }
    let moved = live_settings("10.0.0.1:2");
    assert_eq!(count_watches(&mut control, 110, moved), 1);
}

#[test]
fn changed_seeds_are_contacted() {
    let mut control = relay_control();
    let seed = addr("10.9.0.1:7720");
    let settings = LiveSettings {
        seeds: vec![seed],
        ..live_settings("10.0.0.1:1")
    };
    control.handle(ms(50), Event::Settings(settings));
    let outbox = control.handle(ms(700), Event::Tick);
    let is_contact = |action: &Action| matches!(action, Action::Send { to, .. } if *to == seed);
    assert!(outbox.iter().any(is_contact));
}

#[test]
fn changed_drain_limit_ends_a_shutdown_that_has_begun() {
    let mut control = relay_control();
    count_watches(&mut control, 0, live_settings("10.0.0.1:1"));
    control.handle(ms(1_000), Event::Leave);
    let settings = LiveSettings {
        drain_limit: Duration::from_secs(2),
        ..live_settings("10.0.0.1:1")
    };
    control.handle(ms(1_500), Event::Settings(settings));
    let has_exited = |control: &mut Control, at| {
        let outbox = control.handle(ms(at), Event::Tick);
        outbox.iter().any(|action| matches!(action, Action::Exit))
    };
    assert!(!has_exited(&mut control, 2_900));
    assert!(has_exited(&mut control, 3_000));
}

/// A changed tolerance of warm-up limits was logged as in force, while the services kept the
/// earlier one until the next change of a value.
#[test]
fn services_are_built_anew_with_a_changed_builder() {
    let builder = |excess: f64| {
        ConfigBuilder::new(move |_| {
            let mut service = Service::new("adserve");
            service.warmup_limit = Some(WarmupLimit {
                rate: 1.0,
                excess,
                slack: 0.0,
            });
            Ok(BuiltConfig {
                services: vec![service],
                ..BuiltConfig::default()
            })
        })
    };
    let mut control = relay_control();
    let live = |excess| LiveSettings {
        config_builder: Some(builder(excess)),
        ..live_settings("10.0.0.1:1")
    };
    control.handle(ms(0), Event::Settings(live(1.0)));
    let update = jacinthhinge::control::ValueUpdate {
        revision: 7.into(),
        is_full: true,
        ..Default::default()
    };
    control.handle(ms(100), Event::Tick);
    control.handle(ms(150), Event::Values(Ok(update)));
    let outbox = control.handle(ms(200), Event::Settings(live(2.0)));
    let published = outbox.iter().rev().find_map(|action| match action {
        Action::Publish(snapshot) => Some(Arc::clone(snapshot)),
        _ => None,
    });
    let snapshot = published.expect("a snapshot");
    let limit = snapshot.services[&Id::of("adserve")].warmup_limit;
    let expected = WarmupLimit {
        rate: 1.0,
        excess: 2.0,
        slack: 0.0,
    };
    assert_eq!(limit, Some(expected));
}
