//! The control thread on real sockets, and messages it must not trust.

mod zone;

use std::net::UdpSocket;
use std::sync::Mutex;

use jacinthhinge::control::LeaseTiming;
use jacinthhinge::control::message::{FetchRequest, Timestamp, Vote};
use jacinthhinge::control::{
    BuiltConfig, ConfigBuilder, FetchResponse, Heartbeat, ReadPacing, Settings, Value, ValueChange,
    ValueUpdate,
};
use jacinthhinge::front::control::{self, ControlChannels, ControlSettings, PlatformSource};
use jacinthhinge::front::host_list;
use jacinthhinge::platform::store::Store;
use jacinthhinge::prelude::*;
use jacinthhinge::wire::{self, PeerKey};
use proptest::prelude::*;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

const LIMIT: Duration = Duration::from_secs(10);

/// A host on loopback sockets.
struct Running {
    peer: SocketAddr,
    published: Arc<Mutex<Vec<Arc<Snapshot>>>>,
    leave: watch::Sender<bool>,
    dumps: mpsc::Sender<oneshot::Sender<serde_json::Value>>,
    ended: JoinHandle<Result<()>>,
}

impl Running {
    fn start(name: &str, peer: SocketAddr, seeds: Vec<SocketAddr>, source: PlatformSource) -> Self {
        let published = Arc::new(Mutex::new(Vec::new()));
        let (leave, leaving) = watch::channel(false);
        let (dumps, dump_requests) = ControlChannels::dump_channel();
        let swap = Arc::clone(&published);
        let channels = ControlChannels {
            publish_snapshot: Arc::new(move |snapshot| swap.lock().expect("lock").push(snapshot)),
            count_in_flight: Arc::new(|| 0),
            leave: leaving,
            dump_requests,
            seeds: watch::channel(Vec::new()).1,
        };
        let settings = ControlSettings {
            control: settings(name, peer, seeds),
            peer_key: PeerKey::new("secret"),
            source,
        };
        let ended = tokio::spawn(control::run(settings, Clock::monotonic(), channels));
        Self {
            peer,
            published,
            leave,
            dumps,
            ended,
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
        self.dumps.send(reply).await.expect("running");
        answer.await.expect("dump")
    }
}

fn settings(name: &str, peer: SocketAddr, seeds: Vec<SocketAddr>) -> Settings {
    let mut card = zone::host_info(0);
    card.name = name.into();
    card.peer_addr = peer;
    Settings {
        info: card,
        incarnation: 1,
        seeds,
        keys: TicketKeys::new("current", "other"),
        lease_timing: LeaseTiming::default(),
        drain_limit: Duration::from_secs(5),
        config_builder: ConfigBuilder::new(|_| Ok(BuiltConfig::default())),
        read_pacing: ReadPacing::default(),
        rng_seed: 7,
    }
}

/// A loopback address whose port is free for UDP and TCP.
fn free_addr() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback");
    socket.local_addr().expect("address")
}

async fn until(holds: impl Fn() -> bool) {
    let waited = tokio::time::timeout(LIMIT, async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    waited.await.expect("not in time");
}

#[tokio::test]
async fn hosts_meet_leave_and_end_over_sockets() {
    let (one, two) = (free_addr(), free_addr());
    let first = Running::start("sv-a-1", one, vec![two], PlatformSource::unavailable());
    let second = Running::start("sv-a-2", two, vec![one], PlatformSource::unavailable());
    until(|| first.hosts().len() == 2 && second.hosts().len() == 2).await;
    second.leave.send(true).expect("running");
    let ended = tokio::time::timeout(LIMIT, second.ended).await;
    ended
        .expect("ended in time")
        .expect("no panic")
        .expect("no error");
    until(|| first.hosts().len() == 1).await;
    let counters = first.dump().await["counters"].clone();
    assert_eq!(counters["rejected"], 0, "{counters}");
    assert_eq!(counters["deaths"], 1, "{counters}");
}

#[tokio::test]
async fn strange_datagrams_are_counted_and_change_nothing() {
    let host = Running::start("sv-a-1", free_addr(), vec![], PlatformSource::unavailable());
    until(|| host.hosts().len() == 1).await;
    let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback");
    let foreign = wire::encode_heartbeat(&beat(), &PeerKey::new("another"));
    let whole = wire::encode_heartbeat(&beat(), &PeerKey::new("secret"));
    let strange = [&foreign[..], &whole[..whole.len() / 2], b"x", &[7; 9_000]];
    for datagram in strange {
        socket.send_to(datagram, host.peer).expect("sent");
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let dump = host.dump().await;
    assert_eq!(dump["counters"]["rejected"], 4);
    assert_eq!(dump["counters"]["beats_in"], 0);
    assert_eq!(dump["members"], serde_json::json!({}));
}

#[tokio::test]
async fn fetch_needs_the_key() {
    let host = Running::start("sv-a-1", free_addr(), vec![], PlatformSource::unavailable());
    until(|| host.hosts().len() == 1).await;
    let ask = FetchRequest {
        members: true,
        ..FetchRequest::default()
    };
    let fetched = control::fetch(host.peer, ask, &PeerKey::new("secret")).await;
    assert_eq!(fetched.expect("answer").members.len(), 1);
    let refused = control::fetch(host.peer, ask, &PeerKey::new("another")).await;
    assert_eq!(refused.expect_err("no answer").classify(), Category::Peer);
}

#[tokio::test]
async fn silent_platform_is_an_error_in_time() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
    let addr = listener.local_addr().expect("address");
    let store = Store::new(addr, "config/");
    let answer = tokio::time::timeout(LIMIT, store.read_value(host_list::KEY)).await;
    let err = answer.expect("in time").expect_err("no answer");
    assert_eq!(err.classify(), Category::Platform);
}

#[test]
fn host_list_is_parsed_or_refused() {
    let list = r#"[{"name":"h","zone":"sv-a","state":"leaving","peer":"127.0.0.1:7"}]"#;
    let hosts = host_list::parse(9, list).expect("hosts");
    assert_eq!(hosts.revision, 9);
    assert!(hosts.hosts[0].1.leaving);
    for nonsense in ["", "{}", r#"[{"name":"h"}]"#, r#"{"hosts":[]}"#, "\u{fffd}"] {
        let err = host_list::parse(9, nonsense).expect_err("nonsense");
        assert_eq!(err.classify(), Category::Platform);
    }
}

fn beat() -> Heartbeat {
    Heartbeat {
        from: zone::host_id(3),
        incarnation: 5,
        version: 2,
        leaving: true,
        read_failures: 2,
        info: Some(zone::host_info(3)),
        revision: 11,
        list_revision: 4,
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
fn heartbeat_survives_its_encoding() {
    let key = PeerKey::new("secret");
    let bytes = wire::encode_heartbeat(&beat(), &key);
    assert_eq!(
        wire::decode_heartbeat(&bytes, &key).expect("heartbeat"),
        beat()
    );
}

proptest! {
    #[test]
    fn no_bytes_panic_or_pass_for_a_message(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let key = PeerKey::new("secret");
        prop_assert!(wire::decode_heartbeat(&bytes, &key).is_err());
        prop_assert!(wire::decode_fetch_request(&bytes, &key).is_err());
        prop_assert!(wire::decode_fetch_response(&bytes, &key).is_err());
    }

    #[test]
    fn no_altered_heartbeat_passes(at in 0..100_usize, bit in 0..8_u8) {
        let key = PeerKey::new("secret");
        let mut bytes = wire::encode_heartbeat(&beat(), &key).to_vec();
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        prop_assert!(wire::decode_heartbeat(&bytes, &key).is_err());
    }
}

#[test]
fn fetched_values_are_sent_small() {
    let key = PeerKey::new("secret");
    let route = r#"{"Host":"198.18.0.1","Prefix":"/443/","Service":"adserve","TimeoutMs":2500},"#;
    let fetched = FetchResponse {
        values: ValueUpdate {
            revision: 7,
            values: vec![ValueChange {
                key: "op/config".into(),
                value: Value {
                    revision: 7,
                    json: Some(route.repeat(300).into()),
                },
            }],
            is_full: false,
        },
        ..FetchResponse::default()
    };
    let bytes = wire::encode_fetch_response(&fetched, &key);
    assert!(bytes.len() < 3_000, "{} bytes", bytes.len());
    assert_eq!(
        wire::decode_fetch_response(&bytes, &key).expect("values"),
        fetched
    );
}
