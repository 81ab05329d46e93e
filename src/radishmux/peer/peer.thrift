// Control messages between instances. Fields with the suffix _ms are durations
// in milliseconds.
namespace py radishmux.peer

struct CellLoad {
  1: string cell,
  2: i32 slots,
  3: i32 in_use,
  4: i32 queued,
}

struct Heartbeat {
  1: string instance,
  2: i64 incarnation,
  3: i64 sequence,
  4: list<string> suspects,
  5: i64 config_version,
  // Age of the store read that last confirmed the sender's configuration
  // version; -1: none yet.
  6: i32 store_contact_age_ms,
  7: list<CellLoad> loads,
  8: bool leaving,
  9: bool direct_store_contact,
  10: i64 roster_revision,
  // Instances from which the sender has received a heartbeat within the
  // suspicion timeout.
  11: list<string> heard,
  // Age of the latest store response to any instance, as far as the sender
  // knows; -1: none yet.
  12: i32 store_heard_age_ms = -1,
}

struct HeartbeatAck {
  1: Heartbeat own,
}

struct ConfigOffer {
  1: i64 version,
  2: binary body,
}

struct ConfigRequest {
  1: i64 above_version,
}

struct LoanRequest {
  1: string customer,
  2: string loan_id,
  3: double fraction,
  4: i32 duration_ms,
}

struct LoanGrant {
  1: string loan_id,
  2: double fraction,
  3: double tokens,
  4: i64 config_version,
}

struct LoanReturn {
  1: string loan_id,
  2: double tokens,
}

struct StoreRelay {
  // "get", "compare_and_swap", "grant_lease", "keep_lease" or "revoke_lease".
  1: string operation,
  2: string key,
  3: i64 expected_revision,
  4: binary value,
  5: i32 timeout_ms,
  6: i64 lease_id,
  7: i32 ttl_s,
}

struct StoreRelayed {
  // "entry", "lease", "not_found", "conflict", "unknown" or "unavailable".
  1: string outcome,
  2: binary value,
  3: i64 revision,
  4: string reason,
  // Id of a new lease.
  5: i64 lease_id,
  // Remaining time of a renewed lease, or 1 for a revoked lease; 0: the lease
  // has lapsed.
  6: double remaining_s,
}

struct VersionStopped {
  1: string service_name,
  2: string version,
  3: string route,
  4: string reason,
  5: i64 epoch,
}

struct RouteEvidence {
  1: string route,
  // Sums of log-likelihood ratios (errors, latency) and the number of requests
  // in each.
  2: double errors,
  3: i32 error_requests,
  4: double latency,
  5: i32 latency_requests,
}

struct VersionEvidence {
  1: string service_name,
  2: string version,
  3: i64 epoch,
  4: list<RouteEvidence> routes,
}

// A backend server that crashed while it had a request.
struct CrashMark {
  // Name and start of the server.
  1: string server,
  2: string version,
  // Time since the crash.
  3: i32 age_ms,
  // Time from the sending of the request until the crash.
  4: i32 run_ms,
  // A server of the version has completed the request since.
  5: bool is_void = false,
}

// What the sender knows of the requests with one digest.
struct CrashRecord {
  1: string digest,
  // Service, customer and route, for the logs.
  2: string subject,
  3: list<CrashMark> marks,
  // Versions whose servers have completed the request since it had marks.
  4: list<string> cleared_versions,
}

// Asks the arbiter of a request whether it may run on trial, or tells it that
// the run has ended.
struct TrialRequest {
  1: CrashRecord record,
  // Version of the server that is to run it.
  2: string version,
  // Longest time of the run; 0: it has ended.
  3: i32 duration_ms,
}

struct TrialAnswer {
  1: bool granted,
  2: CrashRecord record,
}

struct CrashReport {
  1: string digest,
  2: string request_id,
  3: string backend_server,
}

struct Release {
  1: string instance,
  2: i64 incarnation,
  3: list<string> cells,
}

// Demand of a customer as measured by one of its token holders.
struct CustomerDemand {
  1: string customer,
  2: double rate_per_s,
  // Region of the holder.
  3: string region,
  4: i32 age_ms,
  5: string holder,
  // The holder was replaced at that time; its earlier reports do not count.
  6: bool is_over = false,
}

struct VersionTally {
  1: string service_name,
  2: string version,
  3: string route,
  4: i32 requests,
  5: i32 failures,
  6: i32 slow,
  // Source of these outcomes: an instance, or "region:NAME" for a whole region.
  7: string source,
}

struct RolloutView {
  1: string service_name,
  2: string version,
  3: double elapsed_s,
  // Detected fault of the version; empty: none.
  4: string fault,
}

// A version that an earlier order has rolled back.
struct RejectedVersion {
  1: string service_name,
  2: string version,
  // Revision of the store at which this was recorded.
  3: i64 revision,
}

// Status of a member of the region that its hub reports as leaving or silent.
// Members without either status are not listed.
struct MemberState {
  1: string instance,
  2: i64 incarnation,
  3: bool leaving,
  4: bool silent,
  // Whether it reaches no backend server.
  5: bool cut_off = false,
}

struct StoreChange {
  1: string key,
  2: binary value,
  3: i64 revision,
  4: bool deleted,
}

// Changes of the store that a hub has read after the requested revision.
struct StoreFeed {
  1: i64 as_of,
  2: list<StoreChange> changes,
  // Age of the store's latest response to the hub.
  3: i32 contact_age_ms,
  // Time since the store responded to the hub again after an outage; -1: never.
  4: i32 returned_ms = -1,
}

// Record of an instance, for peers that cannot read it in the store.
struct Introduction {
  1: string instance,
  2: i64 incarnation,
  3: string region,
  4: string failure_domain,
  5: string caller_address,
  6: string peer_address,
  7: double capacity,
  // Address for relayed requests; empty: it accepts none.
  8: string relay_address = "",
}

// Gossip report that an instance sends to its peers twice per second. The reply
// is the receiver's own report.
struct FleetReport {
  1: string instance,
  2: i64 incarnation,
  3: bool leaving,
  4: list<CustomerDemand> demands,
  5: list<VersionTally> tallies,
  6: list<RolloutView> rollouts,
  // Members of the region that are leaving or silent. With `vouches`, a hub
  // reports to its members that it hears all registered members of the region
  // except the silent ones in this list.
  7: list<MemberState> members,
  10: bool vouches = false,
  // Revision after which the sender requests changes of the store; -1: it
  // requests none.
  8: i64 feed_after = -1,
  9: StoreFeed feed,
  // In a reply: the replying instance does not know the requesting one, since
  // its record is not in the store. The requesting one then sends its own record
  // in `introductions`.
  11: bool asks_who = false,
  // Whether the sender knows all instances, because it has run for long enough
  // or has received the report of an instance that has.
  12: bool is_settled = false,
  // Record of the sender, for a receiver that does not know it, and records of
  // its peers, for a receiver that is not settled yet.
  13: list<Introduction> introductions,
  // Revision of the store up to which the sender has all changes; -1: none. An
  // instance that hears of a later era lists the store again.
  14: i64 store_revision = -1,
  // Whether the sender reaches no backend server.
  15: bool cut_off = false,
  // Requests under which servers crashed.
  16: list<CrashRecord> crashes,
  17: list<RejectedVersion> rejected,
  // Loads of backend servers that responses have told lately, as rows of a fixed
  // length; see radishmux/steer/load_rows.py. At most 2 KB; absent: none.
  20: optional binary server_loads,
  // Unix time of the sender's clock, in microseconds; absent: nobody needs it.
  // The fields that follow are differences to that clock, also in microseconds.
  30: optional i64 unix_us,
  // The true time as the sender estimates it.
  31: optional i64 true_lead_us,
  // Median of the clocks of the sender's region, and the number of clocks;
  // absent: it does not sum them up.
  32: optional i64 region_lead_us,
  33: optional i32 region_clocks,
  // Clock of the receiver as measured in the previous exchange; absent: not yet.
  34: optional i64 receiver_lead_us,
}

// Requests that some processes sent to backend servers in one window.
struct WindowUsage {
  1: i64 window,
  2: map<string, i64> counts,
  // The processes: eight bytes each.
  3: binary sources,
}

// Counts for the holder of the usage report.
struct UsageReport {
  // Fencing token of the holder for which they are meant.
  1: i64 token,
  2: list<WindowUsage> windows,
  // Whether the receiver is to pass them on, as a hub of the region.
  3: bool via_hub = false,
}

// Sources of a window that the holder has already, so that it has not added the
// sum.
struct KnownSources {
  1: i64 window,
  2: binary sources,
}

struct UsageReceipt {
  // Why nothing was taken; empty: all windows were added but those in `known`.
  1: string refusal,
  2: list<KnownSources> known,
}

// Requests tokens from a customer's token holder. The holder removes the granted
// tokens from its bucket before it replies, so that a lost message can lose
// tokens but never create any.
struct TokenRequest {
  1: string customer,
  2: i32 tokens,
  // Arrived requests that no earlier TokenRequest has counted.
  3: i32 arrived,
  // Whether another instance forwarded this, since it considers the receiver
  // the token holder.
  4: bool is_forwarded = false,
}

struct TokenGrant {
  1: string customer,
  2: i32 tokens,
  // Time until the next token accrues.
  3: i32 wait_ms,
  // Fraction of the customer's rate that the holder distributes.
  4: double fraction,
}

// Asks the instance that distributes a backend server's limit for a permit to
// send the server one request.
struct SendPermitRequest {
  1: string server,
  // Limit that the sender knows; -1: the server names none any more.
  2: double limit_per_s,
  // Time since the server's response that said so.
  3: i32 age_ms,
  // Region of the server.
  4: string region,
  // Whether another instance forwarded this, since it considers the receiver
  // the holder.
  5: bool is_forwarded = false,
}

struct SendPermit {
  1: bool granted,
  // If it is not granted, time after which to ask again.
  2: i32 wait_ms,
  // What the sender knows of the limit, as in SendPermitRequest.
  3: double limit_per_s,
  4: i32 age_ms,
}

// Requests that a peer of the region release its holdings of these customers'
// rates, since the sender is their token holder now.
struct HoldingRequest {
  1: list<string> customers,
}

struct MovedHolding {
  1: string customer,
  2: double tokens,
  3: double demand_per_s,
  // Demand that was counted as the token holder's own when it divided the rate.
  4: double counted_per_s,
}

// Holdings that the sender has released to the receiver. Sent in reply to a
// HoldingRequest or unrequested.
struct Holdings {
  1: list<MovedHolding> holdings,
}

struct Header {
  1: string name,
  2: string value,
}

// A caller's request that the sender has admitted and cannot send to any backend
// server itself. The receiver makes one attempt at a server.
struct RelayRequest {
  1: string method,
  2: string target,
  3: list<Header> headers,
  4: binary body,
  // Version of the configuration that admitted the request. A receiver with an
  // older one does not send it.
  5: i64 config_version,
  // Service that the sender has chosen among the route's destinations.
  6: string service_name,
  // Servers that must not get it, since they were tried or cannot take it now.
  7: list<string> tried,
  8: list<string> unavailable,
  9: i32 remaining_ms,
  // Whether the sender has counted the request in the usage report.
  30: bool is_counted = false,
}

struct RelayOutcome {
  // "response"; "not_sent": no server has got it; "not_run" and "may_have_run":
  // it was sent and there is no usable response.
  1: string outcome,
  2: string reason,
  // Server that was tried or could not take it; empty: none.
  3: string server,
  4: i32 status,
  5: list<Header> headers,
  6: binary body,
}

struct Done {
  1: bool accepted,
  2: string reason,
}

union Body {
  1: Heartbeat heartbeat,
  2: HeartbeatAck heartbeat_ack,
  3: ConfigOffer config_offer,
  4: ConfigRequest config_request,
  5: LoanRequest loan_request,
  6: LoanGrant loan_grant,
  7: LoanReturn loan_return,
  8: StoreRelay store_relay,
  9: StoreRelayed store_relayed,
  10: VersionStopped version_stopped,
  11: CrashReport crash_report,
  12: Release release,
  13: Done done,
  14: VersionEvidence version_evidence,
  15: FleetReport fleet_report,
  16: TokenRequest token_request,
  17: TokenGrant token_grant,
  18: HoldingRequest holding_request,
  19: Holdings holdings,
  20: SendPermitRequest send_permit_request,
  21: SendPermit send_permit,
  22: RelayRequest relay_request,
  23: RelayOutcome relay_outcome,
  24: TrialRequest trial_request,
  25: TrialAnswer trial_answer,
  40: UsageReport usage_report,
  41: UsageReceipt usage_receipt,
}

struct Envelope {
  1: i64 correlation,
  2: bool is_reply,
  3: string sender,
  4: i64 sender_incarnation,
  5: Body body,
}
