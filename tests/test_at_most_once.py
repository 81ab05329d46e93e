"""Checks at-most-once execution with processes that are killed or suspended.

A request with the verdict "not run" has not run (invariant I7), and a
non-idempotent request runs at most once (invariant I8).
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import json
import os
import random
import signal
import sys
import time

import aiohttp

from tests.request_node import headers
from tests.request_parts import BackendProcess, backend_process

SEED = 20261
REQUEST_COUNT = 400
CALLER_COUNT = 12
DEADLINE_S = 0.6

# Verdict and Unix time of each attempt, by request id; the verdict is "silent"
# if the attempt got no answer.
AnswersById = dict[str, list[tuple[str, float]]]


class InstanceProcesses:
    """Instance processes that read their membership from a file of the test."""

    def __init__(self, folder: str, servers: list[str]) -> None:
        self._membership_file = os.path.join(folder, "members.json")
        self._servers = servers
        self.callers: dict[str, str] = {}
        self._peers: dict[str, str] = {}
        self._killed: set[str] = set()
        self._processes: dict[str, asyncio.subprocess.Process] = {}

    async def start(self, name: str) -> None:
        arguments = [f"--server={server}" for server in self._servers]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.node_process",
            "--name",
            name,
            "--members",
            self._membership_file,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            env=os.environ | {"PYTHONPATH": "src:."},
        )
        self._processes[name] = process
        line = await asyncio.wait_for(process.stdout.readline(), 20)
        _, self.callers[name], self._peers[name] = line.decode().split()
        self._killed.discard(name)
        self._write_membership()

    async def kill(self, name: str) -> None:
        process = self._processes.pop(name)
        process.kill()
        await process.wait()
        self._killed.add(name)
        self._write_membership()

    def send_signal(self, name: str, number: int) -> None:
        self._processes[name].send_signal(number)

    async def stop(self) -> None:
        for name in list(self._processes):
            with contextlib.suppress(ProcessLookupError):
                await self.kill(name)

    def _write_membership(self) -> None:
        entries = {
            name: {"peer": peer, "dead": name in self._killed}
            for name, peer in self._peers.items()
        }
        with open(f"{self._membership_file}.new", "w") as file:
            json.dump(entries, file)
        os.replace(f"{self._membership_file}.new", self._membership_file)


async def _send_with_repeats(
    session: aiohttp.ClientSession,
    instances: InstanceProcesses,
    rng: random.Random,
    number: int,
    answers_by_id: AnswersById,
) -> None:
    """Sends a request through random instances until its outcome is known.

    Gives up after five attempts, or at random before.
    """
    names = sorted(instances.callers)
    ticket = await _request_ticket(session, instances, rng.choice(names))
    if not ticket:
        return
    request_id = f"{ticket}/{number}"
    answers = answers_by_id.setdefault(request_id, [])
    method = rng.choice(("POST", "PUT", "DELETE", "PATCH"))
    for _ in range(5):
        url = f"http://{instances.callers[rng.choice(names)]}/poles/write/{number}"
        answers.append(("silent", 0.0))
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            deadline_ms = str(int(DEADLINE_S * 1000))
            async with session.request(
                method,
                url,
                data=b"refill",
                headers=headers(id=request_id, deadline_ms=deadline_ms),
                timeout=aiohttp.ClientTimeout(total=DEADLINE_S + 0.3),
            ) as response:
                await response.read()
                verdict = response.headers.get("X-Radishmux-Verdict", "none")
                answers[-1] = (verdict, time.time())
        if answers[-1][0] in ("ran", "not_run") or rng.random() < 0.1:
            return


async def _request_ticket(
    session: aiohttp.ClientSession, instances: InstanceProcesses, name: str
) -> str:
    with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
        async with session.post(
            f"http://{instances.callers[name]}/poles/write/t",
            headers=headers(),
            timeout=aiohttp.ClientTimeout(total=1.0),
        ) as response:
            return (await response.json())["ticket"]
    return ""


async def _inject_faults(
    instances: InstanceProcesses,
    servers: list[BackendProcess],
    rng: random.Random,
) -> None:
    """Kills and suspends instances and makes backend servers answer late."""
    while True:
        name = rng.choice(("i1", "i2", "i3"))
        action = rng.choice(("kill", "freeze", "freeze", "late"))
        if action == "kill":
            await instances.kill(name)
            await asyncio.sleep(0.2)
            await instances.start(name)
        elif action == "freeze":
            instances.send_signal(name, signal.SIGSTOP)
            await asyncio.sleep(rng.choice((0.3, 0.9)))
            instances.send_signal(name, signal.SIGCONT)
        else:
            server = rng.choice(servers[1:])  # The test kills the first one.
            await server.control(late_rate=0.3, late_s=DEADLINE_S)
        await asyncio.sleep(0.3)


async def test_no_request_runs_twice_and_not_run_verdicts_are_true(tmp_path):
    """Guards against a second run and against a false "not run" verdict."""
    print(f"seed {SEED}")
    rng = random.Random(SEED)
    record_files = [str(tmp_path / f"b{i}.record") for i in range(3)]
    answers_by_id: AnswersById = {}
    async with contextlib.AsyncExitStack() as stack:
        servers = [
            await stack.enter_async_context(
                backend_process(f"b{i}", record_file=record_file)
            )
            for i, record_file in enumerate(record_files)
        ]
        for server in servers:
            await server.control(
                latency_s=0.01,
                late_rate=0.1,
                late_s=DEADLINE_S,
                truncate_rate=0.1,
                shed_rate=0.3,
                mismatch_rate=0.05,
            )
        addresses = [f"b{i}={s.address}" for i, s in enumerate(servers)]
        instances = InstanceProcesses(str(tmp_path), addresses)
        stack.push_async_callback(instances.stop)
        for name in ("i1", "i2", "i3"):
            await instances.start(name)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        fault_task = asyncio.create_task(
            _inject_faults(instances, servers, rng)
        )
        numbers = iter(range(REQUEST_COUNT))

        async def caller() -> None:
            for number in numbers:
                await _send_with_repeats(
                    session, instances, rng, number, answers_by_id
                )
                if number == REQUEST_COUNT // 2:
                    await servers[0].kill()

        await asyncio.gather(*(caller() for _ in range(CALLER_COUNT)))
        fault_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await fault_task
    run_times_by_id: dict[str, list[float]] = {}
    for record_file in record_files:
        with open(record_file) as file:
            for line in file:
                request_id, run_at = line.split()
                run_times_by_id.setdefault(request_id, []).append(float(run_at))
    _check_verdicts(run_times_by_id, answers_by_id)


def _check_verdicts(
    run_times_by_id: dict[str, list[float]], answers_by_id: AnswersById
) -> None:
    verdicts = collections.Counter(
        verdict for answers in answers_by_id.values() for verdict, _ in answers
    )
    print(f"{len(answers_by_id)} ids, {len(run_times_by_id)} ran, {verdicts}")
    assert not {
        request_id: run_times
        for request_id, run_times in run_times_by_id.items()
        if len(run_times) > 1
    }
    for request_id, answers in answers_by_id.items():
        run_times = run_times_by_id.get(request_id, [])
        all_answered = all(verdict != "silent" for verdict, _ in answers)
        for verdict, answered_at in answers:
            if verdict == "not_run":
                # An attempt without an answer may still be in the socket
                # buffers of a suspended instance and run later.
                assert not [
                    run_at for run_at in run_times if run_at < answered_at
                ], request_id
                assert not (all_answered and run_times), request_id
            assert verdict != "ran" or run_times, request_id
    # The checks above prove something only if each verdict occurred.
    assert {"ran", "not_run", "may_have_run"} <= set(verdicts)
    assert len(answers_by_id) > REQUEST_COUNT / 2
