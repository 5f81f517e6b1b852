"""Requests with a part that crashes workers go to the same worker again and again."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support-3"))
from client import ask  # noqa: E402
from fleet import BOUNDS, BROKEN, COULD_NOT_RUN, HAS_TROUBLE, HELD, Store, configuration, route, run_case, start_instances  # noqa: E402
from worker import Worker, stream_head  # noqa: E402

CONTACT = BOUNDS["contact_ms"] / 1000
WORKERS = 3
BACK_AFTER = 2.0  # Seconds after a crash: "the worker is back after some seconds".
REQUESTS = 12  # With the crashing part.
GAP = 4.0  # Seconds between them.
SOUND_GAP = 0.25  # Seconds between sound requests.
ALLOWED = 3  # Requests with the part that may still reach workers.
COMMON, CRASHING = "aaaa0001", "bad0bad0"
ROUTES = [
    route("draft", "streaming", "model", timeout_ms=6000, target_latency_ms=800, gap_target_ms=400, max_attempts=2, sticky=True, stream_resume=True),
    route("notes", "streaming", "model", timeout_ms=4000, target_latency_ms=1200, gap_target_ms=400, max_attempts=1, sticky=True),
]


class ModelWorker(Worker):
    """Streams its answers. Crashes when it begins to write an answer to a prompt with the crashing part, and is back after
    some seconds at the same address, under the id that it had, as a new lifetime."""

    crashes = []

    async def answer(self, line, headers, body, reader, writer):
        self.record_run(headers)
        parts = [entry.split(":")[0] for entry in headers["x-prompt-prefix"].split(",")][:-1]
        if not HAS_TROUBLE or CRASHING not in parts:
            return await self.stream(headers, writer, events=30, event_bytes=50, pause=0.05)
        writer.write(stream_head(self.own_fields(headers)))
        await writer.drain()
        await asyncio.sleep(0.005)
        await self.crash()
        return False

    async def crash(self):
        self.crashes.append(time.monotonic())
        self.record.write(f"crash {len(self.crashes)}: {self.identity}")
        self.is_listed = False
        port = int(self.address.split(":")[1])
        await self.end()
        asyncio.get_running_loop().call_later(BACK_AFTER, lambda: asyncio.ensure_future(self.start(port)))

    async def start(self, port=0):
        self.born, self.sequence = int(time.time() * 1000), 0
        await super().start(port)
        self.record.write(f"start: {self.identity}")


async def main(record, folder, ends):
    store = Store()
    for number in range(WORKERS):
        worker = ModelWorker(f"w-{number}", "model", store, record, slots=96)
        await worker.start()
        ends.append(worker.end)
    store.put_json("op/config", configuration(1, ROUTES, ["model"]))
    instances = await start_instances(folder, ends, store)
    if not instances:
        return COULD_NOT_RUN
    sent = {}

    async def chat(path, number, identity, part):
        sent[identity] = time.monotonic()
        fields = ("X-Model: m", "X-Token-Usage: 1400,120", f"X-Prompt-Prefix: {COMMON}:800,{part}:400,{len(sent):08x}:200")
        return await ask(record, instances[number % len(instances)].front, "POST", path, identity, deadline=4000, body=b"text", fields=fields)

    async def send_sound(answers):
        for number in range(int((REQUESTS * GAP - 2) / SOUND_GAP)):
            answers.append(asyncio.ensure_future(chat("/notes/a", number, f"sound-{number}", f"cccc{number % 24:04x}")))
            await asyncio.sleep(SOUND_GAP)

    answers = []
    sender = asyncio.ensure_future(send_sound(answers))
    for number in range(REQUESTS):
        await asyncio.sleep(GAP)
        await chat("/draft/a", number, f"crashing-{number}", CRASHING)
    await sender
    whole = sum(answer.is_whole for answer in await asyncio.gather(*answers))
    crashes = ModelWorker.crashes
    reached = [(identity, worker.identity) for worker in Worker.all for _, identity in worker.runs if identity.startswith("crashing-")]
    late = [identity for identity, _ in reached if len(crashes) >= 5 and sent[identity] > crashes[4] + CONTACT]
    record.write(f"crashes: {len(crashes)}; requests with the part and the workers that they reached: {reached}")
    record.write(f"sound requests: {len(answers)}; answered whole: {whole}")
    record.write(f"requests with the part that reached workers, sent over {CONTACT:.0f} s after the fifth crash: {len(late)}, allowed: {ALLOWED}")
    return BROKEN if len(late) > ALLOWED else HELD


run_case(__file__, main)
