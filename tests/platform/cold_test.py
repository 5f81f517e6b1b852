#!/usr/bin/env python3
"""Runs several borageslip-entry processes against stand-ins of the platform on loopback and checks how many requests cold
backend servers get.

Prints one line for each check and ends with the number of failed checks. Every case has a time limit.
"""
import asyncio
import pathlib
import signal
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from entry_test import Entry, check, end_all, run_checks, start_all, start_servers  # noqa: E402
from platform_standin import Store, configuration, start_server  # noqa: E402

INSTANCES = 5
SHARES = 8
COLD_PER_S = 18
BOUND = COLD_PER_S * 1.5 + 5  # Requests at a cold server in any second.
COLD_START = 3  # Seconds.
SHARES_WITHIN = 15  # Seconds: an expired lease, the waiting time and some attempts.
WARM_SERVERS = 2


def cold_configuration(version, has_engines):
    document = configuration(version)
    pool = {**document["backends"][0], "cold_per_s": COLD_PER_S, "cold_start_s": COLD_START}
    if has_engines:
        pool["engine"] = {"slots": 8, "kv_capacity": 100000}
    return {**document, "backends": [pool]}


def most_within(times, window=1.0):
    return max((sum(1 for other in times if first <= other <= first + window) for first in times), default=0)


async def metric(entry, name):
    body = (await entry.get(entry.metrics, "/metrics")).body.decode()
    return sum(float(line.rsplit(" ", 1)[1]) for line in body.splitlines() if line.startswith(name) and line[len(name)] in " {")


async def total(entries, name):
    return sum([await metric(entry, name) for entry in entries if entry.process.returncode is None])


async def wait_for_shares(entries, name):
    started = time.monotonic()

    async def are_held():
        return await total(entries, "borageslip_entry_cold_shares") == SHARES

    held = await entries[0].wait_until(are_held, SHARES_WITHIN)
    check(f"all quota shares are held ({name})", held, await total(entries, "borageslip_entry_cold_shares"))
    print(f"shares held after {time.monotonic() - started:.1f} s ({name})")


class Load:
    """Requests at a constant rate over the instances."""

    def __init__(self, entries, path, name):
        self.entries, self.path, self.name = entries, path, name
        self.statuses = {}

    async def ask(self, number):
        identity = f"{self.name}-{number}"
        entry = self.entries[number % len(self.entries)]
        answer = await entry.ask(self.path, identity=identity, deadline=1500)
        self.statuses[identity] = answer.status

    async def run(self, seconds, rate):
        tasks = []
        started = time.monotonic()
        number = 0
        while time.monotonic() < started + seconds:
            tasks.append(asyncio.create_task(self.ask(number)))
            number += 1
            await asyncio.sleep(max(0, started + number / rate - time.monotonic()))
        await asyncio.gather(*tasks)


def make_cold(store, servers, seconds):
    for server in servers:
        store.put_json(f"servers/{server.identity}", server.entry("pool", cold_left_ms=int(1000 * seconds)))
        server.cold_ms = int(1000 * seconds)


def make_warm(store, servers):
    for server in servers:
        server.cold_ms = None


def report(name, servers, seconds):
    rates = [len(server.arrivals) / seconds for server in servers]
    peaks = [most_within([at for at, _ in server.arrivals]) for server in servers]
    print(f"{name}: {[f'{rate:.1f}' for rate in rates]} requests a second at the cold servers, at most {peaks} in a second")
    check(f"a cold server gets no more than the bound in any second ({name})", max(peaks) <= BOUND, peaks)
    return rates


async def check_cold(fleet, servers, name, loss=None):
    """Guards against more requests at cold servers than they can serve, from all instances together, also while a holder of
    shares is frozen; and against cold servers that idle while callers wait."""
    store, entries = fleet
    cold, warm = servers[WARM_SERVERS:], servers[:WARM_SERVERS]
    seconds = 4
    for server in servers:
        server.work_time = 0.3
    make_cold(store, cold, 60)
    await asyncio.sleep(2.5)
    for server in servers:
        server.arrivals.clear()
        server.runs.clear()
    holders = [entry for entry in entries if await metric(entry, "borageslip_entry_cold_shares") > 0]
    askers = [entry for entry in entries if entry is not holders[0]] if loss else entries
    load = Load(askers, "/read/a", f"cold-{name}")
    loading = asyncio.create_task(load.run(seconds, 120))
    if loss:
        await asyncio.sleep(1)
        holders[0].process.send_signal(loss)
    await loading
    if loss == signal.SIGSTOP:
        holders[0].process.send_signal(signal.SIGCONT)
    rates = report(name, cold, seconds)
    check(f"warm servers are used ({name})", all(len(server.runs) > 0 for server in warm))
    check(f"cold servers do not idle while callers wait ({name})", loss or min(rates) >= COLD_PER_S / 2, rates)
    runs = [headers["x-request-id"] for server in servers for _, headers, _ in server.runs]
    rejected = [identity for identity, status in load.statuses.items() if status in (429, 503)]
    check(f"no request that ran is reported as not run ({name})", not set(rejected) & set(runs))
    check(f"every request is answered or rejected as not run ({name})", all(status in (200, 429, 503, 504) for status in load.statuses.values()), sorted(set(load.statuses.values())))
    print(f"{name}: {sum(status == 200 for status in load.statuses.values())} of {len(load.statuses)} requests served")


async def check_new_start(fleet, servers):
    """Guards against a burst at a server that has just started and says nothing of being cold."""
    store, entries = fleet
    server = servers[0]
    for other in servers:
        other.work_time = 0.02
    make_warm(store, servers)
    for other in servers:
        store.put_json(f"servers/{other.identity}", other.entry("pool", born=2000 if other is server else 1000))
    await asyncio.sleep(1.5)
    check("a new start is cold at all instances", all([await metric(entry, "borageslip_entry_cold_servers") >= 1 for entry in entries]))


async def check_statement(fleet, servers):
    """Guards against instances that go on sending to a server that says in a response that it is cold."""
    store, entries = fleet
    make_warm(store, servers)
    for server in servers:
        server.work_time = 0.02
        store.put_json(f"servers/{server.identity}", server.entry("pool", born=3000))
    await asyncio.sleep(1 + COLD_START + 1.5)
    check("a server is warm again after its time", await total(entries, "borageslip_entry_cold_servers") == 0, await total(entries, "borageslip_entry_cold_servers"))
    for server in servers:
        server.cold_ms = 20000
        server.arrivals.clear()
    await asyncio.gather(*(entries[0].ask("/read/a", identity=f"stated-{number}") for number in range(12)))
    await asyncio.sleep(0.2)
    counts = [await metric(entry, "borageslip_entry_cold_servers") for entry in entries]
    check("all instances learn that a server has said that it is cold", min(counts) >= 1, counts)
    for server in servers:
        server.arrivals.clear()
    await Load(entries, "/read/a", "stated").run(3, 150)
    report("stated in responses", servers, 3)


async def check_lost_keys(fleet, servers):
    """Guards against two holders of a share after the store has lost leases and keys."""
    store, entries = fleet
    for server in servers:
        server.work_time = 0.3
    make_cold(store, servers, 60)
    await asyncio.sleep(2)
    for server in servers:
        server.arrivals.clear()
    for key in [key for key in store.items if key.startswith("borageslip/cold/")]:
        lease = store.items[key]["lease"]
        if lease:
            store.leases.pop(lease, None)
        store.remove(key)
    await Load(entries, "/read/a", "lost-keys").run(12, 60)
    report("the store lost the shares", servers, 12)
    await wait_for_shares(entries, "after the store lost them")


async def run(binary):
    store = Store()
    _, store.address = await start_server(store.serve)
    servers = await start_servers(store, 4)
    store.put_json("op/config", cold_configuration(7, has_engines=False))
    with tempfile.TemporaryDirectory() as folder:
        entries = [Entry(binary, folder, store.address, name=f"entry-{number}", cold_overage=1.5, cold_slack=5) for number in range(INSTANCES)]
        try:
            await start_all(entries)
            fleet = (store, entries)
            check("servers of the first complete read are not assumed cold", await total(entries, "borageslip_entry_cold_servers") == 0)
            await wait_for_shares(entries, "after the start")
            await asyncio.wait_for(check_cold(fleet, servers, "service queue"), 60)
            store.put_json("op/config", cold_configuration(8, has_engines=True))
            await asyncio.wait_for(check_cold(fleet, servers, "model engines"), 60)
            await asyncio.wait_for(check_cold(fleet, servers, "a holder is frozen", signal.SIGSTOP), 60)
            await wait_for_shares(entries, "after a holder was frozen")
            await asyncio.wait_for(check_new_start(fleet, servers), 60)
            await asyncio.wait_for(check_statement(fleet, servers), 60)
            await asyncio.wait_for(check_lost_keys(fleet, servers), 60)
            await asyncio.wait_for(check_cold(fleet, servers, "a holder is killed", signal.SIGKILL), 60)
            await wait_for_shares(entries, "after a holder was killed")
            lines = [line for entry in entries for line in entry.log_lines()]
            check("the log names cold servers, why they are cold, and the shares that are held", {"started", "stated", "told"} <= {line["reason"] for line in lines if line["event"] == "server-cold"} and any(line["event"] == "cold-shares" for line in lines))
        finally:
            await end_all(entries)


if __name__ == "__main__":
    sys.exit(run_checks(__doc__, run))
