//! Endpoint health that the hosts of an availability zone share: suspicions, confirmation, resets
//! and trials, in several lanes without a network.

mod relaying;
mod sharing;

use jacinthhinge::prelude::*;
use jacinthhinge::report::EndpointReport;
use jacinthhinge::segment::{RelayAction, RequestKind};
use proptest::prelude::*;

use relaying::{
    LaneHarness, endpoint, is_forwarded_to, is_reset, local_endpoints, ms, opening_segment, vip,
};
use sharing::{Zone, host, report_of, row};

/// Port of a flow that waits for endpoint 1 on lane 3, without evidence of its own.
const WAITING_PORT: u16 = 9;

/// Returns a zone of four hosts with an open flow at endpoint 1 each.
fn zone_of_four() -> Zone {
    let mut zone = Zone::new(4, &local_endpoints(8));
    for lane in 0..3 {
        zone.open_at(lane, 1, 1);
    }
    zone.open_at(3, WAITING_PORT, 1);
    zone.keep_answering(2);
    zone.advance(ms(400));
    zone
}

/// Stalls one flow at endpoint 1 on each of the first three lanes.
fn stall_three(zone: &mut Zone) -> Vec<Vec<RelayAction>> {
    zone.stall(&[(0, 1, 1), (1, 1, 1), (2, 1, 1)], 2)
}

/// Advances while endpoint 2 answers.
fn run_answered(zone: &mut Zone, steps: u32) -> Vec<RelayAction> {
    let mut actions = Vec::new();
    for _ in 0..steps {
        zone.keep_answering(2);
        actions.extend(zone.advance(ms(100)).into_iter().flatten());
    }
    actions
}

fn count_resets(actions: &[RelayAction]) -> usize {
    let resets = actions.iter();
    resets
        .filter(|action| matches!(action, RelayAction::Reset { .. }))
        .count()
}

/// Publishes endpoints to a lane, and keeps its hosts.
fn publish_endpoints(lane: &mut LaneHarness, endpoints: &[Endpoint]) {
    let mut snapshot = (*relaying::snapshot(endpoints)).clone();
    snapshot.hosts = lane.tables.snapshot.hosts.clone();
    lane.publish(&Arc::new(snapshot));
}

/// Load: a shortage of capacity, in which endpoints with full queues answer late. Guards against
/// resets of flows of a live endpoint that several hosts take for silent; before, one was reset
/// 0.8 s after it had opened. New flows avoid the endpoint all the same.
#[test]
fn reports_confirm_nothing_while_capacity_is_short() {
    let mut zone = zone_of_four();
    let now = zone.lanes[3].now;
    let service = Id::of("adserve");
    for lane in [0, 3] {
        zone.lanes[lane].tables.demand.note_wait(service, now);
    }
    stall_three(&mut zone);
    zone.request(3, WAITING_PORT, 1);
    let actions = run_answered(&mut zone, 3);
    assert!(!actions.iter().any(|action| is_reset(action, WAITING_PORT)));
    assert!(zone.row(3, 1).down.is_none());
    assert!(zone.row(3, 1).suspicion.is_some());
}

/// Load: an endpoint exits without notice. A host that has seen no retransmission resets its
/// waiting flow as soon as others have shown that the endpoint is silent.
#[test]
fn silent_endpoint_is_down_for_a_host_without_own_evidence() {
    let mut zone = zone_of_four();
    stall_three(&mut zone);
    zone.request(3, WAITING_PORT, 1);
    let actions = run_answered(&mut zone, 3);
    assert!(actions.iter().any(|action| is_reset(action, WAITING_PORT)));
    let down = zone.row(3, 1).down.expect("down");
    assert!(down.confirmed && down.from_reports);
    let counters = zone.lanes[3].tables.counters;
    assert_eq!(
        (counters.reported_endpoints, counters.reported_resets),
        (1, 1)
    );
    assert_eq!(
        zone.row(3, 1)
            .suspicion
            .as_ref()
            .expect("shown")
            .observers
            .len(),
        3
    );
}

/// Load: as above, with a flow that is idle when the endpoint is declared down. Its next request
/// also acknowledges an answer from before, which does not count as an answer now.
#[test]
fn idle_flow_is_reset_at_its_next_request() {
    let mut zone = zone_of_four();
    zone.request(3, 10, 1);
    zone.advance(ms(400));
    stall_three(&mut zone);
    run_answered(&mut zone, 3);
    assert!(zone.is_down(3, 1));
    let next = relaying::data_segment(10, 1, 101, 100, 1_500);
    let actions = zone.lanes[3].receive(next);
    assert!(is_reset(&actions[0], 10), "{actions:?}");
    assert!(zone.is_down(3, 1));
}

/// Load: at-most-once requests wait at an endpoint that is declared down. Their answers may still
/// come, so they are not reset.
#[test]
fn flows_of_at_most_once_requests_are_left_waiting() {
    let mut zone = zone_of_four();
    for lane in &mut zone.lanes {
        let mut snapshot = (*lane.tables.snapshot).clone();
        let mut routes = (*snapshot.routes).clone();
        routes.get_mut(&vip()).expect("route").kind = RequestKind::Once;
        snapshot.routes = Arc::new(routes);
        lane.publish(&Arc::new(snapshot));
    }
    let mut resets = stall_three(&mut zone).concat();
    let forwarded = zone.request(3, WAITING_PORT, 1);
    assert!(is_forwarded_to(&forwarded, 1));
    resets.extend(run_answered(&mut zone, 5));
    assert!(zone.is_down(3, 1));
    assert_eq!(count_resets(&resets), 0);
}

/// Failure: an endpoint answers some flows and not others. The answers contradict the evidence,
/// so nothing is reset.
#[test]
fn gray_failure_resets_nothing() {
    let mut zone = zone_of_four();
    zone.open_at(3, 20, 1);
    let mut resets = 0;
    for step in 0..20 {
        if [0, 2, 6, 14].contains(&step) {
            for lane in 0..3 {
                zone.request(lane, 1, 1);
            }
        }
        zone.answer(3, 20, 1, 600 + step);
        resets += count_resets(&run_answered(&mut zone, 1));
    }
    assert_eq!(resets, 0);
    assert!((0..4).all(|lane| !zone.is_down(lane, 1)));
    assert!(zone.lanes[3].tables.counters.contradicted_reports > 0);
}

/// Failure: 30 of 150 endpoints exit together. All hosts find all of them, and no other one.
#[test]
fn correlated_exit_of_thirty_endpoints() {
    let mut zone = Zone::new(4, &local_endpoints(150));
    let mut flows = Vec::new();
    for lane in 0..4 {
        for number in 1..=150 {
            zone.open_at(lane, number, number.into());
            if number <= 30 && lane < 3 {
                flows.push((lane, number, u64::from(number)));
            }
        }
    }
    zone.keep_answering(150);
    zone.advance(ms(100));
    zone.stall(&flows, 150);
    zone.keep_answering(150);
    zone.advance(ms(200));
    for lane in 0..4 {
        let down: Vec<u64> = (1..=150)
            .filter(|number| zone.is_down(lane, *number))
            .collect();
        assert_eq!(down, (1..=30).collect::<Vec<_>>(), "lane {lane}");
    }
}

/// Failure: a partition lets one availability zone reach an endpoint and another not. Reports of
/// the other zone have no effect.
#[test]
fn reports_of_another_availability_zone_are_ignored() {
    let mut zone = zone_of_four();
    let others = [host(7, "b"), host(8, "b")];
    zone.hosts.extend(others.iter().cloned());
    zone.publish_hosts();
    zone.request(3, WAITING_PORT, 1);
    for other in &others {
        zone.tell(3, report_of(other, &[row(1, 5, 5, 700)], zone.now()));
    }
    assert_eq!(count_resets(&run_answered(&mut zone, 2)), 0);
    assert!(!zone.is_suspected(3, 1) && !zone.is_down(3, 1));
}

/// Load: an endpoint stops and returns several times. Each return ends its state on all hosts
/// within 200 ms.
#[test]
fn flapping_endpoint_is_up_after_each_answer() {
    let mut zone = zone_of_four();
    for round in 1..=3 {
        for lane in 0..3 {
            zone.open_at(lane, 1, 1);
        }
        let ports: Vec<_> = (0..3).map(|lane| (lane, 100 + round, 1)).collect();
        for (lane, port, number) in &ports {
            zone.open_at(*lane, *port, *number);
        }
        zone.stall(&ports, 2);
        run_answered(&mut zone, 3);
        assert!((0..4).all(|lane| zone.is_down(lane, 1)), "round {round}");
        // The endpoint answers the trial of one host.
        zone.answer(0, 200 + round, 1, 5);
        zone.answer(0, 200 + round, 1, 6);
        assert!(!zone.is_down(0, 1));
        run_answered(&mut zone, 2);
        assert!((0..4).all(|lane| !zone.is_down(lane, 1)), "round {round}");
        assert!(
            (0..4).all(|lane| !zone.is_suspected(lane, 1)),
            "round {round}"
        );
    }
}

/// Load: requests of 4 s take all slots. The endpoint acknowledges the first retransmission, so
/// callers send no second one, and nothing is reported.
#[test]
fn long_requests_in_all_slots_are_no_evidence() {
    let mut zone = zone_of_four();
    let mut resets = 0;
    for step in 0..40 {
        if [0, 2].contains(&step) {
            for lane in 0..3 {
                resets += count_resets(&zone.request(lane, 1, 1));
            }
        }
        resets += count_resets(&run_answered(&mut zone, 1));
    }
    assert_eq!(resets, 0);
    for lane in &zone.lanes {
        assert!(lane.tables.report.endpoints.is_empty());
    }
    assert!((0..4).all(|lane| !zone.is_suspected(lane, 1)));
}

/// Load: many flows wait for one endpoint. Each is reset once, and its load is released.
#[test]
fn many_waiting_flows_are_reset_once() {
    let mut zone = zone_of_four();
    let ports = 1_000..1_200;
    for port in ports.clone() {
        zone.open_at(3, port, 1);
    }
    stall_three(&mut zone);
    for port in ports.clone() {
        zone.request(3, port, 1);
    }
    let actions = run_answered(&mut zone, 4);
    for port in ports {
        let resets = actions.iter().filter(|action| is_reset(action, port));
        assert_eq!(resets.count(), 1, "port {port}");
    }
    assert_eq!(zone.row(3, 1).own_requests, 0);
}

/// Failure: no report arrives. Each host decides alone, as without reports.
#[test]
fn lost_reports_leave_own_evidence_only() {
    let mut zone = zone_of_four();
    zone.link = Box::new(|_, _, _| vec![]);
    stall_three(&mut zone);
    zone.request(3, WAITING_PORT, 1);
    assert_eq!(count_resets(&run_answered(&mut zone, 2)), 0);
    assert!(zone.is_suspected(0, 1) && !zone.is_down(0, 1));
    assert!(!zone.is_suspected(3, 1));
}

/// Failure: the first message of each host is lost. The report is repeated.
#[test]
fn lost_report_is_repeated() {
    let mut zone = zone_of_four();
    let start = zone.now();
    zone.link = Box::new(move |now, _, _| {
        if now < start + ms(850) {
            vec![]
        } else {
            vec![ms(1)]
        }
    });
    stall_three(&mut zone);
    run_answered(&mut zone, 8);
    assert!(zone.is_down(3, 1));
}

/// Failure: messages are duplicated and overtake each other. The newest one counts, so an answer
/// is not forgotten because of an older report.
#[test]
fn duplicated_and_reordered_reports() {
    let mut zone = zone_of_four();
    zone.link = Box::new(|now, from, _| {
        let late = (now.as_millis() / 50 + from as u128) % 3;
        vec![ms(1), ms(100 * u64::try_from(late).expect("small"))]
    });
    stall_three(&mut zone);
    run_answered(&mut zone, 3);
    assert!((0..4).all(|lane| zone.is_down(lane, 1)));
    zone.answer(0, 30, 1, 5);
    zone.answer(0, 30, 1, 6);
    run_answered(&mut zone, 4);
    assert!((0..4).all(|lane| !zone.is_down(lane, 1)));
    assert!((0..4).all(|lane| !zone.is_suspected(lane, 1)));
}

/// Failure: a report is from an earlier incarnation of its host, or about one of the endpoint.
#[test]
fn reports_of_earlier_incarnations_are_ignored() {
    let mut zone = zone_of_four();
    let mut of_host = report_of(&zone.hosts[0], &[row(1, 9, 9, 700)], zone.now());
    of_host.incarnation = 0;
    let old_endpoint = EndpointReport {
        started_ms: 77,
        ..row(1, 9, 9, 700)
    };
    let of_endpoint = report_of(&zone.hosts[1], &[old_endpoint], zone.now());
    zone.request(3, WAITING_PORT, 1);
    zone.tell(3, of_host);
    zone.tell(3, of_endpoint);
    assert_eq!(count_resets(&zone.advance(ms(250)).concat()), 0);
    assert!(!zone.is_suspected(3, 1));
}

/// Failure: a host reports most endpoints, or says itself that it is impaired.
#[test]
fn host_that_is_wrong_about_everything_is_ignored() {
    let mut zone = zone_of_four();
    let rows: Vec<_> = (1..=8).map(|number| row(number, 9, 9, 700)).collect();
    let mut wrong = report_of(&zone.hosts[0], &rows, zone.now());
    Arc::make_mut(&mut wrong.report).used_endpoints = 8;
    let mut impaired = report_of(&zone.hosts[1], &[row(1, 9, 9, 700)], zone.now());
    Arc::make_mut(&mut impaired.report).is_impaired = true;
    zone.request(3, WAITING_PORT, 1);
    zone.tell(3, wrong);
    zone.tell(3, impaired);
    assert_eq!(count_resets(&zone.advance(ms(250)).concat()), 0);
    assert!((1..=8).all(|number| !zone.is_suspected(3, number)));
}

/// Failure: a host reports one live endpoint again and again. It steers flows away for 2 s and
/// resets none; the answers of this host contradict it.
#[test]
fn host_that_lies_about_one_endpoint() {
    let mut zone = zone_of_four();
    let mut suspected = 0;
    zone.request(3, WAITING_PORT, 1);
    let liar = zone.hosts[0].clone();
    for _ in 0..60 {
        zone.tell(3, report_of(&liar, &[row(1, 9, 9, 10)], zone.now()));
        assert_eq!(count_resets(&zone.advance(ms(100)).concat()), 0);
        suspected += u32::from(zone.is_suspected(3, 1));
    }
    assert!(
        (15..=21).contains(&suspected),
        "{suspected} of 60 spans of 100 ms"
    );
    zone.answer(3, WAITING_PORT, 1, 700);
    zone.tell(3, report_of(&liar, &[row(1, 9, 9, 500)], zone.now()));
    zone.advance(ms(150));
    let told = zone.lanes[3].tables.report.endpoints.clone();
    assert!(told.len() == 1 && told[0].evidence() == 0, "{told:?}");
}

/// Failure: a host reports one endpoint in several rows of a message. It counts as one observer and
/// cannot confirm the endpoint as down; with a second host the same evidence does.
#[test]
fn several_rows_of_one_host_are_one_observer() {
    let mut zone = zone_of_four();
    let evidence = [row(1, 9, 9, 600), row(1, 9, 9, 600)];
    let hosts = [zone.hosts[0].clone(), zone.hosts[1].clone()];
    for _ in 0..10 {
        zone.tell(3, report_of(&hosts[0], &evidence, zone.now()));
        zone.advance(ms(100));
        assert!(!zone.is_down(3, 1));
    }
    for _ in 0..5 {
        for host in &hosts {
            zone.tell(3, report_of(host, &evidence[..1], zone.now()));
        }
        zone.advance(ms(100));
    }
    assert!(zone.is_down(3, 1));
}

/// Failure: the zone is partitioned while reports spread. The part with too little evidence waits,
/// and finds the endpoint down once the partition ends.
#[test]
fn partition_in_the_middle_of_the_spread() {
    let mut zone = zone_of_four();
    let start = zone.now();
    zone.link = Box::new(move |now, from, to| {
        let split = now < start + ms(1_500) && (from == 0) != (to == 0);
        if split { vec![] } else { vec![ms(1)] }
    });
    stall_three(&mut zone);
    run_answered(&mut zone, 4);
    assert!((0..4).all(|lane| !zone.is_down(lane, 1)));
    assert!(zone.is_suspected(3, 1));
    run_answered(&mut zone, 10);
    assert!(zone.is_down(3, 1));
}

/// Failure: a host starts while an endpoint is down. The first report tells it.
#[test]
fn host_that_starts_into_a_failure_avoids_the_endpoint() {
    let mut zone = Zone::new(1, &local_endpoints(2));
    zone.hosts.push(host(1, "a"));
    zone.publish_hosts();
    zone.tell(
        0,
        report_of(&zone.hosts[1], &[row(1, 2, 0, 700)], zone.now()),
    );
    zone.advance(ms(50));
    zone.lanes[0].tables.endpoints.iter_mut().for_each(|row| {
        row.last_trial = Duration::from_secs(11);
    });
    for port in 1..=10 {
        assert_eq!(zone.lanes[0].establish_flow(port), 2);
        zone.advance(ms(100));
        zone.tell(
            0,
            report_of(&zone.hosts[1], &[row(1, 2, 0, 700)], zone.now()),
        );
    }
}

/// Failure: the wall clock of a host jumps by a day. Only ages count, so nothing changes.
#[test]
fn clocks_that_jump_have_no_effect() {
    let mut zone = zone_of_four();
    let times = [u64::MAX, 0, 86_400_000_000];
    for (index, time) in times.into_iter().enumerate() {
        let mut report = report_of(&zone.hosts[index], &[row(1, 1, 0, 300)], zone.now());
        report.sent_at = jacinthhinge::control::message::Timestamp(time);
        zone.tell(3, report);
    }
    zone.advance(ms(300));
    assert!(zone.is_down(3, 1));
}

/// Failure: reports are too old to count.
#[test]
fn old_reports_do_not_count() {
    let mut zone = zone_of_four();
    let taken_at = zone.now().saturating_sub(ms(1_600));
    for index in 0..3 {
        zone.tell(
            3,
            report_of(&zone.hosts[index], &[row(1, 1, 0, 300)], taken_at),
        );
    }
    zone.advance(ms(300));
    assert!(!zone.is_suspected(3, 1) && !zone.is_down(3, 1));
}

/// Failure: an endpoint restarts under its id. Neither evidence nor state carries over.
#[test]
fn restarted_endpoint_is_up() {
    let mut zone = zone_of_four();
    stall_three(&mut zone);
    run_answered(&mut zone, 3);
    assert!(zone.is_down(3, 1));
    let mut endpoints = local_endpoints(8);
    endpoints[0].started_ms = 5_000;
    for lane in &mut zone.lanes {
        publish_endpoints(lane, &endpoints);
    }
    run_answered(&mut zone, 3);
    for lane in 0..4 {
        assert!(
            !zone.is_down(lane, 1) && !zone.is_suspected(lane, 1),
            "lane {lane}"
        );
        assert!(zone.lanes[lane].tables.report.endpoints.is_empty());
    }
}

/// Failure: another endpoint takes the address of one that is reported. It is not suspected.
#[test]
fn address_taken_by_another_endpoint() {
    let mut zone = zone_of_four();
    let mut endpoints = local_endpoints(8);
    endpoints.push(Endpoint {
        addr: endpoints[0].addr,
        ..endpoint(9, "a")
    });
    publish_endpoints(&mut zone.lanes[3], &endpoints);
    for index in 0..3 {
        zone.tell(
            3,
            report_of(&zone.hosts[index], &[row(1, 1, 1, 300)], zone.now()),
        );
    }
    zone.advance(ms(300));
    assert!(!zone.is_suspected(3, 9) && !zone.is_down(3, 9));
    assert!(
        !zone.is_down(3, 1),
        "it is replaced, so its reports are void"
    );
}

/// Load: all hosts suspect an endpoint. One of them tries it, and its answer is up everywhere.
#[test]
fn one_host_of_the_zone_sends_trials() {
    let mut zone = zone_of_four();
    stall_three(&mut zone);
    run_answered(&mut zone, 3);
    let mut trying = Vec::new();
    for lane in 0..4 {
        let mut opened = (500..520).map(|port| zone.lanes[lane].open_flow(port));
        if opened.any(|number| number == 1) {
            trying.push(lane);
        }
    }
    assert_eq!(trying.len(), 1, "{trying:?}");
    let lane = trying[0];
    let flows = zone.lanes[lane].tables.tracked_flows.iter();
    let trial = flows
        .filter(|flow| flow.endpoint == Id::of("i-01") && flow.addrs.caller.port() >= 500)
        .map(|flow| flow.addrs.caller.port())
        .next()
        .expect("trial");
    zone.lanes[lane].receive(relaying::data_segment(trial, 1, 0, 0, 500));
    assert!(!zone.is_down(lane, 1));
    run_answered(&mut zone, 2);
    assert!((0..4).all(|lane| !zone.is_down(lane, 1)));
}

/// Load: an endpoint stays silent for 8 s. Only one host of the zone loses openings to it, once a
/// second.
#[test]
fn trials_of_a_silent_endpoint_stay_with_one_host() {
    let mut zone = zone_of_four();
    stall_three(&mut zone);
    run_answered(&mut zone, 3);
    let mut trials: Vec<(usize, u16)> = Vec::new();
    let mut copies: Vec<(u32, usize, u16)> = Vec::new();
    let mut port = 1_000;
    for step in 0..80 {
        for (_, lane, port) in copies.iter().filter(|(due, _, _)| *due == step) {
            zone.lanes[*lane].receive(opening_segment(*port, 1));
        }
        for lane in 0..4 {
            port += 1;
            let actions = zone.lanes[lane].receive(opening_segment(port, 0));
            match actions[..] {
                [
                    RelayAction::Forward {
                        endpoint_number: 1, ..
                    },
                ] => {
                    trials.push((lane, port));
                    copies.push((step + 2, lane, port));
                }
                [
                    RelayAction::Forward {
                        endpoint_number: number,
                        ..
                    },
                ] => {
                    let opened = relaying::data_segment(port, number, 0, 0, 500);
                    zone.lanes[lane].receive(opened);
                }
                _ => {}
            }
        }
        run_answered(&mut zone, 1);
    }
    assert!((6..=9).contains(&trials.len()), "{trials:?}");
    let reporting: Vec<usize> = (0..4)
        .filter(|lane| !zone.lanes[*lane].tables.report.endpoints.is_empty())
        .collect();
    assert_eq!(reporting, [trials[0].0], "only that host reports it");
    let lane = trials[0].0;
    assert!(trials.iter().all(|(other, _)| *other == lane), "{trials:?}");
    assert!((0..4).all(|lane| zone.is_down(lane, 1)));
}

/// Failure: this host alone has marked an endpoint as down. When another host has an answer from
/// it, this one tries it at once instead of after the trial period.
#[test]
fn answer_to_another_host_hastens_the_trial() {
    let mut zone = zone_of_four();
    for port in [30, 31] {
        zone.open_at(0, port, 1);
    }
    zone.stall(&[(0, 30, 1), (0, 31, 1)], 2);
    assert!(zone.is_down(0, 1), "by its own observations");
    let tried = (500..510).any(|port| zone.lanes[0].open_flow(port) == 1);
    assert!(tried);
    run_answered(&mut zone, 1);
    zone.answer(3, WAITING_PORT, 1, 700);
    run_answered(&mut zone, 2);
    assert!(zone.is_down(0, 1), "its own path may be at fault");
    let tried = (600..610).any(|port| zone.lanes[0].open_flow(port) == 1);
    assert!(tried, "within the trial period");
}

/// Load: an opening is not answered, and its copy or the time shows it. Both are evidence.
#[test]
fn unanswered_openings_are_evidence() {
    let mut zone = Zone::new(1, &local_endpoints(3));
    zone.keep_answering(3);
    let silent = zone.lanes[0].open_flow(1);
    zone.advance(ms(200));
    zone.lanes[0].receive(opening_segment(1, 1));
    zone.advance(ms(100));
    let report = zone.lanes[0].tables.report.clone();
    assert_eq!(report.endpoints.len(), 1);
    assert_eq!(report.endpoints[0].unanswered_opens, 1);
    assert_eq!(
        report.endpoints[0].endpoint,
        Id::of(&format!("i-{silent:02x}"))
    );
    zone.advance(ms(300));
    let report = zone.lanes[0].tables.report.clone();
    assert_eq!(report.endpoints.len(), 2, "the copy is not answered either");
    zone.lanes[0].receive(relaying::data_segment(1, silent, 0, 0, 500));
    zone.advance(ms(150));
    let report = zone.lanes[0].tables.report.clone();
    let answered = report
        .endpoints
        .iter()
        .find(|row| row.endpoint == Id::of(&format!("i-{silent:02x}")));
    assert_eq!(
        answered.map(EndpointReport::evidence),
        Some(0),
        "reported as cleared"
    );
}

/// A report is not made anew while only time passes, except for a refresh every 500 ms.
#[test]
fn unchanged_report_is_refreshed_rarely() {
    let mut zone = zone_of_four();
    stall_three(&mut zone);
    run_answered(&mut zone, 2);
    let mut reports: Vec<Duration> = Vec::new();
    for _ in 0..12 {
        zone.advance(ms(100));
        reports.push(zone.lanes[0].tables.report.taken_at);
    }
    reports.dedup();
    assert!((2..=4).contains(&reports.len()), "{reports:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 48, ..ProptestConfig::default() })]

    /// Failure: one host sends arbitrary reports about live endpoints. No open flow is reset.
    #[test]
    fn reports_of_one_host_reset_no_flow(
        messages in prop::collection::vec(
            (prop::collection::vec((1..=8_u8, any::<u16>(), any::<u16>(), 0..20_000_u64, any::<bool>()), 0..8), 0..2_000_u64, 1..400_u64),
            1..20,
        ),
    ) {
        let mut zone = zone_of_four();
        for port in 40..48 {
            zone.open_at(3, port, u64::from(port - 39));
        }
        let liar = zone.hosts[0].clone();
        let mut resets = 0;
        for (rows, age, wait) in messages {
            let rows: Vec<EndpointReport> = rows
                .into_iter()
                .map(|(number, opens, stalled, silent, heard)| EndpointReport {
                    heard_ago: heard.then(|| ms(silent / 2)),
                    ..row(number, opens.into(), stalled.into(), silent)
                })
                .collect();
            let taken_at = zone.now().saturating_sub(ms(age));
            zone.tell(3, report_of(&liar, &rows, taken_at));
            for port in 40..48 {
                resets += count_resets(&zone.request(3, port, u64::from(port - 39)));
            }
            resets += count_resets(&zone.advance(ms(wait)).concat());
            for port in 40..48 {
                zone.ack_count += 1;
                let ack = 2_000 + zone.ack_count;
                zone.answer(3, port, u64::from(port - 39), ack);
            }
        }
        prop_assert_eq!(resets, 0);
    }
}

/// Load: hosts and endpoints without a suspicion. Guards against work for reports in every tick of
/// a lane, which grew with endpoints times hosts.
#[test]
fn lane_without_evidence_evaluates_nothing() {
    let mut zone = zone_of_four();
    let evaluations = |zone: &Zone| zone.lanes[3].tables.counters.health_evaluations;
    run_answered(&mut zone, 20);
    assert_eq!(evaluations(&zone), 0);
    let report = report_of(&zone.hosts[0], &[row(1, 1, 0, 300)], zone.now());
    zone.tell(3, report);
    zone.lanes[3].advance(ms(50));
    assert_eq!(evaluations(&zone), 1);
    assert!(zone.is_suspected(3, 1));
    for lane in &mut zone.lanes {
        lane.advance(ms(1_000));
    }
    let passed = evaluations(&zone) - 1;
    assert!((4..=8).contains(&passed), "{passed} in a second");
    for lane in &mut zone.lanes {
        lane.advance(ms(10_000));
    }
    let ended = evaluations(&zone);
    assert!(!zone.is_suspected(3, 1));
    for lane in &mut zone.lanes {
        lane.advance(ms(10_000));
    }
    assert_eq!(evaluations(&zone), ended, "nothing is left to evaluate");
}
