"""One worker answers streams with bytes without end in a body; the instances must not grow over their memory limit."""
import asyncio
import pathlib
import random
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support"))
from harness import TROUBLE, Deployment, Worker, ask, configuration, play, route  # noqa: E402

MEMORY_MB = 260  # Of the settings file; a process that exceeds it is killed by the platform.
PLAY_S = 70
TROUBLE_FROM_S, TROUBLE_FOR_S = 5, 60
BYTES_PER_S = 50e6  # A channel; a machine's link carries 125e6.
MOST_BYTES_PER_S = 250e6  # All channels, for three machines.
PATIENCE_S = 6  # Clients abandon a stream after four times the objective.


class EndlessWorker(Worker):
    """Sound at first. In its faulty time it begins each stream with a proper head and a chunk whose first line never ends;
    it writes until the caller closes."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.is_faulty = False
        self.flooding = 0

    async def _stream(self, headers, writer):
        if not self.is_faulty:
            return await super()._stream(headers, writer)
        lines = "".join(f"{name}: {text}\r\n" for name, text in [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"), *self.own_headers(headers)])
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n1f;".encode())
        await writer.drain()
        duplicate = socket.socket(fileno=socket.dup(writer.get_extra_info("socket").fileno()))
        await asyncio.to_thread(self._flood, duplicate)
        raise ConnectionError

    def _flood(self, channel):
        block = b"x" * 65536
        self.flooding += 1
        channel.setblocking(True)
        channel.settimeout(20)
        try:
            while self.is_faulty:
                channel.sendall(block)
                rate = min(BYTES_PER_S, MOST_BYTES_PER_S / max(1, self.flooding))
                time.sleep(len(block) / rate)
        except OSError:
            pass
        finally:
            self.flooding -= 1
            channel.close()


async def case(record):
    zones = ["zone-a", "zone-b", "zone-c"]
    deployment = Deployment(record, zones, 1)
    engines = [EndlessWorker(f"i-engine-{number}", "redactor", zones[number], 96) for number in range(3)]
    apps = [Worker(f"i-app-{number}", "despacho", zones[number], 6) for number in range(3)]
    ends, statuses, unanswered = {}, {}, []
    peak = {}
    number = 0
    try:
        for worker in engines + apps:
            await worker.listen()
            deployment.store.put_json(f"servers/{worker.identity}", worker.entry())
        deployment.store.put_json("op/config", configuration(3, [
            route("consulta", "streaming", "redactor", timeout_ms=15000, target_latency_ms=1500, max_attempts=2, sticky=True, stream_resume=True, gap_target_ms=400),
            route("orden", "non_idempotent", "despacho"),
        ], ["redactor", "despacho"]))
        await deployment.start()
        deployment.tasks.append(asyncio.create_task(deployment.beat(engines + apps)))

        async def watch_memory(instance):
            """The platform: kills a process over its limit and starts a process that ended after a short delay."""
            while True:
                resident = instance.resident_mb()
                peak[instance.name] = max(peak.get(instance.name, 0), resident)
                if resident > MEMORY_MB:
                    record.write(f"{instance.name}: {resident:.0f} MB, over the limit of {MEMORY_MB} MB: killed by the platform")
                    await instance.kill()
                if instance.process.returncode is not None:
                    ends[instance.name] = ends.get(instance.name, 0) + 1
                    await asyncio.sleep(0.5)
                    await instance.start()
                await asyncio.sleep(0.02)

        async def stream(instance, identity):
            part = random.randrange(40)
            headers = ["X-Model: m", "X-Token-Usage: 713,280", f"X-Prompt-Prefix: a1:103,{0xb000 + part:x}:500,{identity.split('-')[1]}:110", "Accept: text/event-stream"]
            answer = await ask(instance, "POST", "/consulta/1", identity, headers, b"x" * 1400, deadline_ms=PATIENCE_S * 1000 - 700)
            statuses[answer.status] = statuses.get(answer.status, 0) + 1
            record.write(f"{instance.name}: stream {identity} answered {answer.status} complete={answer.is_complete}")

        async def book(instance, identity):
            answer = await ask(instance, "POST", "/orden/1", identity, body=b"x" * 600)
            if answer.status == 0:
                unanswered.append(identity)
                record.write(f"{instance.name}: booking {identity} has no answer")

        deployment.tasks += [asyncio.create_task(watch_memory(instance)) for instance in deployment.instances]
        begun, asked = time.monotonic(), []
        while (elapsed := time.monotonic() - begun) < PLAY_S:
            is_faulty = TROUBLE and TROUBLE_FROM_S <= elapsed < TROUBLE_FROM_S + TROUBLE_FOR_S
            if is_faulty != engines[0].is_faulty:
                engines[0].is_faulty = is_faulty
                record.write(f"{engines[0].identity} {'begins to send' if is_faulty else 'no longer sends'} bytes without end")
            instance = deployment.instances[number % 3]
            number += 1
            if number % 5 == 0:
                asked.append(asyncio.create_task(stream(instance, f"s-{number:x}")))
            asked.append(asyncio.create_task(book(instance, f"b-{number:x}")))
            await asyncio.sleep(0.05)
        await asyncio.gather(*asked)
        ran = {identity for worker in apps for _, identity, _ in worker.arrivals}
        lost = [identity for identity in unanswered if identity in ran]
        for name in sorted(peak):
            record.say(f"{name}: peak {peak[name]:.0f} MB, {ends.get(name, 0)} ends of its process")
        record.say(f"streams by status: {statuses}; bookings sent {number}, without an answer {len(unanswered)}, of these run {len(lost)}")
        return sum(1 for count in ends.values() if count >= 3) >= 2
    finally:
        engines[0].is_faulty = False
        await deployment.stop()


sys.exit(play(pathlib.Path(__file__).parent, case, 115))
