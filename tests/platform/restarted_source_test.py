#!/usr/bin/env python3
"""Checks that instances learn of removals although the instance from which they read has just started.

Real processes and the real clock. Prints one line for each check and ends with the number of failed checks.
"""
import asyncio
import pathlib
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from entry_test import Entry, check, end_all, run_checks, start_all  # noqa: E402
from leaving_server_test import SOURCE_RETRY_S, Fleet as LeavingFleet  # noqa: E402
from platform_standin import BackendServer, Store, configuration, start_server  # noqa: E402

INSTANCES = 3
SERVICES = [f"pool-{number}" for number in range(6)]  # An instance chooses the servers of the services that it coordinates.
REQUESTS = 4  # To each instance and service.
DRAIN_S = 2.0  # Default of the settings.
RESTART_S = 0.3  # After which a killed process is started again.
CUT_S = 4.0  # For which an instance is cut off from the store.
REACHED_S = 3.5  # After the cut: until an instance has to know what the store has.


class StoreAccess:
    """The connections of one instance to the store, which can be cut."""

    def __init__(self, store):
        self.store, self.is_cut, self.writers = store, False, set()

    async def serve(self, reader, writer):
        if self.is_cut:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            await self.store.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        self.writers.discard(writer)

    def cut(self):
        self.is_cut = True
        for writer in list(self.writers):
            writer.transport.abort()


class Fleet(LeavingFleet):
    """Instances before several services, each with two servers or more."""

    def __init__(self, store, entries):
        super().__init__(store, entries)
        self.service_of = {}

    async def add_servers(self):
        for service in SERVICES:
            server = BackendServer(f"i-{len(self.service_of)}")
            self.service_of[server] = service
            await server.listen()
            self.servers.append(server)
            self.store.put_json(f"servers/{server.identity}", server.entry(service))

    def remove_servers(self):
        """Removes the entry of the oldest server of each service."""
        leaving, self.servers = self.servers[: len(SERVICES)], self.servers[len(SERVICES) :]
        for server in leaving:
            self.remove(server)
        return leaving

    async def requests_at(self, servers, entries, name):
        """Sends requests to each service over each instance. Returns the ids of those that reach the servers."""
        names = []
        for entry in entries:
            for service in SERVICES:
                for number in range(REQUESTS):
                    names.append(f"{name}-{entries.index(entry)}-{service}-{number}")
                    answer = await entry.ask(f"/{service}/a", identity=names[-1])
                    if answer.status != 200:
                        check(f"{names[-1]} is served", False, answer)
        reached = {headers["x-request-id"] for server in servers for _, headers, _ in server.runs}
        return sorted(reached & set(names))


def count(entry, event):
    return sum(line["event"] == event for line in entry.log_lines())


async def restart(entry, while_down):
    """Kills an instance and starts it again. Returns what `while_down` returns."""
    entry.process.kill()
    await entry.process.wait()
    result = while_down()
    await asyncio.sleep(RESTART_S)
    await entry.start()
    return result


async def check_cut_follower(fleet, access):
    """Guards against requests to a removed server from an instance whose source has started after the removal, while the
    store does not answer the instance (DRAIN): the source does not know the removal."""
    late = []
    for turn in range(2):
        source = fleet.reader()
        follower = next(entry for entry in fleet.entries if fleet.source(entry) is source)
        access[follower].cut()
        await asyncio.sleep(0.7)
        leaving = await restart(source, fleet.remove_servers)
        await asyncio.sleep(CUT_S)
        access[follower].is_cut = False
        await asyncio.sleep(REACHED_S)
        late += await fleet.requests_at(leaving, fleet.entries, f"restarted-{turn}")
        check("the log tells that the source lacks changes", count(follower, "store-source-lacks-changes") > 0)
        await fleet.add_servers()
        await asyncio.sleep(SOURCE_RETRY_S)
    check("a removed server gets no late request from an instance whose source has just started", not late, late)


async def check_calm_followers(fleet):
    """Guards against full reads by all instances that follow one which has started again, while the store answers."""
    source = fleet.reader()
    followers = [entry for entry in fleet.entries if fleet.source(entry) is source]
    reads = [count(entry, "store-read") for entry in followers]
    leaving = await restart(source, fleet.remove_servers)
    await asyncio.sleep(DRAIN_S - RESTART_S)
    late = await fleet.requests_at(leaving, followers, "calm")
    check("a removed server gets no late request while the source of the others starts again", not late, late)
    await asyncio.sleep(SOURCE_RETRY_S)
    check("the instances that read from it do not read all keys again", [count(entry, "store-read") for entry in followers] == reads)


def configuration_of_services():
    document = configuration(7)
    read = document["routes"][0]
    document["routes"] = [{**read, "name": service, "path_prefix": f"/{service}/", "backend": service} for service in SERVICES]
    document["backends"] = [{**document["backends"][0], "name": service} for service in SERVICES]
    return document


async def run(binary):
    store = Store()
    store.put_json("op/config", configuration_of_services())
    with tempfile.TemporaryDirectory() as folder:
        access, entries = {}, []
        for number in range(INSTANCES):
            own_access = StoreAccess(store)
            _, store_address = await start_server(own_access.serve)
            entries.append(Entry(binary, folder, store_address, name=f"entry-{number}", revoke_ms=60_000))
            access[entries[-1]] = own_access
        fleet = Fleet(store, entries)
        for _ in range(2):
            await fleet.add_servers()
        try:
            await start_all(entries)
            await asyncio.sleep(4)
            await asyncio.wait_for(check_cut_follower(fleet, access), 80)
            await asyncio.wait_for(check_calm_followers(fleet), 40)
        finally:
            await end_all(entries)


if __name__ == "__main__":
    sys.exit(run_checks(__doc__, run))
