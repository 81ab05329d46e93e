"""Checks the users' rules on the records of a run; pure.

Bounds are the users'. A machine is in touch while nothing was wrong with it
or the store for `CONTACT_S`; rules with a time bound hold for machines in
touch only.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Callable, Iterable, Iterator

import msgspec

from radishmux.registry import Registry
from soak.records import Arrival, Call, Disruption, History, Run

CONTACT_S = 4.0
CONFIG_APPLY_S = 2.5
REVOKE_S = 5.0
DRAIN_S = 2.5
ROLLBACK_SLACK_S = 0.25
GRACE_S = 6.0
QUOTA_WINDOW_S = 5.0
QUOTA_OVERRUN = 0.1
QUOTA_SLACK = 20
LIMIT_WINDOW_S = 4.0
LIMIT_OVERRUN = 1.5
LIMIT_SLACK = 5
# What a server says binds a gateway this long after its response.
NOTICE_S = 0.5
MAX_DURING_REST = 2
# Time after which nothing goes on for a caller that has left, and the requests
# of one gateway that may.
GONE_S = 0.5
GONE_FEW = 3
# First tries at cut gateways are served at least this often, relative to those
# at the others, or at most so many of all fail there.
CUT_RATIO = 2 / 3
CUT_FEW, CUT_SHARE = 10, 1 / 50
RECOVERY_S = 15.0
RECOVERED_SHARE = 0.25
# A request that has crashed so many servers is sent to few more.
MAX_CRASHES = 3
MAX_SENDS_AFTER_CRASHES = 3
# Kind of the act of a server that crashed; its subject is the request's path.
CRASH = "crash"
# These statuses say that a request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})
# Kind of the fault that parts a gateway from all servers, and prefix of its
# target: the gateway stays in touch.
CUT = "gateway_cut:"
# Faults of gateways and their links to the store.
_STORE_WIDE = ""


class Violation(msgspec.Struct, frozen=True):
    """A broken rule.

    Attributes:
        rule: The users' name of the rule.
        at: Unix seconds.
        detail: What was seen.
    """

    rule: str
    at: float
    detail: str


Check = Callable[[History], Iterator[Violation]]
CHECKS: Registry[str, Check] = Registry("check")


def violations(history: History) -> list[Violation]:
    """Returns all broken rules, in the order of time."""
    found = [one for name in CHECKS for one in CHECKS[name](history)]
    return sorted(found, key=lambda one: one.at)


def is_in_touch(
    gateway: str, at: float, disruptions: Iterable[Disruption]
) -> bool:
    """Whether nothing was wrong with a gateway in the time before."""
    return not any(
        one.target in (gateway, _STORE_WIDE)
        and one.since <= at
        and one.until >= at - CONTACT_S
        for one in disruptions
    )


def _runs_by_id(history: History) -> dict[str, list[Run]]:
    runs = collections.defaultdict(list)
    for run in history.runs:
        runs[run.id].append(run)
    return runs


@CHECKS.register("TWICE")
def _at_most_once(history: History) -> Iterator[Violation]:
    runs = _runs_by_id(history)
    for call in history.calls:
        ran = runs.get(call.id, [])
        if not call.idempotent and len(ran) > 1:
            servers = ", ".join(one.server for one in ran)
            yield Violation("TWICE", call.sent_at, f"{call.id} at {servers}")


@CHECKS.register("REFUSED")
def _true_refusals(history: History) -> Iterator[Violation]:
    runs = _runs_by_id(history)
    for call in history.calls:
        if call.status in NOT_RUN and not call.idempotent and runs.get(call.id):
            yield Violation(
                "REFUSED", call.sent_at, f"{call.id}: {call.status}, but it ran"
            )


@CHECKS.register("MIXED")
def _own_whole_answers(history: History) -> Iterator[Violation]:
    for call in history.calls:
        if 200 <= call.status < 300 and not call.is_whole:
            yield Violation("MIXED", call.sent_at, f"{call.id} at a caller")


@CHECKS.register("UNASKED")
def _known_requests(history: History) -> Iterator[Violation]:
    calls = {call.id: call for call in history.calls}
    for run in history.runs:
        call = calls.get(run.id)
        if call is None or run.target != call.path:
            yield Violation("UNASKED", run.at, f"{run.id} {run.target}")
        elif run.key or run.tenant != call.customer:
            detail = f"{run.id} as {run.tenant!r} of {call.customer!r}"
            yield Violation("UNASKED", run.at, detail)


@CHECKS.register("QUOTA")
def _rates(history: History) -> Iterator[Violation]:
    sent = {call.id: call.sent_at for call in history.calls}
    for customer, (rate, burst) in history.rates.items():
        most = (rate * QUOTA_WINDOW_S + burst) * (1 + QUOTA_OVERRUN)
        most += QUOTA_SLACK
        # Requests that were both sent and run within a window.
        pairs = sorted(
            (run.at, sent.get(run.id, run.at))
            for run in history.runs
            if run.tenant == customer
        )
        window: collections.deque[tuple[float, float]] = collections.deque()
        for at, sent_at in pairs:
            window.append((at, sent_at))
            while window and window[0][0] < at - QUOTA_WINDOW_S:
                window.popleft()
            count = sum(one[1] >= at - QUOTA_WINDOW_S for one in window)
            if count > most:
                detail = f"{customer}: {count} in a window, {most:g} allowed"
                yield Violation("QUOTA", at, detail)
                break


@CHECKS.register("DRAIN")
def _draining_servers(history: History) -> Iterator[Violation]:
    calls = {call.id: call for call in history.calls}
    drained = {
        act.subject: act.at for act in history.acts if act.kind == "drain"
    }
    for run in history.runs:
        at = drained.get(run.server)
        call = calls.get(run.id)
        if at is None or call is None or call.sent_at <= at + DRAIN_S:
            continue
        if is_in_touch(call.gateway, call.sent_at, history.disruptions):
            detail = f"{run.id} at {run.server}, {run.at - at:.2f} s after"
            yield Violation("DRAIN", run.at, detail)


def _by_server(
    history: History,
) -> Iterator[tuple[str, list[tuple[Arrival, Call]]]]:
    """Yields each server with the requests that reached it, by time."""
    calls = {call.id: call for call in history.calls}
    by_server = collections.defaultdict(list)
    for arrival in sorted(history.arrivals, key=lambda one: one.at):
        call = calls.get(arrival.id)
        if call is not None:
            by_server[arrival.server].append((arrival, call))
    yield from by_server.items()


def _is_calm(
    history: History, server: str, gateway: str, since: float, until: float
) -> bool:
    """Whether nothing was wrong with a server and a gateway in a time."""
    return not any(
        one.target in (server, gateway)
        and one.since <= until
        and one.until >= since
        for one in history.disruptions
    )


@CHECKS.register("LIMIT")
def _limits(history: History) -> Iterator[Violation]:
    for server, arrived in _by_server(history):
        first_at = math.inf
        told_at: dict[str, float] = {}
        counted: collections.deque[float] = collections.deque()
        for arrival, call in arrived:
            at, gateway = arrival.at, call.gateway
            if arrival.limit_per_s is None:
                first_at = math.inf
                told_at.clear()
                counted.clear()
                continue
            first_at = min(first_at, at)
            if call.status == 200:
                told_at.setdefault(gateway, call.ended_at)
            told = told_at.get(gateway, math.inf)
            since = min(told, at - CONTACT_S)
            if at < max(told + NOTICE_S, first_at + CONTACT_S) or not _is_calm(
                history, server, gateway, since, at
            ):
                continue
            counted.append(at)
            while counted[0] < at - LIMIT_WINDOW_S:
                counted.popleft()
            most = LIMIT_OVERRUN * arrival.limit_per_s * LIMIT_WINDOW_S
            if len(counted) > most + LIMIT_SLACK:
                detail = f"{server}: {len(counted)}, {most + LIMIT_SLACK:g}"
                yield Violation("LIMIT", at, f"{detail} allowed")
                break


@CHECKS.register("BUDGET")
def _rests(history: History) -> Iterator[Violation]:
    for server, arrived in _by_server(history):
        for arrival, call in arrived:
            if arrival.rest_s is None:
                continue
            since = arrival.at + NOTICE_S
            until = arrival.at + arrival.rest_s
            count = sum(
                since <= other.at <= until and one.gateway == call.gateway
                for other, one in arrived
            )
            if count > MAX_DURING_REST and _is_calm(
                history, server, call.gateway, arrival.at - CONTACT_S, until
            ):
                detail = f"{server} got {count} of {call.gateway} in its rest"
                yield Violation("BUDGET", arrival.at, detail)
                break


@CHECKS.register("CRASHES")
def _crashing_requests(history: History) -> Iterator[Violation]:
    """The users' BUDGET for requests that crash the servers that run them."""
    calls = {call.id: call for call in history.calls}
    crashes = collections.defaultdict(list)
    for act in history.acts:
        if act.kind == CRASH:
            crashes[act.subject].append(act.at)
    for path, times in crashes.items():
        if len(times) <= MAX_CRASHES:
            continue
        since = sorted(times)[MAX_CRASHES - 1] + CONTACT_S
        late = [
            call
            for arrival in history.arrivals
            if (call := calls.get(arrival.id)) is not None
            and call.path == path
            and arrival.at > since
            and is_in_touch(call.gateway, arrival.at, history.disruptions)
        ]
        if len(late) > MAX_SENDS_AFTER_CRASHES:
            detail = f"{path}: sent {len(late)} times after {MAX_CRASHES}"
            yield Violation(
                "CRASHES", since, f"{detail} crashes, {len(times)} in all"
            )


@CHECKS.register("GONE")
def _departed_callers(history: History) -> Iterator[Violation]:
    """Requests that reach servers after their callers have left.

    Stricter than the users' rule: gateways that stood still are not excused.
    """
    late: collections.Counter[str] = collections.Counter()
    for server, arrived in _by_server(history):
        for arrival, call in arrived:
            since = call.left_at
            if not since or arrival.at <= since + GONE_S:
                continue
            # A link may hold up a request that was sent in time.
            if _is_calm(history, server, "", since - CONTACT_S, arrival.at):
                late[call.gateway] += 1
                if late[call.gateway] > GONE_FEW:
                    detail = f"{call.id} at {server}, {arrival.at - since:.2f}"
                    yield Violation("GONE", arrival.at, f"{detail} s after")
                    break


@CHECKS.register("LEAVING")
def _leaving_servers(history: History) -> Iterator[Violation]:
    """The users' DRAIN, for servers that say in responses that they leave.

    A response tells nothing that is lost on its way, so that another server
    answered the call.
    """
    for server, arrived in _by_server(history):
        told_at: dict[str, float] = {}
        for arrival, call in arrived:
            if arrival.leaving and call.server == server:
                told_at.setdefault(call.gateway, call.ended_at)
            told = told_at.get(call.gateway, math.inf)
            if call.sent_at > told + DRAIN_S and _is_calm(
                history, server, call.gateway, told, arrival.at
            ):
                detail = f"{call.id} at {server}, {call.sent_at - told:.2f} s"
                yield Violation("LEAVING", arrival.at, f"{detail} after")


@CHECKS.register("KEYS")
def _withdrawn_keys(history: History) -> Iterator[Violation]:
    withdrawn = {
        act.subject: act.at
        for act in history.acts
        if act.kind == "key_withdrawn"
    }
    runs = _runs_by_id(history)
    for call in history.calls:
        at = withdrawn.get(call.key)
        if at is None or not runs.get(call.id):
            continue
        if call.sent_at > at + REVOKE_S and is_in_touch(
            call.gateway, call.sent_at, history.disruptions
        ):
            detail = f"{call.id}, {call.sent_at - at:.2f} s after"
            yield Violation("KEYS", call.sent_at, detail)


@CHECKS.register("CONFIG")
def _configuration(history: History) -> Iterator[Violation]:
    """Route `/vN/` exists from version N on and is never taken away."""
    acknowledged = {
        f"/v{act.subject}/": act.at
        for act in history.acts
        if act.kind == "configuration"
    }
    for calls in _by_process(history):
        seen: dict[str, float] = {}
        for call in sorted(calls, key=lambda one: one.sent_at):
            at = acknowledged.get(call.path)
            if at is None or call.status not in (200, 404):
                continue
            if call.status == 200:
                seen.setdefault(call.path, call.ended_at)
                continue
            since = seen.get(call.path)
            if since is not None and call.sent_at > since + ROLLBACK_SLACK_S:
                detail = f"{call.gateway} took {call.path} back"
                yield Violation("CONFIG", call.sent_at, detail)
            if call.sent_at > at + CONFIG_APPLY_S and is_in_touch(
                call.gateway, call.sent_at, history.disruptions
            ):
                late_s = call.sent_at - at
                detail = f"{call.gateway} lacks {call.path}, {late_s:.2f} s"
                yield Violation("CONFIG", call.sent_at, detail)


def _by_process(history: History) -> Iterator[list[Call]]:
    """Yields the calls that one process of a gateway answered."""
    by_gateway = collections.defaultdict(list)
    for call in history.calls:
        by_gateway[call.gateway].append(call)
    for gateway, calls in by_gateway.items():
        starts = [*history.starts.get(gateway, [0.0]), float("inf")]
        for since, until in zip(starts, starts[1:], strict=False):
            yield [one for one in calls if since <= one.sent_at < until]


@CHECKS.register("LOST")
def _graceful_shutdown(history: History) -> Iterator[Violation]:
    """A request that a terminating gateway has read is answered."""
    terms = [one for one in history.disruptions if one.kind == "gateway_term"]
    runs = _runs_by_id(history)
    for call in history.calls:
        if call.status or call.is_timeout or not runs.get(call.id):
            continue
        if call.left_at:
            continue
        for term in terms:
            if term.target != call.gateway:
                continue
            if not term.since - 1 <= call.ended_at <= term.since + GRACE_S:
                continue
            others = [
                one
                for one in history.disruptions
                if one is not term and one.since <= call.ended_at
            ]
            calm = all(one.until < call.sent_at - CONTACT_S for one in others)
            if calm:
                detail = f"{call.id} at {call.gateway}, which was terminating"
                yield Violation("LOST", call.ended_at, detail)


@CHECKS.register("RECOVER")
def _recovery(history: History) -> Iterator[Violation]:
    since = history.faults_end + RECOVERY_S
    late = [call for call in history.calls if call.sent_at >= since]
    served = sum(call.status == 200 for call in late)
    if late and served < RECOVERED_SHARE * len(late):
        detail = f"{served} of {len(late)} served after the faults"
        yield Violation("RECOVER", since, detail)


@CHECKS.register("CUT")
def _cut_gateways(history: History) -> Iterator[Violation]:
    """The users' RECOVER for gateways that are parted from all servers."""
    cuts = [one for one in history.disruptions if one.kind == CUT]
    others = [one for one in history.disruptions if one.kind != CUT]
    for cut in cuts:
        together = [
            one
            for one in cuts
            if one.since <= cut.until and one.until >= cut.since
        ]
        since = max(one.since for one in together) + CONTACT_S
        until = min(one.until for one in together)
        if any(one.since <= until and one.until >= cut.since for one in others):
            continue
        cut_gateways = {one.target.removeprefix(CUT) for one in together}
        calls = [
            one
            for one in history.calls
            if since <= one.sent_at < until
            and one.customer not in history.rates
        ]
        there = [one for one in calls if one.gateway in cut_gateways]
        elsewhere = [one for one in calls if one.gateway not in cut_gateways]
        if not there or not elsewhere:
            continue
        served, served_elsewhere = map(_served_share, (there, elsewhere))
        failed = sum(one.status != 200 for one in there)
        is_worse = served < CUT_RATIO * served_elsewhere
        if is_worse and failed > CUT_FEW + CUT_SHARE * len(calls):
            detail = f"{served:.2f} served, elsewhere {served_elsewhere:.2f}"
            yield Violation("CUT", since, f"{sorted(cut_gateways)}: {detail}")


def _served_share(calls: list[Call]) -> float:
    return sum(call.status == 200 for call in calls) / len(calls)
