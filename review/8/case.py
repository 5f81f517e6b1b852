"""Two instances freeze one after the other, and a worker's entry is removed: does the third instance of their zone stop sending to
the worker in time?"""
import asyncio
import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support-2"))
from fleet import BOUNDS, Client, Fleet, Worker, configuration, route, run_case  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 5
FREEZE_S = 4.0  # As long as the site file's node_freeze.
SECOND_FREEZE_S = 1.0  # After the first.
REMOVAL_S = 2.9  # After the first freeze.
DRAIN_S = BOUNDS["drain_ms"] / 1000
CONTACT_S = BOUNDS["contact_ms"] / 1000
BURST = 12


def last_source(instance):
    """The loopback address of the instance from which this one reads the list of workers; None for the store."""
    events = [line for line in instance.log_lines() if line["event"] == "store-source"]
    source = events[-1]["source"] if events else "store"
    return None if source == "store" else source.split(":")[0]


def reader_of(instances):
    sources = [last_source(instance) for instance in instances]
    return max(instances, key=lambda instance: sources.count(instance.address))


async def burst(fleet, instance, name):
    clients = [Client(fleet, instance) for _ in range(BURST)]
    await asyncio.gather(*(client.ask("GET", f"/ver-stock/{number}", f"{name}-{number}") for number, client in enumerate(clients)))
    for client in clients:
        client.close()


async def freeze(fleet, instance, seconds):
    fleet.record.write(f"{instance.name} freezes")
    instance.signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    instance.signal(signal.SIGCONT)
    fleet.record.write(f"{instance.name} goes on")


async def find_order(fleet):
    """The instance from which the others read, the one that takes its place while it is away, and the one that goes on reading."""
    first = reader_of(fleet.instances)
    task = asyncio.ensure_future(freeze(fleet, first, FREEZE_S))
    await asyncio.sleep(FREEZE_S - 0.3)
    others = [instance for instance in fleet.instances if instance is not first]
    second = reader_of(others)
    await task
    return first, second, next(instance for instance in others if instance is not second)


async def case():
    fleet = Fleet(HERE / "record.txt", ["cl-centro-a"] * 3)
    workers = [Worker(fleet.store, fleet.record, f"w-{number}", "despacho", "cl-centro-a") for number in range(3)]
    late = []
    try:
        document = configuration(10, [route("ver-stock", "idempotent", "despacho", sticky=True)], ["despacho"])
        if not await fleet.start(document, workers):
            raise RuntimeError("the instances did not get ready")
        await asyncio.sleep(CONTACT_S + 1)
        first, second, calm = await find_order(fleet)
        await burst(fleet, calm, "begin")
        for turn in range(ROUNDS):
            await asyncio.sleep(CONTACT_S + 2.5 + 0.23 * turn)
            begun = time.monotonic()
            freezes = []
            if HAS_TROUBLE:
                freezes.append(asyncio.ensure_future(freeze(fleet, first, FREEZE_S)))
                await asyncio.sleep(SECOND_FREEZE_S)
                freezes.append(asyncio.ensure_future(freeze(fleet, second, FREEZE_S)))
            await asyncio.sleep(begun + REMOVAL_S - time.monotonic())
            leaving = workers.pop(0)
            removed_at = leaving.remove_entry()
            fleet.record.write(f"the store has acknowledged that the entry of {leaving.identity} is gone; it serves on")
            await asyncio.sleep(removed_at + DRAIN_S + 0.03 - time.monotonic())
            for part in range(3):
                await burst(fleet, calm, f"turn{turn}-{part}")
            for at, identity, _ in leaving.arrivals:
                if at > removed_at + DRAIN_S:
                    late.append(identity)
                    fleet.record.write(f"RULE BROKEN: {identity} reached {leaving.identity} {at - removed_at:.3f} s after the acknowledgement")
            await asyncio.gather(*freezes)
            await leaving.stop()
            workers.append(Worker(fleet.store, fleet.record, f"w-{3 + turn}", "despacho", "cl-centro-a"))
            await workers[-1].start()
    finally:
        await fleet.stop()
    print(f"requests that reached a worker later than {DRAIN_S} s after its entry was gone: {len(late)}")
    return not late


run_case(case)
