"""One part of a prompt crashes each worker that begins to write an answer on it; the prompts are those of long chats, with 40
shared parts. Few requests with the part may reach workers after the fifth crash."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support"))
from harness import BOUNDS, TROUBLE, Deployment, Worker, ask, configuration, play, route  # noqa: E402

PLAY_S = 45
DOWN_S = 2.0  # A crashed worker is back after some seconds.
DEADLY = "dead07"
SOUND_PER_S, DEADLY_PER_S = 15, 1
TURNS = 37  # Earlier turns of a chat, each a part of its prompts.


class CrashingWorker(Worker):
    """Crashes when it has written the head of an answer on a prompt with the part. Sound otherwise."""

    def __init__(self, deployment, *arguments):
        super().__init__(*arguments)
        self.deployment = deployment
        self.crashes = []
        self.writers = set()
        self.listener = None

    async def listen(self, port=0):
        self.listener = await asyncio.start_server(self._hold, "127.0.0.1", port, backlog=200)
        self.address = f"127.0.0.1:{self.listener.sockets[0].getsockname()[1]}"

    async def _hold(self, reader, writer):
        self.writers.add(writer)
        await self._serve(reader, writer)
        self.writers.discard(writer)

    async def _stream(self, headers, writer):
        parts = [entry.split(":")[0] for entry in headers.get("x-prompt-prefix", "").split(",")]
        if DEADLY not in parts[:-1] or not TROUBLE:
            return await super()._stream(headers, writer)
        lines = "".join(f"{name}: {text}\r\n" for name, text in [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"), *self.own_headers(headers)])
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
        await writer.drain()
        await asyncio.sleep(0.005)
        self._crash(headers)
        raise ConnectionError

    def _crash(self, headers):
        if not self.listener.is_serving():
            return
        self.crashes.append(time.monotonic())
        self.deployment.record.write(f"{self.identity} crashes on {headers['x-request-id']} with {len(self.writers)} channels")
        self.listener.close()
        self.is_listed = False  # It sends nothing while it is down; its entry stays for up to three heartbeats.
        for writer in list(self.writers):
            writer.transport.abort()
        asyncio.get_running_loop().call_later(DOWN_S, lambda: self.deployment.tasks.append(asyncio.create_task(self._come_back())))

    async def _come_back(self):
        await self.listen(int(self.address.split(":")[1]))
        self.born, self.sequence, self.is_listed = int(time.time() * 1000), 0, True
        self.deployment.store.put_json(f"servers/{self.identity}", self.entry())


async def case(record):
    zones = ["zone-a", "zone-b", "zone-c"]
    deployment = Deployment(record, zones, 1)
    workers = [CrashingWorker(deployment, f"i-engine-{number}", "redactor", zones[number % 3], 96) for number in range(9)]
    number, answers, broken_sound = 0, {}, 0
    try:
        for worker in workers:
            await worker.listen()
            deployment.store.put_json(f"servers/{worker.identity}", worker.entry())
        deployment.store.put_json("op/config", configuration(3, [
            route("resumen", "streaming", "redactor", timeout_ms=4000, target_latency_ms=1200, sticky=True, gap_target_ms=400),
        ], ["redactor"]))
        await deployment.start()
        deployment.tasks.append(asyncio.create_task(deployment.beat(workers)))

        async def stream(instance, identity, sequence, is_deadly):
            middle = f"{DEADLY}:90," if is_deadly else ""
            chat = sequence % 42
            turns = ",".join(f"{0x200000 + 64 * chat + turn:x}:150" for turn in range(TURNS))
            headers = ["X-Model: m", "X-Token-Usage: 9200,52", f"X-Prompt-Prefix: a{chat % 4}:2520,{0xb000 + chat:x}:600,{turns},{middle}{sequence + 0x100000:x}:440", "Accept: text/event-stream"]
            answer = await ask(instance, "POST", "/resumen/1", identity, headers, b"x" * 18000, deadline_ms=4000)
            row = ("deadly" if is_deadly else "sound", answer.status, answer.is_complete)
            answers[row] = answers.get(row, 0) + 1
            record.write(f"{instance.name}: {identity} answered {answer.status} complete={answer.is_complete}")

        asked = []
        begun = time.monotonic()
        while time.monotonic() - begun < PLAY_S:
            number += 1
            instance = deployment.instances[number % 3]
            is_deadly = number % (SOUND_PER_S // DEADLY_PER_S) == 0
            identity = f"{'deadly' if is_deadly else 'sound'}-{number}"
            asked.append(asyncio.create_task(stream(instance, identity, number, is_deadly)))
            await asyncio.sleep(1 / SOUND_PER_S)
        await asyncio.gather(*asked)
        crashes = sorted(at for worker in workers for at in worker.crashes)
        arrivals = sorted((at, worker.identity, identity) for worker in workers for at, identity, _ in worker.arrivals if identity.startswith("deadly"))
        late = [row for row in arrivals if len(crashes) >= 5 and row[0] > crashes[4] + BOUNDS["contact_ms"] / 1000]
        for at, name, identity in late:
            record.write(f"{name} got {identity} {at - crashes[4]:.3f} s after the fifth crash")
        record.say(f"answers (kind, status, complete): {answers}")
        record.say(f"{len(crashes)} crashes; requests with the part that reached workers: {len(arrivals)}, of these later than contact_ms after the fifth crash: {len(late)} (allowed: 3)")
        sound = [count for (kind, _, is_complete), count in answers.items() if kind == "sound" and not is_complete]
        record.say(f"sound streams that a worker had taken and that were broken off: {sum(sound)}")
        return len(late) > 3
    finally:
        await deployment.stop()


sys.exit(play(pathlib.Path(__file__).parent, case, 115))
