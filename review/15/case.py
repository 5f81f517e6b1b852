"""Successes without the worker's seal reach clients."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support-3"))
from client import ask  # noqa: E402
from fleet import BROKEN, COULD_NOT_RUN, HAS_TROUBLE, HELD, Store, configuration, response, route, run_case, start_instances  # noqa: E402
from worker import Worker  # noqa: E402

WORKERS = 3
SPOILING = 1  # Of the workers: a share of 0.33.
SPOILED_SHARE = 0.02  # Of the answers of such a worker.
REQUESTS = 900
PAUSE = 0.02  # Seconds between requests.
ROUTES = [
    route("book", "non_idempotent", "app", timeout_ms=1000, target_latency_ms=150, max_attempts=1),
    route("stock", "idempotent", "app", timeout_ms=1000, target_latency_ms=150),
]


class SpoilingWorker(Worker):
    """Spoils one byte of every fiftieth answer: a letter in the name of the field with the seal."""

    spoiled = []

    async def answer(self, line, headers, body, reader, writer):
        self.record_run(headers)
        await asyncio.sleep(0.02)
        answer = response(200, b"ran " + body, self.own_fields(headers))
        if HAS_TROUBLE and len(self.runs) % round(1 / SPOILED_SHARE) == 0:
            self.spoiled.append(headers["x-request-id"])
            self.record.write(f"spoiled: the answer to {self.spoiled[-1]}")
            answer = answer.replace(b"X-Response-Seal:", b"X-Response-Sea1:")
        writer.write(answer)
        await writer.drain()
        return True


async def main(record, folder, ends):
    store = Store()
    for number in range(WORKERS):
        worker = (SpoilingWorker if number < SPOILING else Worker)(f"w-{number}", "app", store, record)
        await worker.start()
        ends.append(worker.end)
    store.put_json("op/config", configuration(1, ROUTES, ["app"]))
    instances = await start_instances(folder, ends, store)
    if not instances:
        return COULD_NOT_RUN
    requests = []
    for number in range(REQUESTS):
        method, path, body = ("POST", "/book/a", b"swap") if number % 2 else ("GET", "/stock/a", b"")
        requests.append(asyncio.ensure_future(ask(record, instances[number % 3].front, method, path, f"r-{number}", body=body)))
        await asyncio.sleep(PAUSE)
    answers = await asyncio.gather(*requests)
    successes = [number for number, answer in enumerate(answers) if answer.status is not None and answer.status // 100 == 2]
    unsealed = [number for number in successes if "x-response-seal" not in answers[number].fields]
    for number in unsealed:
        record.write(f"r-{number}: {answers[number].status} without X-Response-Seal; its fields: {answers[number].fields}")
    record.write(f"requests: {REQUESTS}; spoiled answers: {len(SpoilingWorker.spoiled)}; successes: {len(successes)}, of these without the seal: {len(unsealed)}")
    return BROKEN if unsealed else HELD


run_case(__file__, main)
