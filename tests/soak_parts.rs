//! Tests of the soak's simulated callers and endpoints and of its checker: a fault of theirs
//! looks like one of the hosts.

// The soak uses every part of these modules, this test only some.
#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

#[path = "../examples/soak/caller.rs"]
mod caller;
#[path = "../examples/soak/endpoint.rs"]
mod endpoint;
#[path = "../examples/soak/history.rs"]
mod history;
#[path = "../examples/soak/hosts.rs"]
mod hosts;
#[path = "../examples/soak/ledger.rs"]
mod ledger;
#[path = "../examples/soak/packet.rs"]
mod packet;
#[path = "../examples/soak/store.rs"]
mod store;

use caller::{CallerNode, Vip};
use endpoint::{EndpointSpec, RunningEndpoint, STATUS_DONE};
use hosts::{LANE_PORT, Router};
use ledger::{Checker, FaultTarget};
use packet::{ACK, Flow, Packet, SYN};
use store::Store;

/// Availability zones, as in the soak.
pub const ZONES: [&str; 3] = ["za", "zb", "zc"];

/// Number of the endpoint that a stand-in plays.
const ENDPOINT: u64 = 1;

/// Port of the hosts' readiness probes.
const READY_PORT: u16 = 27_001;

const VIP: Vip = Vip {
    addr: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 444),
    service_tag: 1,
    run_once: true,
};

/// Returns an address that no other test and no other run of this one uses.
fn ip(test: u8, last: u8) -> Ipv4Addr {
    let run = u8::try_from(std::process::id() % 256).unwrap_or(0);
    Ipv4Addr::new(127, 32 + test, run, last)
}

/// A host and the endpoint behind it: accepts every flow and answers no request.
struct SilentHost {
    socket: Arc<UdpSocket>,
    checker: Checker,
    /// Acknowledge every second packet with data, as endpoints do.
    acknowledges: bool,
    /// Time from the first opening segment for which all of them are ignored.
    ignores_for: Duration,
    /// Time of the first opening segment at any host.
    first_at: Arc<OnceLock<Instant>>,
    /// Receives the time of each packet with data.
    requests: mpsc::UnboundedSender<Instant>,
}

impl SilentHost {
    async fn run(self) {
        let mut buffer = vec![0; 2_000];
        let mut count = 0;
        loop {
            let (size, from) = self.socket.recv_from(&mut buffer).await.unwrap();
            let (packet, _) = Packet::decode(&buffer[..size], false).unwrap();
            if packet.has_flag(SYN) {
                let first_at = self.first_at.get_or_init(Instant::now);
                if first_at.elapsed() < self.ignores_for {
                    continue;
                }
                self.note_owner(&packet.flow);
                self.send(&packet, SYN | ACK, 1, 1, from).await;
            } else if !packet.data.is_empty() {
                self.requests.send(Instant::now()).unwrap();
                count += 1;
                if self.acknowledges && count % 2 == 0 {
                    let len = u32::try_from(packet.data.len()).unwrap();
                    self.send(&packet, ACK, packet.ack, len, from).await;
                }
            }
        }
    }

    fn note_owner(&self, flow: &Flow) {
        self.checker.lock().flow_owners.insert(*flow, ENDPOINT);
    }

    /// Answers a packet; `acked` is the part of it that is acknowledged.
    async fn send(&self, packet: &Packet, flags: u8, seq: u32, acked: u32, to: SocketAddr) {
        let answer = Packet {
            flow: packet.flow,
            to_caller: true,
            seq,
            ack: packet.seq.wrapping_add(acked),
            cookie: 7,
            flags,
            data: Vec::new(),
        };
        self.socket.send_to(&answer.encode(), to).await.unwrap();
    }
}

/// Two hosts that answer no request, a caller, and the host that its first flow goes to.
struct Setup {
    checker: Checker,
    caller: CallerNode,
    used: Ipv4Addr,
    unused: Ipv4Addr,
    requests: mpsc::UnboundedReceiver<Instant>,
    _hosts: JoinSet<()>,
}

async fn set_up(test: u8, acknowledges: bool) -> Setup {
    set_up_slow(test, acknowledges, Duration::ZERO).await
}

async fn set_up_slow(test: u8, acknowledges: bool, ignores_for: Duration) -> Setup {
    let (checker, router) = (Checker::default(), Router::default());
    let (sender, requests) = mpsc::unbounded_channel();
    let first_at = Arc::default();
    let mut hosts = JoinSet::new();
    for last in [1, 2] {
        let socket = UdpSocket::bind((ip(test, last), LANE_PORT)).await.unwrap();
        let host = SilentHost {
            socket: Arc::new(socket),
            checker: checker.clone(),
            acknowledges,
            ignores_for,
            first_at: Arc::clone(&first_at),
            requests: sender.clone(),
        };
        hosts.spawn(host.run());
        router.add(ip(test, last));
    }
    let addr = SocketAddrV4::new(ip(test, 9), LANE_PORT);
    let caller = CallerNode::start(addr, router.clone(), checker.clone())
        .await
        .unwrap();
    // The port of a node's first flow.
    let flow = Flow {
        caller: SocketAddrV4::new(ip(test, 9), 4_000),
        front: VIP.addr,
    };
    let uses_first = *router.pick_host(&flow).ip() == ip(test, 1);
    let (used, unused) = if uses_first { (1, 2) } else { (2, 1) };
    Setup {
        checker,
        caller,
        used: ip(test, used),
        unused: ip(test, unused),
        requests,
        _hosts: hosts,
    }
}

impl Setup {
    /// Makes one request, up to its deadline, and returns the number of stalled requests that
    /// were reported.
    async fn count_stalls(&self) -> u32 {
        let (_sender, end) = watch::channel(Instant::now() + Duration::from_millis(600));
        self.caller.clone().run_caller(VIP, 1, end).await;
        let observed = self.checker.lock();
        assert_eq!(observed.total_requests, 1);
        let stalls = observed.violation_counts.get("stalled");
        stalls.copied().unwrap_or(0)
    }
}

/// Answers readiness probes, so that the host enters rotation and the others leave it.
async fn serve_readiness(ip: Ipv4Addr, delay: Duration) {
    sleep(delay).await;
    let listener = TcpListener::bind((ip, READY_PORT)).await.unwrap();
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        // The prober may have given up.
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await;
    }
}

/// Guards against callers that retransmit what an endpoint has acknowledged: to a host that looks
/// like an endpoint which does not answer, and the reset of such a flow was counted.
#[tokio::test]
async fn callers_retransmit_no_acknowledged_data() {
    let mut setup = set_up(0, true).await;
    assert_eq!(setup.count_stalls().await, 1);
    let mut copies = 0;
    while setup.requests.try_recv().is_ok() {
        copies += 1;
    }
    assert_eq!(copies, 2);
}

/// Guards against a stall that is attributed to a host which got no copy of the request, since the
/// one that got them left rotation before the deadline.
#[tokio::test]
async fn stall_is_not_attributed_to_a_host_without_copies() {
    let setup = set_up(1, false).await;
    setup.checker.begin_fault(FaultTarget::Host(setup.used));
    let ready = tokio::spawn(serve_readiness(setup.unused, Duration::from_millis(3_600)));
    assert_eq!(setup.count_stalls().await, 0);
    ready.abort();
}

/// Guards against a stall that is not reported, since the host that got no copy is under a fault.
#[tokio::test]
async fn stall_at_a_healthy_host_that_left_rotation_is_reported() {
    let setup = set_up(2, false).await;
    setup.checker.begin_fault(FaultTarget::Host(setup.unused));
    let ready = tokio::spawn(serve_readiness(setup.unused, Duration::from_millis(3_600)));
    assert_eq!(setup.count_stalls().await, 1);
    ready.abort();
}

/// Guards against a stall that is attributed to a host which got all copies of the request
/// within the recovery time after its start.
#[tokio::test]
async fn copies_within_the_recovery_time_of_a_host_are_exempt() {
    let setup = set_up(3, false).await;
    setup.checker.end_fault(FaultTarget::Host(setup.used));
    assert_eq!(setup.count_stalls().await, 0);
}

/// Guards against a recovery time that never ends: the host had its last fault long before.
#[tokio::test]
async fn stall_at_a_recovered_host_is_reported() {
    let setup = set_up(4, false).await;
    setup.checker.end_fault(FaultTarget::Host(setup.used));
    sleep(ledger::RECOVERY_TIME).await;
    assert_eq!(setup.count_stalls().await, 1);
}

/// Guards against a stall of a request whose last attempt began right before its deadline: in a play
/// of seed 4230 with 4 endpoints, 2 hosts and 12 callers 110 ms before it.
#[tokio::test]
async fn attempt_right_before_the_deadline_is_exempt() {
    let setup = set_up_slow(8, false, Duration::from_millis(3_300)).await;
    assert_eq!(setup.count_stalls().await, 0);
}

/// Guards against a stall that is not reported as its request was sent late, but in time.
#[tokio::test]
async fn stall_of_a_late_attempt_is_reported() {
    let setup = set_up_slow(9, false, Duration::from_millis(2_700)).await;
    assert_eq!(setup.count_stalls().await, 1);
}

/// Guards against a measured period without callers: in seeds 7016 and 7017 a write to a disk that
/// was busy for 9 to 11 s delayed the faults, and the callers had ended before the period began.
#[tokio::test]
async fn callers_go_on_until_an_end_that_is_set_later() {
    let setup = set_up(7, false).await;
    let (sender, end) = watch::channel(Instant::now() + Duration::from_hours(1));
    let running = tokio::spawn(setup.caller.clone().run_caller(VIP, 1, end));
    sleep(Duration::from_secs(6)).await;
    assert!(!running.is_finished());
    assert!(setup.checker.lock().total_requests >= 2);
    sender.send_replace(Instant::now());
    let ended = timeout(Duration::from_secs(6), running).await;
    assert!(ended.is_ok_and(|ended| ended.is_ok()));
}

/// An endpoint, and a caller's socket that sends to it as a host does.
struct EndpointSetup {
    running: RunningEndpoint,
    socket: UdpSocket,
    flow: Flow,
    checker: Checker,
}

async fn set_up_endpoint(test: u8) -> EndpointSetup {
    let checker = Checker::default();
    let at = |last, port| SocketAddr::from((ip(test, last), port));
    let store = Store::start(at(3, 27_100), &[]).await.unwrap();
    let spec = EndpointSpec {
        number: ENDPOINT,
        service: "main",
        service_tag: 1,
        zone: ZONES[0],
        addr: SocketAddrV4::new(ip(test, 4), 27_200),
        slots: 3,
        caller_port: LANE_PORT,
    };
    let rng = SmallRng::seed_from_u64(1);
    let running = RunningEndpoint::start(spec, store, checker.clone(), rng)
        .await
        .unwrap();
    EndpointSetup {
        running,
        socket: UdpSocket::bind((ip(test, 9), LANE_PORT)).await.unwrap(),
        flow: Flow {
            caller: SocketAddrV4::new(ip(test, 9), 4_000),
            front: VIP.addr,
        },
        checker,
    }
}

impl EndpointSetup {
    async fn send(&self, flags: u8, seq: u32, ack: u32, data: Vec<u8>) {
        let packet = Packet {
            flow: self.flow,
            to_caller: false,
            seq,
            ack,
            cookie: 7,
            flags,
            data,
        };
        let mut bytes = ENDPOINT.to_be_bytes().to_vec();
        bytes.extend_from_slice(&packet.encode());
        let to = self.running.endpoint.spec.addr;
        self.socket.send_to(&bytes, to).await.unwrap();
    }

    /// Returns the next packet within `limit`.
    async fn receive(&self, limit: Duration) -> Option<Packet> {
        let mut buffer = vec![0; 2_000];
        let (size, _) = timeout(limit, self.socket.recv_from(&mut buffer))
            .await
            .ok()?
            .unwrap();
        Packet::decode(&buffer[..size], true).map(|(packet, _)| packet)
    }

    /// Returns the next answer to a request, which its caller does not acknowledge.
    async fn receive_answer(&self) -> Packet {
        loop {
            let packet = self.receive(Duration::from_secs(2)).await.unwrap();
            if !packet.data.is_empty() {
                return packet;
            }
        }
    }
}

/// Guards against endpoints that send copies of an answer after it was acknowledged: a later
/// answer on the flow made them believe that it was not.
#[tokio::test]
async fn endpoints_retransmit_no_acknowledged_answer() {
    let setup = set_up_endpoint(5).await;
    setup.send(SYN, 1, 0, Vec::new()).await;
    let opened = setup.receive(Duration::from_secs(2)).await.unwrap();
    let (mut seq, mut ack) = (2_u32, opened.seq.wrapping_add(1));
    for id in [1_u64, 2] {
        let mut data = vec![0; 100];
        data[..8].copy_from_slice(&id.to_be_bytes());
        data[8] = 1;
        setup.send(ACK, seq, ack, data).await;
        let answer = setup.receive_answer().await;
        assert_eq!(answer.data[0], STATUS_DONE);
        assert_eq!(answer.data[1..9], id.to_be_bytes());
        seq += 100;
        ack = answer.seq.wrapping_add(600);
        setup.send(ACK, seq, ack, Vec::new()).await;
    }
    while let Some(packet) = setup.receive(Duration::from_secs(1)).await {
        assert!(packet.data.is_empty(), "copy of an acknowledged answer");
    }
}

/// Guards against an endpoint that counts as recovered while a fault of it goes on, since another
/// one that overlaps it has ended.
#[tokio::test]
async fn endpoint_is_under_a_fault_until_its_last_one_ends() {
    let setup = set_up_endpoint(6).await;
    let endpoint = &setup.running.endpoint;
    endpoint.set_muted(true);
    endpoint.set_slow(true);
    endpoint.set_slow(false);
    sleep(ledger::RECOVERY_TIME).await;
    let target = FaultTarget::Endpoint(ENDPOINT);
    assert!(!setup.checker.lock().is_recovered(target));
    endpoint.set_muted(false);
    sleep(ledger::RECOVERY_TIME).await;
    assert!(setup.checker.lock().is_recovered(target));
}
