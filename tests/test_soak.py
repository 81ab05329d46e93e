"""The soak's checks find broken rules, and a short run of it breaks none."""

from __future__ import annotations

import asyncio
import pathlib
import types

import aiohttp
import msgspec
import pytest
from rich.console import Console

from radishmux.clock import ManualClock
from soak import faults
from soak.checks import CHECKS, CONTACT_S, CRASH, CUT, RECOVERY_S, violations
from soak.component_faults import COMPONENT_KINDS, draw
from soak.components import LEASE_S
from soak.faults import KINDS, Fault, Schedule
from soak.injector import control
from soak.records import (
    Act,
    Arrival,
    Call,
    Disruption,
    DutyCall,
    History,
    Run,
    Stall,
)
from soak.report import show
from soak.run import Outcome, play
from soak.shrink import shrink
from soak.stall_monitor import StallMonitor

# Schedules that once failed. sighup-while-starting: the process was ended by a
# SIGHUP that came before the daemon handled it. leaving-through-helper: a cut
# gateway did not read what a relayed response said of its server.
# crashing-request: a request was sent 13 times after it had crashed 3 servers.
# pipelined-around-stops: pipelined requests at servers were cut by a stop.
CASES = sorted((pathlib.Path(__file__).parent / "soak_cases").glob("*.json"))


def call(name="1", **fields):
    values = {
        "id": name,
        "gateway": "g0",
        "customer": "open",
        "key": "k",
        "idempotent": False,
        "path": "/p",
        "sent_at": 10.0,
        "ended_at": 10.1,
        "status": 200,
        "is_whole": True,
    }
    return Call(**(values | fields))


def run(name="1", **fields):
    values = {
        "id": name,
        "server": "s0",
        "at": 10.05,
        "tenant": "open",
        "key": "",
        "target": "/p",
    }
    return Run(**(values | fields))


def arrival(name="1", **fields):
    values = {
        "id": name,
        "server": "s0",
        "at": 10.05,
        "limit_per_s": None,
        "rest_s": None,
        "leaving": False,
    }
    return Arrival(**(values | fields))


def term(**fields):
    values = {"kind": "gateway_term", "target": "g0"}
    return Disruption(**(values | {"since": 9.5, "until": 12.0} | fields))


def duty_call(**fields):
    values = {
        "holder": "g0",
        "token": 5,
        "window": 7,
        "counts": {"open": 3},
        "at": 10.0,
        "ended_at": 10.0,
        "status": 200,
        "is_answered": True,
    }
    return DutyCall(**(values | fields))


BROKEN = {
    "TWICE": History(calls=[call()], runs=[run(), run(server="s1")]),
    "REFUSED": History(calls=[call(status=503)], runs=[run()]),
    "MIXED": History(calls=[call(is_whole=False)], runs=[run()]),
    "UNASKED": History(calls=[call()], runs=[run(tenant="other")]),
    "QUOTA": History(
        calls=[call(str(n), sent_at=10.0 + n / 50) for n in range(200)],
        runs=[run(str(n), at=10.0 + n / 50) for n in range(200)],
        rates={"open": (10.0, 10.0)},
    ),
    "DRAIN": History(
        calls=[call(sent_at=9.0)],
        runs=[run(at=9.0)],
        acts=[Act(kind="drain", subject="s0", at=5.0)],
    ),
    "CRASHES": History(
        calls=[call(str(n), status=503) for n in range(6)],
        arrivals=[arrival(str(n), at=14.5 + n) for n in range(6)],
        acts=[Act(kind=CRASH, subject="/p", at=10.0 + n) for n in range(4)],
    ),
    "LIMIT": History(
        calls=[
            call(str(n), sent_at=n / 5, ended_at=n / 5 + 0.1) for n in range(60)
        ],
        arrivals=[
            arrival(str(n), at=n / 5, limit_per_s=2.0) for n in range(60)
        ],
    ),
    "BUDGET": History(
        calls=[call(str(n), status=503) for n in range(4)],
        arrivals=[
            arrival("0", at=10.0, rest_s=2.0),
            *(arrival(str(n), at=10.5 + n / 4) for n in range(1, 4)),
        ],
    ),
    "GONE": History(
        calls=[
            call(str(n), status=0, is_whole=False, left_at=10.0)
            for n in range(4)
        ],
        arrivals=[arrival(str(n), at=10.6) for n in range(4)],
    ),
    "LEAVING": History(
        calls=[
            call("1", sent_at=5.0, ended_at=5.1, server="s0"),
            call("2", sent_at=7.7),
        ],
        arrivals=[
            arrival("1", at=5.05, leaving=True),
            arrival("2", at=7.8, leaving=True),
        ],
    ),
    "KEYS": History(
        calls=[call()],
        runs=[run()],
        acts=[Act(kind="key_withdrawn", subject="k", at=4.0)],
    ),
    "CONFIG": History(
        calls=[
            call("1", path="/v2/", sent_at=5.0, ended_at=5.1),
            call("2", path="/v2/", sent_at=6.0, status=404),
        ],
        runs=[run("1", target="/v2/")],
        acts=[Act(kind="configuration", subject="2", at=4.5)],
    ),
    "LOST": History(
        calls=[call(status=0, is_whole=False, ended_at=10.5)],
        runs=[run()],
        disruptions=[term()],
    ),
    "CUT": History(
        calls=[
            call(f"{gateway}-{n}", gateway=gateway, status=status)
            for gateway, status in (("g0", 503), ("g1", 200))
            for n in range(20)
        ],
        disruptions=[
            Disruption(
                kind=CUT, target=f"{CUT}g0", since=10.0 - CONTACT_S, until=11.0
            )
        ],
    ),
    "DUTY_TOKEN": History(
        duty_calls=[duty_call(), duty_call(holder="g1", at=11.0)]
    ),
    "DUTY_ORDER": History(
        duty_calls=[
            duty_call(),
            duty_call(holder="g1", token=6, at=11.0),
            duty_call(token=8, at=10.0 + LEASE_S),
        ]
    ),
    "DUTY_REPORT": History(
        duty_calls=[duty_call(), duty_call(counts={"open": 4}, status=409)]
    ),
    "DUTY_FENCED": History(
        duty_calls=[duty_call(status=409), duty_call(at=10.1 + LEASE_S)]
    ),
    "NOT_RUN": History(calls=[call(idempotent=True, status=503)], runs=[run()]),
    "RECOVER": History(
        calls=[call(sent_at=20.0, status=503)], faults_end=20.0 - RECOVERY_S
    ),
}


@pytest.mark.parametrize("rule", list(CHECKS))
def test_each_check_finds_its_broken_rule(rule):
    assert [one.rule for one in violations(BROKEN[rule])] == [rule]


def test_answers_and_runs_of_sound_requests_break_nothing():
    history = History(
        calls=[call("1"), call("2", status=429), call("3", status=502)],
        runs=[run("1"), run("3")],
        rates={"open": (10.0, 10.0)},
    )
    assert violations(history) == []


def test_machines_that_are_not_in_touch_are_excused_from_bounds_in_time():
    history = BROKEN["DRAIN"]
    cut = Disruption(kind="store_link", target="g0", since=4.0, until=6.0)
    excused = msgspec.structs.replace(history, disruptions=[cut])
    assert violations(excused) == []
    elsewhere = msgspec.structs.replace(cut, target="g1")
    still = msgspec.structs.replace(history, disruptions=[elsewhere])
    assert [one.rule for one in violations(still)] == ["DRAIN"]


# Seed 2016: the response that said so was lost, and another server answered.
def test_server_whose_response_was_lost_has_not_said_that_it_leaves():
    history = BROKEN["LEAVING"]
    first, second = history.calls
    elsewhere = msgspec.structs.replace(first, server="s1")
    lost = msgspec.structs.replace(history, calls=[elsewhere, second])
    assert violations(lost) == []


@pytest.mark.parametrize("rule", ["LIMIT", "BUDGET", "LEAVING"])
def test_restarted_gateways_and_broken_servers_are_excused(rule):
    for target in ("g0", "s0"):
        fault = Disruption(kind="pause", target=target, since=0.0, until=9.0)
        late = Disruption(kind="pause", target=target, since=7.0, until=9.0)
        history = msgspec.structs.replace(
            BROKEN[rule], disruptions=[fault, late]
        )
        assert violations(history) == []


# A stale holder may act again alone, without a call of the other one between.
def test_token_that_goes_back_is_found_after_any_time():
    calls = [
        duty_call(holder="g1", token=6, at=1.0),
        duty_call(token=5, at=2.0 + 2 * LEASE_S),
    ]
    found = violations(History(duty_calls=calls))
    assert [one.rule for one in found] == ["DUTY_ORDER"]


# Two processes of one instance are two holders.
def test_token_of_the_process_before_a_restart_is_found():
    history = History(
        duty_calls=[duty_call(), duty_call(at=15.0)],
        starts={"g0": [1.0, 12.0]},
    )
    assert [one.rule for one in violations(history)] == ["DUTY_TOKEN"]


def test_holders_that_follow_each_other_break_nothing():
    history = History(
        duty_calls=[
            duty_call(),
            # A call that is executed late, and refused then.
            duty_call(at=10.5, ended_at=15.0, status=409, is_answered=False),
            duty_call(holder="g1", token=6, at=12.1),
            duty_call(token=8, at=12.6, ended_at=12.6, status=409),
            duty_call(token=8, at=12.5 + LEASE_S),
            duty_call(token=9, at=12.7 + LEASE_S),
        ]
    )
    assert violations(history) == []


def test_component_faults_leave_the_other_faults_of_a_seed_alone():
    schedule = draw(5, 20.0)
    others = [one for one in schedule.faults if one.kind in list(KINDS)]
    assert tuple(others) == faults.draw(5, 20.0).faults
    assert len(others) < len(schedule.faults)


def test_schedules_repeat_with_their_seed():
    assert draw(5, 20.0) == draw(5, 20.0)
    assert draw(5, 20.0) != draw(6, 20.0)


async def test_schedule_is_cut_down_to_the_faults_that_matter():
    needed = {"store_down", "gateway_kill"}
    kinds = ["server_kill", "store_down", "configuration", "gateway_kill"] * 4
    faults = tuple(
        Fault(kind=kind, at=float(n)) for n, kind in enumerate(kinds)
    )
    schedule = Schedule(
        seed=1,
        load_s=1.0,
        gateways=1,
        servers=1,
        full_mesh_max=2,
        faults=faults,
    )

    async def fails(tried):
        return needed <= {fault.kind for fault in tried.faults}

    small = await shrink(schedule, fails)
    assert sorted(fault.kind for fault in small.faults) == sorted(needed)


@pytest.mark.parametrize("seed", [1, 2])
async def test_short_soak_breaks_no_rule(seed, tmp_path):
    outcome = await play(draw(seed, 8.0), tmp_path, recovery_s=2.0)
    assert outcome.violations == []
    assert outcome.served > 0


def shown(history):
    """Returns the report of a run that only has a history."""
    outcome = Outcome(
        schedule=draw(1, 8.0),
        violations=[],
        calls=0,
        served=0,
        runs=0,
        history=history,
    )
    console = Console(record=True, width=120)
    show(outcome, console)
    return console.export_text()


# The report of a run with departing callers ended with an error.
def test_report_shows_every_kind_of_fault():
    disruptions = [
        Disruption(kind=kind, target=kind, since=10.0, until=11.0)
        for kind in (*KINDS, *COMPONENT_KINDS)
    ]
    text = shown(History(disruptions=disruptions, ended_at=20.0))
    assert "callers_leave" in text and "store_restored" in text
    assert "api_down" in text and "servers_crowded" in text


# A run ended with an error, since a server crashed while its faults were set.
async def test_faults_are_set_unless_the_server_crashes_meanwhile():
    class Crashing:
        def __init__(self, server):
            self.server = server

        async def control(self, **change):
            self.server.standin = None
            raise aiohttp.ServerDisconnectedError

    class Broken:
        async def control(self, **change):
            raise aiohttp.ServerDisconnectedError

    server = types.SimpleNamespace(standin=None)
    await control(server, rest_s=1.0)
    server.standin = Crashing(server)
    await control(server, rest_s=1.0)
    server.standin = Broken()
    with pytest.raises(aiohttp.ServerDisconnectedError):
        await control(server, rest_s=1.0)


# GONE was broken once, and nothing told whether the proxies had stood still.
async def test_run_records_when_it_stood_still():
    stalls, clock = [], ManualClock(10.0)
    async with StallMonitor(stalls, clock.now):
        # Until the monitor has read the clock.
        await asyncio.sleep(0)
        clock.advance(0.5)
        async with asyncio.timeout(5.0):
            while not stalls:
                await asyncio.sleep(0.01)
    assert stalls == [Stall(since=10.0, until=10.5)]
    assert "stood still" in shown(History(stalls=stalls, ended_at=20.0))


async def test_seeds_that_failed_once_break_no_rule(tmp_path):
    """Schedules in `soak_cases`; there are none as long as none has failed."""
    for path in CASES:
        folder = tmp_path / path.stem
        folder.mkdir()
        schedule = msgspec.json.decode(path.read_bytes(), type=Schedule)
        outcome = await play(schedule, folder, recovery_s=2.0)
        assert outcome.violations == [], path.name
