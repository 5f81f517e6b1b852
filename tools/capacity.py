#!/usr/bin/env python3
"""Measures the resource cost of each role, fits straight lines to it and renders the tables of docs/CAPACITY.md.

    tools/capacity.py run idle streams ...   runs measurements and stores their rows in docs/measurements/capacity.json
    tools/capacity.py fit                    computes the least-squares fits of all stored rows
    tools/capacity.py render                 writes the tables into docs/CAPACITY.md
    tools/capacity.py check                  fails if the page and the stored figures differ

Each measured point takes at most 40 s. Only processes of this project are started.
"""

import argparse
import asyncio
import contextlib
import json
import math
import os
import pathlib
import re
import socket
import subprocess
import sys
import threading
import time

import fleet as fleets

ROOT = fleets.ROOT
RESULTS = ROOT / "docs" / "measurements" / "capacity.json"
PAGE = ROOT / "docs" / "CAPACITY.md"
TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGESIZE")
TOKEN_MS = 43
# The target load is 4.7 million tokens and 21,000 requests per second, which is 224 tokens per request.
TOKENS_PER_REQUEST = 224


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_kb(pid):
    """Returns the resident and the private (not shared with other processes) memory in kilobytes."""
    rollup = pathlib.Path(f"/proc/{pid}/smaps_rollup").read_text()
    value = lambda name: int(re.search(rf"^{name}:\s+(\d+) kB", rollup, re.M).group(1))
    return value("Rss"), value("Private_Clean") + value("Private_Dirty")


def thread_count(pid):
    return int(re.search(r"^Threads:\s+(\d+)", pathlib.Path(f"/proc/{pid}/status").read_text(), re.M).group(1))


class CpuSample:
    """Measures the CPU time of processes since its creation."""

    def __init__(self, pids):
        self.pids = pids
        self.started = time.monotonic()
        self.before = {pid: cpu_seconds(pid) for pid in pids}

    def cpu_ms_per_second(self):
        elapsed = time.monotonic() - self.started
        return {pid: (cpu_seconds(pid) - self.before[pid]) * 1000 / elapsed for pid in self.pids}


class CountingRelay:
    """Forwards TCP connections on loopback and counts connections and payload bytes in both directions."""

    def __init__(self, target_port, listeners=1):
        self.target_port = target_port
        self.connections = self.bytes_to = self.bytes_from = 0
        self.listeners = [socket.create_server((fleets.HOST, 0), backlog=1024) for _ in range(listeners)]
        self.ports = [listener.getsockname()[1] for listener in self.listeners]
        self.port = self.ports[0]
        for listener in self.listeners:
            threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    def _accept(self, listener):
        with contextlib.suppress(OSError):
            while True:
                client, _ = listener.accept()
                self.connections += 1
                try:
                    server = socket.create_connection((fleets.HOST, self.target_port))
                except OSError:
                    client.close()
                    continue
                threading.Thread(target=self._copy, args=(client, server, "bytes_to"), daemon=True).start()
                threading.Thread(target=self._copy, args=(server, client, "bytes_from"), daemon=True).start()

    def _copy(self, source, target, counter):
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                setattr(self, counter, getattr(self, counter) + len(data))
                target.sendall(data)
        with contextlib.suppress(OSError):
            target.shutdown(socket.SHUT_WR)

    def counts(self):
        return {"connections": self.connections, "bytes_to": self.bytes_to, "bytes_from": self.bytes_from}

    def close(self):
        for listener in self.listeners:
            listener.shutdown(socket.SHUT_RDWR)
            listener.close()


def program(options, name):
    return str(ROOT / "build" / options.build / "bin" / name)


def difference(after, before):
    return {name: after[name] - before[name] for name in after}


def mean(values):
    values = list(values)
    return sum(values) / len(values)


def wait_for_members(fleet, count, timeout=25):
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if len(fleet.routers[0].status().get("members", [])) == count and len(fleet.routers[-1].status().get("members", [])) == count:
            return
        time.sleep(0.5)


def measure_idle(options):
    """Measures the cost of an idle daemon by the number of daemons."""
    rows = []
    for count in (5, 10, 20, 40, 80):
        with fleets.Fleet(routers=count, engines=1, services=0, build=options.build, log_level="warning", max_seconds=60,
                          router_settings={"caller_threads": 64, "home_threads": 64}) as fleet:
            fleet.start()
            wait_for_members(fleet, count)
            time.sleep(2)
            before = fleets.request_json(fleet.platform_port, "GET", "/records")[1]["calls"]
            # The home of the engine polls it, and watchers wait on the store. The mean excludes the home.
            homes = {r.id for r in fleet.routers if r.status().get("engines")}
            pids = [r.process.child.pid for r in fleet.routers if r.id not in homes]
            sample = CpuSample(pids)
            time.sleep(10)
            cpu = sample.cpu_ms_per_second()
            after = fleets.request_json(fleet.platform_port, "GET", "/records")[1]["calls"]
            memory = [memory_kb(pid) for pid in pids]
            calls = sum(after.values()) - sum(before.values())
            rows.append({"members": count, "known": len(fleet.routers[-1].status()["members"]), "cpu_ms_s": mean(cpu.values()),
                         "cpu_ms_s_highest": max(cpu.values()), "resident_kb": mean(m[0] for m in memory), "private_kb": mean(m[1] for m in memory),
                         "threads": mean(thread_count(pid) for pid in pids), "store_calls_s": calls / 10})
        print(rows[-1], flush=True)
    return rows


async def read_stream(port, index, tokens, counts):
    body = json.dumps(fleets.chat_body(f"chat-{index}", "A short question about the stock. " * 4, max_tokens=tokens))
    head = (f"POST /v1/chat/completions HTTP/1.1\r\nHost: {fleets.HOST}\r\nAuthorization: Bearer {fleets.Fleet.account_key('account-1')}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n")
    counts["open"] += 1
    whole = False
    try:
        reader, writer = await asyncio.open_connection(fleets.HOST, port)
        writer.write((head + body).encode())
        tail = b""
        while data := await asyncio.wait_for(reader.read(65536), 30):
            counts["bytes"] += len(data)
            counts["events"] += data.count(b"data: ")
            tail = (tail + data)[-64:]
        whole = b"[DONE]" in tail
        writer.close()
    except (OSError, asyncio.TimeoutError):
        pass
    counts["open"] -= 1
    counts["whole" if whole else "failed"] += 1


async def load(port, rate, tokens, settle, seconds, processes):
    """Sends requests at a fixed rate; returns the figures of the last `seconds`, after `settle` seconds of warm-up."""
    counts = {"open": 0, "bytes": 0, "events": 0, "whole": 0, "failed": 0}
    tasks = []
    begin = time.monotonic()
    sample = None
    opens = []
    while (now := time.monotonic() - begin) < settle + seconds:
        while len(tasks) < rate * now:
            tasks.append(asyncio.create_task(read_stream(port, len(tasks), tokens, counts)))
        if sample is None and now >= settle:
            before = dict(counts)
            sample = CpuSample(list(processes.values()))
        if sample:
            opens.append(counts["open"])
        await asyncio.sleep(0.01)
    elapsed = time.monotonic() - sample.started
    cpu = sample.cpu_ms_per_second()
    row = {"open": mean(opens), "requests_s": (counts["whole"] - before["whole"]) / elapsed, "failed": counts["failed"],
           "events_s": (counts["events"] - before["events"]) / elapsed, "caller_bytes_s": (counts["bytes"] - before["bytes"]) / elapsed}
    for name, pid in processes.items():
        row[f"{name}_cpu_ms_s"] = cpu[pid]
        row[f"{name}_resident_kb"], row[f"{name}_private_kb"] = memory_kb(pid)
        row[f"{name}_threads"] = thread_count(pid)
    await asyncio.gather(*tasks)
    row["failed"] = counts["failed"]
    return row


@contextlib.contextmanager
def entry_and_home(options):
    """Starts two daemons and yields the one that serves the callers and the one that is the home of the only engine."""
    with fleets.Fleet(routers=2, engines=1, services=0, slots=4096, token_ms=TOKEN_MS, prefill_us=1, build=options.build, log_level="warning", max_seconds=300,
                      engine_options=["--threads", "2048"]) as fleet:
        fleet.start()
        time.sleep(7)
        home = next(router for router in fleet.routers if router.status().get("engines"))
        entry = next(router for router in fleet.routers if router is not home)
        yield entry, home


def measure_streams(options):
    """Measures the cost of concurrent streams at the ratio of tokens to requests of the target load."""
    rows = []
    for streams in (0, 50, 100, 200, 400):
        with entry_and_home(options) as (entry, home):
            duration = TOKENS_PER_REQUEST * TOKEN_MS / 1000
            rows.append({"streams": streams} | asyncio.run(load(entry.callers, streams / duration, TOKENS_PER_REQUEST, duration + 2, 8,
                                                                {"entry": entry.process.child.pid, "home": home.process.child.pid})))
        print(rows[-1], flush=True)
    return rows


def measure_requests(options):
    """Measures the cost of short requests (two tokens) by their rate."""
    rows = []
    for rate in (0, 16, 32, 64, 128):
        with entry_and_home(options) as (entry, home):
            rows.append({"rate": rate} | asyncio.run(load(entry.callers, rate, 2, 2, 10, {"entry": entry.process.child.pid, "home": home.process.child.pid})))
        print(rows[-1], flush=True)
    return rows


def measure_monitor(options):
    """Measures the cost of polling load reports by the number of engines of one home.

    All engine names refer to one stand-in behind a counting relay."""
    rows = []
    for engines in (1, 5, 10, 15, 30, 60):
        with fleets.Fleet(routers=1, engines=1, services=0, build=options.build, log_level="warning", max_seconds=60) as fleet:
            relay = CountingRelay(fleet.engine_ports["engine-1"], listeners=engines)
            fleet.engine_ports = {f"engine-{index:04}": port for index, port in enumerate(relay.ports)}
            fleet.start()
            time.sleep(3)
            pid = fleet.routers[0].process.child.pid
            sample, before = CpuSample([pid]), relay.counts()
            time.sleep(10)
            elapsed, cpu = time.monotonic() - sample.started, sample.cpu_ms_per_second()[pid]
            counts = difference(relay.counts(), before)
            relay.close()
            rows.append({"engines": engines, "cpu_ms_s": cpu, "connections_s": counts["connections"] / elapsed,
                         "sent_bytes_s": counts["bytes_to"] / elapsed, "received_bytes_s": counts["bytes_from"] / elapsed, "private_kb": memory_kb(pid)[1]})
        print(rows[-1], flush=True)
    return rows


@contextlib.contextmanager
def document_watcher(options, engines, accounts):
    """Starts a daemon that watches the store through a counting relay; yields fleet, document and relay."""
    with fleets.Fleet(routers=1, engines=1, services=0, build=options.build, log_level="warning", max_seconds=60) as fleet:
        relay = CountingRelay(fleet.platform_port)
        port = fleet.engine_ports["engine-1"]
        fleet.engine_ports = {f"engine-{index:04}": port for index in range(engines)}
        fleet.accounts = [f"account-{index:04}" for index in range(accounts)]
        document = fleet.configuration()
        # All engines but one are in another region, so that this daemon polls only one.
        for index, engine in enumerate(list(document["engines"].values())[1:]):
            engine.update(region="elsewhere", failure_domain="domain-1", address=f"10.11.{index // 250}.{index % 250 + 1}:8000")
        fleet.put_configuration(document)
        fleet.platform_port, platform_port = relay.port, fleet.platform_port
        for router in fleet.routers:
            router.start()
        fleet.platform_port = platform_port
        fleet.wait_ready()
        time.sleep(2)
        yield fleet, document, relay
        relay.close()


def document_kilobytes(document):
    return len(json.dumps(document, separators=(",", ":"))) / 1000


def measure_watch(options):
    """Measures the payload bytes from the store to a watcher while the document does not change."""
    rows = []
    for engines, accounts in ((100, 190), (500, 400), (1000, 700), (2500, 1200), (5000, 1900)):
        with document_watcher(options, engines, accounts) as (fleet, document, relay):
            before, started = relay.counts(), time.monotonic()
            time.sleep(10)
            counts, elapsed = difference(relay.counts(), before), time.monotonic() - started
            rows.append({"engines": engines, "accounts": accounts, "document_kb": document_kilobytes(document), "received_kb_s": counts["bytes_from"] / 1000 / elapsed,
                         "reads_s": counts["connections"] / elapsed,
                         "kb_a_read": counts["bytes_from"] / 1000 / counts["connections"]})
        print(rows[-1], flush=True)
    return rows


def measure_store(options):
    """Measures the payload bytes, CPU time and memory that document changes cost a watcher, by document size."""
    rows = []
    for engines, accounts in ((100, 190), (500, 400), (1000, 700), (2500, 1200), (5000, 1900)):
        with document_watcher(options, engines, accounts) as (fleet, document, relay):
            pid = fleet.routers[0].process.child.pid
            idle = memory_kb(pid)
            sample, before = CpuSample([pid]), relay.counts()
            time.sleep(3)
            quiet, quiet_cpu = difference(relay.counts(), before), sample.cpu_ms_per_second()[pid] * 3
            sample, before, changes = CpuSample([pid]), relay.counts(), 5
            for change in range(changes):
                document["plan"] = f"plan-{change}"
                fleet.put_configuration(document)
                time.sleep(1.5)
            counts = difference(relay.counts(), before)
            cpu = sample.cpu_ms_per_second()[pid] * (time.monotonic() - sample.started)
            after = memory_kb(pid)
            rows.append({"engines": engines, "accounts": accounts, "document_kb": document_kilobytes(document),
                         "received_kb_a_change": (counts["bytes_from"] / 1000 - quiet["bytes_from"] / 1000 * 2.5) / changes,
                         "cpu_ms_a_change": (cpu - quiet_cpu * 2.5) / changes, "private_kb_idle": idle[1], "private_kb_after": after[1],
                         "revision": fleet.routers[0].status()["revision"]})
        print(rows[-1], flush=True)
    return rows


def measure_usage(options):
    """Measures the payload bytes of a usage report and its response by the number of rows.

    Reports are sent once per second on one inner connection."""
    rows = []
    with fleets.Fleet(routers=1, engines=1, services=0, build=options.build, log_level="warning", max_seconds=120,
                      accounts=[f"account-{index:04}" for index in range(64)]) as fleet:
        fleet.rates = {name: 10 for name in fleet.accounts}
        fleet.start()
        for count in (1, 5, 10, 20, 40):
            relay = CountingRelay(fleet.routers[0].inner)
            calls = 8
            subprocess.run([program(options, "capacity_bench"), "usage-calls", "--peer", f"{fleets.HOST}:{relay.port}",
                            "--key", fleets.INNER_KEY, "--calls", "1", "--rows", str(count)], check=True, timeout=30)
            first = relay.counts()
            subprocess.run([program(options, "capacity_bench"), "usage-calls", "--peer", f"{fleets.HOST}:{relay.port}",
                            "--key", fleets.INNER_KEY, "--calls", str(calls + 1), "--rows", str(count)], check=True, timeout=30)
            later = relay.counts()
            # The first call includes the connection setup; the difference is the cost of the calls after it.
            rows.append({"rows": count, "sent_bytes": (later["bytes_to"] - 2 * first["bytes_to"]) / calls,
                         "answered_bytes": (later["bytes_from"] - 2 * first["bytes_from"]) / calls,
                         "opening_bytes": first["bytes_to"] + first["bytes_from"]})
            relay.close()
            print(rows[-1], flush=True)
    return rows


def measure_in_process(*arguments):
    def measure(options):
        output = subprocess.run([program(options, "capacity_bench"), *arguments], check=True, capture_output=True, text=True, timeout=120).stdout
        print(output, flush=True)
        return [json.loads(line) for line in output.splitlines()]
    return measure


def measure_membership(options):
    """Measures member services that run in one process, for several member counts; see bench/membership."""
    output = subprocess.run([program(options, "membership_bench"), "--sizes", "10", "30", "100", "200", "330", "--settle", "9", "--seconds", "8"],
                            check=True, capture_output=True, text=True, timeout=200).stdout
    print(output, flush=True)
    names = ("members", "known", "sent_bytes_s", "received_bytes_s", "cpu_ms_s", "resident_kb")
    return [dict(zip(names, map(float, line.split()))) for line in output.splitlines()[1:] if re.match(r"^[\d. ]+$", line)]


def measure_placement(options):
    """Measures placement with 3 models, and admission; see bench/routing."""
    output = subprocess.run([program(options, "routing-benchmark"), "--benchmark_min_time=0.05", "--benchmark_filter=models:3/situation:0|admit"],
                            check=True, capture_output=True, text=True, timeout=100).stdout
    print(output, flush=True)
    figures = {"placeChat": {}, "admitRequest": {}}
    for name, engines, p50, p99 in re.findall(r"^(\w+)/engines:(\d+)\S* .*p50_us=([\d.]+) p99_us=([\d.]+)", output, re.M):
        figures[name][int(engines)] = (float(p50), float(p99))
    return [{"engines": engines, "place_p50_us": p50, "place_p99_us": p99, **dict(zip(("admit_p50_us", "admit_p99_us"), figures["admitRequest"].get(engines, (0, 0))))}
            for engines, (p50, p99) in sorted(figures["placeChat"].items()) if engines in figures["admitRequest"]]


RUNS = {"idle": measure_idle, "streams": measure_streams, "requests": measure_requests, "monitor": measure_monitor, "store": measure_store, "watch": measure_watch,
        "usage": measure_usage, "membership": measure_membership, "placement": measure_placement, "configuration": measure_in_process("configuration"),
        "shares": measure_in_process("shares"), "outcomes": measure_in_process("outcomes"),
        "freshness": measure_in_process("freshness"), "freshness400": measure_in_process("freshness", "--board-bytes", "400")}

# Each entry: run, x column, y column, unit of the slope.
FITS = [
    ("idle", "members", "cpu_ms_s", "ms/s a member"), ("idle", "members", "private_kb", "KB a member"), ("idle", "members", "store_calls_s", "calls/s a member"),
    ("membership", "members", "sent_bytes_s", "B/s a member"), ("membership", "members", "cpu_ms_s", "ms/s a member"),
    ("placement", "engines", "place_p50_us", "us an engine"), ("placement", "engines", "admit_p50_us", "us an engine"),
    ("requests", "requests_s", "entry_cpu_ms_s", "ms a request"), ("requests", "requests_s", "home_cpu_ms_s", "ms a request"),
    ("streams", "open", "entry_cpu_ms_s", "ms/s a stream"), ("streams", "open", "home_cpu_ms_s", "ms/s a stream"),
    ("streams", "events_s", "entry_cpu_ms_s", "ms an event"), ("streams", "events_s", "home_cpu_ms_s", "ms an event"),
    ("streams", "open", "entry_private_kb", "KB a stream"), ("streams", "open", "home_private_kb", "KB a stream"),
    ("streams", "events_s", "caller_bytes_s", "B an event"),
    ("monitor", "engines", "cpu_ms_s", "ms/s an engine"), ("monitor", "engines", "sent_bytes_s", "B/s an engine"),
    ("monitor", "engines", "received_bytes_s", "B/s an engine"), ("monitor", "engines", "connections_s", "connections/s an engine"),
    ("store", "document_kb", "received_kb_a_change", "KB a KB"), ("store", "document_kb", "cpu_ms_a_change", "ms a KB"),
    ("store", "document_kb", "private_kb_after", "KB a KB"),
    ("watch", "document_kb", "kb_a_read", "KB a KB"),
    ("configuration", "engines", "document_kb", "KB an engine"), ("configuration", "document_kb", "parse_ms", "ms a KB"),
    ("configuration", "document_kb", "resident_kb", "KB a KB"), ("configuration", "engines", "view_ms", "ms an engine"),
    ("configuration", "engines", "view_kb", "KB an engine"),
    ("usage", "rows", "sent_bytes", "B a row"), ("usage", "rows", "answered_bytes", "B a row"),
    ("shares", "accounts", "take_ms", "ms an account"), ("shares", "accounts", "encode_ms", "ms an account"), ("shares", "accounts", "share_ms", "ms an account"),
    ("shares", "accounts", "report_bytes", "B an account"), ("shares", "accounts", "resident_kb", "KB an account"),
    ("freshness", "members", "mean_age_s", "s a member"), ("freshness", "members", "p99_age_s", "s a member"),
    ("freshness400", "members", "mean_age_s", "s a member"), ("freshness400", "members", "p99_age_s", "s a member"),
    ("outcomes", "outcomes", "heap_kb", "KB an outcome"), ("outcomes", "outcomes", "counted_kb", "KB an outcome"), ("outcomes", "outcomes", "handover_kb", "KB an outcome"),
]


def least_squares(xs, ys):
    """Returns intercept, slope, standard error of the slope, residual standard deviation and R squared."""
    count, mean_x, mean_y = len(xs), mean(xs), mean(ys)
    sxx = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / sxx
    intercept = mean_y - slope * mean_x
    residual = sum((y - intercept - slope * x) ** 2 for x, y in zip(xs, ys))
    total = sum((y - mean_y) ** 2 for y in ys)
    deviation = math.sqrt(residual / (count - 2))
    return {"intercept": intercept, "slope": slope, "slope_error": deviation / math.sqrt(sxx), "residual": deviation, "r2": 1 - residual / total if total else 1.0}


def read_results():
    return json.loads(RESULTS.read_text()) if RESULTS.exists() else {"runs": {}, "fits": []}


def write_results(results):
    RESULTS.write_text(json.dumps(results, indent=1) + "\n")


def fit(results):
    results["fits"] = []
    for name, x, y, unit in FITS:
        for run in (run for run in results["runs"] if run.split("@")[0] == name and len(results["runs"][run]["rows"]) >= 4):
            rows = results["runs"][run]["rows"]
            results["fits"].append({"run": run, "x": x, "y": y, "unit": unit, "points": len(rows)} | least_squares([r[x] for r in rows], [r[y] for r in rows]))


def format_number(value):
    if isinstance(value, str):
        return value
    if value == 0 or abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.4g}" if abs(value) >= 0.01 else f"{value:.3g}"


def format_table(rows):
    names = list(rows[0])
    lines = ["| " + " | ".join(names) + " |", "|" + "---|" * len(names)]
    return lines + ["| " + " | ".join(format_number(row[name]) for name in names) + " |" for row in rows]


def render_page(results, page):
    """Replaces the text between the markers `<!-- rows NAME -->` or `<!-- fits NAME -->` and `<!-- end -->`."""
    def block(match):
        kind, name = match.group(1), match.group(2)
        if kind == "rows":
            run = results["runs"].get(name)
            if not run:
                return f"<!-- rows {name} -->\nNot taken yet.\n<!-- end -->"
            lines = [f"`tools/capacity.py run {name.split('@')[0]}`, commit {run['commit']}, load average {run['load_before']:.1f} before and {run['load_after']:.1f} after:", ""] + format_table(run["rows"])
        else:
            lines = ["| figure | at 0 | slope | error of the slope | residual | R² | points |", "|---|---|---|---|---|---|---|"]
            for f in results["fits"]:
                if f["run"] == name:
                    lines.append(f"| {f['y']} over {f['x']} | {format_number(f['intercept'])} | {format_number(f['slope'])} {f['unit']} | {format_number(f['slope_error'])} | {format_number(f['residual'])} | {f['r2']:.3f} | {f['points']} |")
        return f"<!-- {kind} {name} -->\n" + "\n".join(lines) + "\n<!-- end -->"
    return re.sub(r"<!-- (rows|fits) ([\w@]+) -->\n.*?<!-- end -->", block, page, flags=re.S)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    commands = parser.add_subparsers(dest="command", required=True)
    run = commands.add_parser("run")
    run.add_argument("names", nargs="+", choices=sorted(RUNS))
    run.add_argument("--build", default="release", help="preset, or a folder that contains bin/")
    run.add_argument("--suffix", default="", help="suffix for the names under which the rows are stored, for trials of another build")
    for name in ("fit", "render", "check"):
        commands.add_parser(name)
    options = parser.parse_args()
    results = read_results()
    if options.command == "run":
        for name in options.names:
            before = os.getloadavg()[0]
            commit = subprocess.run(["git", "-C", str(ROOT), "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=True).stdout.strip()
            rows = RUNS[name](options)
            results = read_results()
            results["runs"][name + options.suffix] = {"commit": commit, "taken": time.strftime("%Y-%m-%d %H:%M"), "load_before": round(before, 2), "load_after": round(os.getloadavg()[0], 2), "rows": rows}
            fit(results)
            write_results(results)
    elif options.command == "fit":
        fit(results)
        write_results(results)
    else:
        page = PAGE.read_text()
        wanted = render_page(results, page)
        if options.command == "render":
            PAGE.write_text(wanted)
        elif wanted != page:
            print("docs/CAPACITY.md does not match docs/measurements/capacity.json; run tools/capacity.py render")
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
