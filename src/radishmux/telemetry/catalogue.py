"""Declarations of all metrics and spans of the daemon and the gateway.

docs/telemetry.md is generated from them and lists the metrics under their
rendered names, which start with `radishmux_`.
"""

from __future__ import annotations

import enum

import msgspec

PREFIX = "radishmux_"

# Upper bounds in seconds. The lowest ones resolve the latency of lookups, the
# highest that of uploads.
LATENCY_BUCKETS_S = (
    0.0005,
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
    float("inf"),
)


class Kind(enum.Enum):
    """Prometheus type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


class Metric(msgspec.Struct, frozen=True):
    """Declaration of one metric.

    Attributes:
        name: Name that the code uses, without the prefix.
        help: Help text in the Prometheus output, one sentence.
        labels: Names of all labels. A label that an update leaves out has an
            empty value, which Prometheus treats as an absent label.
    """

    name: str
    kind: Kind
    help: str
    labels: tuple[str, ...] = ()

    @property
    def rendered_name(self) -> str:
        """Name in `/metrics`; the name of a counter ends in `_total`."""
        if self.kind is Kind.COUNTER and not self.name.endswith("_total"):
            return f"{PREFIX}{self.name}_total"
        return PREFIX + self.name


def _counter(name: str, text: str, *labels: str) -> Metric:
    return Metric(name, Kind.COUNTER, text, labels)


def _gauge(name: str, text: str, *labels: str) -> Metric:
    return Metric(name, Kind.GAUGE, text, labels)


def _histogram(name: str, text: str, *labels: str) -> Metric:
    return Metric(name, Kind.HISTOGRAM, text, labels)


_REQUESTS = (
    _counter(
        "requests_total",
        "Answers to callers; outcome is 'served' or the refusal's reason.",
        "customer",
        "service",
        "route",
        "outcome",
    ),
    _histogram(
        "request_seconds",
        "Time from a request's header to the end of its response.",
        "service",
        "route",
    ),
    _counter(
        "verdicts_total",
        "Refusals by their verdict: not_run, may_have_run or ran.",
        "verdict",
    ),
    _counter("lookups_total", "Answers to lookups.", "outcome"),
    _histogram("lookup_seconds", "Time that a lookup took."),
    _counter(
        "invalid_requests_total",
        "Requests refused because of their form, by reason.",
        "reason",
    ),
    _counter(
        "forwards_total",
        "Requests sent to another instance; target is 'dispatcher' or"
        " 'ticket_owner'.",
        "target",
        "outcome",
    ),
    _counter(
        "key_checks_total",
        "Checks of a key: 'known', 'public' or a refusal's reason.",
        "outcome",
    ),
)

_GATEWAY = (
    _counter(
        "gateway_requests_total",
        "Requests of callers of a gateway; outcome is 'answered', the"
        " refusal's reason or, with status 0, why it was not answered.",
        "route",
        "outcome",
        "status",
    ),
    _counter(
        "gateway_no_room_total",
        "Requests refused because no server had room in time, by priority"
        " class and reason.",
        "service",
        "priority",
        "reason",
    ),
    _gauge("gateway_requests_waiting", "Requests that wait for room."),
    _histogram(
        "gateway_request_seconds",
        "Time from a request's header to its answer.",
        "route",
    ),
    _counter(
        "gateway_attempts_total",
        "Requests to backend servers by outcome.",
        "service",
        "outcome",
    ),
    _counter(
        "gateway_hedges_total",
        "Attempts beside one in flight; kind is 'early' if the durations of the"
        " route showed that the first one takes long, else 'usual'.",
        "service",
        "kind",
    ),
    _counter(
        "gateway_connects_total",
        "Attempts to connect to backend servers; outcome is 'open' or the"
        " name of the error.",
        "outcome",
    ),
    _gauge(
        "gateway_server_contact",
        "Whether new connections to backend servers can be opened: 1 or 0.",
    ),
    _counter(
        "gateway_crash_marks_total",
        "Requests that were on a backend server when it crashed.",
        "service",
    ),
    _counter(
        "gateway_crash_trials_total",
        "Questions whether a suspected request may run on trial; outcome is"
        " 'granted' or 'denied'.",
        "outcome",
    ),
    _gauge(
        "gateway_requests_suspected",
        "Requests that run on trial or not at all, since servers crashed.",
    ),
    _counter(
        "gateway_relays_total",
        "Requests passed to peers that reach backend servers; outcome is"
        " 'response' or why there is none.",
        "outcome",
    ),
    _counter(
        "gateway_relayed_total",
        "Requests sent to backend servers for peers that reach none; outcome"
        " is the status or why there is none.",
        "outcome",
    ),
    _gauge(
        "gateway_server_response_age_seconds",
        "Time since a backend server last responded, or since the start.",
    ),
    _counter(
        "gateway_unreadable_total", "Requests that could not be read.", "reason"
    ),
    _gauge(
        "gateway_caller_memory_bytes",
        "Memory of the connections and requests of all listeners.",
    ),
    _gauge(
        "gateway_open_connections",
        "Connections that callers and peers have open at all listeners.",
    ),
    _gauge("gateway_store_calls", "Calls to the store since the start."),
    _gauge("gateway_store_contact_age_seconds", "Age of the store's answer."),
    _gauge("gateway_servers", "Backend servers known."),
    _counter(
        "gateway_rests_total",
        "Responses in which a backend server asked this instance for rest.",
        "service",
    ),
    _counter(
        "gateway_send_permits_total",
        "Permits asked for requests to limited backend servers; outcome is"
        " 'granted' or 'denied'.",
        "service",
        "outcome",
    ),
    _gauge(
        "gateway_servers_limited",
        "Backend servers that name a limit, as far as known here.",
    ),
    _gauge(
        "gateway_configuration_problems",
        "Values of the configuration that were withheld or replaced.",
    ),
    _gauge("gateway_peers_heard", "Instances heard lately."),
    _gauge(
        "gateway_server_loads_known",
        "Backend servers whose load this instance has learned in the last 3 s,"
        " from responses or reports.",
    ),
    _counter(
        "gateway_server_load_rows_total",
        "Loads of backend servers in reports that were newer than the known"
        " ones.",
    ),
    _counter(
        "gateway_server_load_bytes_total",
        "Bytes of backend servers' loads in reports that were sent.",
    ),
    _gauge(
        "gateway_store_fed",
        "Whether a hub passes the changes of the store on: 1 or 0.",
    ),
    _gauge(
        "gateway_token_fraction",
        "Part of a customer's rate that this instance divides out.",
        "customer",
    ),
    _gauge(
        "gateway_tokens_granted",
        "Tokens of a customer given out here since the start.",
        "customer",
    ),
    _gauge("gateway_log_lines_dropped", "Log lines dropped since the start."),
    _gauge(
        "gateway_duties_held",
        "Whether this instance holds a duty of the fleet: 1 or 0.",
        "duty",
    ),
    _counter(
        "gateway_usage_windows_total",
        "Windows of the usage report: stored, sent, late, repeated (stored by"
        " an earlier holder), incomplete, refused or missed.",
        "outcome",
    ),
    _counter(
        "gateway_usage_sources_missing_total",
        "Instances whose counts are missing in a stored window.",
    ),
    _gauge(
        "gateway_usage_changes_missed",
        "Requests whose count changed after it had been reported.",
    ),
    _counter(
        "gateway_duty_calls_total",
        "Calls to the API of the duties, by outcome.",
        "outcome",
    ),
    _gauge(
        "gateway_fleet_time_lead_seconds",
        "Median of the instances' clocks minus this instance's own.",
    ),
)

_SHARES = (
    _gauge("roster_weight", "Weight of this instance, of 10,000."),
    _counter(
        "share_refusals",
        "Requests refused by the allowance, by reason.",
        "customer",
        "reason",
    ),
    _counter(
        "share_waited", "Requests admitted after a wait for a loan.", "customer"
    ),
    _counter("loan_failures", "Loan requests without a reply."),
    _counter("loans_asked", "Loan requests by outcome.", "outcome"),
)

_ONCE = (
    _counter(
        "ledger_total",
        "Request ids seen: 'begun', 'repeated' or a refusal's reason.",
        "outcome",
    ),
)

_DISPATCH = (
    _counter(
        "attempts_total",
        "Attempts at backend servers; kind is 'first', 'retry' or 'hedge'.",
        "service",
        "version",
        "kind",
        "outcome",
    ),
    _histogram(
        "attempt_seconds",
        "Time from sending an attempt to the end of its response.",
        "service",
        "version",
    ),
    _histogram(
        "queue_wait_seconds", "Time that a request waited for a slot.", "cell"
    ),
    _gauge("slots", "Slots that the ready servers of a cell offer.", "cell"),
    _gauge("slots_in_use", "Slots of a cell in use.", "cell"),
    _gauge("queued", "Requests that wait for a slot of a cell.", "cell"),
    _counter(
        "retries_denied_total",
        "Retries and hedges not sent because the budget was used up.",
        "service",
    ),
    _counter(
        "probes_total", "Probes of backend servers.", "service", "outcome"
    ),
    _counter(
        "backend_server_changes_total",
        "Changes of a backend server's state, by the new state.",
        "service",
        "state",
    ),
    _counter(
        "silent_connections_total",
        "Connections that were found silent while their server answered.",
    ),
    _counter(
        "crash_marks_total",
        "Requests that broke a backend server; source is 'own' or 'peer'.",
        "source",
    ),
    _gauge("permit_held", "1 while this instance may dispatch."),
    _gauge("cells_held", "Cells that this instance dispatches to."),
    _counter(
        "cell_takeovers_total",
        "Cells taken over: 'released', 'proven_dead' or 'silent'.",
        "cause",
    ),
)

_MEMBERSHIP = (
    _gauge("peers", "Peers in each state.", "state"),
    _gauge(
        "store_contact_age_seconds",
        "Age of the store read that this instance's knowledge rests on.",
    ),
    _gauge("store_out_for_all", "1 while no instance can reach the store."),
    _counter(
        "control_bytes_total",
        "Bytes of control messages; direction is 'sent' or 'received'.",
        "direction",
    ),
    _counter(
        "control_messages_total",
        "Control messages; direction is 'sent' or 'received'.",
        "direction",
    ),
    _counter("pauses_total", "Times that this process was found paused."),
    _counter("heartbeat_failures", "Heartbeats without an acknowledgement."),
    _histogram("heartbeat_rtt_s", "Time until an acknowledgement, in seconds."),
    _counter("peer_state_changes", "Changes of a peer's state.", "state"),
    _counter("instance_list_failures", "Failed reads of the instance list."),
    _counter("roster_failures", "Failed roster operations.", "operation"),
    _counter("roster_conflicts", "Roster writes that lost to another one."),
    _gauge("roster_lease_in_force", "1 while this instance's lease lasts."),
)

_STORE = (
    _counter(
        "store_calls_total",
        "Calls of the store; a pending watch counts as one.",
        "operation",
        "outcome",
    ),
    _histogram("store_call_seconds", "Time of store calls.", "operation"),
    _counter(
        "store_calls_denied_total",
        "Store calls not sent because the call budget was used up.",
        "operation",
    ),
    _counter("store_relays_total", "Calls relayed by a peer.", "outcome"),
    _counter(
        "instance_list_reads_total", "Reads of the instance list.", "outcome"
    ),
)

_CONFIGURATION = (
    _gauge("config_version", "Version of the configuration in force."),
    _counter(
        "config_applied_total",
        "Versions put in force; source is 'store' or 'peer'.",
        "source",
    ),
    _counter("config_rejected_total", "Versions refused.", "reason"),
    _gauge("ready", "1 when this instance admits requests."),
    _gauge("leaving", "1 while this instance shuts down."),
)

_SHIFTS = (
    _gauge("shift_share", "Share of the new version.", "service", "version"),
    _counter(
        "versions_stopped_total",
        "Bad versions stopped; source is 'own', 'peer' or 'store'.",
        "service",
        "version",
        "source",
    ),
    _counter("shift_changes_total", "Changes of a shift's state.", "state"),
    _gauge("controller_held", "1 while this instance controls shifts."),
)

_PROCESS = (
    _gauge("resident_bytes", "Resident memory of the process."),
    _gauge("cpu_seconds", "Processor time that the process has used."),
    _gauge("event_loop_delay_seconds", "Delay of the last timer."),
    _counter(
        "series_dropped_total",
        "Series not recorded because their metric has too many.",
        "metric",
    ),
)

METRICS: tuple[Metric, ...] = (
    *_REQUESTS,
    *_GATEWAY,
    *_SHARES,
    *_ONCE,
    *_DISPATCH,
    *_MEMBERSHIP,
    *_STORE,
    *_CONFIGURATION,
    *_SHIFTS,
    *_PROCESS,
)

# Description of what each span covers, by name of the span.
SPANS: dict[str, str] = {
    "request": "A caller's request, on the instance that received it.",
    "peer": "The same request on an instance that another one sent it to.",
    "attempt": "One attempt at a backend server, up to the response's headers.",
}
