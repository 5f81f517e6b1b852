"""An instance that is added after the store came back from a copy accepts a key that was taken away before. No case; see
REPORT-3.md."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from client import ask  # noqa: E402
from fleet import BOUNDS, BROKEN, COULD_NOT_RUN, HAS_TROUBLE, HELD, Instance, configuration, route, run_case, start_instances  # noqa: E402
from worker import Worker  # noqa: E402
from restorable_store import RestorableStore  # noqa: E402

REVOKE = BOUNDS["revoke_ms"] / 1000
COPY_AGE = 6.0  # Seconds: "some seconds old".
AWAY = 0.3  # Seconds: "for a moment".
WRITTEN_AGAIN_AFTER = 1.5  # Seconds from the return on, after which the operator has written its configuration again.
ASKED_FOR = 4.0  # Seconds from the return on.
ROUTES = [route("stock", "idempotent", "stock", timeout_ms=1000, target_latency_ms=150)]
KEPT = {"name": "tenant-1", "api_keys": ["key-1"], "priority": 1}


async def main(record, folder, ends):
    store = RestorableStore()
    for number in range(3):
        worker = Worker(f"w-{number}", "stock", store, record)
        await worker.start()
        ends.append(worker.end)
    store.put_json("op/config", configuration(1, ROUTES, ["stock"], [KEPT, {"name": "tenant-2", "api_keys": ["key-2"], "priority": 1}]))
    instances = await start_instances(folder, ends, store)
    if not instances:
        return COULD_NOT_RUN
    await asyncio.sleep(COPY_AGE)

    async def ask_all(phase):
        return [(await ask(record, instance.front, "GET", "/stock/a", f"{phase}-{instance.name}", "key-2")).status for instance in instances]

    if await ask_all("before") != [200, 200, 200]:
        return COULD_NOT_RUN
    store.put_json("op/config", configuration(2, ROUTES, ["stock"], [KEPT, {"name": "tenant-2", "api_keys": [], "priority": 1}]))
    acknowledged = time.monotonic()
    record.write("version 2, which takes key-2 away, is acknowledged")
    await asyncio.sleep(REVOKE - 1)
    if await ask_all("after") != [401, 401, 401]:
        return COULD_NOT_RUN
    await asyncio.sleep(acknowledged + REVOKE - time.monotonic())
    lost = []
    if HAS_TROUBLE:
        record.write(f"the store goes away for {AWAY} s and comes back from a copy that is {COPY_AGE} s old")
        lost = await store.restore(COPY_AGE, AWAY)
    else:
        await asyncio.sleep(AWAY)
    returned = time.monotonic()
    added = Instance(folder, len(instances), instances[0].store_address)
    await added.start()
    ends.append(added.end)
    instances.append(added)
    record.write(f"{added.name} is added")
    sent, is_written, number = {}, False, 0
    while time.monotonic() < returned + ASKED_FOR:
        if not is_written and time.monotonic() >= returned + WRITTEN_AGAIN_AFTER:
            is_written = True
            store.write_again([event for event in lost if event["key"] == "op/config"])
            record.write("the operator has written its configuration again")
        for instance in instances:
            number += 1
            identity = f"late-{number}-{instance.name}"
            sent[identity] = time.monotonic() - acknowledged
            await ask(record, instance.front, "GET", "/stock/a", identity, "key-2")
        await asyncio.sleep(0.05)
    late = {identity: sent[identity] for identity in Worker.run_identities() if sent.get(identity, 0) > REVOKE}
    for identity, after in late.items():
        record.write(f"ran with the key that was taken away: {identity}, sent {after:.3f} s after the ack")
    record.write(f"of {len(sent)} requests with the key, sent over {REVOKE:.0f} s after the ack, ran: {len(late)}")
    return BROKEN if late else HELD


run_case(__file__, main, name="restored_store.txt")
