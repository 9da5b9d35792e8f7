//! Endpoint tables after any sequence of configuration changes.

mod relaying;

use jacinthhinge::prelude::*;
use jacinthhinge::tables::{Tables, cookie_of};
use proptest::prelude::*;
use relaying::{LaneHarness, endpoint, ms, snapshot};

/// Numbers of the endpoints.
const COUNT: u8 = 6;

/// One endpoint of a configuration.
#[derive(Clone, Debug)]
struct Listing {
    number: u8,
    run: u64,
    addr: u8,
    draining: bool,
}

fn listing() -> impl Strategy<Value = Vec<Listing>> {
    let one = (1..=COUNT, 1..=2_u64, 1..=COUNT, any::<bool>());
    let one = one.prop_map(|(number, run, addr, draining)| Listing {
        number,
        run,
        addr: if draining { number } else { addr },
        draining,
    });
    prop::collection::btree_map(1..=COUNT, one, 0..=usize::from(COUNT)).prop_map(|rows| {
        let rows = rows.into_iter();
        rows.map(|(number, row)| Listing { number, ..row })
            .collect()
    })
}

fn configuration(listings: &[Listing]) -> Arc<Snapshot> {
    let endpoints = listings.iter().map(|row| Endpoint {
        addr: SocketAddr::from(([10, 1, 0, row.addr], 80)),
        started_ms: u64::from(row.number) * 10 + row.run,
        draining: row.draining,
        ..endpoint(row.number, "a")
    });
    snapshot(&endpoints.collect::<Vec<_>>())
}

/// Returns what a configuration alone determines of the tables.
fn state(tables: &Tables) -> Vec<(Endpoint, bool, bool, Option<Id>)> {
    let rows = tables.endpoints.iter();
    rows.map(|row| {
        let cookie = tables.cookies.find(cookie_of(row.spec.id));
        let is_draining = row.draining_since.is_some();
        (
            row.spec.clone(),
            row.replaced,
            is_draining,
            cookie.map(|found| found.id),
        )
    })
    .collect()
}

proptest! {
    /// Guards against an update in place that leaves tables different from those that are built
    /// from the last configuration alone.
    #[test]
    fn updates_in_place_equal_a_new_table(changes in prop::collection::vec(listing(), 1..12)) {
        let service = Id::of("adserve");
        let mut lane = LaneHarness::new(&[]);
        for listings in &changes {
            lane.now += ms(500);
            let config = configuration(listings);
            lane.publish(&config);
            let fresh = Tables::new(lane.tables.home, config, 1);
            prop_assert_eq!(state(&lane.tables), state(&fresh));
            let slots = |tables: &Tables| tables.endpoints.total_slots(service);
            prop_assert_eq!(slots(&lane.tables), slots(&fresh));
        }
    }
}

/// Guards against observations that are lost when only other endpoints change.
#[test]
fn observations_survive_changes_of_other_endpoints() {
    let row = |number, draining| Listing {
        number,
        run: 1,
        addr: number,
        draining,
    };
    let mut lane = LaneHarness::new(&[]);
    lane.publish(&configuration(&[row(1, false), row(2, false)]));
    for port in 1..=4 {
        lane.establish_flow(port);
    }
    let flows = |lane: &LaneHarness, number: u8| {
        let id = endpoint(number, "a").id;
        lane.tables.endpoints.get(id).map(|row| row.flow_count)
    };
    let known = flows(&lane, 1);
    assert!(known > Some(0));
    lane.publish(&configuration(&[row(1, false), row(2, true)]));
    assert_eq!(flows(&lane, 1), known);
    lane.publish(&configuration(&[row(1, false), row(3, false)]));
    assert_eq!(flows(&lane, 1), known);
    assert_eq!(flows(&lane, 2), None);
}
