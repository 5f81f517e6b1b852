"""Streams of clients that read slowly are cut around a planned stop."""
import asyncio
import pathlib
import signal
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support-3"))
from client import is_whole, request_head  # noqa: E402
from fleet import BOUNDS, BROKEN, COULD_NOT_RUN, HAS_TROUBLE, HELD, Store, configuration, route, run_case, start_instances  # noqa: E402
from worker import Worker  # noqa: E402

EVENTS, EVENT_BYTES = 206, 290  # The longest stream of consulta-tecnico in the site file.
EVENT_PAUSE = 0.01  # Seconds; the stream takes about two.
READ_FIRST = 2000  # Bytes that a client reads before it pauses.
READ_PAUSE = 4.5  # Seconds; clients abandon such a stream after a gap of 6 s (four times its objective).
RECEIVE_BUFFER = 16384  # Bytes, of a small device.
CLIENTS = 6
SIGNAL_AFTER = 0.5  # Seconds after the requests.
TIME_LIMIT = 15000  # Milliseconds.
ROUTES = [route("chat", "streaming", "model", timeout_ms=TIME_LIMIT, target_latency_ms=1500, gap_target_ms=400, max_attempts=2, sticky=True, stream_resume=True)]
PROMPT = ("X-Model: m", "X-Token-Usage: 110,824", "X-Prompt-Prefix: aaaa0001:100,bbbb0001:10", "Content-Length: 4")


class ModelWorker(Worker):
    async def answer(self, line, headers, body, reader, writer):
        self.record_run(headers)
        is_kept = await self.stream(headers, writer, EVENTS, EVENT_BYTES, EVENT_PAUSE)
        self.record.write(f"run ended: {headers.get('x-request-id')}")
        return is_kept


async def connect(port):
    channel = socket.socket()
    channel.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    channel.setblocking(False)
    await asyncio.get_running_loop().sock_connect(channel, ("127.0.0.1", port))
    return channel


async def ask(record, channel, identity, pause):
    """Sends a request on a kept channel and reads the answer. Returns whether it is whole."""
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(channel, request_head("POST", "/chat/a", identity, deadline=TIME_LIMIT, fields=PROMPT) + b"text")
    record.write(f"sent: {identity}")
    answer = b""
    try:
        while not is_whole(answer):
            part = await asyncio.wait_for(loop.sock_recv(channel, 2000), 10)
            if not part:
                break
            answer += part
            if pause and len(answer) >= READ_FIRST:
                await asyncio.sleep(pause)
                pause = 0
    except (ConnectionError, asyncio.TimeoutError) as problem:
        record.write(f"{identity}: {problem!r}")
    record.write(f"{identity} -> {'whole' if is_whole(answer) else 'NOT WHOLE'}, {len(answer)} bytes")
    return is_whole(answer)


async def main(record, folder, ends):
    store = Store()
    for number in range(3):
        worker = ModelWorker(f"w-{number}", "model", store, record, slots=96)
        await worker.start()
        ends.append(worker.end)
    store.put_json("op/config", configuration(1, ROUTES, ["model"]))
    instances = await start_instances(folder, ends, store)
    if not instances:
        return COULD_NOT_RUN
    stopped = instances[0]
    channels = [await connect(stopped.front) for _ in range(CLIENTS)]
    firsts = await asyncio.gather(*(ask(record, channel, f"first-{number}", 0) for number, channel in enumerate(channels)))
    if not all(firsts):
        return COULD_NOT_RUN
    await asyncio.sleep(BOUNDS["contact_ms"] / 1000)
    requests = [asyncio.ensure_future(ask(record, channel, f"second-{number}", READ_PAUSE if HAS_TROUBLE else 0)) for number, channel in enumerate(channels)]
    await asyncio.sleep(SIGNAL_AFTER)
    stopped.signal(signal.SIGTERM)
    record.write(f"SIGTERM to {stopped.name}")
    seconds = await asyncio.gather(*requests)
    for channel in channels:
        channel.close()
    status = await asyncio.wait_for(stopped.process.wait(), 12)
    record.write(f"{stopped.name} has ended with status {status}")
    record.write(f"requests read by {stopped.name} and passed on, whose channel ended without a complete answer: {seconds.count(False)} of {CLIENTS}")
    return HELD if all(seconds) else BROKEN


run_case(__file__, main)
