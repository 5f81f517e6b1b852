#!/usr/bin/env python3
"""Measures one scenario of placement and admission on a running fleet and prints a table.

Each ratio compares figures of the same run of one fleet. Times are scaled; see SCALE and TOKEN_MS. Only the chats of a
mix are sent, because calls to plain services do not pass through placement.
"""

import argparse
import collections
import http.client
import json
import os
import statistics
import subprocess
import time

import fleet as fleets

ENGINES = {"asociacion": 10, "totara": 12}
ROUTERS = 9
SLOTS = 8
TOKEN_MS = 43
PREFILL_US = 50
# Factor on the response lengths and pauses of the mix. The time between tokens (TOKEN_MS) is not scaled; it is that of
# the objective.
SCALE = 0.1
SHORT_MAX_TOKENS = round(256 * SCALE)
SAMPLE_US = 20_000


def load_mix(name):
    """Returns the chats of a mix, with the model and account keys of the loopback fleet and scaled by SCALE."""
    mix = json.loads((fleets.ROOT / "examples" / "mixes" / f"{name}.json").read_text())
    mix["classes"] = [entry for entry in mix["classes"] if entry["kind"] == "chat"]
    for entry in mix["classes"]:
        entry["model"] = "assistant"
        entry["max_tokens"] = [max(1, round(tokens * SCALE)) for tokens in entry["max_tokens"]]
        if "pause_s" in entry:
            entry["pause_s"] = [seconds * SCALE for seconds in entry["pause_s"]]
    for account in mix["accounts"]:
        account["key"] = fleets.Fleet.account_key(account["name"])
    mix["profile"] = [{"at_s": 0, "factor": 1}]
    return mix


def slot_seconds(mix):
    """Returns the mean time in seconds for which a conversation of the mix occupies slots if its prefix is cached."""
    mean = lambda bounds: sum(bounds) / len(bounds)
    total = 0
    for entry in mix["classes"]:
        straggling = entry.get("straggler_percent", 0) / 100 * (entry.get("straggler_factor", 1) - 1)
        turns = mean(entry.get("turns", [1]))
        total += entry["weight"] * (turns * mean(entry["max_tokens"]) * (1 + straggling) * TOKEN_MS / 1000 + mean(entry["prompt_tokens"]) * PREFILL_US / 1e6)
    return total / sum(entry["weight"] for entry in mix["classes"])


def scale_to_utilisation(mix, engines, share):
    return {**mix, "arrivals_per_second": share * engines * SLOTS / slot_seconds(mix)}


def percentile(values, percent):
    values = sorted(values)
    return values[min(len(values) - 1, max(0, -(-len(values) * percent // 100) - 1))] if values else 0.0


class MeasuredFleet(fleets.Fleet):
    def configuration(self):
        configuration = super().configuration()
        configuration["models"]["assistant"]["short_max_tokens"] = SHORT_MAX_TOKENS
        return configuration


class Run:
    """Runs the load client against a fleet of the size of one deployment."""

    def __init__(self, options, **more):
        self.options = options
        self.engines = ENGINES[options.mix]
        self.mix = load_mix(options.mix)
        settings = {"routers": ROUTERS, "engines": self.engines, "services": 1, "slots": SLOTS, "token_ms": TOKEN_MS, "prefill_us": PREFILL_US,
                    "accounts": [account["name"] for account in self.mix["accounts"]], "limits": {"directory_lifetime_s": 2, "load_bound": options.load_bound},
                    "build": options.build, "cache_tokens": 2_000_000, "log_level": options.log_level, "keep_logs": options.keep_logs,
                    "engine_options": ["--threads", "64"], "router_settings": {}}
        self.fleet = MeasuredFleet(**{**settings, **more})
        self.fleet.start()
        # The homes of the engines settle only after the last router accepts placements.
        time.sleep(3)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.fleet.close()

    def load(self, mix, seconds, seed=None, wait=True):
        folder = self.fleet.folder
        name = f"mix-{time.monotonic_ns()}"
        (folder / f"{name}.json").write_text(json.dumps(mix))
        command = [str(self.fleet.bin / "borageslip-load"), "run", "--mix", str(folder / f"{name}.json"), "--results", str(folder / f"{name}-results.json"),
                   "--schema", str(fleets.ROOT / "schemas" / "load-mix.schema.json"), "--seconds", str(seconds), "--seed", str(seed or self.options.seed), "--request-timeout-s", "40"]
        for router in self.fleet.routers:
            command += ["--entry", f"{fleets.HOST}:{router.callers}"]
        child = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
        finish = lambda: (child.communicate(timeout=seconds + 60), json.loads((folder / f"{name}-results.json").read_text()))[1]
        return finish() if wait else finish

    def clear(self):
        for name in self.fleet.engine_ports:
            fleets.request(self.fleet.engine_ports[name], "DELETE", "/records")

    def runs(self, names=None):
        """Returns the started runs of all engines, each with its engine, ordered by start time."""
        runs = []
        for name in names or self.fleet.engine_ports:
            for run in self.fleet.records(name)["runs"]:
                if run["start_us"]:
                    runs.append({**run, "engine": name})
        return sorted(runs, key=lambda run: run["start_us"])


def prefix_reuse(runs, lost=None):
    """Returns the reused and the possible prompt tokens of returning chats, and how many requests changed engine.

    The possible reuse of a run is the longest finished prefix of its chat on any live engine when the run starts.
    @param lost time in microseconds, by engine, after which the cache of the engine is no longer reachable
    """
    lost = lost or {}
    held = collections.defaultdict(list)
    reused = possible = returning = moved = 0
    last = {}
    for run in sorted(runs, key=lambda run: run["start_us"]):
        best = max((tokens for end, engine, tokens in held[run["chat"]] if end <= run["start_us"] and run["start_us"] < lost.get(engine, 1 << 62)), default=0)
        if run["chat"] in last:
            returning += 1
            moved += last[run["chat"]] != run["engine"]
        last[run["chat"]] = run["engine"]
        best = min(best, run["prompt_tokens"])
        possible += max(best, run["cached_tokens"])
        reused += run["cached_tokens"]
        if run["end_us"] and not run["cancelled"]:
            held[run["chat"]].append((run["end_us"], run["engine"], run["prompt_tokens"] + run["produced"]))
    return {"reused": reused, "possible": possible, "share": reused / possible if possible else 0, "returning": returning, "moved": moved / returning if returning else 0}


def running_samples(runs, engines):
    """Returns a list with one entry for each sample time: the numbers of running requests of all engines."""
    if not runs:
        return []
    first, last = min(run["start_us"] for run in runs), max(run["start_us"] for run in runs)
    counts = [dict.fromkeys(engines, 0) for _ in range((last - first) // SAMPLE_US + 1)]
    for run in runs:
        end = run["end_us"] or last
        for at in range(-(-(run["start_us"] - first) // SAMPLE_US), min(len(counts), -(-(end - first) // SAMPLE_US))):
            counts[at][run["engine"]] += 1
    return [list(sample.values()) for sample in counts]


def load_skew(runs, engines, bound):
    ratios, over = [], 0
    for sample in running_samples(runs, engines):
        mean = sum(sample) / len(sample)
        # With a mean below one request per engine, a single request can exceed the mean by any factor.
        if mean >= 1:
            ratios.append(max(sample) / mean)
            over += max(sample) > max(1, -(-bound * mean // 1))
    return {"p50": percentile(ratios, 50), "p99": percentile(ratios, 99), "max": max(ratios, default=0), "over_bound": over / len(ratios) if ratios else 0}


def row(name, figure, target="", met=None):
    verdict = "" if met is None else ("met" if met else "MISSED")
    print(f"| {name} | {figure} | {target} | {verdict} |", flush=True)


def outcome_rows(result, label=""):
    everything = result["all"]
    row(f"{label}requests, answered", f"{everything['requests']}, {everything['ok_share']:.3f}")
    row(f"{label}first token p50 / p99 ms", f"{everything['first_token_ms']['p50']:.0f} / {everything['first_token_ms']['p99']:.0f}")
    if everything["error_kinds"]:
        row(f"{label}errors", everything["error_kinds"])


def reuse(options):
    with Run(options) as run:
        result = run.load(scale_to_utilisation(run.mix, run.engines, options.utilisation), options.seconds)
        runs = run.runs()
        outcome_rows(result)
        figures = prefix_reuse(runs)
        row("reuse of what was possible", f"{figures['share']:.3f}", "0.95", figures["share"] >= 0.95)
        row("returning requests, share that moved", f"{figures['returning']}, {figures['moved']:.3f}")
        skew = load_skew(runs, run.fleet.engine_ports, options.load_bound)
        row("running max/mean p50 / p99 / max", f"{skew['p50']:.2f} / {skew['p99']:.2f} / {skew['max']:.2f}")
        row(f"samples over max(1, ceil({options.load_bound} mean))", f"{skew['over_bound']:.3f}", "0", skew["over_bound"] == 0)


def churn(options):
    with Run(options) as run:
        fleet = run.fleet
        seconds = 8 + ROUTERS * 4
        finish = run.load(scale_to_utilisation(run.mix, run.engines, options.utilisation), seconds, wait=False)
        time.sleep(4)
        # Replaces one engine of ten, then the routers one after another.
        replacement = f"engine-{run.engines + 1}"
        replacement_options = ["--engine", replacement, "--model", "assistant", "--slots", str(SLOTS), "--token-ms", str(TOKEN_MS), "--prefill-us-per-token", str(PREFILL_US), "--cache-tokens", "2000000", "--threads", "64"]
        ports = dict(fleet.engine_ports)
        ports[replacement] = fleet._start_standin(replacement, "standin-engine", replacement_options)
        fleet.control("engine-1", leaving=True)
        lost = {"engine-1": time.time_ns() // 1000}
        fleet.engine_ports = {name: port for name, port in ports.items() if name != "engine-1"}
        fleet.put_configuration()
        for router in fleet.routers:
            started = time.monotonic()
            code = router.stop(30)
            if code != 0:
                print(f"{router.id} stopped with exit code {code}")
            router.start()
            time.sleep(max(0, 4 - (time.monotonic() - started)))
        result = finish()
        fleet.engine_ports = ports
        runs = run.runs()
        outcome_rows(result)
        figures = prefix_reuse(runs, lost)
        row("reuse of what was possible", f"{figures['share']:.3f}", "0.95", figures["share"] >= 0.95)
        row("returning requests, share that moved", f"{figures['returning']}, {figures['moved']:.3f}")
        late = [entry for entry in runs if entry["engine"] == "engine-1" and entry["accepted_us"] > lost["engine-1"] + 3_000_000]
        row("runs at the leaving engine after 3 s", len(late), "0", not late)
        violations = sum(router.status()["invariant_violations"] for router in fleet.routers if router.is_ready())
        row("invariant violations", violations, "0", violations == 0)


def subset(mix, names):
    return {**mix, "classes": [entry for entry in mix["classes"] if entry["name"] in names]}


def head_of_line(options):
    short, long = {"asociacion": ("quick-question", "site-report"), "totara": ("driver-query", "dispatch-summary")}[options.mix]
    with Run(options) as run:
        only_short = scale_to_utilisation(subset(run.mix, {short}), run.engines, 0.1)
        only_long = scale_to_utilisation(subset(run.mix, {long}), run.engines, 0.9)
        without = run.load(only_short, options.seconds)
        finish = run.load(only_long, options.seconds + 4, seed=options.seed + 1, wait=False)
        time.sleep(4)
        beside = run.load(only_short, options.seconds)
        long_result = finish()
        first = lambda result: result["all"]["first_token_ms"]
        for label, result in (("alone: ", without), ("beside long: ", beside), ("long: ", long_result)):
            outcome_rows(result, label)
        ratio = first(beside)["p99"] / first(without)["p99"]
        row("short p99 beside long / alone", f"{ratio:.2f}", "1.5", ratio <= 1.5)
        row("short p50 beside long / alone", f"{first(beside)['p50'] / first(without)['p50']:.2f}")


def crest(options):
    with Run(options) as run:
        surging = run.mix["accounts"][3]["name"]
        base = scale_to_utilisation(run.mix, run.engines, 0.15)
        base["profile"] = [{"at_s": 0, "factor": 1}, {"at_s": 4, "factor": 5}, {"at_s": 5, "factor": 10}, {"at_s": 5, "factor": 20, "account": surging}]
        seconds = options.seconds
        started = time.time_ns() // 1000
        result = run.load(base, seconds)
        runs = run.runs()
        window = (started + 7_000_000, started + seconds * 1_000_000)
        busy = sum(max(0, min(entry["end_us"], window[1]) - max(entry["start_us"], window[0])) for entry in runs if entry["end_us"] and not entry["cancelled"])
        goodput = busy / ((window[1] - window[0]) * run.engines * SLOTS)
        outcome_rows(result)
        row("slots in completed work from 3 s after the rise", f"{goodput:.3f}", "0.95", goodput >= 0.95)
        ramp = [sum(sample) / (run.engines * SLOTS) for sample in running_samples(runs, run.fleet.engine_ports)]
        row("slots in use each second", " ".join(f"{statistics.mean(ramp[at:at + 50]):.2f}" for at in range(0, len(ramp), 50)))
        for name, account in sorted(result["accounts"].items()):
            row(f"account {name}: requests, answered", f"{account['requests']}, {account['ok_share']:.3f}{' (surging)' if name == surging else ''}")
        skew = load_skew(runs, run.fleet.engine_ports, options.load_bound)
        row("running max/mean p50 / p99 / max", f"{skew['p50']:.2f} / {skew['p99']:.2f} / {skew['max']:.2f}")


def slow(options):
    with Run(options) as run:
        mix = scale_to_utilisation(run.mix, run.engines, options.utilisation)
        without = run.load(mix, options.seconds)
        run.fleet.control("engine-2", slow_factor=10)
        # During this load the routers learn the engine's median latency and lower its weight.
        adapting = run.load(mix, 12, seed=options.seed + 1)
        run.clear()
        beside = run.load(mix, options.seconds, seed=options.seed)
        for label, result in (("all fast: ", without), ("first 12 s of the slowdown: ", adapting), ("one slow: ", beside)):
            outcome_rows(result, label)
        for figure, name in (("first_token_ms", "first token"), ("gap_ms", "between tokens")):
            ratio = beside["all"][figure]["p99"] / without["all"][figure]["p99"]
            row(f"{name} p99 one slow / all fast", f"{ratio:.2f} ({beside['all'][figure]['p99']:.0f} / {without['all'][figure]['p99']:.0f} ms)", "1.3", ratio <= 1.3)
        runs = run.runs()
        row("share of runs at the slow engine", f"{sum(entry['engine'] == 'engine-2' for entry in runs) / max(1, len(runs)):.3f}")


def timed_chat(port, account, body):
    """Returns the times from the request to each token, in milliseconds."""
    connection = http.client.HTTPConnection(fleets.HOST, port, timeout=10)
    started = time.perf_counter()
    connection.request("POST", "/v1/chat/completions", json.dumps(body), {"Authorization": f"Bearer {fleets.Fleet.account_key(account)}", "Content-Type": "application/json", "X-Request-Id": f"direct-{time.monotonic_ns()}"})
    response = connection.getresponse()
    if response.status != 200:
        raise RuntimeError(f"chat request failed with status {response.status}")
    times = [(time.perf_counter() - started) * 1000 for line in response if line.startswith(b'data: {"')]
    connection.close()
    return times


def overhead(options):
    with Run(options, token_ms=2) as run:
        account = run.mix["accounts"][0]["name"]
        first, token = {"fleet": [], "direct": []}, {"fleet": [], "direct": []}
        for index in range(options.seconds * 20):
            name = f"engine-{index % run.engines + 1}"
            for way in ("direct", "fleet"):
                port = run.fleet.engine_ports[name] if way == "direct" else run.fleet.routers[index % ROUTERS].callers
                times = timed_chat(port, account, fleets.chat_body(f"overhead-{way}-{index}", "p" * 400, max_tokens=20))
                first[way].append(times[0])
                # Mean time per token after the first, to find what the fleet adds to each of them.
                token[way].append((times[-1] - times[0]) / max(1, len(times) - 1))
        for percent, target in ((50, 2), (99, 5)):
            added = percentile(first["fleet"], percent) - percentile(first["direct"], percent)
            row(f"added to the first token, p{percent}", f"{added:.2f} ms ({percentile(first['fleet'], percent):.2f} through the fleet, {percentile(first['direct'], percent):.2f} direct)", f"{target} ms", added <= target)
        for percent, target in ((50, 2), (99, 5)):
            added = percentile(token["fleet"], percent) - percentile(token["direct"], percent)
            row(f"added per later token, p{percent}", f"{added:.3f} ms", f"{target} ms", added <= target)


def account_rate(options):
    """Sends the requests of one account at five times its fleet-wide rate, through all routers."""
    rate = 20
    with Run(options, rates={"quimica-sur": rate, "harbour-freight": rate}) as run:
        limited = run.mix["accounts"][0]["name"]
        mix = {**subset(run.mix, {"quick-question", "driver-query"}), "arrivals_per_second": 5 * rate}
        mix["accounts"] = [account for account in mix["accounts"] if account["name"] == limited]
        result = run.load(mix, options.seconds)
        outcome_rows(result)
        starts = sorted(entry["accepted_us"] for entry in run.runs())
        first = starts[0]
        per_second = collections.Counter((start - first) // 1_000_000 for start in starts)
        row("admitted each second", " ".join(str(per_second[second]) for second in range(options.seconds)))
        # Excludes the burst that the limit allows once at the start.
        steady = sum(per_second[second] for second in range(2, options.seconds)) / (options.seconds - 2) / rate
        row("admitted rate over the declared rate, from the third second", f"{steady:.2f}", "0.9 to 1.1", 0.9 <= steady <= 1.1)


SCENARIOS = {"account-rate": account_rate, "reuse": reuse, "churn": churn, "head-of-line": head_of_line, "crest": crest, "slow": slow, "overhead": overhead}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenario", choices=sorted(SCENARIOS))
    parser.add_argument("--mix", choices=sorted(ENGINES), default="asociacion")
    parser.add_argument("--seconds", type=int, default=15)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--utilisation", type=float, default=0.5, help="share of the slots that the load occupies")
    parser.add_argument("--load-bound", type=float, default=1.25, help="multiple of the mean load that an engine may carry")
    parser.add_argument("--build", default="release")
    parser.add_argument("--log-level", default="info")
    parser.add_argument("--keep-logs")
    options = parser.parse_args()
    before = os.getloadavg()[0]
    print(f"{options.scenario}, {options.mix}, seed {options.seed}, utilisation {options.utilisation}, {options.seconds} s, bound {options.load_bound}\n\n| figure | value | target | |\n|---|---|---|---|")
    SCENARIOS[options.scenario](options)
    print(f"\nload average {before:.1f} before, {os.getloadavg()[0]:.1f} after")


if __name__ == "__main__":
    main()
