//! Counters of a lane, in events since the start.

use serde::Serialize;

/// Events counted since the lane started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// Packets that were received.
    #[serde(rename = "packets")]
    pub received_packets: u64,
    /// Datagrams that could not be decoded.
    #[serde(rename = "malformed")]
    pub malformed_datagrams: u64,
    /// Packets of a kind that their sender may not send to a host.
    #[serde(rename = "foreign")]
    pub disallowed_packets: u64,
    /// Tickets that failed verification.
    #[serde(rename = "forged")]
    pub rejected_tickets: u64,
    /// Packets forwarded by their ticket, without a table row.
    #[serde(rename = "passed")]
    pub ticket_forwards: u64,
    /// Packets forwarded to their home lane.
    #[serde(rename = "forwarded")]
    pub home_forwards: u64,
    /// Packets dropped at the hop limit.
    #[serde(rename = "looped")]
    pub looped_packets: u64,
    /// Flows opened.
    #[serde(rename = "opened")]
    pub opened_flows: u64,
    /// Flows whose endpoint was found by asking the endpoints.
    #[serde(rename = "recovered")]
    pub recovered_flows: u64,
    /// Flows reset.
    #[serde(rename = "resets")]
    pub flow_resets: u64,
    /// Flows reset because they were silent.
    #[serde(rename = "silent")]
    pub silent_resets: u64,
    /// Flows that endpoints refused to take.
    #[serde(rename = "turned_away")]
    pub refused_flows: u64,
    /// Requests accepted.
    #[serde(rename = "taken")]
    pub accepted_requests: u64,
    /// Dispatches to endpoints, first ones and retries.
    #[serde(rename = "dispatched")]
    pub dispatches: u64,
    /// Dispatches that endpoints refused.
    #[serde(rename = "refused")]
    pub refused_dispatches: u64,
    /// Dispatches to another endpoint after a refusal.
    pub retries: u64,
    /// Retries not made because the retry budget was used up.
    #[serde(rename = "exhausted")]
    pub denied_retries: u64,
    /// Datagrams sent again because no acknowledgement came.
    #[serde(rename = "resent")]
    pub resent_datagrams: u64,
    /// Requests answered.
    #[serde(rename = "done")]
    pub answered_requests: u64,
    /// Requests that ended with the execution status "not run".
    pub not_run: u64,
    /// Requests that ended with the execution status "unknown".
    #[serde(rename = "unknown")]
    pub unknown_outcomes: u64,
    /// Retransmitted requests answered from the stored answer.
    #[serde(rename = "repeats")]
    pub replayed_answers: u64,
    /// Answers that match no request.
    #[serde(rename = "orphans")]
    pub orphan_answers: u64,
    /// Times at which this process was paused.
    #[serde(rename = "pauses")]
    pub process_pauses: u64,
    /// Datagrams that the operating system did not accept.
    #[serde(rename = "unsent")]
    pub unsent_datagrams: u64,
    /// Endpoints that reported another service than the configured one.
    #[serde(rename = "reassigned")]
    pub reassigned_endpoints: u64,
    /// Segments that were received.
    #[serde(rename = "segments")]
    pub received_segments: u64,
    /// Opening segments forwarded to an endpoint.
    #[serde(rename = "placed")]
    pub forwarded_opens: u64,
    /// Retransmitted opening segments forwarded to another endpoint.
    #[serde(rename = "moved")]
    pub moved_opens: u64,
    /// Opening segments without a route.
    #[serde(rename = "unrouted")]
    pub unrouted_opens: u64,
    /// Opening segments refused because no endpoint could take them.
    #[serde(rename = "crowded")]
    pub refused_opens: u64,
    /// Segments whose cookie refers to no endpoint.
    pub unknown_cookies: u64,
    /// Segments of open flows whose route was not known here.
    pub unknown_routes: u64,
    /// Endpoints whose address is also listed for an endpoint that started later.
    #[serde(rename = "replaced")]
    pub replaced_endpoints: u64,
    /// Flows whose cookie changed while they were open.
    pub cookie_moves: u64,
    /// Requests that had to wait for capacity.
    #[serde(rename = "held")]
    pub held_requests: u64,
    /// Requests whose callers gave up while the requests waited.
    #[serde(rename = "overdue")]
    pub abandoned_requests: u64,
    /// Openings refused because they could not have been answered in time.
    pub refused_capacity: u64,
    /// New flows sent to another zone because the own one has no usable endpoint.
    pub remote_no_local: u64,
    /// New flows sent to another zone because the own one lacks capacity.
    pub remote_spill: u64,
    /// Copies of openings, and trials, sent to another zone.
    pub remote_retries: u64,
    /// Flows reset because their endpoint is no longer listed.
    pub gone_resets: u64,
    /// Flows reset because their endpoint is down.
    pub down_resets: u64,
    /// Flows reset because their route was removed.
    pub route_resets: u64,
    /// Retransmissions of data that an endpoint has not answered.
    #[serde(rename = "data_repeats")]
    pub data_retransmissions: u64,
    /// Times at which an endpoint was declared down.
    #[serde(rename = "downs")]
    pub failed_endpoints: u64,
    /// Times at which an endpoint that was down answered again.
    #[serde(rename = "ups")]
    pub recovered_endpoints: u64,
    /// Times at which this host or another one began to suspect an endpoint.
    #[serde(rename = "suspected")]
    pub suspected_endpoints: u64,
    /// Times at which an endpoint was declared down by the reports of several hosts.
    #[serde(rename = "reported_downs")]
    pub reported_endpoints: u64,
    /// Of the flows reset because their endpoint is down, those for which reports decided.
    #[serde(rename = "reported_resets")]
    pub reported_resets: u64,
    /// Evaluations of evidence and reports; none while there is neither.
    pub health_evaluations: u64,
    /// Suspicions of other hosts that an answer to this host has contradicted.
    #[serde(rename = "contradictions")]
    pub contradicted_reports: u64,
    /// Times at which new flows began to avoid a zone that several hosts report as silent.
    pub silent_zones: u64,
    /// Times at which an endpoint was ejected because it answered only a part of its requests.
    pub ejections: u64,
}
