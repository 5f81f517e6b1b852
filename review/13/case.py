"""An instance never learns that a worker has left, because the instance that it reads from has just started."""
import asyncio
import json
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support-3"))
from client import ask  # noqa: E402
from fleet import BOUNDS, BROKEN, COULD_NOT_RUN, HAS_TROUBLE, HELD, Instance, Store, StoreServer, configuration, route, run_case  # noqa: E402
from worker import Worker  # noqa: E402

DRAIN, CONTACT = BOUNDS["drain_ms"] / 1000, BOUNDS["contact_ms"] / 1000
CUT = 5.0  # Seconds for which one instance is partitioned from the store.
RESTART = 0.3  # Seconds until a killed process is started again.
SERVES_ON = 20.0  # Seconds for which the leaving worker serves on: "at times many seconds".
ROUTES = [route("stock", "idempotent", "stock", timeout_ms=1000, target_latency_ms=150)]


class LeavingWorker(Worker):
    """Says in its answers that it leaves, from the moment on at which its entry is removed."""

    def own_fields(self, headers):
        return super().own_fields(headers) + ([] if self.is_listed else [("Server-Leaving", "1")])


class CutStoreServer(StoreServer):
    """The way of one instance to the store, which can be cut."""

    is_cut = False

    async def serve(self, reader, writer):
        if self.is_cut:
            return writer.transport.abort()
        return await super().serve(reader, writer)

    def cut(self):
        self.is_cut = True
        for writer in list(self.writers):
            writer.transport.abort()


def source_of(instance, instances):
    """The instance from which this one reads what the store has, by its log; none if it reads from the store itself."""
    lines = [json.loads(line) for line in pathlib.Path(instance.log.name).read_text().splitlines() if '"store-source"' in line]
    names = {f"127.0.0.1:{other.peer}": other for other in instances}
    return names.get(lines[-1]["source"]) if lines else None


async def main(record, folder, ends):
    store = Store()
    workers = [LeavingWorker(f"w-{number}", "stock", store, record) for number in range(3)]
    for worker in workers:
        await worker.start()
        ends.append(worker.end)
    store.put_json("op/config", configuration(1, ROUTES, ["stock"]))
    servers = [CutStoreServer(store) for _ in range(3)]
    instances = []
    for number, server in enumerate(servers):
        instances.append(Instance(folder, number, await server.start()))
        ends.append(server.end)
        await instances[-1].start()
        ends.append(instances[-1].end)
    if not all([await instance.wait_ready() for instance in instances]):
        return COULD_NOT_RUN
    await asyncio.sleep(4)
    sources = {instance.name: source_of(instance, instances) for instance in instances}
    record.write(f"sources: { {name: source.name if source else 'store' for name, source in sources.items()} }")
    follower = next((instance for instance in instances if sources[instance.name]), None)
    if follower is None:
        return COULD_NOT_RUN
    reader, server = sources[follower.name], servers[instances.index(follower)]
    leaving = workers[0]
    if HAS_TROUBLE:
        server.cut()
        record.write(f"{follower.name} is partitioned from the store")
        await asyncio.sleep(1)
        reader.signal(signal.SIGKILL)
        await reader.process.wait()
        record.write(f"{reader.name} is killed")
    leaving.is_listed = False
    store.remove(f"servers/{leaving.identity}")
    removed = time.monotonic()
    record.write(f"the entry of {leaving.identity} is removed, acknowledged; it serves on for {SERVES_ON} s")
    if HAS_TROUBLE:
        await asyncio.sleep(RESTART)
        await reader.start()
        record.write(f"{reader.name} is started again")
        await asyncio.sleep(CUT - 1 - RESTART)
        server.is_cut = False
        record.write(f"{follower.name} reaches the store again")
    await asyncio.sleep(CONTACT + 0.5)
    record.write(f"all machines are in touch; {time.monotonic() - removed:.1f} s after the removal")
    for number in range(90):
        await ask(record, instances[number % 3].front, "GET", "/stock/a", f"r-{number}-{instances[number % 3].name}")
        await asyncio.sleep(0.05)
    late = [(identity, at - removed) for at, identity in leaving.runs if at > removed + DRAIN]
    for identity, after in late:
        record.write(f"reached the worker that has left: {identity}, {after:.2f} s after the removal of its entry ({DRAIN:.0f} s allowed)")
    record.write(f"late requests at the worker: {len(late)}")
    return BROKEN if late else HELD


run_case(__file__, main)
