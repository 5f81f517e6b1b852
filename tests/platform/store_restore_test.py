#!/usr/bin/env python3
"""Runs several borageslip-entry processes against a store that comes back from an older copy, and checks that they keep the
platform's rules.

Prints one line for each check and ends with the number of failed checks. Every case has a time limit.
"""
import asyncio
import functools
import pathlib
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from entry_test import Entry, check, end_all, run_checks  # noqa: E402
from fleet_test import configuration_with_new_route, is_served  # noqa: E402
from platform_standin import BackendServer, configuration, start_server  # noqa: E402
from restorable_store import RestorableStore  # noqa: E402

CHANGE_BOUND = 2  # Seconds; the users' limit at nine instances, which is the default of the settings.
DRAIN_BOUND = 2  # Seconds after which no request reaches a draining server.
INSTANCES = 6
COPY_AGE = 4  # Seconds.
DOWN_TIME = 0.3  # Seconds.
HEARTBEAT = 0.1  # Seconds between two entries of a server; each takes a revision.
RECORD_BOUND = 4  # Seconds after which the records of all instances are back.


class Drill:
    """Instances, servers that write their entries, and a store that is restored."""

    def __init__(self, store, servers, entries):
        self.store, self.servers, self.entries = store, servers, entries
        self.states = {server.identity: "ready" for server in servers}
        self.sequence = 0

    def write_entry(self, server):
        self.sequence += 1
        self.store.put_json(f"servers/{server.identity}", server.entry("pool", state=self.states[server.identity], sequence=self.sequence))

    async def send_heartbeats(self):
        while True:
            for server in self.servers:
                if not self.store.is_down and self.states[server.identity] is not None:
                    self.write_entry(server)
            await asyncio.sleep(HEARTBEAT)

    async def are_served(self, path, entries=None, bound=CHANGE_BOUND):
        return await asyncio.gather(*(entry.wait_until(lambda entry=entry: is_served(entry, path), bound) for entry in entries or self.entries))

    def log_lines(self, event):
        return [line for entry in self.entries for line in entry.log_lines() if line["event"] == event]


async def check_route_after_return(drill):
    """Guards against changes of the configuration that do not take effect after the return, because their revisions were
    issued before."""
    store = drill.store
    await asyncio.sleep(COPY_AGE)
    store.put_json("op/config", configuration_with_new_route(10))
    check("a route takes effect before the drill", all(await drill.are_served("/new-10/a")))
    lost = await store.restore(COPY_AGE, DOWN_TIME)
    store.write_again([event for event in lost if event["key"] == "op/config"])
    store.put_json("op/config", configuration_with_new_route(11))
    results = await drill.are_served("/new-11/a")
    check("a route that is added after the return takes effect in time at all instances", all(results), results)


async def check_drain_after_return(drill):
    """Guards against requests to a server that begins to drain right after the return, because the revision of its entry
    was issued before (DRAIN)."""
    server = drill.servers[0]
    await asyncio.sleep(COPY_AGE)
    await drill.store.restore(COPY_AGE, DOWN_TIME)
    drill.states[server.identity] = "draining"
    drill.write_entry(server)
    await asyncio.sleep(DRAIN_BOUND)
    server.runs.clear()
    answers = []
    for number in range(20):
        answers += await asyncio.gather(*(entry.ask("/read/a", identity=f"drain-{entry.front}-{number}") for entry in drill.entries))
        await asyncio.sleep(0.05)
    check("a server that drains right after the return gets no request after the time limit", not server.runs, len(server.runs))
    check("the other servers serve the requests", all(answer.status == 200 for answer in answers), [answer.status for answer in answers])
    drill.states[server.identity] = "ready"
    drill.write_entry(server)


async def check_older_entries(drill):
    """Guards against a draining server that gets requests again because the copy has its entry from before, and against a
    server that is dropped because the copy lacks its entry, while both have not yet written again (kept for 2 s)."""
    drained, unlisted = drill.servers[0], drill.servers[1]
    drill.states[unlisted.identity] = None
    drill.store.remove(f"servers/{unlisted.identity}")
    await asyncio.sleep(COPY_AGE)
    drill.states[unlisted.identity] = "ready"
    drill.states[drained.identity] = "draining"
    await asyncio.sleep(DRAIN_BOUND)
    before = len(drill.log_lines("server-removed"))
    states, drill.states = drill.states, {server.identity: None for server in drill.servers}
    drained.runs.clear()
    await drill.store.restore(COPY_AGE, 0)
    until = time.monotonic() + 1.5
    while time.monotonic() < until:
        await asyncio.gather(*(entry.ask("/read/a", identity=f"older-{entry.front}") for entry in drill.entries))
    check("a draining server gets no request because the copy has an older entry", not drained.runs, len(drained.runs))
    check("a server whose entry is missing at the return is kept until it can write again", len(drill.log_lines("server-removed")) == before)
    drill.states = states
    await asyncio.sleep(2)
    check("a server that writes its entry again stays", len(drill.log_lines("server-removed")) == before)
    drill.states = {server.identity: "ready" for server in drill.servers}
    await asyncio.sleep(1)


async def check_revoked_key(drill):
    """Guards against a revoked key or a dropped route that is accepted again because the copy has an older configuration,
    and against instances that no longer accept keys because their configuration is not the one of the store."""
    store = drill.store
    store.put_json("op/config", configuration_with_new_route(20))
    check("a route takes effect before the drill", all(await drill.are_served("/new-20/a")))
    await asyncio.sleep(COPY_AGE)
    store.put_json("op/config", configuration(21, tenants=[{"name": "account-1", "api_keys": ["key-1"], "priority": 1}]))
    await asyncio.sleep(CHANGE_BOUND)
    lost = await store.restore(COPY_AGE, DOWN_TIME)
    revoked, dropped, valid = set(), set(), set()
    until = time.monotonic() + 5
    while time.monotonic() < until:
        for entry in drill.entries:
            revoked.add((await entry.ask("/read/a", key="key-2")).status)
            dropped.add((await entry.ask("/new-20/a")).status)
            valid.add((await entry.ask("/read/a")).status)
        await asyncio.sleep(0.1)
    check("a revoked key stays refused while the store has an older configuration", revoked == {401}, revoked)
    check("a dropped route stays dropped while the store has an older configuration", dropped == {404}, dropped)
    check("valid keys are accepted while the store has an older configuration", valid == {200}, valid)
    store.write_again([event for event in lost if event["key"] == "op/config"])
    store.put_json("op/config", configuration_with_new_route(22))
    check("the next version takes effect", all(await drill.are_served("/new-22/a")))


async def check_members(drill):
    """Guards against instances that keep a lease of the old era, which may belong to another one, and against members that
    are dropped because the copy lacks their records."""
    store = drill.store
    keys = {f"borageslip/members/{entry.name}" for entry in drill.entries}

    async def are_listed():
        return keys <= set(store.items)

    async def are_leased():
        return keys <= {key for key, item in store.items.items() if (store.era, item["lease"]) in store.lease_holders}

    # Leases that were granted after the copy, whose numbers are issued again to other instances.
    store.foreign_lease_calls.clear()
    for _ in range(2):
        await store.restore(COPY_AGE, DOWN_TIME)
        check("the records of all instances are back in time, under leases of the new era", await drill.entries[0].wait_until(are_leased, RECORD_BOUND), [(store.era, store.items.get(key)) for key in sorted(keys)])
        await asyncio.sleep(1)
    check("no instance renews or ends a lease that it has not been granted in the era it knows", not store.foreign_lease_calls, store.foreign_lease_calls)
    await asyncio.sleep(6)
    check("the records stay in the store", await are_listed())
    check("no instance drops another one", not drill.log_lines("member-removed"), drill.log_lines("member-removed"))


async def check_two_drills(drill):
    """Guards against a second drill within seconds that makes instances drop servers or miss changes, and against many
    instances that read all keys from the store at the same moment."""
    store = drill.store
    await asyncio.sleep(COPY_AGE)
    before = len(drill.log_lines("server-removed"))
    store.full_reads.clear()
    await store.restore(COPY_AGE, DOWN_TIME)
    await asyncio.sleep(0.7)
    await store.restore(0.5, 0)
    store.put_json("op/config", configuration_with_new_route(30))
    results = await drill.are_served("/new-30/a")
    check("a route that is added after two drills takes effect in time", all(results), results)
    await asyncio.sleep(3)
    check("no server is dropped after two drills", len(drill.log_lines("server-removed")) == before)
    check("one instance reads all keys from the store for the others", sum(store.full_reads.values()) <= 2 * 2, store.full_reads)


async def check_start_during_drill(drill, start_entry):
    """Guards against an instance that starts during the drill and mixes both eras or does not become ready."""
    store = drill.store
    await asyncio.sleep(COPY_AGE)
    starting = await start_entry(INSTANCES)
    try:
        await asyncio.sleep(0.02)
        lost = await store.restore(COPY_AGE, DOWN_TIME)
        store.write_again([event for event in lost if event["key"] == "op/config"])
        store.put_json("op/config", configuration_with_new_route(40))
        check("an instance that starts during the drill becomes ready", await starting.wait_until(starting.is_ready, 5))
        check("it serves what was written after the return", all(await drill.are_served("/new-40/a", [*drill.entries, starting])))
    finally:
        starting.process.terminate()
        await asyncio.wait_for(starting.process.wait(), 8)


async def check_reports(drill):
    lines = drill.log_lines("store-era")
    check("the log names each change of the era", len(lines) >= INSTANCES, len(lines))
    metrics = (await drill.entries[0].get(drill.entries[0].metrics, "/metrics")).body.decode()
    counts = [float(line.split(" ")[1]) for line in metrics.splitlines() if line.startswith("borageslip_entry_store_era_changes_total ")]
    check("the changes of the era are counted", counts == [drill.store.era - 1], f"{counts} in era {drill.store.era}")


async def run(binary):
    store = RestorableStore()
    servers = [BackendServer(f"i-{number}") for number in range(3)]
    for server in servers:
        await server.listen()
    store.put_json("op/config", configuration(7))
    with tempfile.TemporaryDirectory() as folder:

        async def start_entry(number):
            name = f"entry-{number}"
            _, address = await start_server(functools.partial(store.serve_instance, name))
            entry = Entry(binary, folder, address, name=name)
            entry.name = name
            await entry.start()
            return entry

        drill = Drill(store, servers, [])
        heartbeats = asyncio.create_task(drill.send_heartbeats())
        try:
            for number in range(INSTANCES):
                drill.entries.append(await start_entry(number))
            for entry in drill.entries:
                check("an instance becomes ready", await entry.wait_until(entry.is_ready))
            await asyncio.sleep(2)
            for case in (check_route_after_return, check_drain_after_return, check_older_entries, check_revoked_key, check_members, check_two_drills):
                await asyncio.wait_for(case(drill), 60)
            await asyncio.wait_for(check_start_during_drill(drill, start_entry), 60)
            await asyncio.wait_for(check_reports(drill), 60)
        finally:
            heartbeats.cancel()
            await end_all(drill.entries)


if __name__ == "__main__":
    sys.exit(run_checks(__doc__, run))
