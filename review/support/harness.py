"""Stand-ins of the platform for the cases of this folder: store, workers, clients, and the start of instances.

Everything listens on loopback addresses. An instance is started with the command of the deploy file, as a separate
process, in the repository's root, with its settings file named by BORAGESLIP_CONFIG.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "sync_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000, "revoke_fail_closed": True, "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_min_retries": 58, "recovery_s": 12, "pass_ms": 120, "reuse_window_s": 10, "cap_factor": 2, "ttl_max_s": 5}


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """record.txt of a case: what was sent, answered and run, with seconds since its start."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self.file = open(self.path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text):
        self.write(text)
        print(text, flush=True)


async def read_message(reader):
    """A request: (start line, headers, body); None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {name.strip().lower(): text.strip() for name, _, text in (line.partition(":") for line in lines[1:] if ":" in line)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    return lines[0], headers, body


def answer_bytes(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"] + [f"{name}: {text}" for name, text in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: keys with revisions, watches, leases. Each machine calls its own listener."""

    def __init__(self):
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.next_lease = 10, 100
        self.changed = asyncio.Event()
        self.watches = {}  # By machine: number of watch calls.
        self.lose_put_answers = 0  # For so many writes with a lease: no answer, carried out `late_by` seconds later.
        self.late_by = 0.0
        self.is_down = False  # Answers 503 to every call: nothing was done.
        self.on_event = lambda text: None

    def _record(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self._record(item)

    def put_json(self, key, document):
        self.put(key, json.dumps(document).encode())

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "revision": self.revision, "deleted": True})

    def _expire(self):
        for lease in [number for number, entry in self.leases.items() if entry["until"] < time.monotonic()]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.on_event(f"store: the lease {lease} has ended and removes {key}")
            self.remove(key)

    async def expire_leases(self):
        while True:
            self._expire()
            await asyncio.sleep(0.05)

    def _transact(self, document):
        expected = document.get("expected_revision", [])
        if any((self.items[row["key"]]["revision"] if row["key"] in self.items else 0) != row["revision"] for row in expected):
            return answer_bytes(412, json.dumps({"items": [self.items[row["key"]] for row in expected if row["key"] in self.items]}).encode())
        if any(row.get("lease", 0) and row["lease"] not in self.leases for row in document["puts"]):
            return answer_bytes(404)
        for row in document["puts"]:
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in document.get("remove", []):
            self.remove(key)
        return answer_bytes(200, json.dumps({"revision": self.revision}).encode())

    async def _answer(self, machine, line, body):
        method, target, _ = line.split(" ")
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        call, number = url.path.split("/")[2], url.path.split("/")[-1]
        if self.is_down:
            return answer_bytes(503)
        self._expire()
        if call == "kv-range":
            items = [item for key, item in sorted(self.items.items()) if key.startswith(query["path_prefix"]) and key > query.get("after", "")]
            return answer_bytes(200, json.dumps({"items": items, "more_pages": False, "as_of": self.revision}).encode())
        if call == "kv-key":
            item = self.items.get(query["key"])
            return answer_bytes(404) if item is None else answer_bytes(200, json.dumps({**item, "as_of": self.revision}).encode())
        if call == "kv-watch":
            self.watches[machine] = self.watches.get(machine, 0) + 1
            return await self._watch(query)
        if call == "kv-lease":
            self.next_lease += 1
            ttl = json.loads(body)["ttl_ms"]
            self.leases[self.next_lease] = {"ttl": ttl / 1000, "until": time.monotonic() + ttl / 1000}
            return answer_bytes(200, json.dumps({"lease": self.next_lease, "ttl_ms": ttl}).encode())
        if call == "kv-keep":
            entry = self.leases.get(int(number))
            if entry is None:
                return answer_bytes(404)
            entry["until"] = time.monotonic() + entry["ttl"]
            return answer_bytes(200, b"{}")
        if call == "kv-lease-end":
            self._end_lease(int(number))
            return answer_bytes(200, b"{}")
        if call == "kv-txn":
            document = json.loads(body)
            if self.lose_put_answers > 0 and any(row.get("lease", 0) for row in document["puts"]):
                self.lose_put_answers -= 1
                self.on_event(f"store: the answer of a write by {machine} is lost; the write is carried out {self.late_by:.1f} s later")
                asyncio.get_running_loop().call_later(self.late_by, self._carry_out_late, machine, document)
                return None
            return self._transact(document)
        return answer_bytes(404)

    def _carry_out_late(self, machine, document):
        self._expire()
        status = self._transact(document).split(b" ")[1].decode()
        self.on_event(f"store: the late write by {machine} was carried out, status {status}, lease {document['puts'][0].get('lease')}")

    async def _watch(self, query):
        after = int(query["after"])
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [event for event in self.history if event["revision"] > after and event["key"].startswith(query["path_prefix"])]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return answer_bytes(200, json.dumps({"events": events, "as_of": self.revision}).encode())
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def listen(self, machine):
        async def serve(reader, writer):
            try:
                while (message := await read_message(reader)) is not None:
                    reply = await self._answer(machine, message[0], message[2])
                    if reply is None:  # A channel on which an answer is lost returns nothing further.
                        await reader.read()
                        break
                    await asyncio.sleep(0.004)
                    writer.write(reply)
                    await writer.drain()
            except ConnectionError:
                pass
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0, backlog=200)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


class Worker:
    """A sound worker. Runs requests that expect its id, answers streams as events, and keeps its channels open."""

    def __init__(self, identity, service, zone, slots, work_s=0.03):
        self.identity, self.service, self.zone, self.slots, self.work_s = identity, service, zone, slots, work_s
        self.arrivals = []  # (time.monotonic(), request id, headers)
        self.events, self.event_gap_s = 10, 0.05
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.address = None
        self.extra_headers = ()

    async def listen(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=200)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def entry(self, state="ready"):
        self.sequence += 1
        return {"backend": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots, "state": state, "cold_left_ms": 0, "sequence": self.sequence, "born": self.born}

    def own_headers(self, headers):
        return [("X-Request-Id", headers.get("x-request-id", "")), ("X-Response-Seal", f"seal.{self.identity}"), ("X-Instance-Id", self.identity), *self.extra_headers]

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                line, headers, body = message
                if headers.get("x-expect-instance", self.identity) != self.identity:
                    writer.write(answer_bytes(421, b"", [("X-Not-Executed", "1"), *self.own_headers(headers)]))
                    continue
                self.arrivals.append((time.monotonic(), headers.get("x-request-id", ""), headers))
                if "text/event-stream" in headers.get("accept", "") or "x-token-usage" in headers:
                    await self._stream(headers, writer)
                else:
                    await asyncio.sleep(self.work_s)
                    writer.write(answer_bytes(200, b"ran " + headers.get("x-request-id", "").encode(), self.own_headers(headers)))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()

    async def _stream(self, headers, writer):
        lines = "".join(f"{name}: {text}\r\n" for name, text in [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"), *self.own_headers(headers)])
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
        for number in range(int(headers.get("last-event-id", "0")) + 1, self.events + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.event_gap_s)
        writer.write(b"0\r\n\r\n")


def route(name, kind, backend, **more):
    fields = {"name": name, "host": "app.example", "path_prefix": f"/{name}/", "route_type": kind, "timeout_ms": 1000, "target_latency_ms": 150, "priority": 2, "backend": backend, "max_attempts": 1, "allow_anonymous": False, "sticky": False, "stream_resume": False}
    return {**fields, **more}


def configuration(version, routes, backends, keys=("key-1",)):
    return {
        "version": version,
        "routes": routes,
        "backends": [{"name": name, "health_check": "/health", "max_connections": 500, "protocol": "h1", "tls": False} for name in backends],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 2000, "idle_timeout_ms": 10000},
        "tenants": [{"name": "tenant-1", "api_keys": list(keys), "priority": 1}],
    }


def run_command():
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    command = deploy["roles"]["entry"]["run"].split()
    if not (ROOT / command[0]).exists():
        raise CannotRun(f"{command[0]} is missing: build with the command of the deploy file first")
    return [str(ROOT / command[0]), *command[1:]]


def common_ports(addresses, count):
    """Ports that are free at all addresses, since the platform uses the same ones on every machine."""
    for _ in range(200):
        base = random.randrange(20000, 32000)
        held = []
        try:
            for address in addresses:
                for port in range(base, base + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        held.append(socket.socket(socket.AF_INET, kind))
                        held[-1].bind((address, port))
            return list(range(base, base + count))
        except OSError:
            continue
        finally:
            for entry in held:
                entry.close()
    raise CannotRun("no free ports")


class Instance:
    """A machine of the fleet with its process."""

    def __init__(self, name, zone, address, ports, store_address, folder, zones):
        self.name, self.zone, self.address, self.store_address = name, zone, address, store_address
        self.front, self.ready, self.directory = ports[0], ports[1], ports[2]
        self.path = pathlib.Path(folder) / f"{name}.json"
        self.log_path = self.path.with_suffix(".log")
        self.process = None
        self.path.write_text(json.dumps({
            "node_name": name, "role": "entry", "machine_class": "edge", "serves": ["edge", "registry"], "ip": address, "zone": zone, "region": "region",
            "zones": {other: "region" for other in zones},
            "listen": {"front": f"{address}:{ports[0]}", "ready": f"{address}:{ports[1]}", "control": f"{address}:{ports[3]}", "directory": f"{address}:{ports[2]}"},
            "internal_ports": [ports[4], ports[-1]], "seeds": [], "bootstrap": True, "loss_counts": False,
            "limits": {"cpu_share": 0.25, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "registry", "heartbeat_ms": 1200, "metrics_port": ports[5],
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "provider": {"address": store_address, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
        }))

    async def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(*run_command(), cwd=ROOT, env={**environment, "BORAGESLIP_CONFIG": str(self.path)}, stdout=log, stderr=log)

    def signal(self, number):
        self.process.send_signal(number)

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def resident_mb(self):
        try:
            return int(pathlib.Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGESIZE") / 1e6
        except (OSError, IndexError):
            return 0.0

    async def get(self, port, target, limit=1.0):
        """Status and body of a status call; (0, b"") without an answer."""
        async def call():
            reader, writer = await asyncio.open_connection(self.address, port)
            writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            raw = await reader.read()
            writer.close()
            head, _, body = raw.partition(b"\r\n\r\n")
            return int(head.split(b" ")[1]), body

        try:
            return await asyncio.wait_for(call(), limit)
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            return 0, b""

    async def is_ready(self):
        return (await self.get(self.ready, "/borageslip/ready"))[0] == 200


class Answer:
    def __init__(self, status=0, headers=None, body=b"", is_complete=False):
        self.status, self.headers, self.body, self.is_complete = status, headers or {}, body, is_complete


async def ask(instance, method, path, identity, headers=(), body=b"", key="key-1", deadline_ms=1000):
    """One client attempt on a new channel. Status 0: the channel ended or the time limit passed without an answer."""
    async def call():
        reader, writer = await asyncio.open_connection(instance.address, instance.front)
        try:
            lines = [f"{method} {path} HTTP/1.1", "Host: app.example", f"X-Request-Id: {identity}", f"X-Deadline-Ms: {deadline_ms}", f"Api-Key: {key}", *headers]
            if body:
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            fields = {name.strip().lower(): text.strip() for name, _, text in (line.partition(":") for line in head[1:] if ":" in line)}
            answer = Answer(int(head[0].split(" ")[1]), fields)
            if "content-length" in fields:
                answer.body = await reader.readexactly(int(fields["content-length"]))
            else:
                while size := int((await reader.readline()).strip() or b"x", 16):
                    answer.body += (await reader.readexactly(size + 2))[:-2]
                await reader.readline()
            answer.is_complete = True
            return answer
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(call(), deadline_ms / 1000 + 0.7)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return Answer()


class Deployment:
    """A small deployment: machines in zones, each with its instance, and a store."""

    def __init__(self, record, zones, machines_per_zone):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="borageslip-review-")
        self.zones = zones
        self.layout = [(f"edge-{zone}-{number}", zone, f"127.77.{index + 1}.{number}") for index, zone in enumerate(zones) for number in range(1, machines_per_zone + 1)]
        self.store = Store()
        self.store.on_event = record.write
        self.instances = []
        self.spares = [f"127.77.{index + 1}.{number}" for index in range(len(zones)) for number in range(machines_per_zone + 1, 2 * machines_per_zone + 1)]

    async def add(self, zone):
        """Adds a machine with the same roles at a new address, and waits until it is ready."""
        address = next(spare for spare in self.spares if spare.split(".")[2] == str(self.zones.index(zone) + 1))
        self.spares.remove(address)
        name = f"edge-{zone}-{address.split('.')[3]}"
        self.instances.append(Instance(name, zone, address, self.ports, await self.store.listen(name), self.folder, self.zones))
        await self.instances[-1].start()
        await self.wait_ready(self.instances[-1:])
        return self.instances[-1]

    async def start(self):
        ports = self.ports = common_ports([address for _, _, address in self.layout] + self.spares, 12)
        self.tasks = [asyncio.create_task(self.store.expire_leases())]
        for name, zone, address in self.layout:
            self.instances.append(Instance(name, zone, address, ports, await self.store.listen(name), self.folder, self.zones))
        for instance in self.instances:
            await instance.start()
        await self.wait_ready(self.instances)

    async def wait_ready(self, instances, limit=15):
        end = time.monotonic() + limit
        for instance in instances:
            while not await instance.is_ready():
                if time.monotonic() > end or instance.process.returncode is not None:
                    raise CannotRun(f"{instance.name} does not become ready")
                await asyncio.sleep(0.05)

    async def beat(self, workers):
        """The workers write their entries about every heartbeat."""
        while True:
            for worker in workers:
                if getattr(worker, "is_listed", True):
                    self.store.put_json(f"servers/{worker.identity}", worker.entry(getattr(worker, "state", "ready")))
                await asyncio.sleep(1.2 / max(1, len(workers)))

    async def stop(self):
        for instance in self.instances:
            if instance.process is not None and instance.process.returncode is None:
                instance.process.send_signal(signal.SIGCONT)
            await instance.kill()
        for task in getattr(self, "tasks", []):
            task.cancel()
        await asyncio.gather(*getattr(self, "tasks", []), return_exceptions=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def play(folder, case, limit_s=110):
    """Runs a case; returns the exit code: 1 the rule was broken, 0 it held, 2 the case could not run."""
    record = Record(folder)
    record.say(f"the case is played {'with' if TROUBLE else 'without'} its disruption")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record), limit_s))
    except (CannotRun, asyncio.TimeoutError, OSError) as problem:
        record.say(f"could not run: {problem!r}")
        return 2
    finally:
        record.file.flush()
    record.say("RULE BROKEN" if broken else "the rule held")
    record.file.close()
    return 1 if broken else 0
