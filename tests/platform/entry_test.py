#!/usr/bin/env python3
"""Runs borageslip-entry against stand-ins of the platform on loopback and checks what callers and backend servers receive.

Prints one line for each check and ends with the number of failed checks. Every case has a time limit.
"""
import argparse
import asyncio
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from platform_standin import ENDLESS, MAX_FLOOD_BYTES, BackendServer, Store, configuration, settings, start_server  # noqa: E402

failures = []


def check(name, condition, seen=""):
    print(f"{'ok     ' if condition else 'FAILED '} {name}" + ("" if condition else f": {seen}"), flush=True)
    if not condition:
        failures.append(name)


PORTS_OF_A_TEST = 300
# Below the range from which outgoing connections get theirs, so that a process can listen again after a restart, and apart
# from those of other tests that run at the same time.
test_ports = iter(range(20000 + os.getpid() % 40 * PORTS_OF_A_TEST, 20000 + (os.getpid() % 40 + 1) * PORTS_OF_A_TEST))


def is_free(port):
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as entry:
                entry.bind(("127.0.0.1", port))
    except OSError:
        return False
    return True


def free_ports(count):
    return list(itertools.islice((port for port in test_ports if is_free(port)), count))


class Answer:
    def __init__(self, status, headers, body, is_complete):
        self.status, self.headers, self.body, self.is_complete = status, headers, body, is_complete

    def __str__(self):
        return f"{self.status} {self.headers} {self.body[:200]!r} complete={self.is_complete}"


class Entry:
    """A borageslip-entry process under test."""

    def __init__(self, binary, folder, store_address, **bounds):
        self.front, self.ready, self.directory, self.peer, self.metrics = free_ports(5)
        self.path = pathlib.Path(folder) / f"boot-{self.front}.json"
        self.path.write_text(json.dumps(settings(store_address, self.front, self.ready, self.directory, self.peer, self.metrics, **bounds)))
        self.log_path = self.path.with_suffix(".log")
        self.binary = binary
        self.process = None

    async def start(self):
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(self.binary, "--settings", str(self.path), stdout=log, stderr=log)

    async def wait_until(self, condition, limit=20):
        """Polls an asynchronous condition. Returns False if it does not hold within the limit, in seconds."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await condition():
                return True
            await asyncio.sleep(0.02)
        return False

    async def is_ready(self):
        try:
            return (await self.get(self.ready, "/borageslip/ready")).status == 200
        except OSError:
            return False

    async def get(self, port, target):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        answer = await read_answer(reader)
        writer.close()
        return answer

    async def ask(self, path, method="GET", key="key-1", identity="r-1", body=b"", deadline=1500, headers=()):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.front)
        writer.write(request(path, method, key, identity, body, deadline, headers))
        answer = await read_answer(reader)
        writer.close()
        return answer

    def log_lines(self):
        return [json.loads(line) for line in self.log_path.read_text().splitlines() if line.startswith("{")]


def request(path, method="GET", key="key-1", identity="r-1", body=b"", deadline=1500, headers=()):
    lines = [f"{method} {path} HTTP/1.1", "Host: app.example", f"X-Request-Id: {identity}", f"X-Deadline-Ms: {deadline}"]
    if key:
        lines.append(f"Api-Key: {key}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    lines += list(headers)
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_answer(reader):
    try:
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError):
        return Answer(0, {}, b"", False)
    lines = head.decode("latin-1").split("\r\n")
    headers = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip() for line in lines[1:] if ":" in line}
    status = int(lines[0].split(" ")[1])
    body, is_complete = b"", True
    try:
        if "content-length" in headers:
            body = await asyncio.wait_for(reader.readexactly(int(headers["content-length"])), 10)
        else:
            while True:
                size = int(await asyncio.wait_for(reader.readline(), 10) or b"", 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        is_complete = False
    return Answer(status, headers, body, is_complete)


class Fleet:
    def __init__(self, store, servers, entry):
        self.store, self.servers, self.entry = store, servers, entry

    def list_servers(self, count=None):
        for server in self.servers[:count]:
            self.store.put_json(f"servers/{server.identity}", server.entry("pool"))

    def set_behaviour(self, name):
        for server in self.servers:
            server.behaviour = name
            server.runs.clear()
            server.finished = 0

    def runs(self):
        return sum(len(server.runs) for server in self.servers)


async def check_directory(fleet):
    answer = await fleet.entry.get(fleet.entry.directory, "/borageslip/resolve?name=app.example&region=r&zone=z")
    document = json.loads(answer.body)
    check("the directory response contains the address of this instance", document["addresses"] == [f"127.0.0.1:{fleet.entry.front}"], document)
    check("the directory response states its time to live", 0 < document["ttl_s"] <= 5, document)


async def check_forwarding(fleet):
    fleet.set_behaviour("sound")
    forged = ["X-Tenant: forged", "X-Hold: 1", "X-Pin-Ms: 9", "X-Kv-Backup: a:1", "Kv-From: b", "X-Request-Priority: 0", "X-Kept: yes"]
    answer = await fleet.entry.ask("/book/a?b=c", "POST", body=b"swap", headers=forged)
    check("a request gets the response of a backend server, with its seal", answer.status == 200 and answer.body == b"ran swap" and answer.headers.get("x-response-seal", "").startswith("seal-"), answer)
    line, headers, body = next(run for server in fleet.servers for run in server.runs)
    check("method, path, query and body are forwarded unchanged", line == "POST /book/a?b=c HTTP/1.1" and body == b"swap", line)
    check("the backend server receives the client account but not the API key", headers.get("x-tenant") == "account-1" and "api-key" not in headers, headers)
    set_by_caller = [name for name in ("x-hold", "x-pin-ms", "x-kv-backup", "kv-from", "x-request-priority") if name in headers]
    check("header fields reserved for the fleet are not forwarded from callers", not set_by_caller and headers.get("x-kept") == "yes", headers)
    check("the remaining time is forwarded", 0 < int(headers["x-deadline-ms"]) <= 1500, headers)


async def check_refusals(fleet):
    fleet.set_behaviour("sound")
    check("an unknown key is refused", (await fleet.entry.ask("/read/a", key="none")).status == 401)
    check("a missing key is refused", (await fleet.entry.ask("/read/a", key=None)).status == 401)
    check("an unknown path is refused", (await fleet.entry.ask("/nowhere/a")).status == 404)
    check("a header over the limit is refused", (await fleet.entry.ask("/read/a", headers=["X-Long: " + "x" * 6000])).status == 431)
    check("a body over the limit is refused", (await fleet.entry.ask("/read/a", "POST", body=b"x" * 70000)).status == 413)
    check("none of the refused requests ran", fleet.runs() == 0, fleet.runs())
    answer = await fleet.entry.ask("/open/a", key=None)
    check("an anonymous route needs no key", answer.status == 200, answer)


async def check_failures(fleet):
    fleet.set_behaviour("lost")
    answer = await fleet.entry.ask("/book/a", "POST", body=b"x", identity="r-story-lost")
    check("a booking whose response is lost runs once and is not reported as not run", answer.status in (502, 504) and fleet.runs() == 1, f"{answer} runs={fleet.runs()}")
    fleet.set_behaviour("lost")
    answer = await fleet.entry.ask("/read/a")
    check("an idempotent request is sent to no more servers than its route allows", answer.status in (502, 504) and fleet.runs() == 2, f"{answer} runs={fleet.runs()}")
    fleet.set_behaviour("sound")
    for server in fleet.servers[:2]:
        server.identity += "-new"
    answers = [await fleet.entry.ask("/book/a", "POST", body=b"x", identity=f"r-reused-{number}") for number in range(4)]
    check("a request that reaches another server at a reused address is sent on, even if its route allows only one attempt", all(answer.status == 200 for answer in answers) and fleet.runs() == 4, [str(answer) for answer in answers])
    for server in fleet.servers[:2]:
        server.identity = server.identity.removesuffix("-new")
    await asyncio.sleep(0.8)
    fleet.set_behaviour("full")
    answer = await fleet.entry.ask("/book/a", "POST", body=b"x", identity="r-story-full")
    check("a booking that no server accepted is refused as not run, with Retry-After", answer.status == 503 and 0 < float(answer.headers.get("retry-after", 0)) <= 0.5 and fleet.runs() == 0, answer)
    fleet.set_behaviour("silent")
    answer = await fleet.entry.ask("/book/a", "POST", body=b"x", deadline=400)
    check("a request without a response from its server gets an error response at its deadline", answer.status == 504 and fleet.runs() == 1, answer)
    fleet.set_behaviour("truncated")
    answer = await fleet.entry.ask("/book/a", "POST", body=b"x")
    check("a truncated response does not look complete", answer.status == 502 or not answer.is_complete, answer)
    fleet.set_behaviour("failing")
    answer = await fleet.entry.ask("/book/a", "POST", body=b"x")
    check("an error response of a server is forwarded with its seal", answer.status == 500 and answer.body == b"failed" and "x-response-seal" in answer.headers, answer)
    fleet.set_behaviour("unframed")
    answer = await fleet.entry.ask("/read/a")
    check("a response without a length is forwarded in full", answer.status == 200 and answer.body == b"unframed" and answer.is_complete, answer)
    fleet.set_behaviour("foreign")
    answer = await fleet.entry.ask("/book/a", "POST", body=b"x")
    check("a response to another request is discarded", answer.body == b"own", answer)
    fleet.set_behaviour("extra")
    for number in range(12):
        answer = await fleet.entry.ask("/book/a", "POST", body=b"x", identity=f"r-extra-{number}")
        if answer.body != b"own":
            break
    check("an unsolicited second response on a connection is not delivered", answer.body == b"own", answer)


async def check_streams(fleet):
    fleet.set_behaviour("sound")
    expected = b"".join(f"id: {number}\ndata: piece {number}\n\n".encode() for number in range(1, 6))
    answer = await fleet.entry.ask("/stream/stream/a", "POST", body=b"x")
    check("a stream is forwarded in full", answer.body == expected and answer.is_complete, answer)
    fleet.set_behaviour("sound")
    fleet.servers[0].behaviour = fleet.servers[1].behaviour = "breaks-stream"
    answers = [await fleet.entry.ask("/stream/stream/a", "POST", body=b"x", identity=f"r-stream-{number}") for number in range(6)]
    whole = [answer for answer in answers if answer.is_complete]
    check("an interrupted stream is resumed at another server without missing or repeated events", whole and all(answer.body == expected for answer in whole), [str(answer) for answer in answers])
    check("a stream that cannot be resumed does not look complete", all(expected.startswith(answer.body) for answer in answers if not answer.is_complete), [str(answer) for answer in answers])
    fleet.set_behaviour("breaks-stream")
    answer = await fleet.entry.ask("/once/stream/a", "POST", body=b"x")
    check("a stream that may not be resumed runs once and ends incomplete", not answer.is_complete and fleet.runs() == 1, f"{answer} runs={fleet.runs()}")
    fleet.set_behaviour("unframed-stream")
    answer = await fleet.entry.ask("/once/stream/a", "POST", body=b"x")
    check("a stream without framing that ends after an event is complete", answer.body == expected and answer.is_complete, answer)
    fleet.set_behaviour("unframed-stream-breaks")
    answer = await fleet.entry.ask("/once/stream/a", "POST", body=b"x")
    check("a stream without framing that ends within an event does not look complete", not answer.is_complete and expected.startswith(answer.body), answer)
    answer = await fleet.entry.ask("/stream/stream/a", "POST", body=b"x")
    check("a stream without framing that ends within an event is resumed", answer.body == expected and answer.is_complete, answer)


async def check_heads_without_bodies(fleet):
    """Guards against a connection that is closed without an answer when a server has sent its head and no byte of a body."""
    for framing in ("chunked", "length", "close"):
        for ending, status, path in (("silent", 504, "/once/stream/a"), ("ends", 502, "/once/stream/a"), ("ends", 502, "/stream/stream/a")):
            if (framing, ending) == ("close", "ends"):
                continue  # A body without framing that ends with its connection is complete.
            fleet.set_behaviour(f"head-{framing}-{ending}")
            answer = await fleet.entry.ask(path, "POST", body=b"x", deadline=500)
            check(f"a caller that has got no byte of a response gets an error ({framing}, {ending}, {path})", answer.status == status and answer.is_complete and fleet.runs() > 0, answer)
    fleet.set_behaviour("full")
    fleet.servers[0].behaviour = "head-chunked-ends"
    answers = [await fleet.entry.ask("/stream/stream/a", "POST", body=b"x", identity=f"r-head-{number}") for number in range(4)]
    check("a resumption that is refused before the first byte gets an error", all(answer.status in (502, 503) and answer.is_complete for answer in answers), [str(answer) for answer in answers])
    fleet.set_behaviour("sound")
    await asyncio.sleep(0.8)


async def check_responses_without_bodies(fleet):
    """Guards against bytes after a response that has no body, which a caller takes for its next response."""
    fleet.set_behaviour("sound")
    reader, writer = await asyncio.open_connection("127.0.0.1", fleet.entry.front)
    seen = []
    for number, (path, method, behaviour) in enumerate([("/nowhere/a", "HEAD", "sound"), ("/read/a", "GET", "sound"), ("/book/a", "HEAD", "full"), ("/read/b", "GET", "sound"), ("/once/stream/a", "HEAD", "head-chunked-ends"), ("/read/c", "GET", "sound"), ("/once/stream/a", "POST", "empty-stream"), ("/read/d", "GET", "sound")]):
        fleet.set_behaviour(behaviour)
        writer.write(request(path, method, identity=f"r-bodyless-{number}"))
        head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)).decode()
        if method == "GET":
            length = int(head.lower().split("content-length: ")[1].split("\r")[0])
            body = await reader.readexactly(length)
            seen.append((head.split(" ")[1], body))
        await asyncio.sleep(0.02)
    writer.close()
    check("each response on a kept connection is the one to its request, after responses without a body", seen == [("200", b"ran ")] * 4, seen)
    await asyncio.sleep(0.8)


async def check_caller_disconnect(fleet):
    fleet.set_behaviour("sound")
    for server in fleet.servers:
        server.event_count, server.event_delay = 200, 0.02
    reader, writer = await asyncio.open_connection("127.0.0.1", fleet.entry.front)
    writer.write(request("/stream/stream/a", "POST", body=b"x"))
    await reader.readuntil(b"piece 2")
    writer.close()
    await asyncio.sleep(0.4)
    check("a stream is stopped at its server when the caller disconnects", all(server.finished == 0 for server in fleet.servers) and fleet.runs() == 1, fleet.runs())
    for server in fleet.servers:
        server.event_count, server.event_delay = 5, 0.02


async def check_smuggling(fleet):
    fleet.set_behaviour("sound")
    reader, writer = await asyncio.open_connection("127.0.0.1", fleet.entry.front)
    hidden = request("/book/hidden", "POST", body=b"x", identity="hidden")
    writer.write(request("/book/a", "POST", headers=["Transfer-Encoding: chunked", f"Content-Length: {len(hidden) + 5}"]) + b"0\r\n\r\n" + hidden)
    answer = await read_answer(reader)
    await asyncio.sleep(0.2)
    writer.close()
    check("a request hidden in the body of another request is not run", answer.status == 400 and fleet.runs() == 0, f"{answer} runs={fleet.runs()}")


async def check_keep_alive(fleet):
    fleet.set_behaviour("sound")
    reader, writer = await asyncio.open_connection("127.0.0.1", fleet.entry.front)
    bodies = []
    writer.write(request("/read/1", identity="k-1") + request("/read/2", identity="k-2"))
    for _ in range(2):
        bodies.append((await read_answer(reader)).headers.get("x-request-id"))
    writer.write(request("/read/3", identity="k-3")[:30])
    await writer.drain()
    await asyncio.sleep(0.05)
    writer.write(request("/read/3", identity="k-3")[30:])
    bodies.append((await read_answer(reader)).headers.get("x-request-id"))
    writer.close()
    check("requests on a persistent connection get responses in order, including pipelined and split requests", bodies == ["k-1", "k-2", "k-3"], bodies)
    reader, writer = await asyncio.open_connection("127.0.0.1", fleet.entry.front)
    writer.write(b"GET /read/a HTTP/1.1\r\nHost: app")
    answer = await read_answer(reader)
    writer.close()
    check("a request whose header does not arrive in time is refused", answer.status == 408, answer)


async def check_changes(fleet):
    fleet.set_behaviour("sound")
    store, entry = fleet.store, fleet.entry
    store.put("servers/i-foreign", b"not json")
    store.put_json("servers/i-partial", {"backend": "pool", "state": "resting"})
    store.put_json("op/config", {"version": 8, "routes": "none"})
    await asyncio.sleep(1.5)
    check("malformed server entries and configurations are ignored", (await entry.ask("/read/a")).status == 200)
    names = {line["event"] for line in entry.log_lines()}
    check("each malformed entry is logged", {"configuration-invalid", "server-entry-invalid"} <= names, names)

    document = configuration(9)
    document["tenants"][0]["api_keys"] = ["key-2"]
    store.put_json("op/config", document)
    refused = await entry.wait_until(lambda: status_is(entry, "/read/a", 401), 3)
    check("a revoked key is refused within the time limit", refused)
    check("the other key is still accepted", (await entry.ask("/read/a", key="key-2")).status == 200)
    store.put_json("op/config", configuration(5))
    await asyncio.sleep(1.3)
    check("an older configuration version does not take effect again", (await entry.ask("/read/a")).status == 401)
    store.put_json("op/config", configuration(12))
    check("a new configuration version takes effect within the time limit", await entry.wait_until(lambda: status_is(entry, "/read/a", 200), 2))

    fleet.set_behaviour("sound")
    for server in fleet.servers[:2]:
        store.put_json(f"servers/{server.identity}", server.entry("pool", "draining"))
    await asyncio.sleep(1.3)
    for number in range(6):
        await entry.ask("/read/a", identity=f"r-drain-{number}")
    check("a draining server gets no new requests", len(fleet.servers[2].runs) == 6, [len(server.runs) for server in fleet.servers])
    fleet.list_servers()
    store.drop_history()
    store.remove("servers/" + fleet.servers[2].identity)
    await asyncio.sleep(1.5)
    fleet.set_behaviour("sound")
    for number in range(6):
        await entry.ask("/read/a", identity=f"r-compact-{number}")
    check("a removal is detected after the store has dropped its history", not fleet.servers[2].runs and fleet.runs() == 6, [len(server.runs) for server in fleet.servers])
    fleet.list_servers()
    await asyncio.sleep(1.3)


async def status_is(entry, path, status):
    return (await entry.ask(path)).status == status


async def check_metrics(fleet):
    text = (await fleet.entry.get(fleet.entry.metrics, "/metrics")).body.decode()
    shown = {line.split(" ")[2] for line in text.splitlines() if line.startswith("# TYPE")}
    page = (pathlib.Path(__file__).parents[2] / "docs/METRICS-ENTRY.md").read_text()
    listed = {line.split("`")[1] for line in page.splitlines() if line.startswith("| `")}
    check("docs/METRICS-ENTRY.md lists exactly the metrics of the program", shown == listed, shown ^ listed)
    values = {line.rsplit(" ", 1)[0]: float(line.rsplit(" ", 1)[1]) for line in text.splitlines() if not line.startswith("#")}
    ended = sum(value for name, value in values.items() if name.startswith("borageslip_entry_outcomes_total"))
    check("every request has one outcome", values["borageslip_entry_requests_total"] == ended, (values["borageslip_entry_requests_total"], ended))
    check("no invariant was violated", values["borageslip_entry_invariant_violations_total"] == 0, values)


async def run_tool(binary, *arguments):
    """Runs the operators' client that lies beside the program under test."""
    tool = str(pathlib.Path(binary).parent / "borageslip")
    process = await asyncio.create_subprocess_exec(tool, *arguments, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT)
    output = (await asyncio.wait_for(process.communicate(), 10))[0].decode()
    return process.returncode, output


async def check_operator_commands(fleet):
    code, output = await run_tool(fleet.entry.binary, "platform-status", "--store", fleet.store.address)
    check("platform-status shows that the configuration is in force", code == 0 and "in force  entry-1" in output and "service pool: 3 ready" in output, output)
    fleet.store.put("servers/broken", b"{")
    code, output = await run_tool(fleet.entry.binary, "--json", "platform-status", "--store", fleet.store.address)
    check("platform-status lists an entry that cannot be parsed", "servers/broken" in [row["key"] for row in json.loads(output)["unusable"]], output)
    fleet.store.remove("servers/broken")
    code, output = await run_tool(fleet.entry.binary, "platform-status", "--store", "127.0.0.1:1")
    check("platform-status reports that the store cannot be reached", code == 4 and "store-unavailable" in output, output)
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "configuration.json"
        path.write_text(json.dumps(configuration(8)))
        code, output = await run_tool(fleet.entry.binary, "platform-check", "configuration", str(path))
        check("platform-check accepts a valid configuration", code == 0, output)
        path.write_text(json.dumps(configuration(8, backends=[])))
        code, output = await run_tool(fleet.entry.binary, "platform-check", "configuration", str(path))
        check("platform-check reports the problem of an invalid configuration", code == 1 and "unknown service" in output, output)
        code, output = await run_tool(fleet.entry.binary, "platform-check", "settings", str(fleet.entry.path))
        check("platform-check accepts the settings of the running instance", code == 0, output)


def mutated(data, source):
    """Returns the data with one to four random mutations: bits flipped, bytes removed, repeated or inserted, or the end cut."""
    data = bytearray(data)
    for _ in range(source.randint(1, 4)):
        position = source.randrange(len(data)) if data else 0
        change = source.choice(("flip", "remove", "repeat", "insert", "cut"))
        if change == "flip" and data:
            data[position] ^= 1 << source.randrange(8)
        elif change == "remove":
            del data[position:position + source.randint(1, 12)]
        elif change == "repeat":
            data[position:position] = data[position:position + source.randint(1, 40)]
        elif change == "insert":
            data[position:position] = source.choice((b"\r\n", b"\r\n\r\n", b"Content-Length: 9\r\n", b"Transfer-Encoding: chunked\r\n", b"\0", b"X-Deadline-Ms: -1\r\n", b"X-Prompt-Prefix: zz:99999999999999999999\r\n"))
        elif change == "cut":
            del data[position:]
    return bytes(data)


async def check_fuzz(fleet):
    """Guards against malformed requests that crash the process, hang a connection, or run more often than allowed."""
    fleet.set_behaviour("sound")
    source = random.Random(20261204)
    seen = {}

    async def send(number):
        data = mutated(request(source.choice(("/read/a", "/book/a", "/open/a")), "POST", identity=f"r-fuzz-{number}", body=b"0123456789", deadline=800, headers=["X-Prompt-Prefix: 1f:10,2e:20", "X-Token-Usage: 30,5"]), source)
        reader, writer = await asyncio.open_connection("127.0.0.1", fleet.entry.front)
        try:
            writer.write(data)
            writer.write_eof()
            answer = await asyncio.wait_for(reader.read(65536), 8)
            status = answer[9:12].decode("latin-1") if answer.startswith(b"HTTP/1.") else "closed" if not answer else "no HTTP"
        except (ConnectionError, OSError):
            status = "closed"
        except asyncio.TimeoutError:
            status = "silent"
        writer.close()
        seen[status] = seen.get(status, 0) + 1

    for start in range(0, 600, 20):
        await asyncio.gather(*[send(start + number) for number in range(20)])
    unexpected = {status: count for status, count in seen.items() if status not in ("closed", "200") and not status.startswith("4") and status not in ("502", "503", "504")}
    check("600 mutated requests each get a response or a closed connection", sum(seen.values()) == 600 and not unexpected, seen)
    check("no more of them ran than were sent", fleet.runs() <= 600, fleet.runs())
    check("the process is still running and serving requests", fleet.entry.process.returncode is None and (await fleet.entry.ask("/read/a")).status == 200)


async def check_failing_server(fleet):
    """Guards against a server that passes its health checks but fails its requests: it must be excluded before the retry
    budget is used up."""
    fleet.set_behaviour("sound")
    fleet.servers[0].behaviour = "failing"
    statuses = []
    for number in range(80):
        # By now the server must be excluded: three steps of one second each after its first five samples.
        if number == 60:
            fleet.servers[0].runs.clear()
        statuses.append((await fleet.entry.ask("/read/a", identity=f"r-grey-{number}")).status)
        await asyncio.sleep(0.1)
    check("a server that fails its requests is excluded", len(fleet.servers[0].runs) <= 4, len(fleet.servers[0].runs))
    check("callers are served while the server fails", statuses.count(200) >= 75, statuses)
    fleet.set_behaviour("sound")
    recovered_runs = 0
    for number in range(200):
        await fleet.entry.ask("/read/a", identity=f"r-back-{number}")
        await asyncio.sleep(0.05)
        recovered_runs = len(fleet.servers[0].runs)
        if recovered_runs > 20:
            break
    check("the server gets requests again after it has recovered", recovered_runs > 20, recovered_runs)


async def check_slow_streams(fleet):
    """Guards against cutting a stream that is slow but sound, and against a stalled one that never ends."""
    fleet.set_behaviour("sound")
    for server in fleet.servers:
        server.event_delay = 0.35
    answer = await fleet.entry.ask("/once/stream/a", "POST", body=b"x", deadline=5000)
    check("a slow stream is forwarded in full", answer.is_complete and answer.body.count(b"piece") == 5, answer)
    for server in fleet.servers:
        server.event_delay = 0.02
    fleet.set_behaviour("trickles")
    started = time.monotonic()
    answer = await fleet.entry.ask("/once/stream/a", "POST", body=b"x", deadline=5000)
    check("a stalled stream that sends a byte now and then ends at its time limit", not (answer.status == 200 and answer.is_complete) and time.monotonic() - started < 2.5, f"{answer} after {time.monotonic() - started:.1f} s")
    fleet.set_behaviour("sound")


async def check_leaving_server(fleet):
    """Guards against requests to a server that said in a response that it is leaving while the store lists it as ready (DRAIN)."""
    fleet.set_behaviour("sound")
    leaving = fleet.servers[0]
    leaving.is_leaving = True
    for number in range(30):
        await fleet.entry.ask("/read/a", identity=f"leave-{number}")
    check("a server that says that it is leaving gets no further request", len(leaving.runs) <= 1 and fleet.runs() == 30, [len(server.runs) for server in fleet.servers])
    fleet.store.remove(f"servers/{leaving.identity}")
    await asyncio.sleep(0.8)
    fleet.list_servers()
    await asyncio.sleep(1)
    leaving.runs.clear()
    for number in range(30):
        await fleet.entry.ask("/book/a", "POST", identity=f"leave-again-{number}", body=b"1")
    check("a leaving server that is listed again gets no request", not leaving.runs, len(leaving.runs))
    leaving.is_leaving = False
    fleet.store.put_json(f"servers/{leaving.identity}", leaving.entry("pool", born=2000))
    await asyncio.sleep(1)
    for number in range(30):
        await fleet.entry.ask("/read/a", identity=f"leave-new-{number}")
    check("the next start of the server gets requests again", len(leaving.runs) > 0, [len(server.runs) for server in fleet.servers])
    fleet.list_servers()
    await asyncio.sleep(1)


async def check_paused_server(fleet):
    """Guards against requests to a server that answered 503 with Retry-After (BUDGET): it wants none from this instance for
    that time."""
    fleet.set_behaviour("sound")
    paused = fleet.servers[1]
    paused.behaviour = "paused"
    answers = []
    for number in range(40):
        answers.append(await fleet.entry.ask("/read/a", identity=f"pause-{number}"))
        await asyncio.sleep(0.05)
    firsts = [when for when, _ in paused.arrivals]
    early = [when for first, when in zip(firsts, firsts[1:]) if when - first < paused.retry_after]
    check("a server that answers 503 with Retry-After gets no request for that time", firsts and not early and len(firsts) <= 3, firsts)
    check("the requests are served by the other servers", all(answer.status == 200 for answer in answers), [answer.status for answer in answers])
    paused.behaviour = "sound"
    await asyncio.sleep(paused.retry_after)
    paused.runs.clear()
    for number in range(30):
        await fleet.entry.ask("/read/a", identity=f"pause-over-{number}")
    check("the server gets requests again after that time", len(paused.runs) > 0, len(paused.runs))
    fleet.set_behaviour("paused")
    for server in fleet.servers:
        server.retry_after = 30
        server.arrivals.clear()
    started = time.monotonic()
    answers = [await fleet.entry.ask("/book/a", "POST", identity=f"pause-all-{number}", body=b"1") for number in range(12)]
    arrivals = sum(len(server.arrivals) for server in fleet.servers)
    check("when all servers want no requests, requests are rejected at once as not run", all(answer.status == 503 and "retry-after" in answer.headers for answer in answers) and arrivals == len(fleet.servers) and time.monotonic() - started < 2, (arrivals, [answer.status for answer in answers]))
    fleet.set_behaviour("sound")
    for server in fleet.servers:
        server.retry_after = 1.5
        fleet.store.put_json(f"servers/{server.identity}", server.entry("pool", born=3000))
    await asyncio.sleep(1)


def resident_bytes(process):
    return int(pathlib.Path(f"/proc/{process.pid}/statm").read_text().split()[1]) * 4096


async def check_endless_answers(fleet):
    """Guards against unbounded memory use when a faulty server sends an endless malformed response."""
    for path, behaviour in itertools.product(("/book/a", "/once/stream/a"), ENDLESS):
        fleet.set_behaviour(behaviour)
        before = resident_bytes(fleet.entry.process)
        answer = await fleet.entry.ask(path, "POST", body=b"x", identity=f"r-{behaviour}")
        behaviour = f"{behaviour} {path}"
        await asyncio.sleep(0.1)
        flooding = [server for server in fleet.servers if server.flooded_bytes > 0]
        growth = resident_bytes(fleet.entry.process) - before
        check(f"an endless response of a server is cut off ({behaviour})", flooding and all(server.was_disconnected for server in flooding), [(server.flooded_bytes, server.was_disconnected) for server in fleet.servers])
        check(f"an endless response does not use unbounded memory ({behaviour})", growth < 4 * 1024 * 1024, growth)
        check(f"an endless response does not look complete to the caller ({behaviour})", answer.status in (0, 502, 503, 504) or not answer.is_complete, answer)
        for server in fleet.servers:
            server.flooded_bytes = 0
    fleet.set_behaviour("sound")
    check("the instance serves requests afterwards", await fleet.entry.wait_until(lambda: status_is(fleet.entry, "/read/a", 200), 10))


async def check_endless_requests(fleet):
    """Guards against unbounded memory use when a caller's request has a chunk line or trailer fields without end."""
    head = "POST /book/a HTTP/1.1\r\nHost: app.example\r\nApi-Key: key-1\r\nX-Request-Id: r-endless\r\nX-Deadline-Ms: 1500\r\nTransfer-Encoding: chunked\r\n\r\n"
    for port, begin in itertools.product((fleet.entry.front, fleet.entry.ready), (b"5;", b"0\r\nX-Long: ")):
        before = resident_bytes(fleet.entry.process)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(head.encode() + begin)
        sent, was_disconnected = 0, False
        try:
            while sent < MAX_FLOOD_BYTES:
                writer.write(b"x" * 4096)
                sent += 4096
                await asyncio.wait_for(writer.drain(), 5)
        except ConnectionError:
            was_disconnected = True
        writer.close()
        growth = resident_bytes(fleet.entry.process) - before
        name = f"{'front' if port == fleet.entry.front else 'ready'} {begin[:2]}"
        check(f"an endless request is cut off ({name})", was_disconnected, sent)
        check(f"an endless request does not use unbounded memory ({name})", growth < 4 * 1024 * 1024, growth)


async def check_memory_of_all_connections(fleet):
    """Guards against connections that are each within their bound and together take the process over its memory limit."""
    entry, count, limit = fleet.entry, 300, 64 * 1024 * 1024
    fleet.set_behaviour("holds")
    for server in fleet.servers:
        server.slots = count
    before = resident_bytes(entry.process)
    streams = [asyncio.create_task(entry.ask("/once/stream/a", "POST", body=b"x", identity=f"r-holds-{number}")) for number in range(count)]
    await asyncio.sleep(0.5)
    growth = resident_bytes(entry.process) - before
    check("partial events of many streams stay within the memory limit", growth < limit / 2, growth)
    await asyncio.gather(*streams)
    fleet.set_behaviour("sound")
    writers = []
    before = resident_bytes(entry.process)
    for number in range(count):
        _, writer = await asyncio.open_connection("127.0.0.1", entry.front)
        writer.write(request("/book/a", "POST", body=b"x" * 65000, identity=f"r-part-{number}")[:-1])
        writers.append(writer)
    await asyncio.sleep(0.5)
    growth = resident_bytes(entry.process) - before
    check("incomplete requests of many callers stay within the memory limit", growth < limit / 2, growth)
    answer = await entry.ask("/read/a")
    check("a short request is served beside them", answer.status == 200, answer)
    for writer in writers:
        writer.close()


async def check_store_outage(fleet):
    fleet.set_behaviour("sound")
    store, entry = fleet.store, fleet.entry
    store.is_down = True
    check("requests are still served right after the store goes down", (await entry.ask("/read/a")).status == 200)
    check("requests with keys are refused as not run when the store cannot confirm the keys", await entry.wait_until(lambda: status_is(entry, "/read/a", 503), 6))
    await entry.ask("/read/a", identity="r-story-outage")
    check("an unknown path is not reported as unknown during the outage", (await entry.ask("/nowhere/a")).status == 503)
    check("an anonymous route is still served", (await entry.ask("/open/a", key=None)).status == 200)
    check("the instance reports that it is not ready", not await entry.is_ready())
    store.is_down = False
    check("the instance serves again after the store has recovered", await entry.wait_until(lambda: status_is(entry, "/read/a", 200), 8))


async def check_stop(fleet):
    fleet.set_behaviour("sound")
    for server in fleet.servers:
        server.event_count, server.event_delay = 40, 0.025
    reader, writer = await asyncio.open_connection("127.0.0.1", fleet.entry.front)
    writer.write(request("/stream/stream/a", "POST", body=b"x"))
    head = await reader.readuntil(b"\r\n\r\n")
    statuses = []

    async def ask_during_stop(number):
        try:
            statuses.append((await fleet.entry.ask("/book/a", "POST", identity=f"stop-{number}", body=b"1")).status)
        except ConnectionError:
            statuses.append("refused connection")

    # Some of these requests have just been accepted when the signal arrives.
    asking = [asyncio.create_task(ask_during_stop(number)) for number in range(60)]
    await asyncio.sleep(0.005)
    fleet.entry.process.send_signal(signal.SIGTERM)
    asking += [asyncio.create_task(ask_during_stop(60 + number)) for number in range(60)]
    await asyncio.gather(*asking)
    check("requests that arrive around a planned stop are answered", len(statuses) == 120 and set(statuses) <= {200, 503}, statuses)
    check("a stopping instance reports that it is not ready", not await fleet.entry.is_ready())
    body = await reader.read(1 << 20)
    while not body.endswith(b"0\r\n\r\n"):
        part = await reader.read(1 << 20)
        if not part:
            break
        body += part
    writer.close()
    check("a planned stop does not interrupt an open stream", head.startswith(b"HTTP/1.1 200") and body.endswith(b"0\r\n\r\n"), body[-80:])
    try:
        code = await asyncio.wait_for(fleet.entry.process.wait(), 6)
    except asyncio.TimeoutError:
        code = None
    check("the process exits with code 0 within its grace period", code == 0, code)
    is_removed = await fleet.entry.wait_until(lambda: is_member_removed(fleet.store), 3)
    check("its member record has been removed from the store", is_removed)


async def check_signals_during_start(binary, folder, store_address):
    """Guards against a process that SIGHUP ends before it has read its settings and is built."""
    entry = Entry(binary, folder, store_address, name="entry-starting")
    text = entry.path.read_text()
    entry.path.unlink()
    os.mkfifo(entry.path)  # Its reader waits for a writer.
    await entry.start()
    await asyncio.sleep(0.5)
    entry.process.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.2)
    check("SIGHUP does not end a process that starts", entry.process.returncode is None, entry.process.returncode)
    if entry.process.returncode is None:
        await asyncio.wait_for(asyncio.to_thread(entry.path.write_text, text), 5)
        check("a process that got SIGHUP while it started listens", await entry.wait_until(lambda: answers(entry), 5))
        entry.process.send_signal(signal.SIGTERM)
    code = await asyncio.wait_for(entry.process.wait(), 8)
    check("it stops in order afterwards", code == 0, code)


async def answers(entry):
    """Whether the status listener accepts connections."""
    try:
        return (await entry.get(entry.ready, "/borageslip/ready")).status in (200, 503)
    except OSError:
        return False


async def check_explain(fleet):
    """Guards against logs that do not explain a failed request: not accepted, response lost, refused in a store outage."""
    entry = fleet.entry
    tool = str(pathlib.Path(entry.binary).parent / "borageslip")
    for identity, cause in (("r-story-full", "did not take the request"), ("r-story-lost", "it may have run"), ("r-story-outage", "no word from the store")):
        process = await asyncio.create_subprocess_exec(tool, "explain", identity, "--logs", str(entry.log_path), stdout=asyncio.subprocess.PIPE)
        output = (await asyncio.wait_for(process.communicate(), 10))[0].decode()
        check(f"explain reports the cause of {identity}", process.returncode == 0 and cause in output, output)
        check(f"explain shows the age of the store data and the configuration for {identity}", "knowledge_age_ms" in output and "configuration-in-force" in output, output)


async def is_member_removed(store):
    return "borageslip/members/entry-1" not in store.items


async def run(binary):
    store = Store()
    _, store_address = await start_server(store.serve)
    store.address = store_address
    servers = [BackendServer(f"i-{number}") for number in range(3)]
    for server in servers:
        _, server.address = await start_server(server.serve)
    with tempfile.TemporaryDirectory() as folder:
        await check_signals_during_start(binary, folder, store_address)
        entry = Entry(binary, folder, store_address)
        fleet = Fleet(store, servers, entry)
        await entry.start()
        try:
            await asyncio.sleep(1)
            check("an instance without a configuration is not ready", not await entry.is_ready())
            check("an instance without a configuration refuses requests as not run, not as unknown", (await entry.ask("/read/a")).status == 503)
            store.put_json("op/config", configuration(7))
            fleet.list_servers()
            check("an instance is ready once it has a configuration", await entry.wait_until(entry.is_ready))
            await asyncio.sleep(0.8)
            for case in (check_directory, check_forwarding, check_refusals, check_failures, check_streams, check_heads_without_bodies, check_responses_without_bodies, check_caller_disconnect, check_smuggling, check_keep_alive, check_changes, check_operator_commands, check_fuzz, check_failing_server, check_slow_streams, check_leaving_server, check_paused_server, check_endless_answers, check_endless_requests, check_memory_of_all_connections, check_metrics, check_store_outage, check_stop, check_explain):
                await asyncio.wait_for(case(fleet), 60)
        finally:
            if entry.process.returncode is None:
                entry.process.kill()
                await entry.process.wait()
            if failures or entry.process.returncode not in (0, -9):
                print("exit code", entry.process.returncode)
                print(entry.log_path.read_text()[-6000:])


async def start_servers(store, count):
    """Starts backend servers and lists them in the store. Returns them."""
    servers = [BackendServer(f"i-{number}") for number in range(count)]
    for server in servers:
        await server.listen()
        store.put_json(f"servers/{server.identity}", server.entry("pool"))
    return servers


async def start_all(entries):
    """Starts instances and waits until all are ready."""
    for entry in entries:
        await entry.start()
    for entry in entries:
        check("an instance becomes ready", await entry.wait_until(entry.is_ready))


async def end_all(entries):
    """Kills the processes that still run. Prints the end of each log if a check has failed."""
    for entry in entries:
        if entry.process and entry.process.returncode is None:
            entry.process.kill()
            await entry.process.wait()
        if failures:
            print(entry.path.name, entry.log_path.read_text()[-1500:])


def run_checks(description, run):
    """Runs the checks of a test program against borageslip-entry. Returns its exit code."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--bin", required=True, help="directory that contains the programs")
    arguments = parser.parse_args()
    asyncio.run(run(str(pathlib.Path(arguments.bin) / "borageslip-entry")))
    print(f"{len(failures)} failed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(run_checks(__doc__, run))
