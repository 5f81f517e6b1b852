"""An instance freezes while a worker leaves: do the other instances of its zone stop sending to the worker in time?"""
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
ROUNDS = 9
FREEZE_S = 4.0  # As long as the site file's node_freeze.
DRAIN_S = BOUNDS["drain_ms"] / 1000
CONTACT_S = BOUNDS["contact_ms"] / 1000
BURST = 12  # Requests to each instance at the same moment, as a clump of callers.


def source_of_others(fleet):
    """The instance from which most others read the list of workers."""
    sources = []
    for instance in fleet.instances:
        events = [line for line in instance.log_lines() if line["event"] == "store-source"]
        if events:
            sources.append(events[-1]["source"].split(":")[0])
    return max(fleet.instances, key=lambda instance: sources.count(instance.address))


async def burst(fleet, instances, name):
    clients = [Client(fleet, instance) for instance in instances for _ in range(BURST)]
    await asyncio.gather(*(client.ask("GET", f"/ver-stock/{number}", f"{name}-{number}") for number, client in enumerate(clients)))
    for client in clients:
        client.close()


async def case():
    fleet = Fleet(HERE / "record.txt", ["cl-centro-a"] * 3)
    workers = [Worker(fleet.store, fleet.record, f"w-{number}", "despacho", "cl-centro-a") for number in range(3)]
    late = []
    try:
        document = configuration(10, [route("ver-stock", "idempotent", "despacho")], ["despacho"])
        if not await fleet.start(document, workers):
            raise RuntimeError("the instances did not get ready")
        await asyncio.sleep(CONTACT_S + 1)
        await burst(fleet, fleet.instances, "begin")
        for turn in range(ROUNDS):
            await asyncio.sleep(CONTACT_S + 0.5 + 0.17 * turn % 0.6)
            frozen = source_of_others(fleet)
            calm = [instance for instance in fleet.instances if instance is not frozen]
            if HAS_TROUBLE:
                fleet.record.write(f"{frozen.name} freezes")
                frozen.signal(signal.SIGSTOP)
            frozen_at = time.monotonic()
            leaving = workers.pop(0)
            acknowledged_at = leaving.set_state("draining")
            fleet.record.write(f"the store has acknowledged that {leaving.identity} is draining")
            await asyncio.sleep(acknowledged_at + DRAIN_S + 0.03 - time.monotonic())
            for part in range(3):
                await burst(fleet, calm, f"turn{turn}-{part}")
            for at, identity, _ in leaving.arrivals:
                if at > acknowledged_at + DRAIN_S:
                    late.append(identity)
                    fleet.record.write(f"RULE BROKEN: {identity} reached {leaving.identity} {at - acknowledged_at:.3f} s after the acknowledgement")
            await asyncio.sleep(max(0, frozen_at + FREEZE_S - time.monotonic()))
            if HAS_TROUBLE:
                fleet.record.write(f"{frozen.name} goes on")
                frozen.signal(signal.SIGCONT)
            await leaving.leave()
            workers.append(Worker(fleet.store, fleet.record, f"w-{3 + turn}", "despacho", "cl-centro-a"))
            await workers[-1].start()
    finally:
        await fleet.stop()
    print(f"requests that reached a leaving worker later than {DRAIN_S} s after the acknowledgement: {len(late)}")
    return not late


run_case(case)
