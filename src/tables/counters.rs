//! Counters of a lane, in events since the start.

use serde::Serialize;

/// Events counted since the lane started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// Packets received.
    pub packets: u64,
    /// Datagrams that could not be read.
    pub malformed: u64,
    /// Packets that no sender may send to a host.
    pub foreign: u64,
    /// Tickets refused.
    pub forged: u64,
    /// Packets passed on by ticket alone.
    pub passed: u64,
    /// Packets forwarded to their home.
    pub forwarded: u64,
    /// Packets dropped at the hop limit.
    pub looped: u64,
    /// Flows opened.
    pub opened: u64,
    /// Flows found again by asking endpoints.
    pub recovered: u64,
    /// Flows reset.
    pub resets: u64,
    /// Flows reset because they were silent.
    pub silent: u64,
    /// Flow places refused by endpoints.
    pub turned_away: u64,
    /// Requests taken.
    pub taken: u64,
    /// Work sent to endpoints, first time or again.
    pub dispatched: u64,
    /// Work refused by endpoints.
    pub refused: u64,
    /// Dispatches to another endpoint after a refusal.
    pub retries: u64,
    /// Retries forgone for want of budget.
    pub exhausted: u64,
    /// Datagrams sent again for want of an acknowledgement.
    pub resent: u64,
    /// Requests answered.
    pub done: u64,
    /// Requests ended as not run.
    pub not_run: u64,
    /// Requests ended as unknown.
    pub unknown: u64,
    /// Repeats answered from a record.
    pub repeats: u64,
    /// Answers that found no request.
    pub orphans: u64,
    /// Pauses of this process.
    pub pauses: u64,
    /// Datagrams that the operating system did not take.
    pub unsent: u64,
    /// Endpoints that named another service.
    pub reassigned: u64,
    /// Segments received.
    pub segments: u64,
    /// Opening segments passed on.
    pub placed: u64,
    /// Copies of opening segments passed on to another endpoint.
    pub moved: u64,
    /// Opening segments without a route.
    pub unrouted: u64,
    /// Opening segments refused for want of an endpoint.
    pub crowded: u64,
    /// Segments whose cookie names no endpoint.
    pub unknown_cookies: u64,
    /// Endpoints whose address was listed again by one that started later.
    pub replaced: u64,
    /// Flows whose cookie changed while they were open.
    pub cookie_moves: u64,
    /// Requests that had to wait for room.
    pub held: u64,
    /// Requests whose callers gave up while they waited.
    pub overdue: u64,
    /// Flows reset because their endpoint has gone.
    pub gone_resets: u64,
    /// Flows reset because their endpoint is down.
    pub down_resets: u64,
    /// Flows reset because their route was removed.
    pub route_resets: u64,
    /// Repeats of data that an endpoint has left without an answer.
    pub data_repeats: u64,
    /// Endpoints taken to be down.
    pub downs: u64,
    /// Endpoints heard again after they were down.
    pub ups: u64,
}
