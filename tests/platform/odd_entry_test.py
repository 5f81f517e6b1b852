#!/usr/bin/env python3
"""Checks that entries of another writer with unusual names cost nothing but themselves: instances start, read all other
entries, serve requests and do not call the store without a pause.

Real processes and the real clock. Prints one line for each check and ends with the number of failed checks.
"""
import asyncio
import json
import pathlib
import re
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from entry_test import Entry, check, end_all, run_checks, start_all  # noqa: E402
from platform_standin import BackendServer, Store, configuration, response, start_server  # noqa: E402
from restarted_source_test import StoreAccess  # noqa: E402

WORKERS = ["w-0", "w-1", "w-1-2", "w-1B", "w-2", "w-3"]  # Some are listed between an unusual name and its decoded form.
LONGEST = "&" * 180  # With the prefix and the name before it close to the store's 200 bytes.
# Appended to the name of a worker.
ODD_NAMES = ["&after=zz", "&path_prefix=x", "+a", "#a", " a", "a ", "=a", "?a", ";a", '"\\', "%", "%zz", "%41b", "%2", "/../a", "//", "\r\nX-A: b", "\n", "\t", "\0", "\x7f", "ä", "\U0001f600", LONGEST]
FOREIGN = {"owner": "batch", "jobs": 3}
START_S = 5.0  # Within which an instance has to be ready.
MOST_READS = 40  # Range calls for one start, of all pages and after failures of other kinds.
REQUESTS = 12


def odd_key(name):
    return "servers/w-1" + name


def list_names(store, names):
    """Writes entries with unusual names, each of which ends a page."""
    for name in names:
        store.put_json(odd_key(name), FOREIGN)
    store.page_ends = {odd_key(name) for name in names}


def make_store(servers):
    store = Store()
    store.put_json("op/config", configuration(7))
    for server in servers:
        store.put_json(f"servers/{server.identity}", server.entry("pool"))
    return store


async def known_items(entry):
    """Values by key that an instance hands to others."""
    answer = await entry.get(entry.peer, "/borageslip/kv-range?path_prefix=servers/&large=1")
    return {item["key"]: item["value"] for item in json.loads(answer.body)["items"]} if answer.status == 200 else {}


def listed_items(store):
    return {key: item["value"] for key, item in store.items.items() if key.startswith("servers/")}


async def has_read(entry, store):
    return await known_items(entry) == listed_items(store)


async def serve_count(entries, name):
    """Sends requests to all instances. Returns how many were served."""
    answers = await asyncio.gather(*(entry.ask("/read/a", identity=f"{name}-{number}-{index}") for index, entry in enumerate(entries) for number in range(REQUESTS)))
    return sum(answer.status == 200 for answer in answers)


async def check_each_name(binary, folder, servers):
    """Guards against one entry that keeps an instance from reading the list when it starts (RECOVER): its name is the place
    where the next page begins."""
    for name in ODD_NAMES:
        store = make_store(servers)
        list_names(store, [name])
        listener, store_address = await start_server(store.serve)
        entry = Entry(binary, folder, store_address)
        await entry.start()
        is_ready = await entry.wait_until(entry.is_ready, START_S)
        reads = store.calls.get("kv-range", 0)
        label = f"{odd_key(name)!a:.40}"
        check(f"an instance starts while {label} is listed", is_ready, f"{reads} range calls in {START_S} s")
        check(f"it knows all entries beside {label}", await has_read(entry, store))
        check(f"it serves requests beside {label}", await serve_count([entry], "start") == REQUESTS)
        check(f"it does not call the store without a pause beside {label}", reads <= MOST_READS, reads)
        await end_all([entry])
        listener.close()


class RecordingServer:
    """Answers all requests, whichever server they are meant for, and keeps their heads as they arrived."""

    def __init__(self, identity):
        self.identity, self.heads = identity, []

    async def listen(self):
        _, self.address = await start_server(self.serve)

    async def serve(self, reader, writer):
        try:
            while True:
                self.heads.append(await reader.readuntil(b"\r\n\r\n"))
                identity = re.search(rb"X-Request-Id: (\S+)", self.heads[-1])[1].decode()
                writer.write(response(200, b"ran", [("X-Request-Id", identity), ("X-Response-Seal", "seal")]))
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    def fields(self):
        """Name and value of all fields that it has received."""
        return [tuple(line.split(b": ", 1)) for head in self.heads for line in head.split(b"\r\n")[1:-2]]


KNOWN_FIELDS = {b"Host", b"X-Request-Id", b"X-Deadline-Ms", b"X-Expect-Instance", b"X-Tenant"}


async def check_header_fields(binary, folder):
    """Guards against names from the store that write header fields of requests."""
    servers = [RecordingServer(identity) for identity in WORKERS + ["w-1" + name for name in ODD_NAMES]]
    store = Store()
    accounts = configuration(7)["tenants"] + [{"name": "account\r\nX-A: b", "api_keys": ["key-odd"]}]
    store.put_json("op/config", configuration(7, tenants=accounts))
    for server in servers:
        await server.listen()
        entry = BackendServer(server.identity)
        entry.address = server.address
        store.put_json(f"servers/{server.identity}", entry.entry("pool"))
    _, store_address = await start_server(store.serve)
    entry = Entry(binary, folder, store_address)
    try:
        await start_all([entry])
        served = sum([await serve_count([entry], f"fields-{burst}") for burst in range(20)])
        check("requests are served by the servers with usual names and others", served == 20 * REQUESTS, served)
        odd = [await entry.ask("/read/a", key="key-odd", identity=f"odd-{number}") for number in range(4)]
        store.put_json("op/config", configuration(8, tenants=accounts))
        await asyncio.sleep(1)
        lines = [line for line in entry.log_lines() if line["event"] == "accounts-left-out"]
        check("the log names such accounts once", len(lines) == 1 and r"account\r\nX-A: b" in lines[0]["detail"], lines)
        check("an account whose name cannot be sent is refused", all(answer.status == 401 for answer in odd), odd[0])
        for server in servers:
            names = {field[0] for field in server.fields()}
            expected = {field[1] for field in server.fields() if field[0] == b"X-Expect-Instance"}
            label = f"{server.identity!a:.40}"
            check(f"no field beside the known ones reaches {label}", names <= KNOWN_FIELDS, names - KNOWN_FIELDS)
            check(f"requests name {label} by its name", expected <= {server.identity.encode()}, expected)
        check("all workers get requests", all(server.heads for server in servers[: len(WORKERS)]))
        reached = [server.identity for server in servers if server.heads and any(ord(character) < 32 and character != "\t" for character in server.identity)]
        check("no server whose name has control characters gets a request", not reached, reached)
    finally:
        await end_all([entry])


async def check_event_ids(binary, folder):
    """Guards against ids of events that write header fields of the request by which a stream is resumed."""
    for event_id, may_resume in (("{}", True), ("{}\rX-A: b", False), ("{}\0", False)):
        servers = [BackendServer(f"e-{number}") for number in range(2)]
        for server in servers:
            await server.listen()
            server.event_id, server.behaviour = event_id, "breaks-stream"
        store = make_store(servers)
        _, store_address = await start_server(store.serve)
        entry = Entry(binary, folder, store_address)
        try:
            await start_all([entry])
            await entry.ask("/stream/a", identity="r-event")
            runs = [headers for server in servers for _, headers, _ in server.runs]
            ids = [headers.get("last-event-id") for headers in runs]
            check(f"a stream with ids like {event_id!a} is resumed only if that can be stated", ids == ([None, "2"] if may_resume else [None]), ids)
        finally:
            await end_all([entry])


async def check_restart_of_all(store, entries):
    """Guards against the same when all processes are killed and started while such entries stand."""
    for entry in entries:
        entry.process.kill()
        await entry.process.wait()
    store.calls.clear()
    await start_all(entries)
    await asyncio.sleep(1)
    reads = store.calls.get("kv-range", 0)
    check("all instances serve after a restart of all", await serve_count(entries, "restart") == REQUESTS * len(entries))
    check("they know all entries", all([await has_read(entry, store) for entry in entries]))
    check("they do not read the store without a pause", reads <= MOST_READS * len(entries), reads)


async def check_lost_history(store, entries):
    """Guards against requests that are refused because all keys have to be read again while such entries stand."""
    list_names(store, ODD_NAMES)
    await asyncio.sleep(1)
    check("requests are served when such entries come", await serve_count(entries, "come") == REQUESTS * len(entries))
    store.calls.clear()
    store.put_json("op/config", configuration(8))
    store.drop_history()
    end = time.monotonic() + 4
    served = sent = 0
    while time.monotonic() < end:
        served += await serve_count(entries, f"history-{sent}")
        sent += REQUESTS * len(entries)
        await asyncio.sleep(0.3)
    check("requests are served while all keys are read again", served == sent, f"{served} of {sent}")
    reads = store.calls.get("kv-range", 0)
    check("all keys are read again, not without a pause", 0 < reads <= MOST_READS * len(entries), reads)


async def check_log(store, entries):
    """Guards against a log that an entry fills which is written again and again."""
    key = odd_key("&log")
    for number in range(4):
        store.put_json(key, {**FOREIGN, "jobs": number})
        await asyncio.sleep(0.8)
    counts = [sum(line["event"] == "server-entry-invalid" and line["key"] == key for line in entry.log_lines()) for entry in entries]
    check("an entry that is no server is logged once with its name, however often it is written", counts == [1] * len(entries), counts)


async def check_large_values(store, entries, access):
    """Guards against values that an instance asks of another one by their names and does not get."""
    access[entries[0]].cut()
    await asyncio.sleep(1)
    for name in ODD_NAMES:
        store.put_json(odd_key(name), {**FOREIGN, "note": "x" * 40_000})
    is_known = await entries[0].wait_until(lambda: has_read(entries[0], store), 10)
    known = await known_items(entries[0])
    missing = [key for key, value in listed_items(store).items() if known.get(key) != value]
    check("an instance that is cut off from the store gets large values from another one", is_known, [f"{key!a:.40}" for key in missing])
    check("it serves requests", await serve_count([entries[0]], "large") == REQUESTS)
    access[entries[0]].is_cut = False


async def check_fleet(binary, folder, servers):
    store = make_store(servers)
    access, entries = {}, []
    for number in range(3):
        own_access = StoreAccess(store)
        _, store_address = await start_server(own_access.serve)
        entries.append(Entry(binary, folder, store_address, name=f"entry-{number}"))
        access[entries[-1]] = own_access
    try:
        await start_all(entries)
        await asyncio.wait_for(check_lost_history(store, entries), 60)
        await asyncio.wait_for(check_log(store, entries), 20)
        await asyncio.wait_for(check_large_values(store, entries, access), 40)
        await asyncio.wait_for(check_restart_of_all(store, entries), 90)
    finally:
        await end_all(entries)


async def run(binary):
    servers = [BackendServer(identity) for identity in WORKERS]
    for server in servers:
        await server.listen()
    with tempfile.TemporaryDirectory() as folder:
        await check_each_name(binary, folder, servers)
        await check_fleet(binary, folder, servers)
        await check_header_fields(binary, folder)
        await check_event_ids(binary, folder)


if __name__ == "__main__":
    sys.exit(run_checks(__doc__, run))
