"""A worker turns slow: its streams have begun with their head, and the first event comes later than the route's timeout.
Requests that are unanswered at the timeout must get an answer within half a second, not only a closed channel."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support"))
from harness import TROUBLE, Deployment, Worker, configuration, play, route  # noqa: E402

PLAY_S = 40
SLOW_AT_S, SLOW_FOR_S, SLOW_X = (6, 22), 6.5, 5
FIRST_EVENT_S = 0.8  # The objective is 1.2 s.
TIMEOUT_MS, TIME_LIMIT_MS = 3000, 4000  # The route's timeout, and how long clients wait.
CLIENTS = 36
PAUSE_S = 0.6


class HeadFirstWorker(Worker):
    """Sends the head of a stream when it takes the request, and events as they are made. Stops at its time limit."""

    slowness = 1

    async def _stream(self, headers, writer):
        lines = "".join(f"{name}: {text}\r\n" for name, text in [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"), *self.own_headers(headers)])
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
        await writer.drain()
        await asyncio.sleep(FIRST_EVENT_S * self.slowness)
        for number in range(1, 6):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b"0\r\n\r\n")


class Client:
    def __init__(self, instance, number, record):
        self.instance, self.number, self.record = instance, number, record
        self.channel, self.served = None, 0
        self.answers, self.closed = {}, []
        self.overdue = []  # Requests unanswered at the route's timeout: whether an answer came within half a second.

    async def ask(self, identity):
        if self.channel is None:
            self.channel = await asyncio.open_connection(self.instance.address, self.instance.front)
            self.served = 0
        reader, writer = self.channel
        sequence = int(identity.split("-")[1]) + 1000 * self.number
        lines = ["POST /resumen/1 HTTP/1.1", "Host: app.example", f"X-Request-Id: {identity}", f"X-Deadline-Ms: {TIME_LIMIT_MS}", "Api-Key: key-1", "X-Model: m", "X-Token-Usage: 2401,24",
                 f"X-Prompt-Prefix: a1:341,{0xb000 + sequence % 57:x}:1700,{sequence + 0x100000:x}:360", "Content-Length: 4700"]
        begun = time.monotonic()
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + b"x" * 4700)
        seen, first_after = b"", None
        try:
            while not seen.endswith(b"\r\n0\r\n\r\n"):
                data = await asyncio.wait_for(reader.read(65536), TIME_LIMIT_MS / 1000 - (time.monotonic() - begun))
                if not data:
                    break
                first_after = first_after if first_after is not None else time.monotonic() - begun
                seen += data
                if b"\r\n\r\n" in seen and b"content-length" in seen.lower():
                    break
        except (asyncio.TimeoutError, ConnectionError):
            pass
        after = time.monotonic() - begun
        status = int(seen.split(b" ")[1]) if seen else 0
        if first_after is None or first_after > TIMEOUT_MS / 1000:
            self.overdue.append(first_after is not None and first_after <= TIMEOUT_MS / 1000 + 0.5)
        self.answers[status] = self.answers.get(status, 0) + 1
        if not seen and after < TIME_LIMIT_MS / 1000 - 0.05:
            self.closed.append((identity, self.served))
            self.record.write(f"client {self.number}: {identity} sent to {self.instance.name} as request {self.served + 1} of its channel; the channel was closed after {after:.3f} s without an answer")
        else:
            self.record.write(f"client {self.number}: {identity} answered {status} after {after:.3f} s, {len(seen)} bytes")
        self.served += 1
        if status != 200 or not seen.endswith(b"\r\n0\r\n\r\n"):
            writer.close()
            self.channel = None

    async def run(self, until):
        turn = 0
        await asyncio.sleep(self.number * 0.04)
        while time.monotonic() < until:
            turn += 1
            await self.ask(f"c{self.number}-{turn}")
            await asyncio.sleep(PAUSE_S)
        if self.channel is not None:
            self.channel[1].close()


async def case(record):
    zones = ["zone-a", "zone-b", "zone-c"]
    deployment = Deployment(record, zones, 1)
    workers = [HeadFirstWorker(f"i-engine-{number}", "redactor", zones[number % 3], 96) for number in range(9)]
    try:
        for worker in workers:
            await worker.listen()
            deployment.store.put_json(f"servers/{worker.identity}", worker.entry())
        deployment.store.put_json("op/config", configuration(3, [
            route("resumen", "streaming", "redactor", timeout_ms=TIMEOUT_MS, target_latency_ms=1200, sticky=True, gap_target_ms=400),
        ], ["redactor"]))
        await deployment.start()
        deployment.tasks.append(asyncio.create_task(deployment.beat(workers)))
        begun = time.monotonic()
        clients = [Client(deployment.instances[number % 3], number, record) for number in range(CLIENTS)]
        running = [asyncio.create_task(client.run(begun + PLAY_S)) for client in clients]
        for number, at in enumerate(SLOW_AT_S):
            await asyncio.sleep(max(0, begun + at - time.monotonic()))
            slow = workers[4 + number]
            if TROUBLE:
                slow.slowness = SLOW_X
                record.write(f"{slow.identity} works {SLOW_X} times as long for {SLOW_FOR_S} s")
            await asyncio.sleep(SLOW_FOR_S)
            slow.slowness = 1
        await asyncio.gather(*running)
        ran = {identity: worker.identity for worker in workers for _, identity, _ in worker.arrivals}
        answers, counted = {}, []
        for client in clients:
            for status, count in client.answers.items():
                answers[status] = answers.get(status, 0) + count
            counted += [identity for identity, served in client.closed if served > 0 and identity in ran]
        for identity in counted:
            record.write(f"{identity} had been passed on to {ran[identity]}")
        record.say(f"requests by status of the answer (0: none): {answers}")
        overdue = [is_answered for client in clients for is_answered in client.overdue]
        record.say(f"requests unanswered at their route's timeout: {len(overdue)}, of these without an answer half a second later: {overdue.count(False)} (allowed: half)")
        record.say(f"kept channels closed without an answer to a request that had been passed on: {len(counted)}")
        return len(overdue) >= 8 and overdue.count(False) > len(overdue) / 2
    finally:
        await deployment.stop()


sys.exit(play(pathlib.Path(__file__).parent, case, 100))
