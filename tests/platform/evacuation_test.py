#!/usr/bin/env python3
"""Runs several borageslip-entry processes against stand-ins of the platform on loopback and checks the evacuation of a failure
domain: the key op/evacuate/ZONE keeps new work away from the domain's servers until it is removed.

Prints one line for each check and ends with the number of failed checks. Every case has a time limit.
"""
import asyncio
import json
import pathlib
import signal
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from entry_test import Entry, check, end_all, read_answer, request, run_checks, run_tool, start_all  # noqa: E402
from platform_standin import BackendServer, Store, configuration, start_server  # noqa: E402

EVACUATION_BOUND = 5  # Seconds; `evacuate_ms` in the settings.
USUAL_TIME = 2  # Seconds within which all instances know of a key while nothing is disturbed.
INSTANCES = 5
ZONES = ["zone-a", "zone-b", "zone-c"]


def model_service(name, **fields):
    return {"name": name, "health_check": "/health", "max_connections": 100, "protocol": "h1", "tls": False, **fields}


def evacuation_configuration(version):
    """Adds a service of two model engines in zone-b, and one whose route places requests by their prompt prefixes."""
    document = configuration(version)
    stream = {**next(route for route in document["routes"] if route["name"] == "stream"), "timeout_ms": 6000, "max_attempts": 1}
    document["routes"] += [
        {**stream, "name": "chat", "path_prefix": "/stream/chat/", "sticky": True},
        {**stream, "name": "pair", "path_prefix": "/stream/pair/", "backend": "pair", "sticky": True, "target_latency_ms": 6000},
        {**document["routes"][0], "name": "small", "path_prefix": "/small/", "backend": "small", "timeout_ms": 6000, "target_latency_ms": 6000},
    ]
    document["backends"][0]["cold_start_s"] = 1.5
    document["backends"] += [model_service("pair", engine={"slots": 1, "kv_capacity": 100000}), model_service("small")]
    return document


def evacuate(store, zone, value=b"{}"):
    store.put(f"op/evacuate/{zone}", value)


def restore(store, zone):
    store.remove(f"op/evacuate/{zone}")


class Zone:
    """The servers of one failure domain."""

    def __init__(self, name, servers):
        self.name, self.servers = name, servers

    def runs(self):
        return sum(len(server.runs) for server in self.servers)


class Load:
    """Requests of several kinds at all instances, in the background."""

    def __init__(self, entries):
        self.entries, self.statuses, self.tasks, self.is_stopped = entries, [], [], False
        self.number = 0

    async def _connection(self, entry, paths):
        """Sends requests one after the other over one connection of a caller."""
        reader, writer = await asyncio.open_connection("127.0.0.1", entry.front)
        while not self.is_stopped:
            self.number += 1
            path, method, body = paths[self.number % len(paths)]
            headers = ["X-Model: m", "X-Token-Usage: 600,20", f"X-Prompt-Prefix: 0f:100,50b:{self.number % 5},{self.number + 4096:x}:10"]
            writer.write(request(path, method, identity=f"load-{id(self)}-{self.number}", body=body, headers=headers))
            answer = await read_answer(reader)
            self.statuses.append((answer.status, answer.is_complete))
            if answer.status == 0 or not answer.is_complete:
                break
        writer.close()

    def start(self, per_entry=6):
        paths = [("/read/a", "GET", b""), ("/stream/chat/a", "POST", b"x"), ("/book/a", "POST", b"y" * 20000), ("/stream/a", "POST", b"x")]
        self.tasks = [asyncio.create_task(self._connection(entry, paths)) for entry in self.entries for _ in range(per_entry)]

    async def stop(self):
        self.is_stopped = True
        await asyncio.gather(*self.tasks)

    def served(self):
        return sum(1 for status, is_complete in self.statuses if status == 200 and is_complete)


async def is_known(entries, count):
    """Whether all instances count so many evacuated domains."""
    gauges = [(await entry.get(entry.metrics, "/metrics")).body for entry in entries]
    return all(f"borageslip_entry_evacuated_domains {count}\n".encode() in gauge for gauge in gauges)


async def check_under_load(fleet, zones):
    """Guards against requests that reach an evacuated domain on kept connections, on connections that are being opened, from
    queues or with grants of other instances, and against callers that are rejected although other domains have room."""
    store, entries = fleet
    load = Load(entries)
    load.start()
    await asyncio.sleep(1)
    check("before an evacuation, the domain gets requests", zones[1].runs() > 0)
    evacuate(store, "zone-b")
    check("all instances learn of an evacuation", await entries[0].wait_until(lambda: is_known(entries, 1), USUAL_TIME))
    await asyncio.sleep(0.05)  # Requests that were written before arrive.
    before, others = zones[1].runs(), zones[0].runs() + zones[2].runs()
    await asyncio.sleep(1.5)
    check("no request reaches an evacuated domain, whatever its kind and connection", zones[1].runs() == before, zones[1].runs() - before)
    check("the other domains serve the requests", zones[0].runs() + zones[2].runs() > others + 50, zones[0].runs() + zones[2].runs() - others)
    evacuate(store, "zone-c")
    check("a second domain is evacuated beside the first", await entries[0].wait_until(lambda: is_known(entries, 2), USUAL_TIME))
    await asyncio.sleep(0.05)
    before, others = zones[1].runs() + zones[2].runs(), zones[0].runs()
    await asyncio.sleep(1)
    check("no request reaches either of two evacuated domains", zones[1].runs() + zones[2].runs() == before)
    check("the remaining domain serves the requests", zones[0].runs() > others + 50, zones[0].runs() - others)
    restore(store, "zone-b")
    restore(store, "zone-c")
    before = [zone.runs() for zone in zones]
    check("all instances learn of the removals", await entries[0].wait_until(lambda: is_known(entries, 0), USUAL_TIME))
    await asyncio.sleep(2.5)  # Until the servers no longer count as cold.
    check("a domain gets requests again after its evacuation", all(zone.runs() > earlier for zone, earlier in zip(zones, before)), [zone.runs() for zone in zones])
    await load.stop()
    not_served = [row for row in load.statuses if row != (200, True)]
    check("no request fails because of evacuations", not not_served, f"{len(not_served)} of {len(load.statuses)}: {not_served[:5]}")
    print(f"evacuations under load: {load.served()} of {len(load.statuses)} requests served")


async def check_waiting(fleet, zones, path, method, service):
    """Guards against requests that wait for a slot of evacuated servers until their deadline."""
    store, entries = fleet
    servers = [server for server in zones[1].servers if server.identity.startswith(service)]
    for server in servers:
        server.runs.clear()
        server.event_delay, server.work_time = 0.4, 2
    headers = ["X-Model: m", "X-Token-Usage: 600,20", "X-Prompt-Prefix: 0f:9000,50b:10"]
    asked = [asyncio.create_task(entries[number % len(entries)].ask(path, method, body=b"x" if method == "POST" else b"", identity=f"wait-{service}-{number}", deadline=5000, headers=headers)) for number in range(15)]
    await asyncio.sleep(0.6)
    running = sum(len(server.runs) for server in servers)
    check(f"some requests run and others wait ({service})", 0 < running < len(asked), running)
    evacuate(store, "zone-b")
    started = time.monotonic()
    await entries[0].wait_until(lambda: is_known(entries, 1), USUAL_TIME)
    await asyncio.sleep(0.15)
    rejected = [task for task in asked if task.done() and task.result().status == 503]
    took = time.monotonic() - started
    check(f"the waiting requests are rejected as not run at once ({service})", len(rejected) == len(asked) - running and all("retry-after" in task.result().headers and json.loads(task.result().body)["not_run"] for task in rejected), f"{len(rejected)} rejected, {running} running, after {took:.2f} s; {[task.result().headers for task in rejected][:1]}")
    answer = await asyncio.wait_for(entries[1].ask(path, method, body=b"x" if method == "POST" else b"", identity=f"late-{service}", deadline=5000, headers=headers), 1)
    check(f"a further request is rejected at once ({service})", answer.status == 503 and "retry-after" in answer.headers, answer)
    finished = [answer for answer in await asyncio.gather(*asked) if answer.status == 200 and answer.is_complete]
    check(f"what ran in the domain runs to completion ({service})", len(finished) == running and sum(len(server.runs) for server in servers) == running, [len(finished), running])
    for server in servers:
        server.event_delay, server.work_time = 0.02, 0
    restore(store, "zone-b")
    await entries[0].wait_until(lambda: is_known(entries, 0), USUAL_TIME)
    answer = await entries[2].ask(path, method, body=b"x" if method == "POST" else b"", identity=f"again-{service}", deadline=5000, headers=headers)
    check(f"the service serves again after the evacuation ({service})", answer.status == 200, answer)


async def check_resumed(fleet, zones):
    """Guards against a broken stream that is resumed at a server of an evacuated domain."""
    store, entries = fleet
    evacuate(store, "zone-b")
    await entries[0].wait_until(lambda: is_known(entries, 1), USUAL_TIME)
    for zone in zones:
        for server in zone.servers:
            server.runs.clear()
            server.behaviour = "sound" if zone.name == "zone-b" else "breaks-stream"
    answers = await asyncio.gather(*(entries[number % len(entries)].ask("/stream/a", "POST", body=b"x", identity=f"resume-{number}", headers=["X-Model: m"]) for number in range(20)))
    check("broken streams are resumed outside of an evacuated domain", zones[1].runs() == 0 and zones[0].runs() + zones[2].runs() > 20, [zone.runs() for zone in zones])
    check("streams that cannot be resumed there do not look complete", not any(answer.is_complete and answer.status == 200 for answer in answers))
    for zone in zones:
        for server in zone.servers:
            server.behaviour = "sound"
    restore(store, "zone-b")
    await entries[0].wait_until(lambda: is_known(entries, 0), USUAL_TIME)


async def check_frozen_reader(fleet, zones, mode):
    """Guards against an instance that misses an evacuation because the instance that reads the store for it is frozen, while
    the store rejects it, too, if a mode is given."""
    store, entries = fleet
    for reader in entries[:3]:
        reader.process.send_signal(signal.SIGSTOP)
        store.rejection_mode = mode
        others = [entry for entry in entries if entry is not reader]
        evacuate(store, "zone-b")
        started = time.monotonic()
        known = await others[0].wait_until(lambda others=others: is_known(others, 1), EVACUATION_BOUND)
        check(f"the others learn of an evacuation in time while {reader.path.name} is frozen ({mode})", known)
        print(f"an evacuation beside a frozen instance was known after {time.monotonic() - started:.2f} s ({mode})")
        load = Load(others)
        before = zones[1].runs()
        load.start(2)
        await asyncio.sleep(0.4)
        await load.stop()
        check(f"no request reaches the domain while an instance is frozen ({mode})", zones[1].runs() == before and load.served() > 10)
        restore(store, "zone-b")
        await others[0].wait_until(lambda others=others: is_known(others, 0), EVACUATION_BOUND)
        reader.process.send_signal(signal.SIGCONT)
        store.rejection_mode = None
        await asyncio.sleep(1.5)


async def check_start(fleet, zones, folder):
    """Guards against a starting instance that is ready before it knows of evacuations."""
    store, entries = fleet
    evacuate(store, "zone-b")
    await entries[0].wait_until(lambda: is_known(entries, 1), USUAL_TIME)
    before = zones[1].runs()
    newcomer = make_entry(entries[0].binary, folder, store.address, "entry-new")
    await newcomer.start()
    try:
        await newcomer.wait_until(newcomer.is_ready)
        load = Load([newcomer])
        load.start()
        await asyncio.sleep(0.5)
        await load.stop()
        check("an instance that starts during an evacuation sends nothing to the domain", zones[1].runs() == before and load.served() > 10, zones[1].runs() - before)
    finally:
        newcomer.process.kill()
        await newcomer.process.wait()
    restore(store, "zone-b")
    check("the fleet learns of the removal", await entries[0].wait_until(lambda: is_known(entries, 0), USUAL_TIME))


async def check_outage(fleet, zones):
    """Guards against an evacuation that ends because the store cannot be reached, or because its key is missing for a moment
    when the store returns."""
    store, entries = fleet
    evacuate(store, "zone-b")
    await entries[0].wait_until(lambda: is_known(entries, 1), USUAL_TIME)
    store.is_down = True
    await asyncio.sleep(2.5)
    check("an evacuation stays in force during an outage of the store", await is_known(entries, 1))
    restore(store, "zone-b")
    store.is_down = False
    await asyncio.sleep(1)
    evacuate(store, "zone-b")
    ended = False
    for _ in range(30):
        ended |= not await is_known(entries, 1)
        await asyncio.sleep(0.1)
    ends = [(line["process"], line["time"]) for entry in entries for line in entry.log_lines() if line["event"] in ("evacuation-ended", "evacuation-key-missing")][-6:]
    check("an evacuation whose key is missing for a moment after an outage stays in force", not ended, ends)
    restore(store, "zone-b")
    check("a removal after an outage is learned", await entries[0].wait_until(lambda: is_known(entries, 0), USUAL_TIME + 3))


async def check_rewritten(fleet, zones):
    """Guards against a key that is removed and written again in quick succession."""
    store, entries = fleet
    for _ in range(4):
        evacuate(store, "zone-b")
        await asyncio.sleep(0.05)
        restore(store, "zone-b")
        await asyncio.sleep(0.05)
    evacuate(store, "zone-b")
    await entries[0].wait_until(lambda: is_known(entries, 1), USUAL_TIME)
    await asyncio.sleep(1.5)
    check("a key that was removed and written again is in force", await is_known(entries, 1))
    code, output = await run_tool(entries[0].binary, "platform-status", "--store", store.address)
    check("platform-status lists the evacuated domain", code == 0 and "evacuated failure domain zone-b: " in output, output)
    code, output = await run_tool(entries[0].binary, "--json", "platform-status", "--store", store.address)
    check("platform-status lists it as JSON, too", [row["domain"] for row in json.loads(output)["evacuated"]] == ["zone-b"], output)
    restore(store, "zone-b")
    await entries[0].wait_until(lambda: is_known(entries, 0), USUAL_TIME)


async def check_invalid(fleet, zones):
    """Guards against malformed keys that take servers out of service, or that are ignored in silence."""
    store, entries = fleet
    invalid = [("", b"{}"), ("zone-a/", b"{}"), ("zone-a/b", b"{}"), ("zone-x", b"{}"), ("zone-a", b"[]"), ("zone-b", b"{"), ("zone-c", b"")]
    for name, value in invalid:
        evacuate(store, name, value)
    await asyncio.sleep(USUAL_TIME)
    check("invalid keys evacuate nothing", await is_known(entries, 0))
    answer = await entries[0].ask("/read/a", identity="invalid")
    check("invalid keys do not stop the service", answer.status == 200, answer)
    for entry in entries[:2]:
        logged = {line["key"] for line in entry.log_lines() if line["event"] == "evacuation-invalid"}
        check("invalid keys are logged", len(logged) >= 5, logged)  # At most five lines of an event in a second.
    code, output = await run_tool(entries[0].binary, "--json", "platform-status", "--store", store.address)
    unusable = {row["key"] for row in json.loads(output)["unusable"]}
    check("platform-status lists invalid keys", {"op/evacuate/", "op/evacuate/zone-a/b", "op/evacuate/zone-b"} <= unusable, output)
    for name, _ in invalid:
        restore(store, name)
    await asyncio.sleep(1)


async def check_disabled(fleet, zones, folder):
    """Guards against an evacuation at a deployment whose settings do not know of it."""
    store, entries = fleet
    entry = Entry(entries[0].binary, folder, store.address, name="entry-old")
    await entry.start()
    try:
        await entry.wait_until(entry.is_ready)
        evacuate(store, "zone-a")
        await asyncio.sleep(USUAL_TIME)
        check("without `evacuate_ms`, a key has no effect", await is_known([entry], 0) and not any(line["event"].startswith("evacuation") for line in entry.log_lines()))
    finally:
        entry.process.kill()
        await entry.process.wait()
    restore(store, "zone-a")
    await entries[0].wait_until(lambda: is_known(entries, 0), USUAL_TIME)


def make_entry(binary, folder, store_address, name):
    entry = Entry(binary, folder, store_address, name=name, evacuate_ms=EVACUATION_BOUND * 1000, config_apply_ms=3000)
    document = json.loads(entry.path.read_text())
    document["zones"] = {zone: "region" for zone in ZONES}
    entry.path.write_text(json.dumps(document))
    return entry


async def add_servers(store):
    zones = []
    for zone in ZONES:
        servers = [BackendServer(f"{service}-{zone}-{number}") for service in ("pool", "pair", "small") for number in range(2) if service == "pool" or zone == "zone-b"]
        for server in servers:
            service = server.identity.split("-")[0]
            server.slots = {"pool": 64, "pair": 1, "small": 2}[service]
            await server.listen()
            store.put_json(f"servers/{server.identity}", server.entry(service, zone=zone))
        zones.append(Zone(zone, servers))
    return zones


async def run(binary):
    store = Store()
    _, store.address = await start_server(store.serve_rejectable)
    zones = await add_servers(store)
    store.put_json("op/config", evacuation_configuration(7))
    with tempfile.TemporaryDirectory() as folder:
        entries = [make_entry(binary, folder, store.address, f"entry-{number}") for number in range(INSTANCES)]
        try:
            await start_all(entries)
            await asyncio.sleep(2)
            fleet = (store, entries)
            await asyncio.wait_for(check_under_load(fleet, zones), 60)
            await asyncio.wait_for(check_waiting(fleet, zones, "/stream/pair/a", "POST", "pair"), 60)
            await asyncio.wait_for(check_waiting(fleet, zones, "/small/a", "GET", "small"), 60)
            await asyncio.wait_for(check_resumed(fleet, zones), 60)
            await asyncio.wait_for(check_rewritten(fleet, zones), 60)
            await asyncio.wait_for(check_start(fleet, zones, folder), 60)
            await asyncio.wait_for(check_invalid(fleet, zones), 60)
            await asyncio.wait_for(check_outage(fleet, zones), 60)
            await asyncio.wait_for(check_frozen_reader(fleet, zones, None), 60)
            await asyncio.wait_for(check_disabled(fleet, zones, folder), 60)
            lines = [line for entry in entries for line in entry.log_lines()]
            check("the log has the begin and the end of evacuations", {"evacuation-begun", "evacuation-ended"} <= {line["event"] for line in lines})
        finally:
            await end_all(entries)


if __name__ == "__main__":
    sys.exit(run_checks(__doc__, run))
