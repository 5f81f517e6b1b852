#!/usr/bin/env python3
"""Checks that instances send no request to a backend server that has left, whatever the instances from which they read the
list of servers do.

Real processes and the real clock. Prints one line for each check and ends with the number of failed checks.
"""
import asyncio
import pathlib
import signal
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from entry_test import Entry, check, end_all, run_checks, start_all  # noqa: E402
from platform_standin import BackendServer, Store, configuration, start_server  # noqa: E402

INSTANCES = 5
DRAIN_S = 2.0  # Default of the settings; the users' bound at nine instances.
SETTLE_S = 0.05  # After the bound.
BURST = 8  # Requests to each instance at the same moment.
FREEZE_S = 4.0
OUTAGE_S = 6.0  # Of the store.
ENTRIES_RETURN_S = 1.2  # After the outage.
SOURCE_RETRY_S = 5.0  # After a freeze: until the others read from the instance again.


class Fleet:
    def __init__(self, store, entries):
        self.store, self.entries = store, entries
        self.servers = []
        self.started = 0

    async def add_server(self):
        server = BackendServer(f"i-{self.started}")
        self.started += 1
        await server.listen()
        self.servers.append(server)
        self.write(server)
        return server

    def write(self, server, state="ready"):
        self.store.put_json(f"servers/{server.identity}", server.entry("pool", state, sequence=self.store.revision))

    def remove(self, server):
        self.store.remove(f"servers/{server.identity}")

    async def beat(self):
        """Writes the entries as servers do, so that watches of the store end at once."""
        while True:
            await asyncio.sleep(0.4)
            for server in self.servers:
                self.write(server)

    def source(self, entry):
        """Name of the instance from which this one reads; None for the store."""
        lines = [line for line in entry.log_lines() if line["event"] == "store-source"]
        source = lines[-1]["source"] if lines else "store"
        return None if source == "store" else next(other for other in self.entries if source.endswith(f":{other.peer}"))

    def reader(self):
        """The instance from which most others read."""
        sources = [self.source(entry) for entry in self.entries]
        return max(self.entries, key=sources.count)

    async def burst(self, entries, name):
        """Returns the ids of the requests."""
        names = [f"{name}-{entries.index(entry)}-{number}" for entry in entries for number in range(BURST)]
        await asyncio.gather(*(entry.ask("/read/a", identity=f"{name}-{entries.index(entry)}-{number}") for entry in entries for number in range(BURST)))
        return names

    async def late_requests(self, server, acknowledged, entries, name):
        """Requests that are sent after the bound and reach the server all the same."""
        await asyncio.sleep(max(0, acknowledged + DRAIN_S + SETTLE_S - time.monotonic()))
        sent = set(await self.burst(entries, name))
        return [headers["x-request-id"] for _, headers, _ in server.runs if headers["x-request-id"] in sent]


async def check_frozen_reader(fleet):
    """Guards against requests to a draining server from instances whose source is frozen while the server reports it
    (DRAIN): polls of an instance that hang must not delay the knowledge of the list."""
    late = []
    for turn in range(5):
        reader = fleet.reader()
        others = [entry for entry in fleet.entries if entry is not reader]
        reader.process.send_signal(signal.SIGSTOP)
        leaving = fleet.servers.pop(0)
        fleet.write(leaving, "draining")
        late += await fleet.late_requests(leaving, time.monotonic(), others, f"drain-{turn}")
        reader.process.send_signal(signal.SIGCONT)
        fleet.remove(leaving)
        await fleet.add_server()
        await asyncio.sleep(SOURCE_RETRY_S + 0.13 * turn)
    check("a draining server gets no late request from an instance whose source is frozen", not late, late)


async def find_order(fleet):
    """The instance from which the others read, and the one that takes its place while it is frozen."""
    first = fleet.reader()
    first.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    others = [entry for entry in fleet.entries if entry is not first]
    sources = [fleet.source(entry) for entry in others]
    second = max(others, key=sources.count)
    first.process.send_signal(signal.SIGCONT)
    await asyncio.sleep(SOURCE_RETRY_S)
    return first, second


async def check_two_frozen(fleet):
    """Guards against requests to a server whose entry was removed while two instances are frozen (DRAIN): polls that hang at
    instances are no outage of the store, after which entries may return."""
    late = []
    for turn in range(3):
        first, second = await find_order(fleet)
        calm = [entry for entry in fleet.entries if entry not in (first, second)]
        first.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(1)
        second.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(1.9 + 0.2 * turn)
        leaving = fleet.servers.pop(0)
        fleet.remove(leaving)
        late += await fleet.late_requests(leaving, time.monotonic(), calm, f"removed-{turn}")
        for entry in (first, second):
            entry.process.send_signal(signal.SIGCONT)
        await fleet.add_server()
        await asyncio.sleep(SOURCE_RETRY_S)
    check("a removed server gets no late request from an instance whose two sources are frozen", not late, late)


async def check_outage(fleet, has_frozen):
    """Guards against bookings that are refused because the entries of live servers expired while the store was away: they are
    back soon after its return."""
    reader = fleet.reader()
    calm = [entry for entry in fleet.entries if entry is not reader]
    statuses, is_ended = {}, False

    async def book(entry):
        number = 0
        while not is_ended:
            identity = f"book-{has_frozen}-{entry.front}-{number}"
            statuses[identity] = (await entry.ask("/book/a", "POST", identity=identity, body=b"x")).status
            number += 1
            await asyncio.sleep(0.05)

    fleet.store.is_down = True
    bookings = [asyncio.ensure_future(book(entry)) for entry in calm]
    await asyncio.sleep(OUTAGE_S - 2)
    if has_frozen:
        reader.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(2)
    away, fleet.servers = fleet.servers, []
    for server in away:
        fleet.remove(server)
    fleet.store.is_down = False
    await asyncio.sleep(ENTRIES_RETURN_S)
    fleet.servers = away
    for server in away:
        fleet.write(server)
    await asyncio.sleep(3)
    if has_frozen:
        reader.process.send_signal(signal.SIGCONT)
    is_ended = True
    await asyncio.gather(*bookings)
    refused = {identity: status for identity, status in statuses.items() if status != 200}
    check(f"no booking is refused because entries expired in an outage of the store (frozen instance: {has_frozen})", not refused and len(statuses) > 100, f"{len(statuses)} {refused}")
    await asyncio.sleep(SOURCE_RETRY_S)


async def run(binary):
    store = Store()
    _, store_address = await start_server(store.serve)
    store.put_json("op/config", configuration(7))
    with tempfile.TemporaryDirectory() as folder:
        entries = []
        for number in range(INSTANCES):
            # Keys are accepted throughout the outages of the store.
            entries.append(Entry(binary, folder, store_address, name=f"entry-{number}", revoke_ms=60_000))
        fleet = Fleet(store, entries)
        for _ in range(3):
            await fleet.add_server()
        beating = asyncio.ensure_future(fleet.beat())
        try:
            await start_all(entries)
            await asyncio.sleep(3)
            await asyncio.wait_for(check_frozen_reader(fleet), 90)
            await asyncio.wait_for(check_two_frozen(fleet), 90)
            for has_frozen in (False, True):
                await asyncio.wait_for(check_outage(fleet, has_frozen), 60)
        finally:
            beating.cancel()
            await end_all(entries)


if __name__ == "__main__":
    sys.exit(run_checks(__doc__, run))
