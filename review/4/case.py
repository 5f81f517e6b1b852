"""The store is down until keys can't be verified; clients ask with HEAD on kept channels. What comes on a channel must be
answers in the protocol, each to the request before it."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support"))
from harness import TROUBLE, Deployment, Worker, answer_bytes, configuration, play, route  # noqa: E402

PLAY_S = 25
DOWN_FROM_S, DOWN_FOR_S = 5, 8
CLIENTS = 9
PAUSE_S = 0.25


class HeadWorker(Worker):
    """Answers GET, and HEAD with the head that GET would get."""

    async def _serve(self, reader, writer):
        from harness import read_message
        try:
            while (message := await read_message(reader)) is not None:
                line, headers, _ = message
                if headers.get("x-expect-instance", self.identity) != self.identity:
                    writer.write(answer_bytes(421, b"", [("X-Not-Executed", "1"), *self.own_headers(headers)]))
                    continue
                self.arrivals.append((time.monotonic(), headers.get("x-request-id", ""), headers))
                await asyncio.sleep(self.work_s)
                whole = answer_bytes(200, b"stock of " + headers.get("x-request-id", "").encode(), self.own_headers(headers))
                writer.write(whole.partition(b"\r\n\r\n")[0] + b"\r\n\r\n" if line.startswith("HEAD ") else whole)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()


class Client:
    """Keeps one channel; asks by turns with HEAD and GET. By the HTTP standard, no answer to HEAD has a body."""

    def __init__(self, instance, number, record):
        self.instance, self.number, self.record = instance, number, record
        self.channel = None
        self.statuses, self.wrong = {}, []

    async def ask(self, method, identity):
        if self.channel is None:
            self.channel = await asyncio.open_connection(self.instance.address, self.instance.front)
        reader, writer = self.channel
        writer.write(f"{method} /stock/1 HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: {identity}\r\nX-Deadline-Ms: 1000\r\nApi-Key: key-1\r\n\r\n".encode())
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        if not head.startswith("HTTP/1.1 "):
            self.wrong.append(identity)
            self.record.write(f"client {self.number}: what came as the answer to {method} {identity} begins with {head[:60]!r}")
            self.close()
            return
        fields = {name.strip().lower(): text.strip() for name, _, text in (line.partition(":") for line in head.split("\r\n")[1:] if ":" in line)}
        status = int(head.split(" ")[1])
        body = b"" if method == "HEAD" else await reader.readexactly(int(fields.get("content-length", "0")))
        self.statuses[(method, status)] = self.statuses.get((method, status), 0) + 1
        self.record.write(f"client {self.number}: {method} {identity} answered {status}, {len(body)} bytes of body, announced {fields.get('content-length')}")
        if fields.get("connection", "").lower() == "close":
            self.close()

    def close(self):
        if self.channel is not None:
            self.channel[1].close()
        self.channel = None

    async def run(self, until):
        turn = 0
        while time.monotonic() < until:
            turn += 1
            try:
                await asyncio.wait_for(self.ask("HEAD" if turn % 2 else "GET", f"c{self.number}-{turn}"), 3)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as problem:
                self.record.write(f"client {self.number}: no answer: {problem!r}")
                self.close()
            await asyncio.sleep(PAUSE_S)
        self.close()


async def case(record):
    zones = ["zone-a", "zone-b", "zone-c"]
    deployment = Deployment(record, zones, 1)
    workers = [HeadWorker(f"i-app-{number}", "despacho", zones[number], 6) for number in range(3)]
    try:
        for worker in workers:
            await worker.listen()
            deployment.store.put_json(f"servers/{worker.identity}", worker.entry())
        deployment.store.put_json("op/config", configuration(3, [route("stock", "idempotent", "despacho", max_attempts=2)], ["despacho"]))
        await deployment.start()
        deployment.tasks.append(asyncio.create_task(deployment.beat(workers)))
        clients = [Client(deployment.instances[number % 3], number, record) for number in range(CLIENTS)]
        running = [asyncio.create_task(client.run(time.monotonic() + PLAY_S)) for client in clients]
        await asyncio.sleep(DOWN_FROM_S)
        if TROUBLE:
            record.write(f"the store is down for {DOWN_FOR_S} s: it answers 503 to every call")
            deployment.store.is_down = True
        await asyncio.sleep(DOWN_FOR_S)
        deployment.store.is_down = False
        record.write("the store answers")
        await asyncio.gather(*running)
        statuses = {}
        for client in clients:
            for key, count in client.statuses.items():
                statuses[key] = statuses.get(key, 0) + count
        wrong = sum(len(client.wrong) for client in clients)
        record.say(f"answers by method and status: {statuses}; bytes that are no answer: {wrong} times")
        return wrong > 0
    finally:
        await deployment.stop()


sys.exit(play(pathlib.Path(__file__).parent, case, 100))
