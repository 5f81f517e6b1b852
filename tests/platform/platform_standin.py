"""Stand-in for the users' platform in tests: a key-value store with watches and leases, and backend servers.

Implements the calls that borageslip-entry uses, on loopback, and can inject faults. Not part of the product.
"""
import asyncio
import base64
import json
import re
import time
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 4  # Most items in one answer to a range call.


async def read_message(reader):
    """Returns (start line, headers, body), or None when the connection is closed."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def response(status, body=b"", headers=()):
    text = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    text += "".join(f"{name}: {value}\r\n" for name, value in headers)
    return text.encode() + b"\r\n" + body


def is_request_line(line):
    """Whether the target is one word of visible ASCII whose percent signs begin an encoded byte."""
    match = re.fullmatch(r"[A-Z]+ ([!-~]+) HTTP/1\.1", line)
    return match is not None and re.search(r"%(?![0-9A-Fa-f]{2})", match[1]) is None


class Store:
    """Key-value store with revisions, a change history for watches, and leases. Answers range calls by pages, decodes the
    query as one of a form, and answers 400 to a malformed request line."""

    def __init__(self):
        self.page_ends = set()  # Keys that end a page, beside those that fill it.
        self.era = 0  # Stated in all answers once it is not 0.
        self.items = {}
        self.history = []
        self.revision = 10
        self.leases = {}
        self.next_lease = 100
        self.is_down = False
        self.rejection_mode = None
        self.calls = {}
        self.oldest_revision = 0
        self.lost_puts = 0  # For so many writes under a lease: no answer, carried out `late_by` seconds later.
        self.late_by = 2.0
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision, "created": self.revision, "lease": lease}
        self.items[key] = item
        self._record(item)

    def remove(self, key):
        if key not in self.items:
            return
        self.revision += 1
        had_lease = bool(self.items.pop(key)["lease"])
        self._record({"key": key, "revision": self.revision, "deleted": True, **({"had_lease": True} if had_lease else {})})

    def put_json(self, key, document):
        self.put(key, json.dumps(document).encode())

    def drop_history(self):
        self.history.clear()
        self.oldest_revision = self.revision

    def _record(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        for lease in [number for number, entry in self.leases.items() if entry["until"] < now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    def _page(self, prefix, after):
        keys = [key for key in sorted(self.items) if key.startswith(prefix) and key > after]
        page = keys[:PAGE_ITEMS]
        end = next((place for place, key in enumerate(page, 1) if key in self.page_ends), len(page))
        return response(200, json.dumps({"items": [self.items[key] for key in page[:end]], "more_pages": end < len(keys), "as_of": self.revision}).encode())

    async def answer(self, line, body):
        if not is_request_line(line):
            return response(400)
        method, target, _ = line.split(" ")
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        self._expire()
        call = url.path.split("/")[2]
        if call == "kv-range":
            return self._page(query["path_prefix"], query.get("after", ""))
        if call == "kv-watch":
            return await self._watch(query)
        if call == "kv-lease":
            self.next_lease += 1
            time_to_live = json.loads(body)["ttl_ms"]
            self.leases[self.next_lease] = {"ttl": time_to_live / 1000, "until": time.monotonic() + time_to_live / 1000}
            return response(200, json.dumps({"lease": self.next_lease, "ttl_ms": time_to_live}).encode())
        if call == "kv-keep":
            entry = self.leases.get(int(url.path.split("/")[3]))
            if entry is None:
                return response(404)
            entry["until"] = time.monotonic() + entry["ttl"]
            return response(200, b"{}")
        if call == "kv-lease-end":
            self._end_lease(int(url.path.split("/")[3]))
            return response(200, b"{}")
        if call == "kv-txn":
            document = json.loads(body)
            rows = document["puts"]
            if self.lost_puts > 0 and any(row["lease"] for row in rows):
                self.lost_puts -= 1
                asyncio.get_running_loop().call_later(self.late_by, self._write, rows, document)
                return None
            return self._write(rows, document)
        return response(404)

    def _write(self, rows, document):
        self._expire()
        if any((self.items[row["key"]]["revision"] if row["key"] in self.items else 0) != row["revision"] for row in document["expected_revision"]):
            return response(412)
        for key in document["remove"]:
            self.remove(key)
        for row in rows:
            if row["lease"] and row["lease"] not in self.leases:
                return response(404)
            self.put(row["key"], base64.b64decode(row["value"]), row["lease"])
        return response(200, json.dumps({"revision": self.revision}).encode())

    async def _watch(self, query):
        after = int(query["after"])
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            self._expire()
            is_unknown = self.era and after > self.revision
            if after < self.oldest_revision or is_unknown:
                return response(410)
            events = [event for event in self.history if event["revision"] > after and event["key"].startswith(query["path_prefix"])]
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                return response(200, json.dumps({"events": events, "as_of": self.revision}).encode())
            try:
                await asyncio.wait_for(self.changed.wait(), min(remaining, 0.2))
            except asyncio.TimeoutError:
                pass

    async def serve_rejectable(self, reader, writer):
        """Serves connections that fail as `rejection_mode` says: "busy", "silent", or None for normal service."""
        await self.serve(reader, writer, lambda: self.rejection_mode)

    def begin_call(self, instance, line):
        """Called before each call. @see RestorableStore"""

    def end_call(self, instance, call, answer):
        """Returns the answer to send."""
        return answer

    async def serve_instance(self, instance, reader, writer):
        """Serves the connections of one instance, whose calls are checked."""
        await self.serve(reader, writer, instance=instance)

    async def serve(self, reader, writer, rejection_mode=lambda: None, instance=None):
        while True:
            message = await read_message(reader)
            if message is None:
                break
            name = message[0].split(" ")[1].split("?")[0].split("/")[2]
            self.calls[name] = self.calls.get(name, 0) + 1
            if rejection_mode() == "busy":
                writer.write(response(503))
                continue
            if rejection_mode() == "silent":
                while rejection_mode() == "silent":
                    await asyncio.sleep(0.05)
                break
            if self.is_down:
                while self.is_down:
                    await asyncio.sleep(0.05)
                break
            self.begin_call(instance, message[0])
            answer = await self.answer(message[0], message[2])
            if answer is None:  # A connection on which an answer is lost returns nothing further.
                await reader.read()
                break
            writer.write(self.end_call(instance, name, answer))
            await writer.drain()
        writer.close()


MAX_FLOOD_BYTES = 64 * 1024 * 1024

# By behaviour: status, header fields, the bytes that follow the head (None: the head does not end), and the bytes that are
# repeated without end.
ENDLESS = {
    "endless-head": (200, [], None, b"X-Long: " + b"x" * 1000 + b"\r\n"),
    "endless-line": (200, [], None, b"x" * 4096),
    "endless-body-of-another": (200, [("X-Request-Id", "another"), ("Transfer-Encoding", "chunked")], b"", b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    "endless-refusal": (503, [("X-Not-Executed", "1"), ("Transfer-Encoding", "chunked")], b"", b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    "endless-chunk-line": (200, [("Transfer-Encoding", "chunked")], b"5;", b"x" * 4096),
    "endless-chunk-size": (200, [("Transfer-Encoding", "chunked")], b"", b"0" * 4096),
    "endless-trailer-fields": (200, [("Transfer-Encoding", "chunked")], b"0\r\n", b"X-Long: " + b"x" * 1000 + b"\r\n"),
    "endless-trailer-line": (200, [("Transfer-Encoding", "chunked")], b"0\r\nX-Long: ", b"x" * 4096),
    "endless-event": (200, [("Content-Type", "text/event-stream")], b"data: ", b"x" * 4096),
    "endless-interim": (100, [], b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
}


def stream_head(fields, is_chunked=False):
    """Returns the head of a response with an event stream, which ends with its connection unless it is chunked."""
    framing = [("Transfer-Encoding", "chunked")] if is_chunked else []
    lines = "".join(f"{name}: {value}\r\n" for name, value in [("Content-Type", "text/event-stream"), *framing, *fields])
    return f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode()


def prompt_parts(headers):
    return [entry.split(":")[0] for entry in headers.get("x-prompt-prefix", "").split(",")]


class BackendServer:
    """Backend server for plain requests and event streams; `behaviour` names the fault that it injects."""

    def __init__(self, identity):
        self.identity = identity
        self.behaviour = "sound"
        self.runs = []
        self.finished = 0
        self.finish_times = {}  # Time at which the whole response had been written, by request id.
        self.event_count = 5
        self.event_id = "{}"  # With the number of the event.
        self.event_delay = 0.02
        self.work_time = 0  # Seconds; of requests without a stream.
        self.address = None
        self.slots = 8
        self.flooded_bytes = 0
        self.was_disconnected = False
        self.running = 0
        self.peak_running = 0
        self.crashing_part = None  # Id of a prompt part; the server crashes when it begins to respond to a prompt with it.
        self.down_time = 0.3  # Seconds after a crash.
        self.crashes = 0
        self.is_leaving = False  # Stated in all responses, while the platform still lists it as ready.
        self.retry_after = 1.5  # Seconds; of the behaviour "paused".
        self.arrivals = []  # Time and request id, of the behaviour "paused" and while it has a rate limit or states cold_ms.
        self.cold_ms = None  # Stated in all responses.
        self.rate_limit = None  # Text of the rate limit that it names in all responses.
        self.listener = None
        self.writers = set()

    async def listen(self, port=0):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", port, backlog=200)
        self.address = f"127.0.0.1:{self.listener.sockets[0].getsockname()[1]}"

    def crash(self):
        """Closes the listener and all connections, and listens again at the same address after the down time."""
        if not self.listener.is_serving():
            return
        self.crashes += 1
        self.running = 0
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        asyncio.get_running_loop().call_later(self.down_time, lambda: asyncio.ensure_future(self.listen(int(self.address.split(":")[1]))))

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self._serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        self.writers.discard(writer)
        writer.close()

    async def _serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                return
            line, headers, body = message
            if headers.get("x-expect-instance") != self.identity:
                writer.write(response(421, headers=[("X-Instance-Id", self.identity), ("X-Request-Id", headers.get("x-request-id", ""))]))
                continue
            own_headers = [("X-Request-Id", headers.get("x-request-id", "")), ("X-Response-Seal", "seal-" + self.identity)]
            if self.is_leaving:
                own_headers.append(("Server-Leaving", "1"))
            if self.rate_limit is not None:
                own_headers.append(("Server-Limit", self.rate_limit))
                self.arrivals.append((asyncio.get_running_loop().time(), headers.get("x-request-id", "")))
            if self.cold_ms is not None:
                own_headers.append(("X-Cold-Ms", str(self.cold_ms)))
                self.arrivals.append((asyncio.get_running_loop().time(), headers.get("x-request-id", "")))
            if self.behaviour == "paused":
                self.arrivals.append((asyncio.get_running_loop().time(), headers.get("x-request-id", "")))
                writer.write(response(503, headers=own_headers + [("X-Not-Executed", "1"), ("Retry-After", str(self.retry_after))]))
                continue
            if self.behaviour == "full":
                writer.write(response(503, headers=own_headers + [("X-Not-Executed", "1")]))
                continue
            self.runs.append((line, headers, body))
            if self.crashing_part and self.crashing_part in prompt_parts(headers)[:-1]:
                writer.write(stream_head(own_headers, is_chunked=True))
                await writer.drain()
                await asyncio.sleep(0.01)
                self.crash()
                return
            self.running += 1
            self.peak_running = max(self.peak_running, self.running)
            if self.behaviour in ENDLESS:
                await self._flood(own_headers, writer)
                return
            if self.behaviour == "holds":  # Never ends an event of the size that an instance buffers at the most.
                writer.write(stream_head(own_headers) + b"data: " + b"x" * 200_000)
                await reader.read()
                return
            if self.behaviour.startswith("head-"):  # Sends the head of a stream and no byte of its body.
                _, framing, ending = self.behaviour.split("-")
                fields = own_headers + ([("Content-Length", "100")] if framing == "length" else [])
                writer.write(stream_head(fields, is_chunked=framing == "chunked"))
                await writer.drain()
                if ending == "silent":
                    await reader.read()
                return
            if self.behaviour == "empty-stream":
                writer.write(response(204, headers=own_headers).replace(b"Content-Length: 0\r\n", b""))
                await writer.drain()
                self.running -= 1
                continue
            if self.behaviour == "lost":
                return
            if self.behaviour == "trickles":
                await self._trickle(own_headers, writer)
                return
            if self.behaviour == "silent":
                await reader.read()
                return
            if self.behaviour == "failing":
                writer.write(response(500, b"failed", own_headers))
            elif self.behaviour == "truncated":
                writer.write(response(200, b"x" * 100, own_headers)[:-50])
                return
            elif self.behaviour == "foreign":
                writer.write(response(200, b"foreign", [("X-Request-Id", "another"), ("X-Response-Seal", "foreign")]))
                writer.write(response(200, b"own", own_headers))
            elif self.behaviour == "extra":
                writer.write(response(200, b"own", own_headers))
                writer.write(response(200, b"extra", own_headers))
            elif self.behaviour == "unframed":
                writer.write("".join(["HTTP/1.1 200 OK\r\n"] + [f"{name}: {value}\r\n" for name, value in own_headers] + ["\r\nunframed"]).encode())
                return
            elif self.behaviour in ("unframed-stream", "unframed-stream-breaks"):
                self._stream_unframed(headers, own_headers, writer)
                await writer.drain()
                return
            elif "/stream/" in line:
                if not await self._stream(headers, own_headers, writer):
                    return
            else:
                await asyncio.sleep(self.work_time)
                writer.write(response(200, b"ran " + body, own_headers))
            await writer.drain()
            self.finish_times[headers.get("x-request-id")] = asyncio.get_running_loop().time()
            self.finished += 1
            self.running -= 1

    async def _flood(self, own_headers, writer):
        """Writes an endless response until the peer closes the connection, at most MAX_FLOOD_BYTES."""
        status, fields, begin, block = ENDLESS[self.behaviour]
        head = f"HTTP/1.1 {status} X\r\n" + "".join(f"{name}: {value}\r\n" for name, value in (own_headers if "X-Request-Id" not in dict(fields) else []) + list(fields))
        self.flooded_bytes, self.was_disconnected = 0, False
        try:
            writer.write(head.encode() + (b"" if begin is None else b"\r\n" + begin))
            while self.flooded_bytes < MAX_FLOOD_BYTES:
                writer.write(block)
                self.flooded_bytes += len(block)
                await writer.drain()
        except ConnectionError:
            self.was_disconnected = True

    async def _trickle(self, own_headers, writer):
        """Sends the bytes of an event one by one and never ends it."""
        writer.write(stream_head(own_headers))
        for _ in range(200):
            writer.write(b"x")
            await writer.drain()
            await asyncio.sleep(0.1)

    def _stream_unframed(self, headers, own_headers, writer):
        """Writes a stream that has no framing and ends with its connection, within an event if it breaks."""
        first = int(headers.get("last-event-id", "0")) + 1
        events = "".join(f"id: {number}\ndata: piece {number}\n\n" for number in range(first, self.event_count + 1))
        if self.behaviour == "unframed-stream-breaks" and first < 3:
            events = events[: events.index("piece 3")]
        writer.write(stream_head(own_headers) + events.encode())

    async def _stream(self, headers, own_headers, writer):
        """Streams the events. Returns whether the connection can be kept open."""
        writer.write(stream_head(own_headers, is_chunked=True))
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, self.event_count + 1):
            event = f"id: {self.event_id.format(number)}\ndata: piece {number}\n\n".encode()
            if self.behaviour == "breaks-stream" and number == 3:
                partial = event[:7]
                writer.write(f"{len(partial):x}\r\n".encode() + partial + b"\r\n")
                await writer.drain()
                return False
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.event_delay)
        writer.write(b"0\r\n\r\n")
        return True

    def entry(self, service, state="ready", **changes):
        fields = {"backend": service, "address": self.address, "zone": "zone-a", "version": "v1", "slots": self.slots, "state": state, "cold_left_ms": 0, "sequence": 1, "born": 1000}
        return {**fields, **changes}


def configuration(version, **changes):
    """Returns a configuration with routes of each type."""

    def route(name, kind, **more):
        fields = {"name": name, "host": "app.example", "path_prefix": f"/{name}/", "route_type": kind, "timeout_ms": 2000, "target_latency_ms": 500, "priority": 1, "backend": "pool", "max_attempts": 2, "allow_anonymous": False, "sticky": False, "stream_resume": False}
        return {**fields, **more}

    document = {
        "version": version,
        "routes": [
            route("read", "idempotent"),
            route("book", "non_idempotent", max_attempts=1),
            route("stream", "streaming", max_attempts=2, stream_resume=True),
            route("once", "streaming", max_attempts=1),
            route("open", "idempotent", allow_anonymous=True),
        ],
        "backends": [{"name": "pool", "health_check": "/health", "max_connections": 100, "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 4096, "max_body_bytes": 65536, "header_timeout_ms": 800, "idle_timeout_ms": 3000},
        "tenants": [{"name": "account-1", "api_keys": ["key-1", "key-2"], "priority": 1}],
    }
    return {**document, **changes}


async def start_server(handler):
    server = await asyncio.start_server(handler, "127.0.0.1", 0, backlog=200)
    port = server.sockets[0].getsockname()[1]
    return server, f"127.0.0.1:{port}"


def settings(store_address, front, ready, directory, peer_port, metrics_port=9464, name="entry-1", **bounds):
    return {
        "node_name": name,
        "role": "entry",
        "ip": "127.0.0.1",
        "zone": "zone-a",
        "region": "region",
        "zones": {"zone-a": "region"},
        "listen": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}", "directory": f"127.0.0.1:{directory}"},
        "internal_ports": [peer_port, peer_port + 5],
        "limits": {"max_fds": 1024, "memory_mb": 64},
        "metrics_port": metrics_port,
        "bounds": {"grace_s": 3, "ttl_max_s": 5, "drain_ms": 2000, "revoke_fail_closed": True, "revoke_ms": 3000, "retry_budget_ratio": 0.2, "budget_min_retries": 90, "budget_window_s": 10, "cap_factor": 2, **bounds},
        "provider": {"address": store_address},
    }
