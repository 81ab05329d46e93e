"""Starts the processes of a small fleet on loopback and ends them all.

Used by the demo and by the process benchmarks. A fleet is one store, one
instance list, backend servers and entry instances.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import pathlib
import re
import select
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request
from collections.abc import Sequence
from typing import Any

import msgspec

from radishmux.config.model import Configuration, Region
from radishmux.settings.loader import load

ROOT = pathlib.Path(__file__).parent.parent
_READY_S = 30.0
# Longer than a daemon serves callers with old lookups (10 s).
_STOP_S = 15.0
_POLL_S = 0.05
_ports = itertools.count(20_000)
_LISTENING = re.compile(r"^listening (\S+)$")


class FleetError(Exception):
    """A process did not start or the fleet did not become ready."""


class InstancePlan(msgspec.Struct, frozen=True):
    """Place and addresses of one entry instance."""

    instance: str
    region: str
    failure_domain: str
    caller: str
    peer: str
    control: str
    admin: str

    def listed(self) -> dict[str, str]:
        """Returns the entry of the instance list."""
        return {
            "instance": self.instance,
            "region": self.region,
            "failure_domain": self.failure_domain,
            "caller_address": self.caller,
            "peer_address": self.peer,
            "control_address": self.control,
            "state": "live",
        }


class Process:
    """A child process whose standard error goes to a file."""

    def __init__(
        self, name: str, arguments: Sequence[str], folder: pathlib.Path
    ) -> None:
        self.name = name
        self._log = folder / f"{name}.log"
        with self._log.open("wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                cwd=ROOT,
                env=os.environ | {"PYTHONPATH": f"{ROOT}/src:{ROOT}"},
                stdout=subprocess.PIPE,
                stderr=log,
                start_new_session=True,
            )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    def listening(self) -> str:
        """Returns the address that the process prints when it listens.

        Raises:
            FleetError: It ended or printed none in time.
        """
        stream = self._process.stdout
        assert stream is not None
        ready, _, _ = select.select([stream], [], [], _READY_S)
        line = stream.readline().decode().strip() if ready else ""
        match = _LISTENING.match(line)
        if match is None:
            raise FleetError(f"{self.name} did not start: {self.errors()}")
        return match[1]

    def errors(self, lines: int = 10) -> str:
        """Returns the last lines of standard error."""
        text = self._log.read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def ended(self) -> bool:
        """Whether the process is gone."""
        return self._process.poll() is not None

    def terminate(self) -> None:
        """Asks the process to end."""
        if not self.ended():
            self._process.send_signal(signal.SIGTERM)

    def wait(self, deadline: float) -> None:
        """Waits for the end until `deadline`, then kills."""
        with contextlib.suppress(subprocess.TimeoutExpired):
            self._process.wait(max(0.0, deadline - time.monotonic()))
        if not self.ended():
            self._process.kill()
            self._process.wait()
        if self._process.stdout is not None:
            self._process.stdout.close()

    def cpu_seconds(self) -> float:
        """Returns the processor time used so far."""
        fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        user, system = fields.rsplit(")", 1)[1].split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")

    def resident_mb(self) -> float:
        """Returns the resident memory in megabytes (10^6 bytes)."""
        fields = pathlib.Path(f"/proc/{self.pid}/statm").read_text().split()
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


class Fleet:
    """A context manager that ends all its processes in every case.

    Args:
        stop_s: Seconds after which processes that still drain are killed.

    Attributes:
        store: Address of the store.
        instances: The entry instances that were started.
    """

    def __init__(self, stop_s: float = _STOP_S) -> None:
        self._stop_s = stop_s
        self._folder = tempfile.TemporaryDirectory(prefix="radishmux-")
        self._path = pathlib.Path(self._folder.name)
        self._processes: list[Process] = []
        self._daemons: dict[str, Process] = {}
        self._instance_list = ""
        self.store = ""
        self.instances: list[InstancePlan] = []

    def __enter__(self) -> Fleet:
        if threading.current_thread() is threading.main_thread():
            # The default action would leave the processes running.
            signal.signal(signal.SIGTERM, _exit_on_signal)
        return self

    def __exit__(self, *exc: object) -> None:
        deadline = time.monotonic() + self._stop_s
        for process in reversed(self._processes):
            process.terminate()
        for process in reversed(self._processes):
            process.wait(deadline)
        self._folder.cleanup()

    def start(self, name: str, *arguments: str) -> Process:
        """Starts `python -m arguments...`."""
        process = Process(name, arguments, self._path)
        self._processes.append(process)
        return process

    def stop(self, processes: Sequence[Process]) -> None:
        """Kills processes that have no state to hand over."""
        now = time.monotonic()
        for process in processes:
            process.wait(now)
            self._processes.remove(process)

    def start_platform(self, instances: Sequence[InstancePlan]) -> None:
        """Starts the store and the instance list."""
        self.instances = list(instances)
        listed = self.write(
            "instances.json", [one.listed() for one in instances]
        )
        store = self.start("store", "standins.store", "--listen", "127.0.0.1:0")
        instance_list = self.start(
            "instance-list",
            "standins.instance_list",
            *("--listen", "127.0.0.1:0", "--instances", str(listed)),
        )
        self.store = store.listening()
        self._instance_list = instance_list.listening()

    def start_backend_servers(
        self, configuration: Configuration
    ) -> list[Process]:
        """Starts a stand-in for each backend server and waits for them."""
        processes = [
            self.start(
                server.name,
                *("standins.backend_server", "--listen", server.address),
                *("--name", server.name, "--service", server.service),
                *("--version", server.version, "--slots", str(server.slots)),
            )
            for server in configuration.backend_servers
        ]
        for process in processes:
            process.listening()
        return processes

    def start_all(self, configuration: Configuration, per_region: int) -> None:
        """Starts everything for a configuration and waits until ready."""
        plans = plan_instances(configuration.regions, per_region)
        self.start_platform(plans)
        self.start_backend_servers(configuration)
        path = self.write("configuration.json", configuration)
        self.radishctl("config", "put", str(path))
        self.start_daemons()
        self.wait_ready()

    def start_daemons(self, sample_ratio: float = 0.01) -> None:
        """Starts radishmuxd for each planned instance."""
        for plan in self.instances:
            settings = {
                "instance": plan.instance,
                "region": plan.region,
                "failure_domain": plan.failure_domain,
                "listen": {
                    "caller": plan.caller,
                    "peer": plan.peer,
                    "control": plan.control,
                    "admin": plan.admin,
                },
                "store": {"addresses": [self.store]},
                "instance_list": {"addresses": [self._instance_list]},
                "traces": {"sample_ratio": sample_ratio},
            }
            path = self.write(f"{plan.instance}.json", settings)
            self._daemons[plan.instance] = self.start(
                plan.instance,
                *("radishmux.daemon", "--settings", str(path)),
            )

    def daemon(self, instance: str) -> Process:
        """Returns the process of an instance."""
        return self._daemons[instance]

    def wait_ready(self, timeout_s: float = _READY_S) -> None:
        """Waits until every instance answers that it is ready.

        Raises:
            FleetError: One ended or is not ready in time.
        """
        ends = time.monotonic() + timeout_s
        waiting = list(self.instances)
        while waiting:
            for plan in list(waiting):
                if _is_ready(plan.admin):
                    waiting.remove(plan)
                    continue
                daemon = self._daemons[plan.instance]
                if daemon.ended() or time.monotonic() > ends:
                    raise FleetError(
                        f"{plan.instance} is not ready: {daemon.errors()}"
                    )
            time.sleep(_POLL_S if waiting else 0.0)

    def radishctl(self, *arguments: str) -> Any:
        """Runs a radishctl command and returns its JSON output.

        Raises:
            FleetError: It failed.
        """
        done = subprocess.run(
            [sys.executable, "-m", "radishmux.cli.main", *arguments]
            + ["--output", "json"],
            cwd=ROOT,
            env=os.environ
            | {
                "PYTHONPATH": f"{ROOT}/src:{ROOT}",
                "RADISHCTL_STORE": self.store,
                "RADISHCTL_ADMIN": " ".join(
                    one.admin for one in self.instances
                ),
            },
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        if done.returncode:
            raise FleetError(f"radishctl {arguments[0]}: {done.stderr}")
        return json.loads(done.stdout) if done.stdout.strip() else None

    @staticmethod
    def control(address: str, **change: Any) -> None:
        """Sets faults of a stand-in."""
        body = msgspec.json.encode(change)
        request = urllib.request.Request(f"http://{address}/control", body)
        urllib.request.urlopen(request, timeout=5.0).close()

    def write(self, name: str, value: Any) -> pathlib.Path:
        """Writes a JSON file that vanishes with the fleet."""
        path = self._path / name
        path.write_bytes(msgspec.json.encode(value))
        return path


def _exit_on_signal(number: int, frame: object) -> None:
    sys.exit(128 + number)


def plan_instances(
    regions: Sequence[Region], per_region: int
) -> list[InstancePlan]:
    """Returns instances spread over the failure domains of each region."""
    count = len(regions) * per_region
    addresses = iter(free_addresses(4 * count))
    plans = []
    for region in regions:
        for number in range(per_region):
            domains = region.failure_domains
            domain = domains[number % len(domains)]
            plans.append(
                InstancePlan(
                    f"{domain}-{number + 1}",
                    region.name,
                    domain,
                    *(next(addresses) for _ in range(4)),
                )
            )
    return plans


def free_addresses(count: int) -> list[str]:
    """Returns addresses that no other process of a test run uses.

    The IP number is this process's own. The ports lie below those that the
    system gives to outgoing connections, one of which could otherwise take a
    port before the process that is to listen on it has started.
    """
    pid = os.getpid()
    host = f"127.{64 + (pid >> 16) % 64}.{(pid >> 8) & 255}.{pid & 255}"
    return [f"{host}:{next(_ports)}" for _ in range(count)]


def load_configuration(user: str) -> Configuration:
    """Returns one of the ready configurations."""
    return load(ROOT / "deploy" / f"{user}.jsonc", Configuration)


def get_json(address: str, path: str, timeout_s: float = 5.0) -> Any:
    """Returns the JSON answer of an HTTP GET."""
    url = f"http://{address}{path}"
    with urllib.request.urlopen(url, timeout=timeout_s) as response:
        return json.load(response)


def _is_ready(admin: str) -> bool:
    try:
        get_json(admin, "/readyz", timeout_s=1.0)
    except (OSError, urllib.error.URLError, ValueError):
        return False
    return True
