"""A part that crashes workers is put into quarantine too late or never. Plays both orders of events of claim.txt at the same
time, each with a fleet of its own; with the name of one as argument, plays only that one."""
import asyncio
import dataclasses
import pathlib
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support-3"))
from client import ask  # noqa: E402
from fleet import BOUNDS, BROKEN, COULD_NOT_RUN, HAS_TROUBLE, HELD, Record, Store, configuration, finish, route, run_case, start_instances  # noqa: E402
from worker import Worker, stream_head  # noqa: E402

CONTACT = BOUNDS["contact_ms"] / 1000
BACK_AFTER = 2.0  # Seconds after a crash: "the worker is back after some seconds".
LAPSE = 3.6  # Seconds: three liveness report intervals, after which the entry of a lifetime that is over is removed.
SOUND_GAP = 0.25  # Seconds between sound requests.
ALLOWED = 3  # Requests with the part that may still reach workers.
CRASHING = "bad0bad0"
ROUTES = [
    route("draft", "streaming", "model", timeout_ms=6000, target_latency_ms=800, gap_target_ms=400, max_attempts=2, sticky=True, stream_resume=True),
    route("notes", "streaming", "model", timeout_ms=4000, target_latency_ms=1200, gap_target_ms=400, max_attempts=1, sticky=True),
]


@dataclasses.dataclass
class Order:
    workers: int
    keeps_identity: bool  # Whether a worker starts again under the id that it had.
    rounds: int
    gap: float  # Seconds between rounds.
    at_a_time: int  # Requests with the crashing part in a round.
    first_parts: int  # Different first parts of the prompts.


ORDERS = {
    "one-by-one": Order(workers=3, keeps_identity=True, rounds=12, gap=4.0, at_a_time=1, first_parts=1),
    "three-at-a-time": Order(workers=9, keeps_identity=False, rounds=9, gap=5.0, at_a_time=3, first_parts=9),
}


class ModelWorker(Worker):
    """Streams its answers. Crashes when it begins to write an answer to a prompt with the crashing part, and is back after
    some seconds at the same address, as a new lifetime."""

    crashes = []
    keeps_identity = False

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
        if not self.is_listed:  # Another request has just crashed it.
            return
        self.crashes.append(time.monotonic())
        self.record.write(f"crash {len(self.crashes)}: {self.identity}")
        self.is_listed = False
        loop, port, ended = asyncio.get_running_loop(), int(self.address.split(":")[1]), self.identity
        await self.end()
        if not self.keeps_identity:
            loop.call_later(LAPSE, lambda: self.store.remove(f"servers/{ended}"))
        loop.call_later(BACK_AFTER, lambda: asyncio.ensure_future(self.start(port)))

    async def start(self, port=0):
        self.born, self.sequence = int(time.time() * 1000), 0
        if not self.keeps_identity:
            self.identity = f"{self.identity.split('.')[0]}.{self.born % 1000000}"
        await super().start(port)
        self.record.write(f"start: {self.identity}")


async def play(order, record, folder, ends):
    store = Store()
    ModelWorker.keeps_identity = order.keeps_identity
    for number in range(order.workers):
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
        first = number % order.first_parts
        fields = ("X-Model: m", "X-Token-Usage: 1400,120", f"X-Prompt-Prefix: aaaa{first:04x}:800,{part}:400,{len(sent):08x}:200")
        return await ask(record, instances[number % len(instances)].front, "POST", path, identity, deadline=4000, body=b"text", fields=fields)

    async def send_sound(answers):
        for number in range(int((order.rounds * order.gap - 2) / SOUND_GAP)):
            answers.append(asyncio.ensure_future(chat("/notes/a", number, f"sound-{number}", f"cccc{number % 24:04x}")))
            await asyncio.sleep(SOUND_GAP)

    answers = []
    sender = asyncio.ensure_future(send_sound(answers))
    for turn in range(order.rounds):
        await asyncio.sleep(order.gap)
        numbers = range(turn * order.at_a_time, (turn + 1) * order.at_a_time)
        await asyncio.gather(*(chat("/draft/a", number, f"crashing-{number}", CRASHING) for number in numbers))
    await sender
    whole = sum(answer.is_whole for answer in await asyncio.gather(*answers))
    crashes = ModelWorker.crashes
    reached = [(identity, worker.identity) for worker in Worker.all for _, identity in worker.runs if identity.startswith("crashing-")]
    late = [identity for identity, _ in reached if len(crashes) >= 5 and sent[identity] > crashes[4] + CONTACT]
    record.write(f"crashes: {len(crashes)}; requests with the part that reached workers: {sorted(identity for identity, _ in reached)}")
    record.write(f"sound requests: {len(answers)}; answered whole: {whole}")
    record.write(f"requests with the part that reached workers, sent over {CONTACT:.0f} s after the fifth crash: {len(late)}, allowed: {ALLOWED}")
    return BROKEN if len(late) > ALLOWED else HELD


def play_all():
    record = Record(__file__)
    plays = {name: subprocess.Popen([sys.executable, "-B", __file__, name]) for name in ORDERS}
    results = [process.wait() for process in plays.values()]
    for name in ORDERS:
        part = pathlib.Path(__file__).resolve().parent / f"record-{name}.txt"
        record.write(f"{name}:\n" + part.read_text().rstrip("\n"))
        part.unlink()
    finish(__file__, record, next((result for result in (BROKEN, COULD_NOT_RUN) if result in results), HELD))


if len(sys.argv) > 1:
    run_case(__file__, lambda *context: play(ORDERS[sys.argv[1]], *context), name=f"record-{sys.argv[1]}.txt")
else:
    play_all()
