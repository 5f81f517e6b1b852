#!/usr/bin/env python3
"""Runs several borageslip-entry processes against stand-ins of the platform on loopback and checks how they cooperate.

Prints one line for each check and ends with the number of failed checks. Every case has a time limit.
"""
import asyncio
import pathlib
import signal
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from entry_test import Entry, check, end_all, read_answer, request, run_checks, run_tool, start_all, start_servers  # noqa: E402
from platform_standin import Store, configuration, start_server  # noqa: E402

CHANGE_BOUND = 3  # Seconds; the users' limit for this kind of site.
FROZEN_CHANGE_BOUND = 2  # Seconds; the users' limit at nine instances, which is the default of the settings.
INSTANCES = 5
SLOTS_PER_EXTRA_REQUEST = 3  # A server may queue one request for this many slots, so that it does not idle between two.
LONGEST_BOOKING = 1  # Seconds; half of the time limit of a booking.


def configuration_with_new_route(version, extra_routes=0):
    document = configuration(version)
    document["routes"] += [{**document["routes"][0], "name": f"more-{number}", "path_prefix": f"/more-{number}/"} for number in range(extra_routes)]
    document["routes"].append({**document["routes"][0], "name": "new", "path_prefix": f"/new-{version}/"})
    return document


async def is_served(entry, path):
    return (await entry.ask(path)).status == 200


async def check_store_rejection(fleet, mode, version, extra_routes=0):
    """Guards against an instance that the store rejects missing changes: it must learn of them from the other instances."""
    store, entries = fleet
    rejected = entries[-1]
    store.rejection_mode = mode
    await asyncio.sleep(0.3)
    store.put_json("op/config", configuration_with_new_route(version, extra_routes))
    results = await asyncio.gather(*(entry.wait_until(lambda entry=entry: is_served(entry, f"/new-{version}/a"), CHANGE_BOUND) for entry in entries))
    check(f"a change takes effect in time at all instances, including one that the store rejects ({mode}, {extra_routes} more routes)", all(results), results)
    await asyncio.sleep(4)
    check(f"the rejected instance accepts keys as long as another instance confirms them ({mode})", await is_served(rejected, "/read/a") and await rejected.is_ready())
    store.put_json("op/config", {**configuration_with_new_route(version + 1), "tenants": [{"name": "account-1", "api_keys": ["key-2"], "priority": 1}]})

    async def revoked():
        return (await rejected.ask("/read/a")).status == 401

    check(f"the rejected instance refuses a revoked key within the time limit ({mode})", await rejected.wait_until(revoked, CHANGE_BOUND))
    store.put_json("op/config", configuration_with_new_route(version + 2))
    store.rejection_mode = None
    check(f"all instances accept the restored key again ({mode})", all([await entry.wait_until(lambda entry=entry: is_served(entry, "/read/a"), CHANGE_BOUND) for entry in entries]))


async def check_readers_killed(fleet):
    """Guards against lost changes when the instances that read the store for others are killed: the others must switch to
    another source."""
    store, entries = fleet
    for reader in entries[:2]:
        reader.process.kill()
        await reader.process.wait()
    store.put_json("op/config", configuration_with_new_route(40))
    results = await asyncio.gather(*(entry.wait_until(lambda entry=entry: is_served(entry, "/new-40/a"), CHANGE_BOUND) for entry in entries[2:]))
    check("a change takes effect in time after instances that read the store for others are killed", all(results), results)


async def watch_count(entry):
    metrics = (await entry.get(entry.metrics, "/metrics")).body.decode()
    return sum(float(line.rsplit(" ", 1)[1]) for line in metrics.splitlines() if line.startswith("borageslip_entry_store_calls_total{") and 'call="watch"' in line)


async def find_reader(entries):
    """The instance that reads the store for the others."""
    before = [await watch_count(entry) for entry in entries]
    await asyncio.sleep(1.5)
    watches = [await watch_count(entry) - count for entry, count in zip(entries, before)]
    return entries[watches.index(max(watches))]


async def check_frozen_reader(fleet, mode, version):
    """Guards against an instance that applies a change too late because the instance from which it reads the store is
    frozen when the change comes, alone or while the store rejects it (CONFIG): it must learn of the change and read it from
    another source."""
    store, entries = fleet
    reader = await find_reader(entries[:-1])
    others = [entry for entry in entries if entry is not reader]
    durations = []
    store.rejection_mode = mode
    for step in range(3):
        reader.process.send_signal(signal.SIGSTOP)
        # The change comes at different moments between the polls of the followers.
        await asyncio.sleep(0.05 * step)
        store.put_json("op/config", configuration_with_new_route(version + step))
        changed = time.monotonic()

        async def take_effect(entry, path=f"/new-{version + step}/a", changed=changed):
            await entry.wait_until(lambda: is_served(entry, path), 3 * FROZEN_CHANGE_BOUND)
            durations.append(time.monotonic() - changed)

        await asyncio.gather(*(take_effect(entry) for entry in others))
        reader.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(2)
    store.rejection_mode = None
    check(f"a change takes effect in time while the instance that reads the store for others is frozen ({mode})", max(durations) < FROZEN_CHANGE_BOUND, [f"{seconds:.2f}" for seconds in durations])
    print(f"a change beside a frozen reader took effect after at most {max(durations):.2f} s ({mode})")
    lines = [line for entry in others for line in entry.log_lines()]
    check("the log names the source of each read besides the regular ones", any(line["event"] == "configuration-read" and line["source"] for line in lines))


async def check_store_calls(fleet):
    """Guards against store calls that grow with the number of instances."""
    store, _ = fleet
    await asyncio.sleep(4)
    store.calls.clear()
    await asyncio.sleep(3)
    watches = store.calls.get("kv-watch", 0)
    check("one instance of a failure domain watches the store for the others", 0 < watches <= 8, watches)


async def check_crashing_part(fleet, servers, folder):
    """Guards against a prompt part that crashes one server after the other (BUDGET): the instances must stop sending
    requests with it, and go on serving those that share the other parts."""
    store, entries = fleet
    for server in servers:
        server.crashing_part = "dead"
        server.event_delay = 0.01
        server.runs.clear()

    async def ask(number, is_tainted):
        middle = "50b:400,dead:90" if is_tainted else "50b:400"
        entry = entries[number % len(entries)]
        return await entry.ask("/stream/stream/a", "POST", body=b"x", identity=f"part-{is_tainted}-{number}", headers=["X-Model: m", "X-Token-Usage: 600,20", f"X-Prompt-Prefix: 0f:100,{middle},{number + 4096:x}:10"])

    tainted, sound = [], []
    for number in range(30):
        tainted.append(await ask(number, True))
        sound += await asyncio.gather(*(ask(4 * number + extra, False) for extra in range(4)))
        await asyncio.sleep(0.1)
    sent = [headers["x-request-id"] for server in servers for _, headers, _ in server.runs if "part-True" in headers["x-request-id"]]
    crashes = sum(server.crashes for server in servers)
    check("a prompt part that crashes servers reaches few of them", len(sent) <= 5, f"{len(sent)} requests, {crashes} crashes")
    check("a request that may have crashed a server is not sent again", len(sent) == len(set(sent)), sent)
    rejected = [answer for answer in tainted[10:] if answer.status == 503 and float(answer.headers.get("retry-after", 0)) >= 60]
    check("requests with such a part are rejected as not run, with a long retry time", len(rejected) == 20, [str(answer) for answer in tainted[10:]])
    check("sound requests that share the other parts are served", sum(answer.status == 200 and answer.is_complete for answer in sound[40:]) >= 0.95 * len(sound[40:]), [answer.status for answer in sound])
    newcomer = Entry(entries[0].binary, folder, store.address, name="entry-new")
    await newcomer.start()
    try:
        await newcomer.wait_until(newcomer.is_ready)
        await asyncio.sleep(1)
        answer = await newcomer.ask("/stream/stream/a", "POST", body=b"x", identity="part-new", headers=["X-Model: m", "X-Token-Usage: 600,20", "X-Prompt-Prefix: 0f:100,50b:400,dead:90,1234:10"])
        check("an instance that starts later learns of the part from the others", answer.status == 503 and sum(server.crashes for server in servers) == crashes, answer)
        metrics = (await newcomer.get(newcomer.metrics, "/metrics")).body
        check("the quarantined part is counted", b"borageslip_entry_quarantined_prompts 1" in metrics and b"borageslip_entry_quarantine_rejections_total 1" in metrics)
    finally:
        newcomer.process.kill()
        await newcomer.process.wait()
    _, output = await run_tool(entries[0].binary, "platform-status", "--store", store.address)
    check("platform-status shows the quarantined part", 'quarantined prompt model="m",parts="' in output and "dead" in output, output)
    lines = [line for entry in entries for line in entry.log_lines()]
    check("the log names the crashed servers, the suspected parts and the quarantined one", any(line["event"] == "server-crashed" and "dead" in line["suspects"][0]["parts"] for line in lines) and any(line["event"] == "prompt-quarantined" and "dead" in line["parts"] for line in lines))
    for server in servers:
        server.crashing_part = None
        server.event_delay = 0.02


async def check_slots(fleet, servers):
    """Guards against overloading a backend server when several instances choose it at the same time from the same reported
    loads."""
    _, entries = fleet
    for server in servers:
        server.event_delay = 0.05
        server.peak_running = server.running = 0

    async def ask(entry, number):
        reader, writer = await asyncio.open_connection("127.0.0.1", entry.front)
        writer.write(request("/once/a", identity=f"s-{entry.front}-{number}", deadline=1900))
        answer = await read_answer(reader)
        writer.close()
        return answer

    answers = []
    for round_number in range(3):
        answers += await asyncio.gather(*(ask(entry, round_number * 100 + number) for number in range(9) for entry in entries))
    peaks = [server.peak_running for server in servers]
    waiting_at_server = servers[0].slots // SLOTS_PER_EXTRA_REQUEST
    check("no backend server gets more requests than it has slots and may queue, whichever instances send them", max(peaks) <= servers[0].slots + waiting_at_server, peaks)
    check("every request is served while the slots suffice", all(answer.status == 200 for answer in answers), [answer.status for answer in answers])


def most_within(times, window):
    """The greatest number of times within a window of some seconds."""
    return max((sum(1 for other in times if time <= other < time + window) for time in times), default=0)


async def check_rate_limit(fleet, servers, path, method, loss):
    """Guards against a backend server that gets more requests than the rate limit that it names, from several instances
    together, also while the instance that grants its requests is lost (LIMIT)."""
    _, entries = fleet
    limit, window = 2.5, 4
    for server in servers[:2]:
        server.rate_limit = str(limit)
    headers = ["X-Model: m", "X-Token-Usage: 600,20", "X-Prompt-Prefix: 0f:100,50b:400,{number:x}:10"]
    statuses = []

    async def ask(number):
        entry = entries[number % len(entries)]
        body = b"x" if method == "POST" else b""
        answer = await entry.ask(path, method, body=body, identity=f"rate-{loss}-{path[1:4]}-{number}", headers=[line.format(number=number + 4096) for line in headers], deadline=1500)
        statuses.append(answer.status)

    tasks = []
    for number in range(400):
        if loss is not None and number == 200:
            entries[0].process.send_signal(loss)
        if loss is not None and number == 240:
            entries[0].process.send_signal(signal.SIGCONT)
        tasks.append(asyncio.create_task(ask(number)))
        await asyncio.sleep(0.03)
    await asyncio.gather(*tasks)
    counts = [most_within([time for time, _ in server.arrivals], window) for server in servers[:2]]
    totals = [len(server.arrivals) for server in servers[:2]]
    kind = f"{path}, {'an instance is frozen' if loss else 'all instances run'}"
    print(f"rate limit of {limit} a second ({kind}): at most {counts} in {window} s, {totals} in all, {sum(status == 200 for status in statuses)} of {len(statuses)} served")
    check(f"a server gets no more than the rate limit that it names ({kind})", max(counts) <= 1.5 * limit * window + 5, counts)
    check(f"requests beyond the rate limits are served by the other server ({kind})", sum(status == 200 for status in statuses) >= 0.9 * len(statuses), statuses)
    for server in servers[:2]:
        server.rate_limit = None
        server.arrivals.clear()

    async def is_unlimited():
        await asyncio.gather(*(ask(1000 + number) for number in range(5)))
        gauges = [(await entry.get(entry.metrics, "/metrics")).body for entry in entries]
        return all(b"borageslip_entry_rate_limited_servers 0" in gauge for gauge in gauges)

    check(f"a rate limit ends when responses no longer name it ({kind})", await entries[0].wait_until(is_unlimited, 10))


async def check_invalid_rate_limits(fleet, servers):
    """Guards against an instance that stops serving, or applies nonsense, because of a malformed rate limit."""
    _, entries = fleet
    for text in ("", "many", "1e400", "nan", "inf", "2,5", "-1", "0"):
        for server in servers:
            server.rate_limit = text
        answers = await asyncio.gather(*(entry.ask("/read/a", identity=f"bad-{text}-{number}") for number, entry in enumerate(entries)))
        check(f"a malformed rate limit does not stop the service ({text!r})", any(answer.status == 200 for answer in answers), [answer.status for answer in answers])
    for server in servers:
        server.rate_limit = None
        server.arrivals.clear()
    events = [line for entry in entries for line in entry.log_lines() if line["event"] == "rate-limit-invalid"]
    check("a malformed rate limit is logged", len(events) > 0)


async def check_coordinator_loss(fleet, servers, loss):
    """Guards against bookings that are lost, run twice or held for long when the instance that grants their slots is
    frozen or killed under load, and against both it and its successor granting the same slots."""
    _, entries = fleet
    for server in servers:
        server.work_time = 0.03
        server.peak_running = server.running = 0
        server.runs.clear()
    coordinator = None
    for entry in entries[:-1]:
        if entry.process.returncode is None and b"borageslip_entry_coordinated_services 1" in (await entry.get(entry.metrics, "/metrics")).body:
            coordinator = entry
    check(f"one instance grants the slots of the service ({loss.name})", coordinator is not None)
    if coordinator is None:
        return
    askers = [entry for entry in entries[:-1] if entry is not coordinator and entry.process.returncode is None]
    statuses, durations = {}, []

    async def book(number):
        identity = f"book-{loss.name}-{number}"
        started = time.monotonic()
        answer = await askers[number % len(askers)].ask("/book/a", "POST", identity=identity, body=b"1", deadline=1900)
        durations.append(time.monotonic() - started)
        statuses[identity] = answer.status

    async def load():
        tasks = []
        for number in range(600):
            tasks.append(asyncio.create_task(book(number)))
            await asyncio.sleep(0.005)
        await asyncio.gather(*tasks)

    loading = asyncio.create_task(load())
    await asyncio.sleep(0.8)
    coordinator.process.send_signal(loss)
    await asyncio.sleep(1.2)
    if loss == signal.SIGSTOP:
        coordinator.process.send_signal(signal.SIGCONT)
    await loading
    for server in servers:
        server.work_time = 0
    runs = [headers["x-request-id"] for server in servers for _, headers, _ in server.runs]
    not_run = [identity for identity, status in statuses.items() if status in (429, 503)]
    durations.sort()
    print(f"coordinator lost by {loss.name}: {len(durations)} bookings, median {durations[len(durations) // 2] * 1000:.0f} ms, worst {durations[-1] * 1000:.0f} ms, rejected {len(not_run)}")
    check(f"every booking is answered ({loss.name})", all(statuses.values()), [identity for identity, status in statuses.items() if not status])
    check(f"no booking runs twice ({loss.name})", len(runs) == len(set(runs)))
    check(f"no booking that ran is reported as not run ({loss.name})", not set(not_run) & set(runs))
    check(f"nearly all bookings are served ({loss.name})", sum(status == 200 for status in statuses.values()) >= 0.97 * len(statuses), len(not_run))
    check(f"no booking waits long for a lost coordinator ({loss.name})", durations[-1] < LONGEST_BOOKING, durations[-5:])
    peaks = [server.peak_running for server in servers]
    check(f"no slots are granted twice ({loss.name})", max(peaks) <= servers[0].slots + servers[0].slots // SLOTS_PER_EXTRA_REQUEST, peaks)


async def run(binary):
    store = Store()
    _, store_address = await start_server(store.serve)
    store.address = store_address
    _, second_address = await start_server(store.serve_rejectable)
    servers = await start_servers(store, 3)
    store.put_json("op/config", configuration(7))
    with tempfile.TemporaryDirectory() as folder:
        entries = [Entry(binary, folder, second_address if number == INSTANCES - 1 else store_address, name=f"entry-{number}") for number in range(INSTANCES)]
        try:
            await start_all(entries)
            await asyncio.sleep(2)
            fleet = (store, entries)
            await asyncio.wait_for(check_slots(fleet, servers), 60)
            for path, method in (("/stream/stream/a", "POST"), ("/read/a", "GET")):
                for loss in (None, signal.SIGSTOP):
                    await asyncio.wait_for(check_rate_limit(fleet, servers, path, method, loss), 60)
            await asyncio.wait_for(check_crashing_part(fleet, servers, folder), 60)
            await asyncio.wait_for(check_coordinator_loss(fleet, servers, signal.SIGSTOP), 60)
            await asyncio.wait_for(check_store_calls(fleet), 60)
            await asyncio.wait_for(check_frozen_reader(fleet, None, 10), 60)
            await asyncio.wait_for(check_frozen_reader(fleet, "silent", 14), 60)
            await asyncio.wait_for(check_store_rejection(fleet, "busy", 20), 60)
            await asyncio.wait_for(check_store_rejection(fleet, "silent", 30), 60)
            await asyncio.wait_for(check_store_rejection(fleet, "busy", 35, extra_routes=1500), 60)
            await asyncio.wait_for(check_readers_killed(fleet), 60)
            await asyncio.wait_for(check_coordinator_loss(fleet, servers, signal.SIGKILL), 60)
            await asyncio.wait_for(check_invalid_rate_limits((store, [entry for entry in entries if entry.process.returncode is None]), servers), 60)
        finally:
            await end_all(entries)


if __name__ == "__main__":
    sys.exit(run_checks(__doc__, run))
