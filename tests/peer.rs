//! The control thread on real sockets, and the decoding of untrusted messages.

mod zone;

use std::net::{Ipv4Addr, UdpSocket};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU8, Ordering};

use jacinthhinge::control::message::{FetchRequest, Timestamp, Vote};
use jacinthhinge::control::{
    BuiltConfig, ConfigBuilder, FetchResponse, Heartbeat, ReadPacing, Settings, Value, ValueChange,
    ValueUpdate, WriterVersion,
};
use jacinthhinge::control::{DEFAULT_SUMMED_FROM, LeaseTiming};
use jacinthhinge::front::control::{self, ControlChannels, ControlSettings, PlatformSource};
use jacinthhinge::front::host_list;
use jacinthhinge::platform::store::Store;
use jacinthhinge::prelude::*;
use jacinthhinge::wire::{self, PeerKey};
use proptest::prelude::*;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

/// Maximum time for a condition, an exit or a response.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A control thread on loopback sockets.
struct RunningHost {
    peer_addr: SocketAddr,
    published: Arc<Mutex<Vec<Arc<Snapshot>>>>,
    leave_sender: watch::Sender<bool>,
    dump_sender: mpsc::Sender<oneshot::Sender<serde_json::Value>>,
    task: JoinHandle<Result<()>>,
}

impl RunningHost {
    fn start(
        name: &str,
        peer_addr: SocketAddr,
        seeds: Vec<SocketAddr>,
        source: PlatformSource,
    ) -> Self {
        let published = Arc::new(Mutex::new(Vec::new()));
        let (leave_sender, leaving) = watch::channel(false);
        let (dump_sender, dump_requests) = ControlChannels::dump_channel();
        let sink = Arc::clone(&published);
        let control_settings = settings(name, peer_addr, seeds);
        let live_settings = control_settings.live(peer_addr);
        let channels = ControlChannels {
            lane_reports: Arc::new(Vec::new),
            publish_snapshot: Arc::new(move |snapshot| sink.lock().expect("lock").push(snapshot)),
            publish_reports: Arc::new(drop),
            count_in_flight: Arc::new(|| 0),
            leave: leaving,
            dump_requests,
            settings: watch::channel(live_settings).1,
        };
        let settings = ControlSettings {
            control: control_settings,
            peer_key: PeerKey::new("secret"),
            source,
        };
        let task = tokio::spawn(control::run(settings, Clock::monotonic(), channels));
        Self {
            peer_addr,
            published,
            leave_sender,
            dump_sender,
            task,
        }
    }

    fn hosts(&self) -> Vec<Name> {
        let published = self.published.lock().expect("lock");
        let last = published.last();
        last.map_or(vec![], |last| {
            last.hosts
                .iter()
                .map(|host| Arc::clone(&host.name))
                .collect()
        })
    }

    async fn dump(&self) -> serde_json::Value {
        let (reply, answer) = oneshot::channel();
        self.dump_sender.send(reply).await.expect("running");
        answer.await.expect("dump")
    }
}

fn settings(name: &str, peer_addr: SocketAddr, seeds: Vec<SocketAddr>) -> Settings {
    let mut info = zone::host_info(0);
    info.name = name.into();
    info.peer_addr = peer_addr;
    Settings {
        info,
        incarnation: 1,
        seeds,
        keys: TicketKeys::new("current", "other"),
        lease_timing: LeaseTiming::default(),
        drain_limit: Duration::from_secs(5),
        config_builder: ConfigBuilder::new(|_| Ok(BuiltConfig::default())),
        read_pacing: ReadPacing::default(),
        summed_from: DEFAULT_SUMMED_FROM,
        rng_seed: 7,
    }
}

/// Returns a loopback address whose port was free for UDP and TCP a moment ago. Each has an IP
/// address of its own, so that no other socket of this machine has the port there meanwhile.
fn free_addr() -> SocketAddr {
    static CALLS: AtomicU8 = AtomicU8::new(1);
    let ip = Ipv4Addr::new(127, 0, 9, CALLS.fetch_add(1, Ordering::Relaxed));
    let socket = UdpSocket::bind((ip, 0)).expect("loopback");
    socket.local_addr().expect("address")
}

async fn wait_until(condition: impl Fn() -> bool) {
    let waited = tokio::time::timeout(TIMEOUT, async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    waited.await.expect("the condition did not hold in time");
}

#[tokio::test]
async fn hosts_join_and_leave_over_sockets() {
    let (one, two) = (free_addr(), free_addr());
    let first = RunningHost::start("sv-a-1", one, vec![two], PlatformSource::unavailable());
    let second = RunningHost::start("sv-a-2", two, vec![one], PlatformSource::unavailable());
    wait_until(|| first.hosts().len() == 2 && second.hosts().len() == 2).await;
    second.leave_sender.send(true).expect("running");
    let result = tokio::time::timeout(TIMEOUT, second.task).await;
    result
        .expect("ended in time")
        .expect("no panic")
        .expect("no error");
    wait_until(|| first.hosts().len() == 1).await;
    let counters = first.dump().await["counters"].clone();
    assert_eq!(counters["rejected"], 0, "{counters}");
    assert_eq!(counters["deaths"], 1, "{counters}");
}

#[tokio::test]
async fn invalid_datagrams_are_counted_and_change_nothing() {
    let host = RunningHost::start("sv-a-1", free_addr(), vec![], PlatformSource::unavailable());
    wait_until(|| host.hosts().len() == 1).await;
    let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback");
    let foreign = wire::encode_heartbeat(&heartbeat(), &PeerKey::new("another"));
    let valid = wire::encode_heartbeat(&heartbeat(), &PeerKey::new("secret"));
    let invalid = [&foreign[..], &valid[..valid.len() / 2], b"x", &[7; 9_000]];
    for datagram in invalid {
        socket.send_to(datagram, host.peer_addr).expect("sent");
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let dump = host.dump().await;
    assert_eq!(dump["counters"]["rejected"], 4);
    assert_eq!(dump["counters"]["beats_in"], 0);
    assert_eq!(dump["members"], serde_json::json!({}));
}

#[tokio::test]
async fn fetch_requires_the_peer_key() {
    let host = RunningHost::start("sv-a-1", free_addr(), vec![], PlatformSource::unavailable());
    wait_until(|| host.hosts().len() == 1).await;
    let request = FetchRequest {
        members: true,
        ..FetchRequest::default()
    };
    let response = control::fetch(host.peer_addr, request, TIMEOUT, &PeerKey::new("secret")).await;
    assert_eq!(response.expect("answer").members.len(), 1);
    let refused = control::fetch(host.peer_addr, request, TIMEOUT, &PeerKey::new("another")).await;
    assert_eq!(refused.expect_err("no answer").classify(), Category::Peer);
}

#[tokio::test]
async fn unresponsive_platform_is_an_error_within_the_timeout() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
    let addr = listener.local_addr().expect("address");
    let store = Store::new(addr, "config/");
    let answer = tokio::time::timeout(TIMEOUT, store.read_value(host_list::KEY)).await;
    let err = answer.expect("in time").expect_err("no answer");
    assert_eq!(err.classify(), Category::Platform);
}

#[test]
fn host_list_is_parsed_or_refused() {
    let list = r#"[{"name":"h","zone":"sv-a","state":"leaving","peer":"127.0.0.1:7"}]"#;
    let hosts = host_list::parse(9.into(), list).expect("hosts");
    assert_eq!(hosts.revision, 9.into());
    assert!(hosts.hosts[0].1.leaving);
    for nonsense in ["", "{}", r#"[{"name":"h"}]"#, r#"{"hosts":[]}"#, "\u{fffd}"] {
        let err = host_list::parse(9.into(), nonsense).expect_err("nonsense");
        assert_eq!(err.classify(), Category::Platform);
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        report: None,
        report_age: Duration::ZERO,
        zone_report: None,
        zone_report_age: Duration::ZERO,
        from: zone::host_id(3),
        incarnation: 5,
        version: 2,
        leaving: true,
        read_failures: 2,
        read_age: Some(Duration::from_millis(1_234)),
        info: Some(zone::host_info(3)),
        revision: Revision::new(2, 11),
        list_revision: Revision::new(1, 4),
        sent_at: Timestamp(77),
        echo: Some(Timestamp(66)),
        ping: true,
        vote: Vote {
            views: smallvec::smallvec![8, 7],
            is_valid: true,
            agreed_digest: 9,
        },
        updates: smallvec::smallvec![],
    }
}

#[test]
fn heartbeat_round_trips() {
    let key = PeerKey::new("secret");
    let bytes = wire::encode_heartbeat(&heartbeat(), &key);
    assert_eq!(
        wire::decode_heartbeat(&bytes, &key).expect("heartbeat"),
        heartbeat()
    );
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_not_a_message(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let key = PeerKey::new("secret");
        prop_assert!(wire::decode_heartbeat(&bytes, &key).is_err());
        prop_assert!(wire::decode_fetch_request(&bytes, &key).is_err());
        prop_assert!(wire::decode_fetch_response(&bytes, &key).is_err());
    }

    #[test]
    fn altered_heartbeat_is_rejected(at in 0..100_usize, bit in 0..8_u8) {
        let key = PeerKey::new("secret");
        let mut bytes = wire::encode_heartbeat(&heartbeat(), &key).to_vec();
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        prop_assert!(wire::decode_heartbeat(&bytes, &key).is_err());
    }
}

#[test]
fn fetch_request_round_trips() {
    let key = PeerKey::new("secret");
    for held in [false, true] {
        let request = FetchRequest {
            known_revision: Revision::new(3, 7),
            voters: !held,
            members: !held,
            held,
        };
        let bytes = wire::encode_fetch_request(&request, &key);
        let decoded = wire::decode_fetch_request(&bytes, &key).expect("request");
        assert_eq!(decoded, request);
    }
}

#[test]
fn fetch_response_is_compressed() {
    let key = PeerKey::new("secret");
    let route = r#"{"Host":"198.18.0.1","Prefix":"/443/","Service":"adserve","TimeoutMs":2500},"#;
    let response = FetchResponse {
        values: ValueUpdate {
            revision: Revision::new(3, 7),
            values: vec![ValueChange {
                key: "op/config".into(),
                value: Value {
                    revision: Revision::new(3, 6),
                    version: WriterVersion {
                        incarnation: 4,
                        number: 2,
                    },
                    json: Some(route.repeat(300).into()),
                },
            }],
            is_full: true,
        },
        held_removals: vec![ValueChange {
            key: "servers/i-1".into(),
            value: Value {
                revision: Revision::new(3, 5),
                ..Value::default()
            },
        }],
        ..FetchResponse::default()
    };
    let bytes = wire::encode_fetch_response(&response, &key);
    assert!(bytes.len() < 3_000, "{} bytes", bytes.len());
    assert_eq!(
        wire::decode_fetch_response(&bytes, &key).expect("values"),
        response
    );
}
