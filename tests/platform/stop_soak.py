#!/usr/bin/env python3
"""Soak of planned stops: instances are stopped with SIGTERM in series that overlap, beside SIGHUP and new configurations, while
callers go on using the connections that they have until the process is gone.

Real processes and the real clock; the seed decides the plan, not the timing. Prints the counts and the command that repeats the
run, and exits with the number of broken checks.
"""
import argparse
import asyncio
import collections
import json
import pathlib
import random
import signal
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from entry_test import Entry, check, failures  # noqa: E402
from platform_standin import BackendServer, Store, start_server  # noqa: E402
from stop_test import GRACE_S, Caller, Outcome, close_callers, is_lost, stop_configuration  # noqa: E402

INSTANCES = 6
ZONES = ("zone-a", "zone-b", "zone-c")
RESTART_S = 0.4
STREAM_EVENTS = 12
LONGEST_STREAM_S = 7
UNUSED_CONNECTIONS = 8  # Of each instance.
Request = collections.namedtuple("Request", "identity is_stream instance life sent_at outcome ended_at")


class Instance:
    """An instance that is started again after each stop."""

    def __init__(self, binary, folder, store_address, number):
        self.entry = Entry(binary, folder, store_address, name=f"entry-{number}", grace_s=GRACE_S, config_apply_ms=2000, revoke_ms=5000)
        document = json.loads(self.entry.path.read_text())
        document["zone"], document["zones"] = ZONES[number % len(ZONES)], {zone: "region" for zone in ZONES}
        self.entry.path.write_text(json.dumps(document))
        self.name = f"entry-{number}"
        self.life = 0
        self.stopped_at = {}  # By life: time of the first SIGTERM.
        self.unused, self.kept = [], []
        self.signal_count = 0
        self.kills = 0
        self.codes = []  # Exit codes that are no planned end.
        self.was_ready = False  # In this life, at the first SIGTERM.
        self.is_up = False
        self.failed_starts = []

    async def start(self):
        await self.entry.start()
        life = self.life
        started_at = time.monotonic()
        is_up = await self.entry.wait_until(self._is_ready_or_over(life), 15)
        if life == self.life and not self.is_stopping():
            self.is_up = is_up
            if not is_up:
                self.failed_starts.append(f"{self.name} in life {life}, {time.monotonic() - started_at:.1f} s, exit code {self.entry.process.returncode}: {self.entry.log_path.read_text()[-800:]}")

    def _is_ready_or_over(self, life):
        """A process that is stopped before it is ready need not become ready."""
        async def condition():
            return life != self.life or life in self.stopped_at or await self.entry.is_ready()
        return condition

    def is_stopping(self):
        return self.life in self.stopped_at

    def send(self, number):
        if self.entry.process.returncode is None:
            self.entry.process.send_signal(number)
            self.signal_count += number == signal.SIGTERM
            if number == signal.SIGTERM and not self.is_stopping():
                self.stopped_at[self.life] = time.monotonic()
                self.was_ready = self.is_up

    async def run_stop(self):
        """SIGTERM, SIGKILL at the end of the grace, and the next start."""
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.entry.process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            self.kills += 1
            self.entry.process.kill()
            await self.entry.process.wait()
        code = self.entry.process.returncode
        ended_before_handlers = code == -signal.SIGTERM and not self.was_ready  # The signal came right after exec.
        if code != 0 and not ended_before_handlers:
            self.codes.append(code)
        self.is_up = False
        await asyncio.sleep(RESTART_S)
        self.life += 1
        self.unused, self.kept = [], []
        await self.start()

    async def connection(self, source):
        """A kept connection, one that is open and unused, or a new one."""
        kind = source.choice(("kept", "unused", "unused", "new"))
        if kind == "kept" and self.kept:
            return self.kept.pop()
        if kind == "unused" and self.unused:
            return self.unused.pop()
        return await Caller(self.entry).open()

    async def refill(self):
        while True:
            try:
                if self.entry.process.returncode is None and len(self.unused) < UNUSED_CONNECTIONS:
                    self.unused.append(await Caller(self.entry).open())
            except OSError:
                pass
            await asyncio.sleep(0.05)


class Soak:
    def __init__(self, binary, folder, seed, seconds):
        self.binary, self.folder, self.seconds = binary, folder, seconds
        self.source = random.Random(seed)
        self.has_few_slots = self.source.random() < 0.3
        self.stream_s = self.source.choice((3, LONGEST_STREAM_S, LONGEST_STREAM_S))
        self.stops_at_a_time = self.source.choice((1, 2, 2, 3))
        self.store, self.servers, self.instances, self.requests = Store(), [], [], []
        self.version = 7
        self.numbers = iter(range(1 << 30))
        self.longest_stall = 0.0  # Of this process: time that a sleep took too long.
        self.stopping = []

    async def start(self):
        _, address = await start_server(self.store.serve)
        self.store.address = address
        for number in range(4):
            server = BackendServer(f"i-{number}")
            server.slots = 4 if self.has_few_slots else 64
            server.event_count, server.event_delay = STREAM_EVENTS, self.stream_s / STREAM_EVENTS * (number + 1) / 4
            server.work_time = 0.1
            await server.listen()
            self.servers.append(server)
            self.store.put_json(f"servers/{server.identity}", server.entry("pool"))
        self.store.put_json("op/config", stop_configuration())
        self.instances = [Instance(self.binary, self.folder, address, number) for number in range(INSTANCES)]
        await asyncio.gather(*(instance.start() for instance in self.instances))
        self.check_starts("all instances become ready")

    async def ask(self, instance):
        is_stream = self.source.random() < 0.6
        identity = f"soak-{next(self.numbers)}"
        try:
            caller = await instance.connection(self.source)
        except OSError:
            return
        life, sent_at = instance.life, time.monotonic()
        outcome = await caller.ask("/once/stream/a" if is_stream else "/book/a", identity, sent_at, deadline=15000 if is_stream else 1000)
        self.requests.append(Request(identity, is_stream, instance, life, sent_at, outcome, time.monotonic()))
        if outcome.is_complete and life == instance.life and len(instance.kept) < UNUSED_CONNECTIONS:
            instance.kept.append(caller)

    async def call(self):
        tasks = set()
        while True:
            task = asyncio.create_task(self.ask(self.source.choice(self.instances)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(self.source.expovariate(60))

    async def stop_in_series(self):
        while True:
            await asyncio.sleep(self.source.uniform(0.1, 1.5))
            running = [instance for instance in self.instances if not instance.is_stopping() and instance.entry.process.returncode is None]
            for instance in self.source.sample(running, min(len(running), self.stops_at_a_time)):
                self._stop(instance)

    def _stop(self, instance):
        self.stopping.append(asyncio.create_task(instance.run_stop()))
        for _ in range(self.source.choice((0, 0, 1, 2))):
            asyncio.get_running_loop().call_later(self.source.uniform(0.05, GRACE_S), self._send_if_same, instance, instance.life, self.source.choice((signal.SIGTERM, signal.SIGHUP)))

    @staticmethod
    def _send_if_same(instance, life, number):
        if instance.life == life:
            instance.send(number)

    async def watch_stalls(self):
        while True:
            begun = time.monotonic()
            await asyncio.sleep(0.05)
            self.longest_stall = max(self.longest_stall, time.monotonic() - begun - 0.05)

    async def change(self):
        while True:
            await asyncio.sleep(self.source.uniform(0.1, 2))
            self.version += self.source.randrange(1, 5)
            self.store.put_json("op/config", {**stop_configuration(), "version": self.version})
            if self.source.random() < 0.5:
                self.source.choice(self.instances).send(signal.SIGHUP)

    async def play(self):
        await self.start()
        loops = [asyncio.create_task(work()) for work in (self.call, self.stop_in_series, self.change, self.watch_stalls, *(instance.refill for instance in self.instances))]
        await asyncio.sleep(self.seconds)
        ended = [task for task in loops if task.done()]
        for task in loops:
            task.cancel()
        await asyncio.gather(*loops, return_exceptions=True)
        results = await asyncio.gather(*self.stopping, return_exceptions=True)
        await asyncio.sleep(LONGEST_STREAM_S + 1)
        check("the soak's own tasks ran to the end", not ended, [task.exception() for task in ended])
        check("the stops ran to their ends", not any(results), [result for result in results if result])
        self.check_starts("each process that is not stopped meanwhile becomes ready")

    def check_starts(self, name):
        failed = [start for instance in self.instances for start in instance.failed_starts]
        check(name, not failed, failed)

    def judge(self):
        runs = collections.Counter(run[1].get("x-request-id") for server in self.servers for run in server.runs)
        finish_times = {identity: at for server in self.servers for identity, at in server.finish_times.items()}
        lost, excused, crossed = [], [], 0
        for request in self.requests:
            if request.outcome.is_complete:
                continue
            is_passed_on = request.identity in runs
            stopped_at = request.instance.stopped_at.get(request.life, float("inf"))  # Without a SIGTERM nothing is excused.
            outcome = Outcome(request.identity, request.sent_at - stopped_at, request.outcome.status, False, request.ended_at - stopped_at)
            if not is_passed_on:
                outcome = outcome._replace(sent_s=request.sent_at, closed_s=request.ended_at)
            seen = f"{request.identity} at {request.instance.name}, {'stream' if request.is_stream else 'booking'}, {'passed on' if is_passed_on else 'not passed on'}, sent {request.sent_at - stopped_at:.3f} s and cut {request.ended_at - stopped_at:.3f} s after SIGTERM"
            finished_at = finish_times.get(request.identity)
            if is_lost(outcome, is_passed_on, None if finished_at is None else finished_at - stopped_at):
                lost.append(seen)
            elif is_passed_on:
                excused.append(seen)
            else:
                crossed += 1
        refused = [request.identity for request in self.requests if request.outcome.status == 503 and runs[request.identity]]
        denied = [request.outcome for request in self.requests if request.outcome.status in (400, 401, 403, 404)]
        twice = [identity for identity, count in runs.items() if count > 1]
        statuses = collections.Counter(request.outcome.status for request in self.requests)
        stops = sum(instance.signal_count for instance in self.instances)
        kills = sum(instance.kills for instance in self.instances)
        print(f"requests {len(self.requests)} {dict(statuses)}, stops {stops}, lost {len(lost)}, cut and excused {len(excused)}, crossed a close {crossed}, killed {kills}, streams to {self.stream_s} s, few slots {self.has_few_slots}, {self.stops_at_a_time} at a time, longest stall of the soak itself {self.longest_stall:.2f} s")
        check("no request is lost around planned stops", not lost, lost[:8])
        check("no process lives until SIGKILL", kills == 0, kills)
        check("each process ends in order", not any(instance.codes for instance in self.instances), [instance.codes for instance in self.instances])
        check("no request that was rejected as not run has run", not refused, refused[:8])
        check("no request is denied", not denied, denied[:4])
        check("no request runs twice", not twice, twice[:8])

    def end(self):
        for instance in self.instances:
            if instance.entry.process and instance.entry.process.returncode is None:
                instance.entry.process.kill()


async def run(binary, seed, seconds, logs):
    with tempfile.TemporaryDirectory() as temporary:
        folder = logs or temporary
        soak = Soak(binary, folder, seed, seconds)
        try:
            await soak.play()
            soak.judge()
        finally:
            soak.end()
            await close_callers()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True, help="directory that contains the programs")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--logs", help="folder for the instances' settings and logs")
    arguments = parser.parse_args()
    print(f"repeat with: tests/platform/stop_soak.py --bin {arguments.bin} --seed {arguments.seed} --seconds {arguments.seconds:g}", flush=True)
    asyncio.run(run(str(pathlib.Path(arguments.bin) / "borageslip-entry"), arguments.seed, arguments.seconds, arguments.logs))
    print(f"{len(failures)} failed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
