#!/usr/bin/env python3
"""Checks that borageslip-entry passes no invalid and no incomplete response of a backend server to a caller as if it were a
complete one.

Backend servers are stand-ins that send exact bytes. Real processes and the real clock. Prints one line for each check and
ends with the number of failed checks.
"""
import asyncio
import dataclasses
import itertools
import json
import pathlib
import socket
import struct
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from entry_test import Entry, check, read_answer, request, run_checks  # noqa: E402
from platform_standin import BackendServer, Store, configuration, start_server  # noqa: E402

UPLOAD = b"u" * 400_000  # More than a stand-in takes; the kernel of the instance may hold the rest.
LARGE_UPLOAD = b"u" * 8_000_000  # More than the buffers of both sockets hold, so that the instance is still writing it.
BUFFERED = 256 * 1024  # Bytes up to which an instance holds a response back.
SIZES = (600, BUFFERED - 1, BUFFERED, BUFFERED + 1, 300_000)
PAUSES_S = (0, 0.1)
RECEIVE_BUFFER = 8 * 1024  # Of a stand-in's sockets; bounds how much of an upload they take.
EVENT = b"id: %d\ndata: piece %d\n\n"
STREAM = b"".join(EVENT % (number, number) for number in range(1, 6))


@dataclasses.dataclass
class Reply:
    """The bytes that a server sends once it has read the head of a request, and how its connection ends."""

    status: str = "200"
    fields: tuple = ()
    body: bytes = b""
    before: bytes = b""  # Sent ahead of the response.
    pause: float = 0  # Seconds between the last byte and the end.
    ending: str = "keep"  # "reset", "close", or "keep" to serve the next request.
    reads_request: bool = True  # Reads the request to its end before it replies.

    def head(self, identity):
        lines = [f"HTTP/1.1 {self.status} X", f"X-Request-Id: {identity}", *self.fields]
        return self.before + ("\r\n".join(lines) + "\r\n\r\n").encode()


def sound(body=b"sound"):
    return Reply(fields=(f"Content-Length: {len(body)}",), body=body)


class RawServer:
    """Stand-in for a backend server that sends the replies of a shared list; the last one is repeated."""

    def __init__(self, identity, script):
        self.identity, self.script = identity, script

    async def listen(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        self.listener.setblocking(False)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(50)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.accepting = asyncio.create_task(self._accept())

    async def _accept(self):
        loop, tasks = asyncio.get_running_loop(), set()
        while True:
            connection, _ = await loop.sock_accept(self.listener)
            task = asyncio.create_task(self._serve(connection))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def _serve(self, connection):
        try:
            received, is_kept = b"", True
            while is_kept:
                received, is_kept = await self._serve_request(connection, received)
        except ConnectionError:
            pass
        connection.close()

    async def _serve_request(self, connection, received):
        """Returns the bytes after the request and whether the connection is kept."""
        loop = asyncio.get_running_loop()
        while b"\r\n\r\n" not in received:
            part = await loop.sock_recv(connection, 4096)
            if not part:
                return b"", False
            received += part
        head, received = received.split(b"\r\n\r\n", 1)
        headers = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip() for line in head.decode("latin-1").split("\r\n")[1:]}
        reply = self.script.next()
        length = int(headers.get("content-length", "0")) if reply.reads_request else 0
        while len(received) < length:
            part = await loop.sock_recv(connection, 65536)
            if not part:
                return b"", False
            received += part
        await loop.sock_sendall(connection, reply.head(headers.get("x-request-id", "")) + reply.body)
        await asyncio.sleep(reply.pause)
        if reply.ending == "reset":
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return received[length:], reply.ending == "keep"

    def entry(self):
        return BackendServer.entry(self, "pool")

    slots = 8


class Script:
    def __init__(self):
        self.replies, self.runs = [sound()], 0

    def set(self, *replies):
        self.replies, self.runs = list(replies), 0

    def next(self):
        self.runs += 1
        return self.replies[min(self.runs, len(self.replies)) - 1]


class Bench:
    def __init__(self, entry, script, store, servers):
        self.entry, self.script, self.store, self.servers = entry, script, store, servers
        self.number = 0
        self.born = 1000

    async def renew_servers(self):
        """Lists the servers as started again, so that failures of earlier cases no longer count against them."""
        self.born += 1
        for server in self.servers:
            self.store.put_json(f"servers/{server.identity}", {**server.entry(), "born": self.born})
        await asyncio.sleep(0.5)

    async def ask(self, path, *replies, **options):
        self.script.set(*replies)
        self.number += 1
        # Each request is another one, because the instance quarantines a request on which servers seem to have crashed.
        body, method = options.pop("body", b"x"), options.pop("method", "POST")
        # The length that a response to HEAD states is not that of a body to be read, so that its end is that of the connection.
        options["headers"] = ["Connection: close"] if method == "HEAD" else []
        return await self.entry.ask(path, method, identity=f"r-invalid-{self.number}", body=body and b"%d " % self.number + body, **options)


def is_error(answer, status=502):
    return answer.status == status and answer.is_complete


def is_error_or_incomplete(answer):
    return is_error(answer) or not answer.is_complete


async def check_invalid_statuses(bench):
    """Guards against a status that is no status of a final response and that a caller gets as a response (000, 600)."""
    for status in ("000", "099", "600", "999"):
        await bench.renew_servers()
        bad = Reply(status, ("Content-Length: 3",), b"bad")
        answer = await bench.ask("/book/a", bad)
        check(f"a request that runs at most once gets an error and runs once (status {status})", is_error(answer) and bench.script.runs == 1, f"{answer} runs={bench.script.runs}")
        answer = await bench.ask("/read/a", bad, sound())
        check(f"an idempotent request is sent again (status {status})", answer.status == 200 and answer.body == b"sound" and bench.script.runs == 2, f"{answer} runs={bench.script.runs}")
        answer = await bench.ask("/read/a", bad)
        check(f"an idempotent request gets an error when no attempt is left (status {status})", is_error(answer) and bench.script.runs == 2, f"{answer} runs={bench.script.runs}")
        answer = await bench.ask("/once/a", bad)
        check(f"a stream that may not be resumed gets an error (status {status})", is_error(answer) and bench.script.runs == 1, f"{answer} runs={bench.script.runs}")
        answer = await bench.ask("/stream/a", bad, Reply(fields=("Content-Type: text/event-stream",), body=STREAM, ending="close"))
        check(f"a stream that may be resumed is sent again (status {status})", answer.status == 200 and answer.body == STREAM and answer.is_complete and bench.script.runs == 2, f"{answer} runs={bench.script.runs}")
        answer = await bench.ask("/book/a", Reply(status, ("Content-Length: 0", "X-Not-Executed: 1")))
        check(f"a response without a valid status does not show that the request has not run (status {status})", is_error(answer) and bench.script.runs == 1, f"{answer} runs={bench.script.runs}")
        answer = await bench.ask("/read/a", bad, method="HEAD", body=b"")
        check(f"a response to HEAD without a valid status is an error (status {status})", answer.status == 502, answer)
    for status in ("299", "404", "599"):
        answer = await bench.ask("/book/a", Reply(status, ("Content-Length: 3",), b"own"))
        check(f"a response with the status {status} is passed on", answer.status == int(status) and answer.body == b"own" and answer.is_complete, answer)


async def check_statuses_that_deny_the_run(bench):
    """Guards against a caller that is told by 408, 429 or 503 that its request has not run, although a server that began to
    run it failed it with that status (REFUSED)."""
    seal = "X-Response-Seal: seal"
    for status, extra in itertools.product(("408", "429", "503"), ((), ("Retry-After: 0.05",))):
        await bench.renew_servers()
        case = f"status {status}{', Retry-After' if extra else ''}"
        failure = Reply(status, (seal, *extra, "Content-Length: 3"), b"own")
        rejection = Reply("503", ("X-Not-Executed: 1", "Content-Length: 0"))
        for path in ("/book/a", "/once/a"):
            answer = await bench.ask(path, failure)
            check(f"a request that a server has failed is not reported as not run ({case}, {path})", is_error(answer) and "x-response-seal" not in answer.headers and bench.script.runs == 1, f"{answer} runs={bench.script.runs}")
        answer = await bench.ask("/book/a", failure, method="HEAD", body=b"")
        check(f"a HEAD request that a server has failed is not reported as not run ({case})", answer.status == 502, answer)
        answer = await bench.ask("/read/a", failure, sound())
        check(f"an idempotent request that a server has failed is sent again ({case})", answer.status == 200 and answer.body == b"sound" and bench.script.runs == 2, f"{answer} runs={bench.script.runs}")
        await bench.renew_servers()
        answer = await bench.ask("/read/a", failure)
        check(f"an idempotent request that no server has run to its end gets an error ({case})", is_error(answer) and "x-response-seal" not in answer.headers and bench.script.runs == 2, f"{answer} runs={bench.script.runs}")
        await bench.renew_servers()
        answer = await bench.ask("/read/a", rejection, failure)
        check(f"a request that is failed after a rejection is not reported as not run ({case})", is_error(answer) and bench.script.runs == 2, f"{answer} runs={bench.script.runs}")
        answer = await bench.ask("/read/a", failure, rejection)
        check(f"a request that is rejected after a failure is not reported as not run ({case})", is_error(answer) and bench.script.runs == 2, f"{answer} runs={bench.script.runs}")
        await bench.renew_servers()
        answer = await bench.ask("/stream/a", failure, Reply(fields=("Content-Type: text/event-stream",), body=STREAM, ending="close"))
        check(f"a stream that a server has failed is sent again ({case})", answer.status == 200 and answer.body == STREAM and answer.is_complete and bench.script.runs == 2, f"{answer} runs={bench.script.runs}")
        begun = Reply(fields=("Content-Type: text/event-stream", "Content-Length: 5000"), body=STREAM, ending="close")
        answer = await bench.ask("/stream/a", begun, failure)
        check(f"a stream whose resumption a server has failed does not look complete ({case})", answer.status == 200 and answer.body == STREAM and not answer.is_complete and bench.script.runs == 2, f"{answer} runs={bench.script.runs}")
        answer = await bench.ask("/book/a", Reply(status, ("X-Not-Executed: 1", "Content-Length: 0")))
        check(f"a rejection remains one ({case})", is_error(answer, 503) and "retry-after" in answer.headers, answer)
    for status in ("400", "500", "504"):
        answer = await bench.ask("/book/a", Reply(status, (seal, "Content-Length: 3"), b"own"))
        check(f"a failure whose status denies nothing is passed on unchanged (status {status})", answer.status == int(status) and answer.body == b"own" and answer.headers.get("x-response-seal") == "seal", answer)


async def check_interim_statuses(bench):
    """Guards against a status from 100 to 199 that a caller gets as a final response."""
    for status in ("100", "101", "150", "199"):
        for path in ("/book/a", "/once/a"):
            answer = await bench.ask(path, Reply(status, ("Content-Length: 5",), b"final", ending="close"))
            check(f"an interim status in place of a final one is an error ({status}, {path})", is_error(answer) and bench.script.runs == 1, answer)
    answer = await bench.ask("/book/a", Reply(fields=("Content-Length: 5",), body=b"sound", before=b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 2))
    check("interim responses ahead of a response are skipped", answer.status == 200 and answer.body == b"sound", answer)


def body_of(kind, size):
    """Returns a body of about the size that ends after a whole event if it is an event stream."""
    if kind != "events":
        return b"b" * size
    event = b"data: " + b"e" * 92 + b"\n\n"
    return event * (size // len(event))


KINDS = {  # Path, method, header fields of the response.
    "plain": ("/book/a", "POST", ("Content-Type: text/plain",)),
    "events": ("/once/a", "POST", ("Content-Type: text/event-stream",)),
    "HEAD": ("/book/a", "HEAD", ("Content-Type: text/plain",)),
}


async def check_reset_during_upload(bench):
    """Guards against a response without a length that looks complete although its server reset the connection while the
    request was being written: the writer takes the error of the reset, and the reader sees a clean end."""
    for upload in (UPLOAD, LARGE_UPLOAD):
        answer = await bench.ask("/read/a", Reply(body=b"b" * 600, pause=0.1, ending="reset", reads_request=False), sound(), body=upload)
        check(f"an idempotent request is sent again after a reset during the upload of {len(upload)} bytes", answer.status == 200 and answer.body == b"sound", answer)
    for kind, size, pause, upload in itertools.product(KINDS, SIZES, PAUSES_S, (UPLOAD, LARGE_UPLOAD)):
        path, method, fields = KINDS[kind]
        reply = Reply(fields=fields, body=body_of(kind, size), pause=pause, ending="reset", reads_request=False)
        answer = await bench.ask(path, reply, method=method, body=upload)
        passes = answer.status == 502 if kind == "HEAD" else is_error_or_incomplete(answer)
        check(f"a response cut off by a reset during the upload of {len(upload)} bytes does not look complete ({kind}, {size} bytes, pause {pause} s)", passes and bench.script.runs == 1, f"{answer} runs={bench.script.runs}")


async def check_reset_after_upload(bench):
    """Guards against a reset that is taken for the end of a response without a length."""
    for kind, (path, method, fields) in KINDS.items():
        if kind == "HEAD":
            continue  # Complete with its head: the whole request has been written and read.
        for size in SIZES:
            for pause in PAUSES_S:
                reply = Reply(fields=fields, body=body_of(kind, size), pause=pause, ending="reset")
                answer = await bench.ask(path, reply, method=method, body=UPLOAD)
                check(f"a response without a length that ends by a reset does not look complete ({kind}, {size} bytes, pause {pause} s)", is_error_or_incomplete(answer) and bench.script.runs == 1, answer)


async def check_early_end(bench):
    """Guards against a response that is shorter than its Content-Length and looks complete."""
    for kind, (path, method, fields) in KINDS.items():
        if kind == "HEAD":
            continue  # States the length of a body that it does not have.
        for size in SIZES:
            for ending in ("close", "reset"):
                for reads_request in (True, False):
                    body = body_of(kind, size)
                    reply = Reply(fields=(*fields, f"Content-Length: {len(body) + 1}"), body=body, ending=ending, reads_request=reads_request)
                    answer = await bench.ask(path, reply, method=method, body=UPLOAD)
                    when = "after" if reads_request else "during"
                    check(f"a response that ends before its length does not look complete ({kind}, {size} bytes, {ending} {when} the upload)", is_error_or_incomplete(answer) and bench.script.runs == 1, answer)


async def check_close_during_upload(bench):
    """Guards against a response without a length whose server closed the connection before it had read the request."""
    for kind, (path, method, fields) in KINDS.items():
        answer = await bench.ask(path, Reply(fields=fields, body=body_of(kind, 600), ending="close", reads_request=False), method=method, body=UPLOAD)
        passes = answer.status == 502 if kind == "HEAD" else is_error_or_incomplete(answer)
        check(f"a response without a length that ends before the request was written does not look complete ({kind})", passes, answer)


async def check_old_callers(bench):
    """Guards against a caller of HTTP/1.0, which gets long responses without a length, that takes a cut-off one for whole."""
    for size in (600, 300_000):
        bench.script.set(Reply(body=b"b" * size, pause=0.1, ending="reset", reads_request=False))
        reader, writer = await asyncio.open_connection("127.0.0.1", bench.entry.front)
        writer.write(request("/book/a", "POST", identity=f"r-old-{size}", body=UPLOAD).replace(b"HTTP/1.1", b"HTTP/1.0", 1))
        try:
            seen = (await asyncio.wait_for(reader.read(-1), 10))[:12]
        except ConnectionError:
            seen = "reset"
        writer.close()
        check(f"a caller of HTTP/1.0 sees that a response was cut off ({size} bytes)", seen in ("reset", b"HTTP/1.1 502"), seen)


async def check_complete_responses(bench):
    """Guards against complete responses that are taken for incomplete ones."""
    for kind, (path, method, fields) in KINDS.items():
        for size in SIZES:
            body = body_of(kind, size)
            expected = b"" if kind == "HEAD" else body
            sent = expected
            for reply, framing in ((Reply(fields=fields, body=sent, ending="close"), "close"), (Reply(fields=(*fields, f"Content-Length: {len(body)}"), body=sent), "length")):
                answer = await bench.ask(path, reply, method=method, body=UPLOAD)
                passes = answer.status == 200 and (kind == "HEAD" or (answer.body == expected and answer.is_complete))
                check(f"a complete response to a long request is passed on ({kind}, {size} bytes, framing by {framing})", passes, answer)
    early = Reply("413", ("Content-Length: 5",), b"large", pause=0.1, ending="reset", reads_request=False)
    answer = await bench.ask("/book/a", early, body=UPLOAD)
    check("a response with a length is passed on although its server did not read the request", answer.status == 413 and answer.body == b"large" and answer.is_complete, answer)
    answer = await bench.ask("/book/a", Reply("204", (), b"", pause=0.1, ending="reset", reads_request=False), body=UPLOAD)
    check("a response that has no body by its status is passed on although its server did not read the request", answer.status == 204, answer)


async def check_next_request(bench):
    """Guards against bytes of a cut-off response that a caller takes for the response to its next request."""
    reader, writer = await asyncio.open_connection("127.0.0.1", bench.entry.front)
    bench.script.set(Reply(body=b"b" * 600, pause=0.1, ending="reset", reads_request=False), sound())
    writer.write(request("/book/a", "POST", identity="r-next-1", body=UPLOAD))
    first = await read_answer(reader)
    writer.write(request("/book/a", "POST", identity="r-next-2", body=b"x"))
    second = await read_answer(reader)
    writer.close()
    check("the connection of a caller goes on after an incomplete response", is_error(first) and second.status == 200 and second.body == b"sound", f"{first} {second}")


async def run(binary):
    store = Store()
    _, store_address = await start_server(store.serve)
    script = Script()
    servers = [RawServer(f"i-{number}", script) for number in range(3)]
    for server in servers:
        await server.listen()
    with tempfile.TemporaryDirectory() as folder:
        entry = Entry(binary, folder, store_address, budget_min_retries=1000)  # The retries of one check must not use up those of the next.
        settings = json.loads(entry.path.read_text())
        settings["limits"]["memory_mb"] = 512
        entry.path.write_text(json.dumps(settings))
        document = configuration(7)
        document["limits"]["max_body_bytes"] = 1 << 24
        store.put_json("op/config", document)
        for server in servers:
            store.put_json(f"servers/{server.identity}", server.entry())
        await entry.start()
        try:
            check("the instance is ready", await entry.wait_until(entry.is_ready))
            bench = Bench(entry, script, store, servers)
            for case in (check_invalid_statuses, check_statuses_that_deny_the_run, check_interim_statuses, check_reset_during_upload, check_reset_after_upload, check_early_end, check_close_during_upload, check_old_callers, check_complete_responses, check_next_request):
                await bench.renew_servers()
                await asyncio.wait_for(case(bench), 60)
            text = (await entry.get(entry.metrics, "/metrics")).body.decode()
            check("no invariant was violated", "borageslip_entry_invariant_violations_total 0" in text, text[-2000:])
        finally:
            entry.process.kill()
            await entry.process.wait()


if __name__ == "__main__":
    sys.exit(run_checks(__doc__, run))
