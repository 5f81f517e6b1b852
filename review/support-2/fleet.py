"""A small deployment on loopback: the project's entry instances as separate processes, with workers, clients and the store
as stand-ins that follow the users' pages.

Every instance has a loopback address of its own and the same ports. Times are seconds of the monotonic clock.
"""
import asyncio
import json
import os
import pathlib
import re
import signal
import socket
import sys
import tempfile
import time

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(REPOSITORY / "tests" / "platform"))
from platform_standin import Store  # noqa: E402

BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "sync_s": 4, "drain_ms": 2000, "grace_s": 8,
          "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000, "revoke_fail_closed": True,
          "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_min_retries": 58, "recovery_s": 12,
          "pass_ms": 120, "reuse_window_s": 10, "cap_factor": 2, "ttl_max_s": 5}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
HEARTBEAT_S = 1.2
KEY = "key-of-tenant-1"
HOST = "app.example"


class Record:
    """Writes what was sent, answered and run, one line each."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.begun:9.4f} {text}\n")
        self.file.flush()


def free_ports(addresses, count):
    """Ports that are free for TCP and UDP on all addresses."""
    ports = []
    start = 12000 + os.getpid() % 800 * 20
    port = start
    while len(ports) < count:
        port += 1
        try:
            for address in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((address, port))
            ports.append(port)
        except OSError:
            continue
    return ports


async def read_head(reader):
    """Returns (start line, headers) or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Worker:
    """A worker of a plain service. It registers itself in the store at every heartbeat, like PROTOCOL.md says."""

    def __init__(self, store, record, identity, service, zone, slots=6, work_s=0.02):
        self.store, self.record = store, record
        self.identity, self.service, self.zone, self.slots, self.work_s = identity, service, zone, slots, work_s
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.arrivals = []  # (time, request id, sender's address)
        self.tasks = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=200)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.write_entry()
        self.tasks.append(asyncio.ensure_future(self.beat()))

    def write_entry(self):
        self.sequence += 1
        self.store.put_json(f"servers/{self.identity}", {
            "backend": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "cold_left_ms": 0, "sequence": self.sequence, "born": self.born})

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.write_entry()

    def set_state(self, state):
        """Reports the state. Returns the time of the store's acknowledgement."""
        self.state = state
        self.write_entry()
        return time.monotonic()

    def remove_entry(self):
        """Leaves without a report: the entry is removed, and it serves on. Returns the time of the store's acknowledgement."""
        self.state = "draining"
        for task in self.tasks:
            task.cancel()
        self.store.remove(f"servers/{self.identity}")
        return time.monotonic()

    def head(self, status, request_id, length, extra=()):
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {length}", f"X-Request-Id: {request_id}", f"X-Instance-Load: 0,0,{self.slots}"]
        if self.state == "draining":
            lines += ["Server-Leaving: 1", "Connection: close"]
        return ("\r\n".join([*lines, *extra]) + "\r\n\r\n").encode()

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_head(reader)
                if message is None:
                    break
                line, headers = message
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if not await self.answer(line, headers, body, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, line, headers, body, writer):
        identity = headers.get("x-request-id", "")
        if headers.get("x-expect-instance") not in (None, self.identity):
            writer.write(self.head(421, identity, 0, [f"X-Instance-Id: {self.identity}"]))
            await writer.drain()
            return True
        self.arrivals.append((time.monotonic(), identity, writer.get_extra_info("peername")[0]))
        self.record.write(f"worker {self.identity} runs {identity} ({line.split(' ')[0]} {line.split(' ')[1]})")
        await asyncio.sleep(self.work_s)
        answer = f"{self.identity} ran {identity}".encode()
        writer.write(self.head(200, identity, len(answer), [f"X-Response-Seal: seal-{self.identity}-{identity}"]) + answer)
        await writer.drain()
        return self.state != "draining"

    async def leave(self):
        """Exits: the entry is removed and the port closes."""
        self.store.remove(f"servers/{self.identity}")
        await self.stop()

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        self.server.close()


def route(name, kind, service, **more):
    return {"name": name, "host": HOST, "path_prefix": f"/{name}/", "route_type": kind, "timeout_ms": 2000, "target_latency_ms": 150,
            "priority": 1, "backend": service, "max_attempts": 2 if kind == "idempotent" else 1, "allow_anonymous": False,
            "sticky": False, "stream_resume": False, **more}


def configuration(version, routes, services):
    return {"version": version, "routes": routes,
            "backends": [{"name": name, "health_check": "/health", "max_connections": 110, "protocol": "h1", "tls": False} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
            "tenants": [{"name": "tenant-1", "api_keys": [KEY], "priority": 1}]}


class Instance:
    """One process of the fleet, started with the command of the deploy file."""

    def __init__(self, fleet, name, address, zone):
        self.fleet, self.name, self.address, self.zone = fleet, name, address, zone
        self.process = None

    def settings(self):
        ports = self.fleet.ports
        return {
            "node_name": self.name, "role": "entry", "machine_class": "edge", "serves": ["edge", "registry"], "ip": self.address,
            "zone": self.zone, "region": "region", "zones": {zone: "region" for zone in self.fleet.zones},
            "listen": {"front": f"{self.address}:{ports[0]}", "ready": f"{self.address}:{ports[1]}", "directory": f"{self.address}:{ports[2]}"},
            "internal_ports": [ports[3], ports[3]], "seeds": [], "bootstrap": True, "loss_counts": False,
            "limits": {"cpu_share": 0.25, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "registry", "heartbeat_ms": 1200, "contracts": CONTRACTS,
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "provider": {"address": self.fleet.store_address, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
                         "value_bytes": 1048576, "ttl_min_ms": 1000}}

    async def start(self):
        path = self.fleet.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        command = re.search(r'^run = "(.*)"$', (REPOSITORY / "deploy" / "system.toml").read_text(), re.MULTILINE).group(1)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = await asyncio.create_subprocess_exec(*command.split(" "), cwd=REPOSITORY, stdout=log, stderr=log,
                                                            env={**environment, "BORAGESLIP_CONFIG": str(path)})
        log.close()

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.address, self.fleet.ports[1]), 1)
            writer.write(b"GET /borageslip/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False

    def log_lines(self):
        lines = (self.fleet.folder / f"{self.name}.log").read_text(errors="replace").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


class Answer:
    def __init__(self, status, headers, body, is_complete):
        self.status, self.headers, self.body, self.is_complete = status, headers, body, is_complete


class Client:
    """Sends requests on connections that it keeps, and reads the answers."""

    def __init__(self, fleet, instance):
        self.fleet, self.instance = fleet, instance
        self.reader = self.writer = None

    async def ask(self, method, path, identity, body=b"", time_limit_ms=1000, key=KEY, headers=()):
        record = self.fleet.record
        if self.writer is None:
            try:
                self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(self.instance.address, self.fleet.ports[0]), 1)
            except (OSError, asyncio.TimeoutError):
                record.write(f"client cannot connect to {self.instance.name} for {identity}")
                return Answer(0, {}, b"", False)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {identity}", f"X-Deadline-Ms: {time_limit_ms}"]
        lines += [f"Api-Key: {key}"] if key else []
        lines += [f"Content-Length: {len(body)}"] if method != "GET" else []
        record.write(f"client sends {identity} ({method} {path}) to {self.instance.name}")
        try:
            self.writer.write(("\r\n".join([*lines, *headers]) + "\r\n\r\n").encode() + body)
            answer = await asyncio.wait_for(self.read(), time_limit_ms / 1000)
        except (ConnectionError, asyncio.TimeoutError) as problem:
            answer = Answer(0, {}, repr(problem).encode(), False)
        if not answer.is_complete or answer.headers.get("connection", "").lower() == "close":
            self.close()
        record.write(f"client gets {answer.status} for {identity}: {answer.body[:60]!r}{'' if answer.is_complete else ' INCOMPLETE'}")
        return answer

    async def read(self):
        head = await read_head(self.reader)
        if head is None:
            return Answer(0, {}, b"", False)
        status, headers = int(head[0].split(" ")[1]), head[1]
        try:
            body = await self.reader.readexactly(int(headers.get("content-length", "0")))
        except asyncio.IncompleteReadError as rest:
            return Answer(status, headers, rest.partial, False)
        return Answer(status, headers, body, True)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Fleet:
    def __init__(self, record_path, places):
        """places: one zone name for each instance."""
        self.record = Record(record_path)
        self.zones = sorted(set(places))
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.store = Store()
        base = 10 + os.getpid() % 200
        self.instances = [Instance(self, f"edge-{zone}-{number}", f"127.77.{base}.{10 + number}", zone) for number, zone in enumerate(places)]
        self.ports = free_ports([instance.address for instance in self.instances], 4)
        self.workers = []

    async def start(self, document, workers, limit_s=20):
        self.store_server = await asyncio.start_server(self.store.serve, "127.0.0.1", 0, backlog=200)
        self.store_address = f"127.0.0.1:{self.store_server.sockets[0].getsockname()[1]}"
        self.store.put_json("op/config", document)
        self.workers = workers
        for worker in workers:
            await worker.start()
        for instance in self.instances:
            await instance.start()
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            ready = [await instance.is_ready() for instance in self.instances]
            if all(ready):
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        # The stand-ins' connections end in the middle of their calls.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        for instance in self.instances:
            instance.signal(signal.SIGCONT)
            instance.signal(signal.SIGKILL)
        for instance in self.instances:
            if instance.process:
                await instance.process.wait()
        for worker in self.workers:
            await worker.stop()
        self.store_server.close()
        self.temporary.cleanup()


def run_case(case):
    """Runs a coroutine function that returns whether the rule held; exits with 0, 1, or 2 if it could not run."""
    try:
        held = asyncio.run(asyncio.wait_for(case(), 115))
    except Exception as problem:  # pylint: disable=broad-except
        print(f"the case could not run: {problem!r}")
        sys.exit(2)
    sys.exit(0 if held else 1)
