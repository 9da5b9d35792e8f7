//! Placement, admission and retries of one lane before fake backend servers.

use std::collections::HashMap;

use jacinthhinge::prelude::*;
use jacinthhinge::systems;
use jacinthhinge::tables::{Arrival, Outbox, OutgoingDatagram, RETRY_BURST, Tables};
use proptest::prelude::*;

const SERVICE: &str = "adserve";
const SLOTS: u32 = 3;
const RESERVE: u32 = 1;
const CONNS: u32 = 20;
const RETRIES: f64 = 0.1;
const SHORT: Duration = Duration::from_millis(10);

/// A lane with its backend servers, which answer only when told to.
struct Bed {
    tables: Tables,
    now: Duration,
    flow: u64,
    /// Work that each server has in hand, by address.
    hands: HashMap<SocketAddr, Vec<Packet>>,
    draining: HashMap<SocketAddr, bool>,
}

impl Bed {
    fn new(endpoints: Vec<Endpoint>) -> Self {
        let me = home();
        let empty = Arc::new(Snapshot::empty(keys()));
        let mut bed = Self {
            tables: Tables::new(me, empty, 7),
            now: Duration::from_secs(10),
            flow: 0,
            hands: HashMap::new(),
            draining: HashMap::new(),
        };
        bed.publish(endpoints);
        bed.settle();
        bed
    }

    fn publish(&mut self, endpoints: Vec<Endpoint>) {
        let mut snapshot = Snapshot::empty(keys()).with_services([service(endpoints)]);
        snapshot.lease.until = Duration::from_hours(1);
        let mut out = Outbox::default();
        systems::apply_snapshot(&mut self.tables, Arc::new(snapshot), self.now, &mut out);
        self.probed(out.datagrams);
    }

    /// Lets one tick pass.
    fn tick(&mut self) -> Vec<OutgoingDatagram> {
        self.now += systems::TICK_INTERVAL;
        let mut out = Outbox::default();
        systems::run_timers(&mut self.tables, self.now, &mut out);
        systems::run(&mut self.tables, self.now, &mut out);
        out.datagrams
    }

    fn settle(&mut self) {
        for _ in 0..4 {
            let sends = self.tick();
            self.probed(sends);
        }
    }

    fn feed(&mut self, packet: Packet) -> Vec<OutgoingDatagram> {
        let mut out = Outbox::default();
        self.tables.inbox.push(Arrival::new(packet.caller, packet));
        systems::run(&mut self.tables, self.now, &mut out);
        out.datagrams
    }

    /// Answers the probes among what was sent and notes the work.
    fn probed(&mut self, mut sends: Vec<OutgoingDatagram>) {
        while let Some(send) = sends.pop() {
            match send.packet.body {
                Body::Probe => {
                    let load = self.load(send.to);
                    let body = Body::Probed { known: false, load };
                    let packet = send.packet.reply(send.packet.ticket.clone(), body);
                    sends.extend(self.feed(packet));
                }
                Body::Work { dispatch, .. } => {
                    let hand = self.hands.entry(send.to).or_default();
                    if !hand.iter().any(|held| number(held) == dispatch) {
                        hand.push(send.packet);
                    }
                }
                _ => {}
            }
        }
    }

    fn load(&self, addr: SocketAddr) -> Load {
        let hand = self.hands.get(&addr).map_or(0, Vec::len);
        Load {
            incarnation: 1,
            active_requests: u32::try_from(hand).unwrap().min(SLOTS),
            conns: 0,
            draining: self.draining.get(&addr).copied().unwrap_or(false),
        }
    }

    fn ask(&mut self, class: Class, budget: Duration) -> Vec<OutgoingDatagram> {
        self.flow += 1;
        let body = Body::Ask {
            request: 1,
            class,
            time_left: budget,
            part: part(),
        };
        let sends = self.feed(packet(self.flow, body));
        self.probed(sends.clone());
        sends
    }

    fn open(&mut self) -> Option<SocketAddr> {
        self.flow += 1;
        let sends = self.feed(packet(self.flow, Body::Open));
        let open = sends.iter().find(|send| send.packet.body == Body::Open)?;
        Some(open.to)
    }

    /// Answers the oldest work in a server's hands.
    fn finish(&mut self, addr: SocketAddr) {
        let Some(work) = self.take(addr) else {
            return;
        };
        let (load, dispatch) = (self.load(addr), number(&work));
        let body = Body::Answer {
            request: 1,
            dispatch,
            load,
            part: part(),
        };
        let sends = self.feed(work.reply(work.ticket.clone(), body));
        self.probed(sends);
    }

    /// Refuses the oldest work in a server's hands.
    fn refuse(&mut self, addr: SocketAddr) {
        let Some(work) = self.take(addr) else {
            return;
        };
        let (load, dispatch) = (self.load(addr), number(&work));
        let body = Body::Refused {
            request: 1,
            dispatch,
            reason: Reason::Overload,
            load,
        };
        let sends = self.feed(work.reply(work.ticket.clone(), body));
        self.probed(sends);
    }

    fn take(&mut self, addr: SocketAddr) -> Option<Packet> {
        let hand = self.hands.get_mut(&addr)?;
        (!hand.is_empty()).then(|| hand.remove(0))
    }

    fn queued(&self, class: Class) -> usize {
        self.tables.requests.queue_len(Id::of(SERVICE), class)
    }

    fn long_in(&self, addr: SocketAddr) -> usize {
        let hand = self.hands.get(&addr).into_iter().flatten();
        hand.filter(|work| matches!(work.body, Body::Work { class, .. } if class.is_long_running()))
            .count()
    }

    fn addrs(&self) -> Vec<SocketAddr> {
        self.tables
            .endpoints
            .iter()
            .map(|row| row.spec.addr)
            .collect()
    }
}

fn keys() -> TicketKeys {
    TicketKeys::new("one", "two")
}

fn home() -> Home {
    Home {
        host: Id::of("host"),
        incarnation: 1,
        addr: SocketAddr::from(([10, 0, 0, 1], 1)),
    }
}

fn number(work: &Packet) -> u64 {
    match work.body {
        Body::Work { dispatch, .. } => dispatch,
        _ => panic!("only work is in hand"),
    }
}

fn part() -> Part {
    Part {
        index: 0,
        total: 1,
        data: Bytes::new(),
    }
}

fn packet(flow: u64, body: Body) -> Packet {
    Packet {
        service: Id::of(SERVICE),
        caller: SocketAddr::from(([10, 9, 0, 1], 9)),
        flow,
        hops: 0,
        ticket: Bytes::new(),
        body,
    }
}

fn service(endpoints: Vec<Endpoint>) -> Service {
    Service {
        id: Id::of(SERVICE),
        name: SERVICE.into(),
        endpoints,
        classes: Class::ALL.map(|class| Policy {
            rank: if class.is_long_running() { 1 } else { 2 },
            deadline: Duration::from_secs(5),
            service_time: if class.is_long_running() {
                SHORT * 50
            } else {
                SHORT
            },
        }),
        drain_limit: Duration::from_mins(1),
        idle_limit: Duration::from_mins(1),
        retry_share: RETRIES,
        reserved_slots: RESERVE,
    }
}

fn endpoint(index: u8) -> Endpoint {
    let name: Name = format!("adserve-{index}").into();
    Endpoint {
        id: Id::of(&name),
        name,
        addr: SocketAddr::from(([10, 1, 0, index], 1)),
        zone: "sv-a".into(),
        slots: SLOTS,
        max_conns: CONNS,
        weight: 1.0,
        draining: false,
        ..Endpoint::new("", SocketAddr::from(([10, 1, 0, index], 1)))
    }
}

fn endpoints(count: u8) -> Vec<Endpoint> {
    (0..count).map(endpoint).collect()
}

fn works(sends: &[OutgoingDatagram]) -> usize {
    let is_work = |send: &&OutgoingDatagram| matches!(send.packet.body, Body::Work { .. });
    sends.iter().filter(is_work).count()
}

/// An event of a random run.
#[derive(Clone, Copy, Debug)]
enum Step {
    Ask(Class),
    Finish(usize),
    Refuse(usize),
    Drain(usize),
    Tick,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let class = prop::sample::select(&[Class::Lookup, Class::Confirm, Class::Photo][..]);
    let step = prop_oneof![
        6 => class.prop_map(Step::Ask),
        5 => (0..4_usize).prop_map(Step::Finish),
        1 => (0..4_usize).prop_map(Step::Refuse),
        1 => (0..3_usize).prop_map(Step::Drain),
        2 => Just(Step::Tick),
    ];
    prop::collection::vec(step, 1..120)
}

fn apply(bed: &mut Bed, step: Step) {
    let addrs = bed.addrs();
    match step {
        Step::Ask(class) => {
            bed.ask(class, Duration::from_secs(5));
        }
        Step::Finish(index) => bed.finish(addrs[index]),
        Step::Refuse(index) => bed.refuse(addrs[index]),
        Step::Drain(index) => {
            bed.draining.insert(addrs[index], true);
        }
        Step::Tick => {
            let sends = bed.tick();
            bed.probed(sends);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn short_work_finds_the_reserved_slot(steps in steps()) {
        let mut bed = Bed::new(endpoints(4));
        for step in steps {
            apply(&mut bed, step);
            for addr in bed.addrs() {
                prop_assert!(bed.long_in(addr) <= (SLOTS - RESERVE) as usize);
            }
            let waits = bed.queued(Class::Lookup) + bed.queued(Class::Confirm) > 0;
            for row in bed.tables.endpoints.iter() {
                let usable = row.accepts_work(bed.now)
                    && bed.now >= row.paused_until
                    && f64::from(row.own_requests + 1) <= row.window;
                let held = bed.hands.get(&row.spec.addr).map_or(0, Vec::len);
                prop_assert!(!waits || !usable || held >= SLOTS as usize);
            }
        }
    }

    #[test]
    fn work_stays_away_from_endpoints_that_drain_or_are_full(steps in steps()) {
        let mut bed = Bed::new(endpoints(4));
        for step in steps {
            let before: HashMap<_, _> = bed.hands.iter().map(|(a, h)| (*a, h.len())).collect();
            let leaving: Vec<_> = bed.tables.endpoints.iter()
                .filter(|row| !row.accepts_work(bed.now))
                .map(|row| row.spec.addr)
                .collect();
            apply(&mut bed, step);
            for addr in bed.addrs() {
                let (was, is) = (before.get(&addr).copied().unwrap_or(0), bed.hands.get(&addr).map_or(0, Vec::len));
                prop_assert!(!leaving.contains(&addr) || is <= was, "work for a draining endpoint");
                prop_assert!(is <= SLOTS as usize + 1, "more than one request sent ahead");
            }
        }
    }

    #[test]
    fn retries_stay_within_the_budget(refusals in prop::collection::vec(any::<bool>(), 1..300)) {
        let mut bed = Bed::new(endpoints(4));
        for refuses in refusals {
            bed.ask(Class::Lookup, Duration::from_secs(5));
            for addr in bed.addrs() {
                if refuses { bed.refuse(addr) } else { bed.finish(addr) }
            }
            if refuses {
                apply(&mut bed, Step::Tick);
            }
            let counters = bed.tables.counters;
            #[allow(clippy::cast_precision_loss, reason = "few requests")]
            let (retries, taken) = (counters.retries as f64, counters.accepted_requests as f64);
            prop_assert!(retries <= RETRY_BURST + RETRIES * taken);
        }
    }

    #[test]
    fn bad_signs_never_empty_a_service(
        signs in prop::collection::vec((any::<bool>(), any::<bool>(), 0.0..=1.0_f64), 4),
    ) {
        let mut specs = endpoints(4);
        for (spec, (healthy, _, _)) in specs.iter_mut().zip(&signs) {
            spec.healthy = *healthy;
        }
        let mut bed = Bed::new(specs);
        for (spec, (_, mute, shed)) in endpoints(4).iter().zip(&signs) {
            let row = bed.tables.endpoints.get_mut(spec.id).unwrap();
            row.unanswered_since = mute.then_some(Duration::ZERO);
            row.refusal_rate = *shed;
        }
        prop_assert!(bed.open().is_some(), "no endpoint for a flow");
        let sends = bed.ask(Class::Lookup, Duration::from_secs(5));
        prop_assert_eq!(works(&sends), 1);
    }
}

#[test]
fn silent_endpoints_are_passed_over_and_found_again() {
    let mut bed = Bed::new(endpoints(2));
    let mute = endpoint(0);
    bed.tables
        .endpoints
        .get_mut(mute.id)
        .unwrap()
        .unanswered_since = Some(bed.now);
    bed.now += Duration::from_secs(1);
    for _ in 0..10 {
        assert_eq!(bed.open(), Some(endpoint(1).addr));
        bed.now += Duration::from_millis(10);
        let live = bed.tables.endpoints.get_mut(endpoint(1).id).unwrap();
        live.unanswered_since = None;
    }
    let sends = bed.tick();
    bed.probed(sends);
    let row = bed.tables.endpoints.get(mute.id).unwrap();
    assert_eq!(row.unanswered_since, None, "the probe was answered");
}

#[test]
fn a_false_report_of_bad_health_is_ignored() {
    let mut specs = endpoints(2);
    specs[0].healthy = false;
    let mut bed = Bed::new(specs);
    let opened: Vec<_> = (0..20).filter_map(|_| bed.open()).collect();
    assert!(opened.contains(&endpoint(0).addr));
}

#[test]
fn flows_and_work_stay_in_the_zone_until_it_is_short() {
    let mut specs = endpoints(2);
    specs[1].local = false;
    let mut bed = Bed::new(specs);
    let conns: Vec<_> = (0..20).filter_map(|_| bed.open()).collect();
    let local = conns.iter().filter(|addr| **addr == endpoint(0).addr);
    assert_eq!(local.count(), 16, "the local one fills to 0.8");
    assert!(conns[..16].iter().all(|addr| *addr == endpoint(0).addr));
    assert!(conns.contains(&endpoint(1).addr));
    for _ in 0..SLOTS {
        bed.ask(Class::Lookup, Duration::from_secs(5));
    }
    assert_eq!(bed.hands.get(&endpoint(1).addr).map_or(0, Vec::len), 0);
    bed.ask(Class::Lookup, Duration::from_secs(5));
    assert_eq!(bed.hands[&endpoint(1).addr].len(), 1);
}

#[test]
fn full_endpoints_get_no_flows() {
    let mut bed = Bed::new(endpoints(2));
    let opened = (0..50).filter_map(|_| bed.open()).count();
    assert_eq!(opened, 2 * CONNS as usize);
}

#[test]
fn a_new_endpoint_gets_fewer_flows_at_first() {
    let mut bed = Bed::new(endpoints(1));
    bed.now += Duration::from_secs(10);
    bed.settle();
    bed.publish(endpoints(2));
    let opened: Vec<_> = (0..12).filter_map(|_| bed.open()).collect();
    let new = opened.iter().filter(|addr| **addr == endpoint(1).addr);
    assert!(new.count() <= 2);
}

#[test]
fn half_the_weight_gets_half_of_light_work() {
    let mut all = endpoints(4);
    all[0].weight = 0.5;
    let mut bed = Bed::new(all);
    bed.now += Duration::from_secs(10);
    bed.settle();
    let mut counts: HashMap<SocketAddr, u32> = HashMap::new();
    for step in 0..2_400 {
        bed.ask(Class::Lookup, Duration::from_secs(1));
        bed.now += Duration::from_millis(5);
        for addr in bed.addrs() {
            if bed.hands.get(&addr).is_some_and(|hand| !hand.is_empty()) {
                bed.finish(addr);
                *counts.entry(addr).or_default() += u32::from(step >= 400);
            }
        }
        if step % 10 == 0 {
            bed.settle();
        }
    }
    let light = f64::from(counts[&endpoint(0).addr]);
    let others = f64::from(counts.values().sum::<u32>()) - light;
    let share = light / (others / 3.0);
    assert!((0.4..=0.6).contains(&share), "share {share}");
}

#[test]
fn what_cannot_be_run_in_time_is_refused_at_once() {
    let mut bed = Bed::new(endpoints(1));
    let budget = Duration::from_millis(200);
    let refused: Vec<bool> = (0..100)
        .map(|_| {
            let sends = bed.ask(Class::Lookup, budget);
            let ended = Body::Ended {
                request: 1,
                status: ExecutionStatus::NotRun,
                reason: Reason::Overload,
            };
            sends.iter().any(|send| send.packet.body == ended)
        })
        .collect();
    let first = refused.iter().position(|refused| *refused).unwrap();
    assert!(refused[first..].iter().all(|refused| *refused));
    assert_eq!(bed.queued(Class::Lookup), first - (SLOTS as usize));
}

#[test]
fn lower_ranks_are_refused_first() {
    let mut bed = Bed::new(endpoints(1));
    for _ in 0..80 {
        bed.ask(Class::Confirm, Duration::from_secs(5));
    }
    let tells = |sends: &[OutgoingDatagram]| {
        let is_end = |send: &OutgoingDatagram| matches!(send.packet.body, Body::Ended { .. });
        sends.iter().any(is_end)
    };
    let late = Duration::from_millis(650);
    assert!(tells(&bed.ask(Class::Photo, late)));
    assert!(!tells(&bed.ask(Class::Confirm, late)));
}

#[test]
fn a_dispatch_carries_the_time_that_is_left() {
    let mut bed = Bed::new(endpoints(1));
    for _ in 0..=SLOTS {
        bed.ask(Class::Lookup, Duration::from_secs(1));
    }
    assert_eq!(bed.queued(Class::Lookup), 1);
    bed.now += Duration::from_millis(40);
    bed.finish(endpoint(0).addr);
    let last = bed.hands[&endpoint(0).addr].last().unwrap();
    let Body::Work {
        time_left: budget, ..
    } = last.body
    else {
        panic!("only work is in hand");
    };
    assert_eq!(budget, Duration::from_millis(960));
}
