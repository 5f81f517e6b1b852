"""A worker fails part of the bookings that it has begun to run. Is a client told that such a booking has not run?"""
import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support-2"))
from fleet import Client, Fleet, Worker, configuration, route, run_case  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FAILED_SHARE = 0.45  # x of srv_grey in the site file.
REQUESTS = 200
PAUSE_S = 0.03
PROMISES = (408, 421, 429, 503)  # Status codes that tell the client: not run, and never will be.


class GreyWorker(Worker):
    """Begins to work on each booking and fails part of them: with 503 and without X-Not-Executed, since they have run."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.begun = set()
        self.count = 0.0

    async def answer(self, line, headers, body, writer):
        identity = headers.get("x-request-id", "")
        if headers.get("x-expect-instance") != self.identity:
            return await super().answer(line, headers, body, writer)
        self.begun.add(identity)
        self.count += FAILED_SHARE if HAS_TROUBLE else 0
        if self.count < 1:
            return await super().answer(line, headers, body, writer)
        self.count -= 1
        self.record.write(f"worker {self.identity} runs {identity} and fails: the order is written, its confirmation is not")
        await asyncio.sleep(self.work_s)
        answer = b"the order is written, its confirmation failed"
        writer.write(self.head(503, identity, len(answer), [f"X-Response-Seal: seal-{self.identity}-{identity}"]) + answer)
        await writer.drain()
        return True


async def case():
    fleet = Fleet(HERE / "record.txt", ["cl-centro-a", "cl-centro-b", "cl-centro-c"])
    workers = [Worker(fleet.store, fleet.record, f"w-{number}", "despacho", f"cl-centro-{'abc'[number]}") for number in range(2)]
    grey = GreyWorker(fleet.store, fleet.record, "w-2", "despacho", "cl-centro-c")
    false_promises, served = [], 0
    try:
        if not await fleet.start(configuration(10, [route("orden-recambio", "non_idempotent", "despacho")], ["despacho"]), [*workers, grey]):
            raise RuntimeError("the instances did not get ready")
        await asyncio.sleep(2)
        clients = [Client(fleet, instance) for instance in fleet.instances]
        for number in range(REQUESTS):
            names = [f"order-{client.instance.zone}-{number}" for client in clients]
            answers = await asyncio.gather(*(client.ask("POST", f"/orden-recambio/{number}", name, b"bottles=2") for client, name in zip(clients, names)))
            for name, answer in zip(names, answers):
                served += answer.status == 200
                if answer.status in PROMISES and name in grey.begun:
                    false_promises.append(name)
                    fleet.record.write(f"RULE BROKEN: {name} has run and is answered {answer.status}")
            await asyncio.sleep(PAUSE_S)
    finally:
        await fleet.stop()
    print(f"bookings served: {served}; that have run and were answered with a status that promises the contrary: {len(false_promises)}")
    if served < REQUESTS:
        raise RuntimeError("too few bookings were served")
    return not false_promises


run_case(case)
