//! Counters of a lane, in events since the start.

use serde::Serialize;

/// Events counted since the lane started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// Packets received.
    #[serde(rename = "packets")]
    pub received_packets: u64,
    /// Datagrams that could not be read.
    #[serde(rename = "malformed")]
    pub malformed_datagrams: u64,
    /// Packets that no sender may send to a host.
    #[serde(rename = "foreign")]
    pub disallowed_packets: u64,
    /// Tickets refused.
    #[serde(rename = "forged")]
    pub rejected_tickets: u64,
    /// Packets passed on by ticket alone.
    #[serde(rename = "passed")]
    pub ticket_forwards: u64,
    /// Packets forwarded to their home.
    #[serde(rename = "forwarded")]
    pub home_forwards: u64,
    /// Packets dropped at the hop limit.
    #[serde(rename = "looped")]
    pub looped_packets: u64,
    /// Flows opened.
    #[serde(rename = "opened")]
    pub opened_flows: u64,
    /// Flows found again by asking endpoints.
    #[serde(rename = "recovered")]
    pub recovered_flows: u64,
    /// Flows reset.
    #[serde(rename = "resets")]
    pub flow_resets: u64,
    /// Flows reset because they were silent.
    #[serde(rename = "silent")]
    pub silent_resets: u64,
    /// Flow places refused by endpoints.
    #[serde(rename = "turned_away")]
    pub refused_flows: u64,
    /// Requests taken.
    #[serde(rename = "taken")]
    pub accepted_requests: u64,
    /// Work sent to endpoints, first time or again.
    #[serde(rename = "dispatched")]
    pub dispatches: u64,
    /// Work refused by endpoints.
    #[serde(rename = "refused")]
    pub refused_dispatches: u64,
    /// Dispatches to another endpoint after a refusal.
    pub retries: u64,
    /// Retries forgone for want of budget.
    #[serde(rename = "exhausted")]
    pub denied_retries: u64,
    /// Datagrams sent again for want of an acknowledgement.
    #[serde(rename = "resent")]
    pub resent_datagrams: u64,
    /// Requests answered.
    #[serde(rename = "done")]
    pub answered_requests: u64,
    /// Requests ended as not run.
    pub not_run: u64,
    /// Requests ended as unknown.
    #[serde(rename = "unknown")]
    pub unknown_outcomes: u64,
    /// Repeats answered from a record.
    #[serde(rename = "repeats")]
    pub replayed_answers: u64,
    /// Answers that found no request.
    #[serde(rename = "orphans")]
    pub orphan_answers: u64,
    /// Pauses of this process.
    #[serde(rename = "pauses")]
    pub process_pauses: u64,
    /// Datagrams that the operating system did not take.
    #[serde(rename = "unsent")]
    pub unsent_datagrams: u64,
    /// Endpoints that named another service.
    #[serde(rename = "reassigned")]
    pub reassigned_endpoints: u64,
    /// Segments received.
    #[serde(rename = "segments")]
    pub received_segments: u64,
    /// Opening segments passed on.
    #[serde(rename = "placed")]
    pub forwarded_opens: u64,
    /// Copies of opening segments passed on to another endpoint.
    #[serde(rename = "moved")]
    pub moved_opens: u64,
    /// Opening segments without a route.
    #[serde(rename = "unrouted")]
    pub unrouted_opens: u64,
    /// Opening segments refused for want of an endpoint.
    #[serde(rename = "crowded")]
    pub refused_opens: u64,
    /// Segments whose cookie names no endpoint.
    pub unknown_cookies: u64,
    /// Endpoints whose address was listed again by one that started later.
    #[serde(rename = "replaced")]
    pub replaced_endpoints: u64,
    /// Flows whose cookie changed while they were open.
    pub cookie_moves: u64,
    /// Requests that had to wait for room.
    #[serde(rename = "held")]
    pub held_requests: u64,
    /// Requests whose callers gave up while they waited.
    #[serde(rename = "overdue")]
    pub abandoned_requests: u64,
    /// Flows reset because their endpoint has gone.
    pub gone_resets: u64,
    /// Flows reset because their endpoint is down.
    pub down_resets: u64,
    /// Flows reset because their route was removed.
    pub route_resets: u64,
    /// Repeats of data that an endpoint has left without an answer.
    #[serde(rename = "data_repeats")]
    pub data_retransmissions: u64,
    /// Endpoints taken to be down.
    #[serde(rename = "downs")]
    pub failed_endpoints: u64,
    /// Endpoints heard again after they were down.
    #[serde(rename = "ups")]
    pub recovered_endpoints: u64,
}
