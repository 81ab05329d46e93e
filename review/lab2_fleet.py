"""Starts gateways as the deploy file does, with rendered settings."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).parents[1]
ZONES = {
    "mtl-est": "mtl",
    "mtl-ouest": "mtl",
    "qc-levis": "qc",
    "qc-beauport": "qc",
}
# The bounds of the small deployments of the users' pages.
BOUNDS = {
    "ContactS": 4,
    "DrainS": 2.5,
    "GraceS": 6,
    "LossSlackS": 0.2,
    "ConfigApplyS": 2.5,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "RetryBudgetSlack": 60,
    "QuotaWindowS": 5,
    "QuotaOverrun": 0.1,
    "QuotaSlack": 20,
    "ExposureShare": 0.1,
    "ExposureSlack": 50,
    "ColdOverrun": 1.5,
    "ColdSlack": 5,
    "ttl_max_s": 5,
}
HOST = "nony93.example"
KEY = "s989anu6wsjnbanfqasn"
_PLACEHOLDER = re.compile(r"\{\{([A-Za-z_.]+)(\|json)?\}\}")
_taken = {}


def free_port(host):
    """Returns a free port below those that the system gives to clients."""
    while True:
        port = random.randrange(11_000, 32_000)
        if port in _taken:
            continue
        # Held for as long as this script runs, so that another one that runs
        # beside it takes other ports.
        held = socket.socket(type=socket.SOCK_DGRAM)
        with socket.socket() as sock:
            try:
                held.bind((host, port))
                sock.bind((host, port))
            except OSError:
                held.close()
                continue
        _taken[port] = held
        return port


def render(template, fields):
    """Fills in the placeholders of a settings template."""

    def replace(match):
        value = fields
        for part in match[1].split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    return _PLACEHOLDER.sub(replace, template)


class Gateway:
    """One process of the role that carries the traffic."""

    def __init__(self, name, zone, store, folder, limits=None, bounds=None):
        self.name = name
        self.zone = zone
        ports = [free_port("127.0.0.1") for _ in range(6)]
        self.caller, self.ready, self.directory = ports[:3]
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (role,) = deploy["roles"].values()
        self._command = shlex.split(role["run"])
        fields = {
            "NodeName": name,
            "Ip": "127.0.0.1",
            "Zone": zone,
            "Region": ZONES[zone],
            "Limits": {
                "CpuShare": 0.86,
                "Cores": 1,
                "MemoryMb": 300,
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
            }
            | (limits or {}),
            "Listen": {
                "Front": f"127.0.0.1:{self.caller}",
                "Ready": f"127.0.0.1:{self.ready}",
                "Directory": f"127.0.0.1:{self.directory}",
            },
            "InternalPortRange": sorted(ports[3:5]),
            "Zones": ZONES,
            "HeartbeatS": 1.5,
            "Platform": {
                "Address": store.address,
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "MinTtlS": 1,
            },
            "Bounds": BOUNDS | (bounds or {}),
        }
        template = (ROOT / role["template"]).read_text()
        text = render(template, fields).replace(
            "127.0.0.1:9464", f"127.0.0.1:{ports[5]}"
        )
        self._settings = pathlib.Path(folder) / f"{name}.jsonc"
        self._settings.write_text(text)
        self._log = pathlib.Path(folder) / f"{name}.log"
        self.process = None
        self.started_at = 0.0

    async def start(self):
        """Starts the process and waits until it says that it is ready."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["RADISHMUX_CONFIG"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self._log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        until = time.monotonic() + 30
        while await self.readiness() != 200:
            if self.process.returncode is not None or time.monotonic() > until:
                raise RuntimeError(f"{self.name} did not start: {self.log()}")
            await asyncio.sleep(0.05)
        self.started_at = time.monotonic()

    def log(self):
        return self._log.read_text()[-4000:]

    async def readiness(self):
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ready
            )
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: r\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return int(line.split()[1])
        except (OSError, IndexError, TimeoutError):
            return None

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


def configuration(rules, services, version=1, tenant=None, limits=None):
    """Returns the operator's document.

    Args:
        rules: Name, kind, prefix, service and fields of the action of each.
        services: Names of the services.
    """
    return {
        "Version": f"{version:08x}",
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderTimeoutS": 3,
            "IdleTimeoutS": 15,
        }
        | (limits or {}),
        "Tenants": [
            {"Name": "cuka620", "ApiKeys": [KEY], "RatePerS": 0, "Burst": 0}
            | (tenant or {})
        ],
        "Listeners": [
            {
                "Host": HOST,
                "Rules": [
                    {
                        "Name": name,
                        "Kind": kind,
                        "TargetLatencyS": 0.4,
                        "Priority": 1,
                        "AllowAnonymous": False,
                        "SessionAffinity": False,
                        "Match": {"PathPrefix": prefix},
                        "Action": {"Service": service, "HomeRegions": []}
                        | action,
                    }
                    for name, kind, prefix, service, action in rules
                ],
            }
        ],
        "Clusters": [
            {
                "Name": name,
                "HealthPath": "/health",
                "MaxConnections": 360,
                "ColdStartS": 3.0,
                "ColdPerS": 13.0,
            }
            for name in services
        ],
    }


class Record:
    """Writes what was sent, answered and run to a file, with its time."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._begun_at = time.monotonic()
        self.entries = []

    def note(self, kind, **fields):
        at = time.monotonic()
        self.entries.append((at, kind, fields))
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at - self._begun_at:9.3f} {kind:12} {text}\n")
        self._file.flush()


async def send(gateway, request_id, method, target, deadline_ms, body=b""):
    """Sends one request on a new connection.

    Returns:
        The status, or None if the connection ended without a whole answer or
        the deadline passed, and the headers.
    """
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", gateway.caller
            )
            try:
                writer.write(head(request_id, method, target, deadline_ms, body))
                return await read_answer(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None, {}


def head(request_id, method, target, deadline_ms, body=b"", size=None):
    size = len(body) if size is None else size
    length = f"Content-Length: {size}\r\n" if size or method != "GET" else ""
    return (
        f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Request-Id: {request_id}\r\nApi-Key: {KEY}\r\n"
        f"Deadline-Remaining: {deadline_ms:.0f}\r\n{length}\r\n"
    ).encode() + body


async def read_answer(reader):
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *fields = text.split("\r\n")
    headers = {}
    for field in fields:
        name, _, value = field.partition(":")
        headers[name.strip().lower()] = value.strip()
    await reader.readexactly(int(headers.get("content-length", 0)))
    return int(line.split()[1]), headers


def run(main, folder, trouble, limit_s=112):
    """Runs a case; exits with 1, 0 or 2 as the case ends."""
    import sys
    import traceback

    record = Record(pathlib.Path(folder) / "record.txt")

    async def bounded():
        # Connections that end with the script are no news.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        with tempfile.TemporaryDirectory() as temporary:
            gateways = []
            try:
                async with asyncio.timeout(limit_s):
                    return await main(trouble, record, temporary, gateways)
            finally:
                for gateway in gateways:
                    await gateway.kill()
                    if os.environ.get("KEEP_LOGS"):
                        print(gateway.log())

    try:
        is_broken = asyncio.run(bounded())
    except Exception:
        traceback.print_exc()
        record.note("could_not_run", why=traceback.format_exc(limit=1)[:300])
        sys.exit(2)
    record.note("result", broken=is_broken)
    print("rule broken" if is_broken else "rule held")
    sys.exit(1 if is_broken else 0)
