"""A sound worker by the users' pages, for cases to derive from."""
import asyncio
import contextlib
import time

from fleet import free_port, read_message, response


def stream_head(fields):
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked", *(f"{name}: {value}" for name, value in fields)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Worker:
    """Serves one request at a time on a channel, answers 421 to requests for another worker, and writes its entry into the
    store about every heartbeat."""

    all = []

    def __init__(self, identity, service, store, record, slots=6, zone="zone-a", heartbeat=1.2):
        self.identity, self.service, self.store, self.record, self.slots, self.zone, self.heartbeat = identity, service, store, record, slots, zone, heartbeat
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.is_listed = False
        self.address = None
        self.listener = None
        self.beats = None
        self.writers = set()
        self.runs = []  # (time, request id)
        Worker.all.append(self)

    async def start(self, port=0):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", port or free_port(), backlog=200)
        self.address = f"127.0.0.1:{self.listener.sockets[0].getsockname()[1]}"
        self.is_listed = True
        self.beats = asyncio.ensure_future(self.beat())

    @classmethod
    def run_identities(cls):
        """The ids of all requests that workers ran, in the order of the workers."""
        return [identity for worker in cls.all for _, identity in worker.runs]

    def write_entry(self):
        self.sequence += 1
        self.store.put_json(f"servers/{self.identity}", {
            "backend": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "cold_left_ms": 0, "sequence": self.sequence, "born": self.born})

    async def beat(self):
        while True:
            if self.is_listed and not self.store.is_down:
                self.write_entry()
            await asyncio.sleep(self.heartbeat)

    async def end(self):
        if self.beats:
            self.beats.cancel()
        if self.listener:
            self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def own_fields(self, headers):
        return [("X-Request-Id", headers.get("x-request-id", "")), ("X-Response-Seal", f"seal.{self.identity}.{headers.get('x-request-id', '')}")]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                if headers.get("x-expect-instance") not in (None, self.identity):
                    writer.write(response(421, headers=[("X-Not-Executed", "1"), ("X-Instance-Id", self.identity), ("X-Request-Id", headers.get("x-request-id", ""))]))
                    await writer.drain()
                    continue
                if not await self.answer(line, headers, body, reader, writer):
                    break
        self.writers.discard(writer)
        writer.close()

    def record_run(self, headers):
        self.runs.append((time.monotonic(), headers.get("x-request-id")))
        self.record.write(f"run: {headers.get('x-request-id')} at {self.identity}")

    async def answer(self, line, headers, body, reader, writer):
        """Runs and answers a request. Returns whether the channel is kept."""
        self.record_run(headers)
        await asyncio.sleep(0.02)
        writer.write(response(200, b"ran " + body, self.own_fields(headers)))
        await writer.drain()
        return True

    async def stream(self, headers, writer, events, event_bytes, pause):
        """Writes a stream of events with increasing ids, in chunks."""
        writer.write(stream_head(self.own_fields(headers)))
        for number in range(int(headers.get("last-event-id", "0")) + 1, events + 1):
            event = f"id: {number}\ndata: {'x' * event_bytes}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(pause)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True
