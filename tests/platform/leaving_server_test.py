#!/usr/bin/env python3
"""Checks that instances send no request to a backend server that has left, whatever the instances from which they read the
list of servers do.

Real processes and the real clock. Prints one line for each check and ends with the number of failed checks.
"""
import asyncio
import signal
import sys
import tempfile
import time
import pathlib

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from entry_test import Entry, check, failures, run_checks  # noqa: E402
from platform_standin import BackendServer, Store, configuration, start_server  # noqa: E402

INSTANCES = 5
DRAIN_S = 2.0  # Default of the settings; the users' bound at nine instances.
SETTLE_S = 0.05  # After the bound.
BURST = 8  # Requests to each instance at the same moment.
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


async def run(binary):
    store = Store()
    _, store_address = await start_server(store.serve)
    store.put_json("op/config", configuration(7))
    with tempfile.TemporaryDirectory() as folder:
        entries = []
        for number in range(INSTANCES):
            path = pathlib.Path(folder) / f"entry-{number}"
            path.mkdir()
            entries.append(Entry(binary, path, store_address, name=f"entry-{number}"))
        fleet = Fleet(store, entries)
        for _ in range(3):
            await fleet.add_server()
        beating = asyncio.ensure_future(fleet.beat())
        try:
            for entry in entries:
                await entry.start()
            check("all instances are ready", all([await entry.wait_until(entry.is_ready) for entry in entries]))
            await asyncio.sleep(3)
            for case in (check_frozen_reader,):
                await asyncio.wait_for(case(fleet), 90)
        finally:
            beating.cancel()
            for entry in entries:
                if entry.process and entry.process.returncode is None:
                    entry.process.kill()
                    await entry.process.wait()
                if failures:
                    print(entry.path.name, entry.log_path.read_text()[-1500:])


if __name__ == "__main__":
    sys.exit(run_checks(__doc__, run))
