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
from entry_test import Entry, check, end_all, run_checks  # noqa: E402
from platform_standin import BackendServer, Store, configuration, start_server  # noqa: E402

APPLY_S = 2.0  # Default of the settings: within which a configuration takes effect.
KEYS = {"known": "key-1", "unknown": "key-of-nobody", "none": None}
NO_LIST = "no list"


class Fleet:
    def __init__(self, store, entry, servers):
        self.store, self.entry, self.servers = store, entry, servers
        self.sent = 0

    def write_configuration(self, version, accounts):
        document = configuration(version, tenants=accounts)
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


async def run(binary):
    store = Store()
    _, store_address = await start_server(store.serve)
    servers = [BackendServer(f"i-{number}") for number in range(3)]
    for server in servers:
        await server.listen()
        store.put_json(f"servers/{server.identity}", server.entry("pool"))
    with tempfile.TemporaryDirectory() as folder:
        entries = [Entry(binary, folder, store_address)]
        fleet = Fleet(store, entries[0], servers)
        fleet.write_configuration(7, configuration(0)["tenants"])
        try:
            for entry in entries:
                await entry.start()
            are_ready = [await entry.wait_until(entry.is_ready) for entry in entries]
            check("the instances get ready", all(are_ready))
            for case in (check_lists, check_first_list):
                await asyncio.wait_for(case(fleet), 60)
        finally:
            await end_all(entries)


if __name__ == "__main__":
    sys.exit(run_checks(__doc__, run))
