//! The answer to an abandoned fetch of members arrived while a fetch of values was in flight, and
//! was taken for the answer to that: it raised the revision without the values, which the host
//! then never fetched again.

use jacinthhinge::control::{Action, Control, Event, FetchRequest, FetchResponse, Heartbeat};
use jacinthhinge::prelude::*;

use crate::relaying::{ms, peer_heartbeat, relay_control};
use crate::second_outage::update;

/// Request of a fetch, and the event that brings its answer.
type Fetch = (FetchRequest, Box<dyn Fn(FetchResponse) -> Event>);

fn tick(control: &mut Control, now: Duration) -> Option<Fetch> {
    let outbox = control.handle(now, Event::Tick);
    outbox.into_iter().find_map(|action| match action {
        Action::Fetch {
            number, request, ..
        } => {
            let event = move |response| Event::Fetched {
                number,
                result: Ok(response),
            };
            Some((request, Box::new(event) as Box<_>))
        }
        _ => None,
    })
}

/// Receives a heartbeat of a host that has this revision.
fn hear(control: &mut Control, now: Duration, revision: u64) {
    let heartbeat = Heartbeat {
        revision: revision.into(),
        ..peer_heartbeat(now)
    };
    control.handle(now, Event::Heartbeat(Box::new(heartbeat)));
}

fn value(control: &Control) -> Option<Name> {
    let value = control.tables().values.values.get("gone");
    value.and_then(|value| value.json.clone())
}

#[test]
fn answer_to_an_abandoned_fetch_is_dropped() {
    let mut other = relay_control();
    other.handle(ms(100), Event::Values(Ok(update(1, Some("1")))));
    let mut host = relay_control();
    host.handle(ms(100), Event::Values(Ok(update(1, Some("1")))));
    hear(&mut host, ms(200), 1);
    let (request, event) = tick(&mut host, ms(300)).expect("a fetch of members");
    assert!(request.members && request.known_revision == Revision::MAX);
    other.handle(ms(400), Event::Values(Ok(update(2, Some("2")))));
    let late_event = event(other.answer_fetch(&request));

    // The host was paused; its own reads fail after that.
    host.handle(ms(4_900), Event::Values(Err(Error::platform("down"))));
    hear(&mut host, ms(4_950), 2);
    let (request, event) = tick(&mut host, ms(5_000)).expect("a fetch of values");
    assert_eq!(request.known_revision, 1.into());
    host.handle(ms(5_010), late_event);
    assert_eq!(host.tables().values.revision, 1.into());
    assert_eq!(value(&host).as_deref(), Some("1"));
    assert_eq!(tick(&mut host, ms(5_050)).map(|fetch| fetch.0), None);

    host.handle(ms(5_100), event(other.answer_fetch(&request)));
    assert_eq!(host.tables().values.revision, 2.into());
    assert_eq!(value(&host).as_deref(), Some("2"));
    assert_eq!(host.tables().counters.stale_fetches, 1);
}
