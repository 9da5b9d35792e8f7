//! A layer-4 load balancer, as a library of separately usable parts.
//!
//! Callers reach services through the hosts of the balancer, and any packet of a
//! flow may arrive at any host. The `jacinthhinge` program is a thin daemon on top
//! of this crate. Each part can be embedded on its own.
//!
//! | module | contents |
//! | --- | --- |
//! | [`packet`], [`ticket`], [`segment`], [`snapshot`] | input of the decision code: decoded packets, sealed tickets, segments that are relayed without reading their payload, the state that the control thread publishes |
//! | [`report`] | what a host tells others about endpoints and load |
//! | [`tables`], [`systems`] | decisions on traffic: routing, flows, requests, dispatch, retries, expiry, probes |
//! | [`control`] | decisions on membership of a zone, propagation of configuration, the lease |
//! | [`config`] | the operators' configuration file: defaults, exceptions, validation |
//! | [`wire`] | encoding of the messages; another front end can use a different one |
//! | [`front`] | sockets, threads and timers of the daemon |
//! | [`id`], [`clock`], [`error`] | names and ids, the injectable clock, errors |
//!
//! # Decisions without sockets
//!
//! The state of a traffic lane is a set of [`Tables`](tables::Tables). Packets go into
//! its inbox, [`systems::run`] processes them, and the outbox lists what to send. In
//! this example a caller opens a flow, and the lane asks an endpoint to accept it.
//!
//! ```
//! use jacinthhinge::prelude::*;
//! use jacinthhinge::systems;
//! use jacinthhinge::tables::{Arrival, Outbox, Tables};
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let service = Service::new("adserve").with_endpoint(Endpoint::new("a-1", "10.0.0.1:80".parse()?));
//! let me = Home {
//!     host: Id::of("sv-a-1"),
//!     incarnation: 1,
//!     addr: "10.0.1.1:7000".parse()?,
//! };
//! let snapshot = Snapshot::empty(TicketKeys::new("secret", "")).with_services([service]);
//! let now = Duration::from_secs(10);
//! let mut out = Outbox::default();
//! let mut lane = Tables::new(me, Arc::new(Snapshot::empty(TicketKeys::new("secret", ""))), 1);
//! systems::apply_snapshot(&mut lane, Arc::new(snapshot), now, &mut out);
//! out.datagrams.clear();
//!
//! let caller: SocketAddr = "192.0.2.7:4000".parse()?;
//! lane.inbox.push(Arrival::new(
//!     caller,
//!     Packet {
//!         service: Id::of("adserve"),
//!         caller,
//!         flow: 1,
//!         hops: 0,
//!         ticket: Bytes::new(),
//!         body: Body::Open,
//!     },
//! ));
//! systems::run(&mut lane, now, &mut out);
//!
//! assert_eq!(out.datagrams.len(), 1);
//! assert_eq!(out.datagrams[0].to, "10.0.0.1:80".parse()?);
//! assert_eq!(out.datagrams[0].packet.body, Body::Open);
//! # Ok(())
//! # }
//! ```
//!
//! # Members and configuration without sockets
//!
//! A [`Control`](control::Control) takes events and returns actions, which the embedding
//! program carries out. In this example two hosts find each other by a seed address,
//! the first one receives a configuration, and the second one applies it soon after.
//!
//! ```
//! use jacinthhinge::control::{
//!     Action, BuiltConfig, ConfigBuilder, Control, Event, ReadPacing, Settings, Value,
//!     ValueChange, ValueUpdate, Values,
//! };
//! use jacinthhinge::control::{DEFAULT_SUMMED_FROM, LeaseTiming};
//! use jacinthhinge::control::message::HostInfo;
//! use jacinthhinge::prelude::*;
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let build = ConfigBuilder::new(|values: &Values| {
//!     let services = values.keys().map(|name| Service::new(name)).collect();
//!     Ok(BuiltConfig { services, ..BuiltConfig::default() })
//! });
//! let peers: [SocketAddr; 2] = ["10.0.1.1:9000".parse()?, "10.0.1.2:9000".parse()?];
//! let mut hosts = [("sv-a-1", peers[0]), ("sv-a-2", peers[1])].map(|(name, peer)| {
//!     let settings = Settings {
//!         info: HostInfo {
//!             name: name.into(),
//!             zone: "sv-a".into(),
//!             availability_zone: "sv-a".into(),
//!             peer_addr: peer,
//!             lanes: Default::default(),
//!         },
//!         incarnation: 1,
//!         seeds: peers.to_vec(),
//!         keys: TicketKeys::new("secret", ""),
//!         lease_timing: LeaseTiming::default(),
//!         drain_limit: Duration::from_secs(5),
//!         config_builder: build.clone(),
//!         read_pacing: ReadPacing::default(),
//!         summed_from: DEFAULT_SUMMED_FROM,
//!         rng_seed: 1,
//!     };
//!     Control::new(settings, Duration::ZERO)
//! });
//!
//! let change = ValueChange {
//!     key: "adserve".into(),
//!     value: Value { revision: 7.into(), json: Some("{}".into()), ..Value::default() },
//! };
//! let update = ValueUpdate { revision: 7.into(), values: vec![change], is_full: false };
//! hosts[0].handle(Duration::ZERO, Event::Values(Ok(update)));
//!
//! for tick in 1..=30 {
//!     let now = Duration::from_millis(100) * tick;
//!     for from in [0, 1] {
//!         let to = 1 - from;
//!         for action in hosts[from].handle(now, Event::Tick) {
//!             match action {
//!                 Action::Send { heartbeat, .. } => {
//!                     hosts[to].handle(now, Event::Heartbeat(heartbeat));
//!                 }
//!                 Action::Fetch { number, request, .. } => {
//!                     let result = Ok(hosts[to].answer_fetch(&request));
//!                     hosts[from].handle(now, Event::Fetched { number, result });
//!                 }
//!                 _ => {}
//!             }
//!         }
//!     }
//! }
//! assert_eq!(hosts[1].tables().members.len(), 1);
//! assert_eq!(hosts[1].tables().values.revision, 7.into());
//! # Ok(())
//! # }
//! ```
//!
//! # A retry budget
//!
//! Each new request earns a fraction of a retry, and each retry spends a whole one.
//!
//! ```
//! use jacinthhinge::prelude::*;
//! use jacinthhinge::tables::{RETRY_BURST, RetryBudgets};
//!
//! let service = Id::of("bestel");
//! let mut budgets = RetryBudgets::default();
//! let mut spent = 0.0;
//! while budgets.spend(service, 0.0) {
//!     spent += 1.0;
//! }
//! assert_eq!(spent, RETRY_BURST);
//! for _ in 0..11 {
//!     budgets.earn(service, 0.1);
//! }
//! assert!(budgets.spend(service, 0.0));
//! assert!(!budgets.spend(service, 0.0));
//! ```

pub mod clock;
pub mod config;
pub mod control;
pub mod error;
pub mod front;
pub mod id;
pub mod packet;
pub mod platform;
pub mod prelude;
pub mod report;
pub mod revision;
pub mod segment;
pub mod snapshot;
pub mod systems;
pub mod tables;
pub mod ticket;
pub mod wire;

pub use crate::error::{Error, Result};
