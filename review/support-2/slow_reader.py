"""No case of the review: see KNOWN-RED.txt, 37.

A client reads a stream slowly: it pauses for some seconds. Does it get the whole stream?"""
import asyncio
import os
import pathlib
import socket
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support-2"))
from fleet import HOST, KEY, Fleet, Worker, configuration, read_head, route, run_case  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EVENTS, EVENT_BYTES = 206, 300  # The longest stream of consulta-tecnico on the site: pieces max, piece_bytes max.
EVENT_PAUSE_S = 0.015
READ_PAUSE_S = float(os.environ.get("PAUSE", "4.5"))  # A client abandons a stream after a gap of 6 s (4 x 1,500 ms) at the earliest.
RECEIVE_BUFFER = int(os.environ.get("RCVBUF", "16384"))  # Bytes, of a small device.
CLIENTS_OF_INSTANCE = 3
TIME_LIMIT_MS = 15000


class StreamWorker(Worker):
    """Answers with a stream of events in chunks."""

    broken_off = 0

    async def answer(self, line, headers, body, writer):
        identity = headers.get("x-request-id", "")
        if headers.get("x-expect-instance") != self.identity:
            return await super().answer(line, headers, body, writer)
        first = int(headers.get("last-event-id", "0")) + 1
        self.record.write(f"worker {self.identity} runs {identity} from event {first}")
        head = [f"HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked", f"X-Request-Id: {identity}",
                f"X-Response-Seal: seal-{self.identity}-{identity}", f"X-Instance-Load: 1,0,{self.slots}"]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        try:
            for number in range(first, EVENTS + 1):
                event = f"id: {number}\ndata: ".encode()
                event += b"x" * (EVENT_BYTES - len(event) - 2) + b"\n\n"
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                await asyncio.sleep(EVENT_PAUSE_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.record.write(f"worker {self.identity} has ended {identity}")
        except ConnectionError:
            self.broken_off += 1
            self.record.write(f"worker {self.identity}: the channel of {identity} was closed at event {number}")
            return False
        return True


async def read_stream(reader, pause):
    """Returns the bytes of the stream and whether it is complete."""
    if await read_head(reader) is None:
        return b"", False
    text = b""
    while True:
        size = await reader.readline()
        if not size.strip():
            return text, False
        if int(size, 16) == 0:
            await reader.readline()
            return text, True
        text += (await reader.readexactly(int(size, 16) + 2))[:-2]
        if pause and text.count(b"\n\n") >= 20:
            await asyncio.sleep(pause)
            pause = 0


async def ask(fleet, instance, identity, connection, pause):
    reader, writer = connection
    lines = ["POST /consulta-tecnico/1 HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {identity}", f"X-Deadline-Ms: {TIME_LIMIT_MS}",
             f"Api-Key: {KEY}", "X-Model: m", "X-Token-Usage: 110,824", "X-Prompt-Prefix: 5c1e07a2:100,91bd3f06:10", "Content-Length: 2"]
    begun = time.monotonic()
    fleet.record.write(f"client sends {identity} to {instance.name}" + (f", and will not read for {pause} s" if pause else ""))
    writer.write(("\r\n".join(lines) + "\r\n\r\n{}").encode())
    try:
        text, is_complete = await asyncio.wait_for(read_stream(reader, pause), TIME_LIMIT_MS / 1000)
    except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as problem:
        fleet.record.write(f"client: {identity} ends with {problem!r}")
        text, is_complete = b"", False
    fleet.record.write(f"client has {'the whole stream' if is_complete else 'NO WHOLE STREAM'} of {identity} after {time.monotonic() - begun:.2f} s")
    return is_complete


async def connect(instance, port):
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, (instance.address, port))
    return await asyncio.open_connection(sock=connection, limit=2048)


async def case():
    fleet = Fleet(HERE / "record.txt", ["cl-centro-a", "cl-centro-b", "cl-centro-c"])
    workers = [StreamWorker(fleet.store, fleet.record, f"w-{number}", "redactor", f"cl-centro-{'abc'[number % 3]}", slots=96) for number in range(6)]
    lost = []
    try:
        routes = [route("consulta-tecnico", "streaming", "redactor", timeout_ms=15000, target_latency_ms=1500, gap_target_ms=400, max_attempts=2,
                        sticky=True, stream_resume=True)]
        if not await fleet.start(configuration(10, routes, ["redactor"]), workers):
            raise RuntimeError("the instances did not get ready")
        await asyncio.sleep(4)

        async def call(instance, number):
            name = f"chat-{instance.zone}-{number}"
            connection = await connect(instance, fleet.ports[0])
            # The first request on the channel is read at once, so that the second one comes on a kept channel.
            if not await ask(fleet, instance, f"{name}-first", connection, 0):
                raise RuntimeError("a stream that was read at once was not complete")
            if not await ask(fleet, instance, f"{name}-second", connection, READ_PAUSE_S if HAS_TROUBLE else 0):
                lost.append(name)
            connection[1].close()

        await asyncio.gather(*(call(instance, number) for instance in fleet.instances for number in range(CLIENTS_OF_INSTANCE)))
    finally:
        await fleet.stop()
    print(f"streams that were read slowly and did not end as a whole: {len(lost)} of {3 * CLIENTS_OF_INSTANCE}")
    return len(lost) <= 3


run_case(case)
