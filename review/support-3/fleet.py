"""Starts instances of borageslip-entry as the deploy file says, against the project's stand-in of the store, and clients that
work on plain sockets. Everything listens on loopback, on free ports."""
import asyncio
import itertools
import json
import os
import pathlib
import re
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "platform"))
from platform_standin import Store, read_message, response  # noqa: E402,F401 - for the cases

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST = "app.example"
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The figures of the sheet of lavaojos-red.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "sync_s": 4, "drain_ms": 2000, "grace_s": 8,
    "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000, "revoke_fail_closed": True,
    "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_min_retries": 58, "recovery_s": 12,
    "pass_ms": 120, "reuse_window_s": 10, "cap_factor": 2, "ttl_max_s": 5,
}

_ports = itertools.count(21000 + os.getpid() % 110 * 100)


def free_port():
    """Returns a port below the range of outgoing connections, free for TCP and UDP."""
    for port in _ports:
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("127.0.0.1", port))
            return port
        except OSError:
            continue


def deploy_command():
    """The command that starts the role, from the deploy file."""
    return re.search(r'^run = "([^"]+)"', (ROOT / "deploy" / "system.toml").read_text(), re.M).group(1).split(" ")


class Record:
    """The file record.txt of a case."""

    def __init__(self, script, name="record.txt"):
        self.file = open(pathlib.Path(script).resolve().parent / name, "w")
        self.begun = time.monotonic()
        self.write(f"disruption: {'on' if HAS_TROUBLE else 'off'}")

    def now(self):
        return time.monotonic() - self.begun

    def write(self, text):
        line = f"{self.now():8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()


class Instance:
    """One instance of borageslip-entry with a store connection of its own."""

    def __init__(self, folder, number, store_address, zone="zone-a", zones=("zone-a",), contracts=(), **bounds):
        self.name, self.store_address = f"entry-{number}", store_address
        self.front, self.ready, self.directory, self.peer, self.metrics = (free_port() for _ in range(5))
        self.settings = {
            "node_name": self.name, "role": "entry", "machine_class": "edge", "serves": ["edge", "registry"],
            "ip": "127.0.0.1", "zone": zone, "region": "region", "zones": {name: "region" for name in zones},
            "listen": {"front": f"127.0.0.1:{self.front}", "ready": f"127.0.0.1:{self.ready}", "directory": f"127.0.0.1:{self.directory}"},
            "internal_ports": [self.peer, self.peer], "metrics_port": self.metrics, "seeds": [], "bootstrap": True, "loss_counts": False,
            "limits": {"cpu_share": 0.25, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "registry", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", *contracts],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": {**BOUNDS, **bounds},
            "provider": {"address": store_address, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
        }
        self.path = pathlib.Path(folder) / f"{self.name}.json"
        self.path.write_text(json.dumps(self.settings))
        self.log = open(pathlib.Path(folder) / f"{self.name}.log", "ab")
        self.process = None

    async def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["BORAGESLIP_CONFIG"] = str(self.path)
        self.process = await asyncio.create_subprocess_exec(*deploy_command(), cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /borageslip/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 2)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    async def end(self):
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        await self.process.wait()


class StoreServer:
    """Serves a store at a free port."""

    def __init__(self, store):
        self.store, self.server, self.writers = store, None, set()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.store.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        self.writers.discard(writer)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=200)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def end(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0.05)


def route(name, kind, service, **more):
    fields = {
        "name": name, "host": HOST, "path_prefix": f"/{name}/", "route_type": kind, "timeout_ms": 15000, "target_latency_ms": 1500,
        "priority": 1, "backend": service, "max_attempts": 2, "allow_anonymous": False, "sticky": False, "stream_resume": False,
    }
    return {**fields, **more}


def configuration(version, routes, services, tenants=None):
    return {
        "version": version, "routes": routes,
        "backends": [{"name": name, "health_check": "/health", "max_connections": 110, "protocol": "h1", "tls": False} for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 3000, "idle_timeout_ms": 10000},
        "tenants": [{"name": "tenant-1", "api_keys": ["key-1"], "priority": 1}] if tenants is None else tenants,
    }


async def start_instances(folder, ends, store, count=3, **settings):
    """Starts the store's server and instances that use it. Returns the instances once they are ready, or none."""
    server = StoreServer(store)
    address = await server.start()
    ends.append(server.end)
    instances = [Instance(folder, number, address, **settings) for number in range(count)]
    for instance in instances:
        await instance.start()
        ends.append(instance.end)
    are_ready = [await instance.wait_ready() for instance in instances]
    await asyncio.sleep(1)
    return instances if all(are_ready) else []


def finish(script, record, result):
    """Records the result and exits with it."""
    record.write(f"result: {['the rule held', 'the rule was broken', 'the case could not run'][result]}")
    print(f"{pathlib.Path(script).resolve().parent.name}: {['held', 'BROKEN', 'could not run'][result]}, {'with' if HAS_TROUBLE else 'without'} the disruption")
    sys.exit(result)


def run_case(script, main, limit=110, name="record.txt"):
    """Runs an asynchronous case with its record and a temporary folder, and exits with its result."""
    record = Record(script, name)
    ends = []

    async def guarded():
        with tempfile.TemporaryDirectory() as folder:
            try:
                return await asyncio.wait_for(main(record, folder, ends), limit)
            finally:
                for end in reversed(ends):
                    await end()

    try:
        result = asyncio.run(guarded())
    except Exception as problem:  # noqa: BLE001 - whatever it is, the case could not run
        record.write(f"the case could not run: {problem!r}")
        result = COULD_NOT_RUN
    finish(script, record, result)
