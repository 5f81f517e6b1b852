#!/usr/bin/env python3
"""Checks which requests run, and for which client account, while lists of accounts change and while the store is away.

Real processes and the real clock. Prints one line for each check and ends with the number of failed checks.
"""
import asyncio
import pathlib
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from entry_test import Entry, check, end_all, run_checks, start_all, start_servers  # noqa: E402
from platform_standin import Store, configuration, start_server  # noqa: E402

KEY_LIFETIME_S = 1.8  # revoke_ms of the settings, less the margin of a read.
OUTAGE_S = 5.0  # Of the store.
RETURN_S = 3.0  # After an outage: until keys are accepted again.
APPLY_S = 2.0  # Default of the settings: within which a configuration takes effect.
KEYS = {"known": "key-1", "unknown": "key-of-nobody", "none": None}
NO_LIST = "no list"


class Fleet:
    def __init__(self, store, entry, servers):
        self.store, self.entry, self.servers = store, entry, servers
        self.sent = 0

    def write_configuration(self, version, accounts):
        document = configuration(version, tenants=accounts)
        slow = {**document["routes"][-1], "name": "slow", "path_prefix": "/slow/", "timeout_ms": 9000, "target_latency_ms": 6000}
        document["routes"].append(slow)
        if accounts == NO_LIST:
            del document["tenants"]
        self.store.put_json("op/config", document)

    def run_of(self, identity):
        """Header fields with which a request ran; None if it did not."""
        return next((headers for server in self.servers for _, headers, _ in server.runs if headers["x-request-id"] == identity), None)

    async def outcome(self, path, caller):
        """Status of a request, and the account for which it ran."""
        self.sent += 1
        identity = f"r-{self.sent}"
        answer = await self.entry.ask(path, "POST" if path.startswith("/book/") else "GET", KEYS[caller], identity, deadline=1000)
        run = self.run_of(identity)
        return answer.status, run and run.get("x-tenant", "")

    async def outcomes(self, path):
        return {caller: await self.outcome(path, caller) for caller in KEYS}


SERVED = dict.fromkeys(KEYS, (200, ""))
REFUSED = dict.fromkeys(KEYS, (401, None))
WITH_ACCOUNT = {**REFUSED, "known": (200, "account-1")}


async def check_lists(fleet):
    """Guards against requests that run without a valid key because the list of accounts is empty (ROUTE, CONFIG)."""
    accounts = configuration(0)["tenants"]
    steps = [(8, [], REFUSED, "the last account is removed"), (9, NO_LIST, SERVED, "the list is removed"), (10, [], REFUSED, "an empty list follows on no list"), (11, accounts, WITH_ACCOUNT, "the account is back"), (12, [{**accounts[0], "api_keys": []}], REFUSED, "the account has no key"), (13, accounts, WITH_ACCOUNT, "the key is back")]
    for version, listed, expected, step in steps:
        fleet.write_configuration(version, listed)
        await asyncio.sleep(APPLY_S)
        for path in ("/read/a", "/book/a"):
            seen = await fleet.outcomes(path)
            check(f"{step}: {path}", seen == expected, seen)
        seen = await fleet.outcome("/open/a", "none")
        check(f"{step}: an anonymous route serves callers without a key", seen == (200, ""), seen)
    fleet.write_configuration(14, None)
    await asyncio.sleep(APPLY_S)
    seen = await fleet.outcomes("/read/a")
    check("a configuration whose list cannot be read does not take effect", seen == WITH_ACCOUNT, seen)


async def check_first_list(fleet):
    """Guards against the same after a start: the first configuration that an instance reads has an empty list."""
    fleet.write_configuration(20, [])
    fleet.entry.process.kill()
    await fleet.entry.process.wait()
    await fleet.entry.start()
    check("an instance gets ready with an empty list", await fleet.entry.wait_until(fleet.entry.is_ready))
    for path in ("/read/a", "/book/a"):
        seen = await fleet.outcomes(path)
        check(f"an empty list is the first one that is read: {path}", seen == REFUSED, seen)
    fleet.write_configuration(21, configuration(0)["tenants"])
    await asyncio.sleep(APPLY_S)
    seen = await fleet.outcomes("/read/a")
    check("an account follows on an empty list", seen == WITH_ACCOUNT, seen)


class Outage:
    """Callers that ask one instance on an anonymous route and on one that needs a key, before, in and after an outage."""

    def __init__(self, fleet, entry):
        self.fleet, self.entry = fleet, entry
        self.outcomes = []  # Of one caller and path at one time, in order.

    async def ask_once(self, began, number):
        forged = ("X-Tenant: account-1",)

        async def ask(path, caller):
            identity = f"outage-{self.entry.front}-{number}-{path}-{caller}"
            sent = time.monotonic() - began
            answer = await self.entry.ask(path, key=KEYS[caller], identity=identity, deadline=1000, headers=forged)
            run = self.fleet.run_of(identity)
            self.outcomes.append((path, caller, sent, answer.status, run and run.get("x-tenant", ""), "retry-after" in answer.headers))

        await asyncio.gather(*(ask(path, caller) for path in ("/open/a", "/read/a") for caller in KEYS))

    def of(self, path, caller, begin=0.0):
        return [outcome[3:] for outcome in self.outcomes if outcome[:2] == (path, caller) and outcome[2] >= begin]


async def check_store_outage(fleet, lenient):
    """Guards against requests with a key that run without their account, or for another one, while the store cannot confirm
    the keys (UNASKED)."""
    strict, lenient = Outage(fleet, fleet.entry), Outage(fleet, lenient)
    began, number = time.monotonic(), 0
    while time.monotonic() < began + OUTAGE_S + RETURN_S:
        fleet.store.is_down = time.monotonic() < began + OUTAGE_S
        number += 1
        await asyncio.gather(*(outage.ask_once(began, number) for outage in (strict, lenient)))
        await asyncio.sleep(0.1)
    accepted, refused, anonymous = (200, "account-1", False), (503, None, True), (200, "", False)
    for path in ("/open/a", "/read/a"):
        seen = strict.of(path, "known")
        check(f"a key is served for its account or refused as not run: {path}", set(seen) == {accepted, refused}, set(seen))
        check(f"a key is accepted again after the outage: {path}", seen[-1] == accepted, seen[-1])
        seen = lenient.of(path, "known")
        check(f"a key is served all the while where keys need no confirmation: {path}", set(seen) == {accepted}, set(seen))
    for outage in (strict, lenient):
        seen = outage.of("/open/a", "none")
        check("a caller without a key is served all the while, without an account", set(seen) == {anonymous}, set(seen))
        seen = outage.of("/open/a", "unknown")
        check("an unknown key is anonymous, or refused while it may have been added", set(seen) == {anonymous, refused}, set(seen))
        seen = outage.of("/open/a", "unknown", KEY_LIFETIME_S)[: int(OUTAGE_S - KEY_LIFETIME_S)]
        check("an unknown key is refused once the configuration may be out of date", set(seen) == {refused}, set(seen))
        seen = outage.of("/read/a", "unknown") + outage.of("/read/a", "none")
        check("a route that needs a key runs no request without a valid one", all(run is None for _, run, _ in seen), set(seen))


async def check_waiting_requests(fleet):
    """Guards against the same for requests that wait for a slot, or are sent again, when the keys stop being accepted."""
    for server in fleet.servers:
        server.runs.clear()
        server.slots, server.work_time, server.behaviour = 1, KEY_LIFETIME_S + 0.7, "sound"
        fleet.store.put_json(f"servers/{server.identity}", server.entry("pool", sequence=2))
    await asyncio.sleep(1.5)
    fleet.store.is_down = True
    names = [f"waits-{number}" for number in range(2 * len(fleet.servers))]
    answers = await asyncio.gather(*(fleet.entry.ask("/slow/a", identity=name, deadline=9000) for name in names))
    late = await fleet.outcome("/open/a", "known")
    runs = [fleet.run_of(name) for name in names]
    accounts = {run and run.get("x-tenant", "") for run in runs}
    check("requests that wait while the keys stop being accepted keep their account", accounts == {"account-1"} and {answer.status for answer in answers} == {200}, (accounts, [str(answer) for answer in answers]))
    check("the keys are not accepted any more then", late == (503, None), late)
    fleet.store.is_down = False
    for server in fleet.servers:
        server.work_time = 0
    check("the keys are accepted again", await fleet.entry.wait_until(lambda: is_accepted(fleet), 4))


async def is_accepted(fleet):
    return await fleet.outcome("/open/a", "known") == (200, "account-1")


async def run(binary):
    store = Store()
    _, store_address = await start_server(store.serve)
    servers = await start_servers(store, 3)
    with tempfile.TemporaryDirectory() as folder:
        entries = [Entry(binary, folder, store_address), Entry(binary, folder, store_address, name="entry-2", revoke_fail_closed=False)]
        fleet = Fleet(store, entries[0], servers)
        fleet.write_configuration(7, configuration(0)["tenants"])
        try:
            await start_all(entries)
            await asyncio.wait_for(check_lists(fleet), 60)
            await asyncio.wait_for(check_first_list(fleet), 30)
            await asyncio.wait_for(check_store_outage(fleet, entries[1]), 30)
            await asyncio.wait_for(check_waiting_requests(fleet), 30)
        finally:
            await end_all(entries)


if __name__ == "__main__":
    sys.exit(run_checks(__doc__, run))
