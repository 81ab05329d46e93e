"""What callers, backend servers and the operator saw."""

from __future__ import annotations

import msgspec


class Call(msgspec.Struct, kw_only=True):
    """One request of a caller. Times are Unix seconds.

    Attributes:
        id: Request id.
        gateway: Gateway that the caller sent it to.
        customer: Customer whose key it had.
        key: The key.
        idempotent: Whether its route may be repeated.
        path: Path on the wire.
        sent_at: When it was sent.
        ended_at: When its answer was complete, or the connection ended.
        status: Status of the answer; 0: none came.
        is_whole: Whether a success was signed, complete and its own.
        is_timeout: Whether the caller gave up.
        server: Server whose answer it is; empty: none.
        left_at: When the caller closed the connection without an answer; 0: it
            did not.
    """

    id: str
    gateway: str
    customer: str
    key: str
    idempotent: bool
    path: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    is_whole: bool = False
    is_timeout: bool = False
    left_at: float = 0.0
    server: str = ""


class Run(msgspec.Struct, kw_only=True):
    """A request that a backend server began to run.

    Attributes:
        id: Request id.
        server: The server.
        at: Unix seconds.
        tenant: Customer that the server was told.
        key: Key that was passed on; must be empty.
        target: Path on the wire.
    """

    id: str
    server: str
    at: float
    tenant: str
    key: str
    target: str


class Arrival(msgspec.Struct, kw_only=True):
    """A request that reached a backend server, also if it was rejected.

    Attributes:
        id: Request id.
        server: The server.
        at: Unix seconds.
        limit_per_s: Limit that the response names, or None.
        rest_s: Seconds of rest that the rejection asks for, or None.
        leaving: Whether the response says that the server leaves.
    """

    id: str
    server: str
    at: float
    limit_per_s: float | None
    rest_s: float | None
    leaving: bool


class Disruption(msgspec.Struct, kw_only=True):
    """A fault while it lasts, and what it touched.

    Attributes:
        kind: Kind of the fault.
        target: Gateway or server; empty: the store for all.
        since: Unix seconds.
        until: Unix seconds.
    """

    kind: str
    target: str
    since: float
    until: float


class Act(msgspec.Struct, kw_only=True):
    """Something that the operator wrote, or a server said of itself.

    Attributes:
        kind: "configuration", "drain", "key_withdrawn" or "crash".
        subject: Version, server, key, or path of the request.
        at: Unix seconds of the store's acknowledgement.
    """

    kind: str
    subject: str
    at: float


class DutyCall(msgspec.Struct, kw_only=True):
    """A call to the API for duties. Times are Unix seconds.

    Attributes:
        holder: Name of the instance that made it.
        token: Its fencing token.
        window: The window that it reports.
        counts: The counts that it reports.
        at: When it reached the API.
        ended_at: When it was executed.
        status: Status of the answer; 0: none.
        is_answered: Whether the answer was sent to the holder.
    """

    holder: str
    token: int
    window: int
    counts: dict[str, int]
    at: float
    ended_at: float = 0.0
    status: int = 0
    is_answered: bool = False


class Stall(msgspec.Struct, frozen=True, kw_only=True):
    """Time in which callers and proxies of the run did nothing.

    Attributes:
        since: Unix seconds.
        until: Unix seconds.
    """

    since: float
    until: float


class History(msgspec.Struct, kw_only=True):
    """All records of one run.

    Attributes:
        calls: Requests of callers.
        runs: Requests that servers ran.
        arrivals: Requests that reached servers.
        disruptions: Faults.
        acts: What the operator and the servers wrote.
        starts: Unix times at which each gateway was started.
        faults_end: Unix seconds after which no fault was injected.
        ended_at: Unix seconds of the end.
        rates: Rate per second and burst of each customer.
        stalls: Times in which the process of the run stood still.
        duty_calls: Calls to the API for duties.
        api_faults: Faults of that API, which excuse nothing.
    """

    calls: list[Call] = []
    runs: list[Run] = []
    arrivals: list[Arrival] = []
    disruptions: list[Disruption] = []
    acts: list[Act] = []
    starts: dict[str, list[float]] = {}
    faults_end: float = 0.0
    ended_at: float = 0.0
    rates: dict[str, tuple[float, float]] = {}
    stalls: list[Stall] = []
    duty_calls: list[DutyCall] = []
    api_faults: list[Disruption] = []
