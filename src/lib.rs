//! A layer-4 load balancer, and the coordination parts it is made of.
//!
//! Callers reach services through hosts of the system, and any packet of a flow
//! may reach any host. The crate is the balancer's library; the `jacinthhinge`
//! program is a thin daemon over it. Each part can be embedded by itself.
//!
//! | module | what it is for |
//! | --- | --- |
//! | [`packet`], [`ticket`], [`snapshot`] | what decisions take in: typed packets, sealed tickets, the state published by the control thread |
//! | [`tables`], [`systems`] | decisions on traffic: route, open, ask, dispatch, retry, expire, probe |
//! | [`wire`] | encoding of the messages; another front end may bring its own |
//! | [`front`] | sockets, threads and timers of the daemon |
//! | [`id`], [`clock`], [`error`] | names and ids, the clock that is passed in, errors |
//!
//! # Decisions without sockets
//!
//! A traffic lane is a set of [`Tables`](tables::Tables). Packets go into its
//! inbox, [`systems::run`] decides, and the outbox says what to send. Here a caller
//! opens a flow, and the lane asks an endpoint to take it.
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
//! let snapshot = Snapshot::empty(Keys::new("secret", "")).with_services([service]);
//! let now = Duration::from_secs(10);
//! let mut out = Outbox::default();
//! let mut lane = Tables::new(me, Arc::new(Snapshot::empty(Keys::new("secret", ""))), 1);
//! systems::publish(&mut lane, Arc::new(snapshot), now, &mut out);
//! out.sends.clear();
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
//! assert_eq!(out.sends.len(), 1);
//! assert_eq!(out.sends[0].to, "10.0.0.1:80".parse()?);
//! assert_eq!(out.sends[0].packet.body, Body::Open);
//! # Ok(())
//! # }
//! ```

pub mod clock;
pub mod config;
pub mod control;
pub mod error;
pub mod front;
pub mod id;
pub mod packet;
pub mod prelude;
pub mod snapshot;
pub mod systems;
pub mod tables;
pub mod ticket;
pub mod wire;

pub use crate::error::{Error, Result};
