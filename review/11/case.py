"""The last tenants are taken away, and then every request is let in."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support-3"))
from client import ask  # noqa: E402
from fleet import BOUNDS, BROKEN, COULD_NOT_RUN, HAS_TROUBLE, HELD, Store, configuration, route, run_case, start_instances  # noqa: E402
from worker import Worker  # noqa: E402

REVOKE = BOUNDS["revoke_ms"] / 1000
GAP = 1.5  # Seconds between the two versions that take a tenant away.
ASKED_FOR = 4.0  # Seconds, from the end of the bound on.
KEYS = {"key-1": "key-1", "key-2": "key-2", "never-held": "key-of-nobody", "no-key": None}
ROUTES = [route("book", "non_idempotent", "bookings", timeout_ms=1000, target_latency_ms=150, max_attempts=1)]


async def main(record, folder, ends):
    store = Store()
    for number in range(3):
        worker = Worker(f"w-{number}", "bookings", store, record)
        await worker.start()
        ends.append(worker.end)

    def write(version, *numbers):
        tenants = [{"name": f"tenant-{number}", "api_keys": [f"key-{number}"], "priority": 1} for number in numbers]
        store.put_json("op/config", configuration(version, ROUTES, ["bookings"], tenants))
        record.write(f"version {version} is acknowledged; its tenants: {tenants}")

    write(1, 1, 2)
    instances = await start_instances(folder, ends, store)
    if not instances:
        return COULD_NOT_RUN

    async def book(name, phase, number=0):
        return await ask(record, instances[number % 3].front, "POST", "/book/a", f"{phase}-{name}-{number}", KEYS[name], body=b"swap")

    before = {name: (await book(name, "before")).status for name in KEYS}
    if before != {"key-1": 200, "key-2": 200, "never-held": 401, "no-key": 401}:
        return COULD_NOT_RUN
    write(2, 1)
    if HAS_TROUBLE:
        await asyncio.sleep(GAP)
        write(3)
    await asyncio.sleep(REVOKE + 0.1)
    record.write(f"all that follow are sent over {REVOKE:.0f} s after the last ack")
    without_key = [name for name in KEYS if HAS_TROUBLE or name != "key-1"]
    begun, number = time.monotonic(), 0
    while time.monotonic() < begun + ASKED_FOR:
        for name in without_key:
            number += 1
            await book(name, "late", number)
        await asyncio.sleep(0.1)
    late = [identity for identity in Worker.run_identities() if identity.startswith("late-")]
    for name in without_key:
        ran = sum(identity.startswith(f"late-{name}-") for identity in late)
        record.write(f"bookings of caller {name}, of which no key is in force, that ran: {ran}")
    return BROKEN if late else HELD


run_case(__file__, main)
