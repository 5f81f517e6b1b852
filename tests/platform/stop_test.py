#!/usr/bin/env python3
"""Stops borageslip-entry with SIGTERM under streams, on connections that are open and unused, and checks that no request is lost.

Real processes and the real clock. Prints one line for each check and ends with the number of failed checks.
"""
import asyncio
import collections
import json
import pathlib
import signal
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
import entry_test  # noqa: E402
from entry_test import Entry, check, request, run_checks  # noqa: E402
from platform_standin import BackendServer, Store, configuration, start_server  # noqa: E402

GRACE_S = 8
EXCUSED_SEND_S = 3  # A request sent until then may be cut in the last sixth of the grace, while its server is at work.
EXCUSED_CUT_S = GRACE_S * 5 / 6
LIMITS = {"max_header_bytes": 4096, "max_body_bytes": 65536, "header_timeout_ms": 30000, "idle_timeout_ms": 30000}

LOSS_SLACK_S = 0.2  # A request that is not passed on and whose connection ends so soon crossed a close.

Outcome = collections.namedtuple("Outcome", "identity sent_s status is_complete closed_s")
callers = []


def stop_configuration(**limits):
    document = configuration(7, limits={**LIMITS, **limits})
    for entry in document["routes"]:
        is_stream = entry["route_type"] == "streaming"
        entry["timeout_ms"] = 15000 if is_stream or entry["name"] == "read" else 1000
        entry["target_latency_ms"] = 1500 if is_stream else 150
        if entry["name"] == "read":
            entry["max_attempts"] = 1
    return document


class Caller:
    """One connection of a caller, opened before it carries a request."""

    def __init__(self, entry):
        self.entry = entry

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.entry.front, limit=1 << 20)
        callers.append(self)
        return self

    def close(self):
        self.writer.transport.abort()

    async def ask(self, path, identity, stopped_at, method="POST", body=b"x", deadline=15000):
        """Sends a request and reads its answer to the end; status 0 without a head of an answer."""
        sent = time.monotonic() - stopped_at
        status, is_complete = 0, False
        try:
            self.writer.write(request(path, method, identity=identity, body=body, deadline=deadline))
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            status = int(head.split(" ")[1])
            if "content-length:" in head:
                await self.reader.readexactly(int(head.split("content-length:")[1].split("\r")[0]))
                is_complete = True
            while not is_complete:
                size = int(await self.reader.readline() or b"", 16)
                await self.reader.readexactly(size + 2)
                is_complete = size == 0
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        return Outcome(identity, sent, status, is_complete, time.monotonic() - stopped_at)


def is_lost(outcome, is_passed_on, finished_s=None):
    """Whether a request has no complete answer, with the exceptions of the platform's rule on planned stops.

    finished_s: when its server had written the whole response; None while it is at work."""
    if outcome.is_complete:
        return False
    if is_passed_on:
        was_at_work = finished_s is None or finished_s >= EXCUSED_CUT_S
        return outcome.sent_s > EXCUSED_SEND_S or outcome.closed_s < EXCUSED_CUT_S or not was_at_work
    return outcome.closed_s - outcome.sent_s > LOSS_SLACK_S


async def close_callers():
    for caller in callers:
        caller.close()
    await asyncio.sleep(0.2)  # For the servers to see it before the event loop is closed.


class Scene:
    """Servers, a store and instances that share them."""

    def __init__(self, binary, folder):
        self.binary, self.folder = binary, folder
        self.store, self.servers = Store(), []

    async def start(self, events, event_delay, slots=64):
        _, self.store_address = await start_server(self.store.serve)
        self.store.address = self.store_address
        for number in range(2):
            server = BackendServer(f"i-{number}")
            server.event_count, server.event_delay, server.slots = events, event_delay, slots
            await server.listen()
            self.servers.append(server)
            self.store.put_json(f"servers/{server.identity}", server.entry("pool"))
        self.store.put_json("op/config", stop_configuration())
        return self

    def ran(self):
        """Ids of the requests that servers have got."""
        return {run[1].get("x-request-id") for server in self.servers for run in server.runs}

    async def entry(self, name, is_ready=True):
        entry = Entry(self.binary, self.folder, self.store_address, name=name, grace_s=GRACE_S, config_apply_ms=2000, revoke_ms=5000)
        await entry.start()
        if is_ready and not await entry.wait_until(entry.is_ready):
            check(f"{name} becomes ready", False, entry.log_path.read_text()[-2000:])
        return entry


def stop(entry):
    entry.process.send_signal(signal.SIGTERM)
    return time.monotonic()


def send_signal(entry, number):
    if entry.process.returncode is None:
        entry.process.send_signal(number)


async def exit_after(entry, stopped_at):
    """Waits for the end; SIGKILL comes at the end of the grace, as on the platform. Returns exit code and time."""
    try:
        code = await asyncio.wait_for(entry.process.wait(), stopped_at + GRACE_S - time.monotonic())
    except asyncio.TimeoutError:
        entry.process.kill()
        code = await entry.process.wait()
    return code, time.monotonic() - stopped_at


def check_end(name, ended):
    code, seconds = ended
    check(f"{name}: the process ends by itself before SIGKILL", code == 0, f"code {code} after {seconds:.2f} s")


async def check_streams_on_unused_connections(binary, folder):
    """Guards against requests that a stopping instance takes and can't finish: sent on unused connections around 3 s after
    SIGTERM, with streams that outlast the grace."""
    scene = await Scene(binary, folder).start(events=46, event_delay=0.1)
    offsets = [2.9 + 0.05 * number for number in range(16)]

    async def round_of(number):
        entry = await scene.entry(f"entry-unused-{number}")
        unused = [await Caller(entry).open() for _ in offsets]
        keeps_busy = number % 2 == 0  # Without a request that is open, the process ends after 3 s.
        busy = [asyncio.create_task((await Caller(entry).open()).ask("/once/stream/a", f"busy-{number}", time.monotonic()))] if keeps_busy else []
        await asyncio.sleep(0.1)
        stopped_at = stop(entry)
        ending = asyncio.create_task(exit_after(entry, stopped_at))

        async def ask(position):
            await asyncio.sleep(stopped_at + offsets[position] - time.monotonic())
            return await unused[position].ask("/once/stream/a", f"unused-{number}-{position}", stopped_at)

        outcomes = await asyncio.gather(*(ask(position) for position in range(len(offsets))))
        finished = await asyncio.gather(*busy)
        check(f"a stream that was open at SIGTERM is finished, round {number}", all(outcome.is_complete for outcome in finished), finished)
        if keeps_busy:
            check(f"streams that can't be finished are rejected as not run, round {number}", all(outcome.status == 503 and outcome.is_complete for outcome in outcomes), outcomes)
        return outcomes, await ending

    rounds = await asyncio.gather(*(round_of(number) for number in range(6)))
    ran = scene.ran()
    outcomes = [outcome for outcomes, _ in rounds for outcome in outcomes]
    lost = [outcome for outcome in outcomes if is_lost(outcome, outcome.identity in ran)]
    check("no stream sent on an unused connection around 3 s after SIGTERM is lost", not lost, f"{len(lost)} of {len(outcomes)}: {lost[:4]}")
    for number, (_, ended) in enumerate(rounds):
        check_end(f"streams on unused connections, round {number}", ended)


async def check_finished_requests(binary, folder):
    """Guards against a stopping instance that rejects what it can finish, or that rejects without saying so."""
    scene = await Scene(binary, folder).start(events=10, event_delay=0.1)
    entry = await scene.entry("entry-finishes")
    early = await Caller(entry).open()
    before = asyncio.create_task(early.ask("/once/stream/a", "finish-before", time.monotonic()))
    await asyncio.sleep(0.1)
    unused = [await Caller(entry).open() for _ in range(12)]
    stopped_at = stop(entry)
    ending = asyncio.create_task(exit_after(entry, stopped_at))

    async def ask(position, path, deadline):
        await asyncio.sleep(stopped_at + 0.2 + 0.2 * position - time.monotonic())
        return await unused[position].ask(path, f"finish-{position}", stopped_at, deadline=deadline)

    bookings = await asyncio.gather(*(ask(position, "/book/a", 1000) for position in range(0, 12, 2)), *(ask(position, "/once/stream/a", 4000) for position in range(1, 12, 2)))
    check("a stopping instance serves bookings and streams whose time limits end before it does", all(outcome.status == 200 and outcome.is_complete for outcome in bookings), [outcome for outcome in bookings if outcome.status != 200])
    outcome = await before
    check("a stream that was open at SIGTERM is finished", outcome.status == 200 and outcome.is_complete, outcome)
    check_end("requests that can be finished", await ending)


async def check_rejections(binary, folder):
    """Guards against rejections during a stop that don't say that the request has not run, or when to come back."""
    scene = await Scene(binary, folder).start(events=5, event_delay=0.02)
    entry = await scene.entry("entry-rejects")
    reader, writer = await asyncio.open_connection("127.0.0.1", entry.front)
    stopped_at = stop(entry)
    ending = asyncio.create_task(exit_after(entry, stopped_at))
    await asyncio.sleep(0.3)
    writer.write(request("/once/stream/a", "POST", identity="reject-1", body=b"x", deadline=15000))
    asked_at = time.monotonic()
    answer = await asyncio.wait_for(entry_test.read_answer(reader), 5)
    check("a rejection comes at once", time.monotonic() - asked_at < LOSS_SLACK_S, time.monotonic() - asked_at)
    check("a stream that might not be finished is rejected at once as not run, with Retry-After", answer.status == 503 and "retry-after" in answer.headers and json.loads(answer.body).get("not_run") is True and not scene.ran(), f"{answer} {scene.ran()}")
    writer.close()
    check_end("rejections", await ending)


async def check_phases_at_the_end(binary, folder):
    """Guards against requests that are closed without an answer or a log line when the grace ends, in each phase."""
    scene = await Scene(binary, folder).start(events=200, event_delay=0.1)
    entry = await scene.entry("entry-phases")
    half_head, half_body = [await Caller(entry).open() for _ in range(2)]
    half_head.writer.write(b"POST /once/stream/a HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: half-head\r\n")
    half_body.writer.write(request("/once/stream/a", "POST", identity="half-body", body=b"x" * 1000, deadline=15000)[:-500])
    for server in scene.servers:
        server.behaviour = "silent"
    silent = asyncio.create_task((await Caller(entry).open()).ask("/once/stream/a", "phase-silent", time.monotonic()))
    silent_read = asyncio.create_task((await Caller(entry).open()).ask("/read/a", "phase-silent-read", time.monotonic()))
    await asyncio.sleep(0.3)
    for server in scene.servers:
        server.behaviour = "head-chunked-silent"
    headed = asyncio.create_task((await Caller(entry).open()).ask("/once/stream/a", "phase-headed", time.monotonic()))
    await asyncio.sleep(0.3)
    for server in scene.servers:
        server.behaviour = "sound"
    streaming = asyncio.create_task((await Caller(entry).open()).ask("/once/stream/a", "phase-streaming", time.monotonic()))
    await asyncio.sleep(0.3)
    stopped_at = stop(entry)
    ended = await exit_after(entry, stopped_at)
    check_end("open requests in each phase", ended)
    for name, caller in (("head", half_head), ("body", half_body)):
        answer = await asyncio.wait_for(entry_test.read_answer(caller.reader), 5)
        check(f"a request whose {name} is half received at the end is rejected as not run", answer.status == 503 and answer.is_complete, answer)
    for name, task in (("that no server has answered", silent), ("that may be repeated and no server has answered", silent_read), ("with the head of a response and no byte of its body", headed)):
        outcome = await asyncio.wait_for(task, 5)
        check(f"a request {name} gets an error at the end", outcome.status in (502, 504) and outcome.is_complete, outcome)
    outcome = await asyncio.wait_for(streaming, 5)
    check("a stream that is cut at the end does not look complete", outcome.status == 200 and not outcome.is_complete, outcome)
    listed = [line for line in entry.log_lines() if line["event"] == "open-at-stop"]
    named = {entry["request"]: entry["phase"] for line in listed for entry in line["requests"]}
    expected = {"phase-silent": "awaiting-head", "phase-silent-read": "awaiting-head", "phase-headed": "awaiting-body", "phase-streaming": "responding", "": "receiving"}
    check("the log names each open request and its phase", named == expected, named)


async def check_end_at_each_signal(binary, folder):
    """Guards against processes that live until SIGKILL, whatever the phase of their timers and with more signals."""
    scene = await Scene(binary, folder).start(events=200, event_delay=0.1)
    signals = {"alone": [], "second SIGTERM": [(3.3, signal.SIGTERM)], "SIGHUP": [(0.5, signal.SIGHUP), (7.0, signal.SIGHUP)], "both": [(1.0, signal.SIGHUP), (2.0, signal.SIGTERM), (7.4, signal.SIGTERM)]}

    async def play(number, more):
        entry = await scene.entry(f"entry-signals-{number}")
        caller = asyncio.create_task((await Caller(entry).open()).ask("/once/stream/a", f"signals-{number}", time.monotonic()))
        await asyncio.sleep(0.1 + 0.07 * number)
        stopped_at = stop(entry)
        for offset, number_of_signal in more:
            asyncio.get_running_loop().call_later(offset, send_signal, entry, number_of_signal)
        ended = await exit_after(entry, stopped_at)
        await caller
        return ended

    plays = [(name, more) for name, more in signals.items() for _ in range(3)]
    ends = await asyncio.gather(*(play(number, more) for number, (_, more) in enumerate(plays)))
    for (name, _), ended in zip(plays, ends):
        check_end(f"an open stream, {name}", ended)


async def check_end_without_store(binary, folder):
    """Guards against a stop that waits for the store: the store is down at the stop, or from the start on."""
    scene = await Scene(binary, folder).start(events=200, event_delay=0.1)
    entry = await scene.entry("entry-store-down")
    scene.store.is_down = True
    never_ready = await scene.entry("entry-never-ready", is_ready=False)
    await asyncio.sleep(0.3)
    for name, ended in zip(("the store is down", "SIGTERM before the instance is ready"), await asyncio.gather(*(exit_after(process, stop(process)) for process in (entry, never_ready)))):
        check_end(name, ended)


async def run(binary):
    cases = (check_streams_on_unused_connections, check_finished_requests, check_rejections, check_phases_at_the_end, check_end_at_each_signal, check_end_without_store)
    with tempfile.TemporaryDirectory() as folder:
        await asyncio.gather(*(asyncio.wait_for(case(binary, folder), 60) for case in cases))
    await close_callers()


if __name__ == "__main__":
    sys.exit(run_checks(__doc__, run))
