#!/usr/bin/env python3
"""Runs load and seeded faults against a fleet of real processes and checks the recorded histories against invariants
I1 to I7.

The seed determines the faults, their times and targets, the arrivals and the bookings, but not the interleaving of the
processes. Exit status 0: no violation; 1: violations; 2: the run could not be completed.
"""

import argparse
import collections
import hashlib
import http.client
import json
import pathlib
import random
import shutil
import subprocess
import sys
import tempfile
import threading
import time

import fleet as fleets

MIXES = ("asociacion", "totara")
BOOKING_ACCOUNTS = 3
SAMPLE_INTERVAL_S = 0.5
# Read timeout of callers; longer than the longest injected pause of a router.
CALLER_TIMEOUT_S = 20
STOP_TIMEOUT_S = 120
START_TIMEOUT_S = 120
# Time without faults at the end of a run, so that the routers can converge and be checked.
CONVERGENCE_S = 12


def now_us():
    return time.time_ns() // 1000


def load_mix(name):
    return json.loads((fleets.ROOT / "examples" / "mixes" / f"{name}.json").read_text())


class FailureFleet(fleets.Fleet):
    """A fleet that serves the models, services and accounts of both example mixes."""

    def __init__(self, **options):
        super().__init__(services=2, engine_options=("--model", "draft"), limits={"directory_lifetime_s": 2}, **options)
        self.mixes = {name: load_mix(name) for name in MIXES}
        self.generation = 0

    def configuration(self):
        document = super().configuration()
        document["models"] = {"draft": {"engines": sorted(self.engine_ports)}}
        addresses = [f"{fleets.HOST}:{port}" for port in self.service_ports.values()]
        orders = [{"method": "POST", "path_prefix": prefix, "idempotent": False} for prefix in ("/swaps", "/bookings", "/charges")]
        document["services"] = {name: {"addresses": addresses, "routes": orders + [{"method": "GET", "path_prefix": "/", "idempotent": True}]}
                                for name in ("bookings", "dispatch")}
        document["accounts"] = {account["name"]: {"key_sha256": [hashlib.sha256(account["key"].encode()).hexdigest()]}
                                for mix in self.mixes.values() for account in mix["accounts"]}
        # Makes the documents of a burst differ without changing the behaviour of the fleet.
        document["limits"] = {**document.get("limits", {}), "queue_limit": 64 + self.generation % 16}
        return document


class Recorder:
    """Collects JSON events from several threads."""

    def __init__(self):
        self.lock = threading.Lock()
        self.events = []

    def add(self, event, **fields):
        with self.lock:
            self.events.append({"event": event, "at_us": now_us(), **fields})

    def write(self, path):
        with self.lock:
            path.write_text("".join(json.dumps(event) + "\n" for event in self.events))


class Bookings(threading.Thread):
    """Sends bookings with tickets or ordinary keys and repeats some through another entry, at once or later."""

    def __init__(self, fleet, seed, rate, seconds, history):
        super().__init__(daemon=True)
        self.fleet, self.rate, self.seconds, self.history = fleet, rate, seconds, history
        self.random = random.Random(f"bookings-{seed}")
        self.seed = seed
        self.callers = []

    def run(self):
        accounts = [account for mix in self.fleet.mixes.values() for account in mix["accounts"][:BOOKING_ACCOUNTS]]
        start = time.monotonic()
        at, index = 0.0, 0
        while at < self.seconds:
            at += self.random.expovariate(self.rate)
            plan = {
                "id": f"order-{self.seed}-{index}", "account": self.random.choice(accounts), "path": self.random.choice(("/bookings", "/charges", "/swaps")),
                "has_ticket": self.random.random() < 0.5, "entries": self.random.sample(range(len(self.fleet.routers)), min(3, len(self.fleet.routers))),
                # The first caller disconnects after sending the order, which must not cancel the order.
                "is_leaving": self.random.random() < 0.1,
                # Several repeats make races between the first call and the repeats likely.
                "pauses": [0.0] + self.random.choice(([], [], [0.0], [0.0, 0.0], [self.random.uniform(0.05, 1)], [self.random.uniform(2, 12)], [0.0, self.random.uniform(2, 12)])),
            }
            index += 1
            time.sleep(max(0.0, start + at - time.monotonic()))
            self.spawn(self.order, plan)
        for caller in self.callers:
            caller.join()

    def spawn(self, function, *arguments):
        thread = threading.Thread(target=function, args=arguments, daemon=True)
        self.callers.append(thread)
        thread.start()

    def order(self, plan):
        key = self.ticket(plan) if plan["has_ticket"] else None
        plan["key"] = key or f"key-{plan['id']}"
        calls = []
        for number, pause in enumerate(plan["pauses"]):
            router = self.fleet.routers[plan["entries"][number % len(plan["entries"])]]
            calls.append(threading.Thread(target=self.call, args=(plan, f"{plan['id']}-{number}", router, pause, plan["is_leaving"] and number == 0), daemon=True))
            calls[-1].start()
        for call in calls:
            call.join()

    def ticket(self, plan):
        for entry in plan["entries"]:
            try:
                status, answer = fleets.request_json(self.fleet.routers[entry].callers, "GET", "/v1/entries?count=3", None,
                                                     {"Authorization": f"Bearer {plan['account']['key']}"}, timeout=CALLER_TIMEOUT_S)
                if status == 200 and answer.get("tickets"):
                    return answer["tickets"][0]
            except (OSError, http.client.HTTPException, ValueError):
                continue
        return None

    def call(self, plan, name, router, pause, is_leaving=False):
        time.sleep(pause)
        fields = {"request": name, "kind": "booking", "key": plan["key"], "account": plan["account"]["name"]}
        self.history.add("invoke", **fields)
        outcome = {"outcome": "ok", "error_kind": "", "not_run": False, "entry": f"{fleets.HOST}:{router.callers}", "status": 0}
        headers = {"Authorization": f"Bearer {plan['account']['key']}", "Idempotency-Key": plan["key"], "X-Request-Id": name, "Content-Type": "application/json"}
        connection = http.client.HTTPConnection(fleets.HOST, router.callers, timeout=CALLER_TIMEOUT_S)
        try:
            connection.connect()
        except OSError:
            connection.close()
            return self.history.add("complete", **fields, **{**outcome, "outcome": "unreachable", "error_kind": "unreachable"})
        try:
            service = "bookings" if plan["path"] == "/swaps" else "dispatch"
            connection.request("POST", f"/services/{service}{plan['path']}", json.dumps({"booking": plan["id"]}), headers)
            if is_leaving:
                return self.history.add("complete", **fields, **{**outcome, "outcome": "gone", "error_kind": "gone"})
            response = connection.getresponse()
            body = json.loads(response.read())
            outcome["status"] = response.status
            if response.status == 200:
                outcome.update(answer_key=body.get("key", ""), number=body.get("number", 0))
            else:
                outcome.update(outcome="refused", error_kind=body.get("kind", f"status-{response.status}"), not_run=body.get("not_run", False))
        except TimeoutError:
            outcome.update(outcome="timeout", error_kind="timeout")
        except ValueError:
            outcome.update(outcome="malformed", error_kind="malformed")
        except (OSError, http.client.HTTPException):
            outcome.update(outcome="cut", error_kind="cut")
        finally:
            connection.close()
        return self.history.add("complete", **fields, **outcome)


class DisconnectingCallers(threading.Thread):
    """Opens streamed and non-streamed chats, closes each connection midway and records the time.

    The check requires that the engine's run ends soon afterwards."""

    def __init__(self, fleet, seed, seconds, record):
        super().__init__(daemon=True)
        self.fleet, self.seed, self.seconds, self.record = fleet, seed, seconds, record
        self.random = random.Random(f"leaving-{seed}")

    def run(self):
        account = self.fleet.mixes[MIXES[0]]["accounts"][-1]
        deadline = time.monotonic() + self.seconds
        index = 0
        while time.monotonic() < deadline:
            name = f"gone-{self.seed}-{index}"
            body = {"model": "draft", "stream": index % 2 == 0, "max_tokens": 2000, "prompt_cache_key": name, "priority": 5,
                    "metadata": {"answer_seed": name}, "messages": [{"role": "user", "content": "Notes of the shift."}]}
            router = self.random.choice(self.fleet.routers)
            connection = http.client.HTTPConnection(fleets.HOST, router.callers, timeout=CALLER_TIMEOUT_S)
            try:
                connection.request("POST", "/v1/chat/completions", json.dumps(body),
                                   {"Authorization": f"Bearer {account['key']}", "Content-Type": "application/json"})
                time.sleep(self.random.uniform(0.5, 1.5))
            except OSError:
                continue
            finally:
                connection.close()
                self.record.add("caller-gone", request=name)
                index += 1
                time.sleep(1)


class StatusSampler(threading.Thread):
    """Periodically records the configuration revision and the violation count of every router."""

    def __init__(self, fleet, record):
        super().__init__(daemon=True)
        self.fleet, self.record = fleet, record
        self.stop_event = threading.Event()
        self.violations = {}

    def run(self):
        while not self.stop_event.wait(SAMPLE_INTERVAL_S):
            threads = [threading.Thread(target=self.sample, args=(router,), daemon=True) for router in self.fleet.routers]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()

    def sample(self, router):
        # Taken before the request: the status may be older than the arrival of its response, but never older than the
        # request.
        at_us = now_us()
        try:
            status = router.status()
        except (OSError, http.client.HTTPException, ValueError):
            return
        if not status:
            self.record.add("no-status", router=router.id)
            return
        self.violations[status["incarnation"]] = status["invariant_violations"]
        if status["state"] != "starting":
            self.record.add("revision", router=router.id, incarnation=status["incarnation"], revision=status["revision"],
                            digest=status["digest"], at_us=at_us)


class Faults:
    """Injects faults. Each fault function takes a random generator and returns after it has undone the fault."""

    def __init__(self, fleet, record, counts):
        self.fleet, self.record, self.counts = fleet, record, counts
        self.busy = set()
        self.lock = threading.Lock()
        engines, services = list(fleet.engine_ports), list(fleet.service_ports)
        self.kinds = {
            "router-kill": self.router_kill, "router-replace": self.router_replace, "router-pause": self.router_pause,
            "configuration-burst": self.configuration_burst,
            "engine-slow": self.control(engines, {"slow_factor": 10}, {"slow_factor": 1}),
            "engine-silent": self.control(engines, {"silent": True}, {"silent": False}),
            "engine-streams-silent": self.control(engines, {"silence_open_streams": True}, {}),
            "engine-leaving": self.control(engines, {"leaving": True}, {"leaving": False}),
            "engine-leaving-accepts": self.control(engines, {"leaving": True, "accept_while_leaving": True}, {"leaving": False, "accept_while_leaving": False}),
            "engine-refusing": self.control(engines, {"refuse": True}, {"refuse": False}),
            "engine-flapping": self.control(engines, {"flap_period_ms": 1500}, {"flap_period_ms": 0}),
            "engine-drop": self.control(engines, {"drop_connections": True}, {"drop_connections": False}, longest=1.5),
            "service-drop-before": self.control(services, {"drop_before_execution": True, "fault_percent": 60}, {"drop_before_execution": False}),
            "service-drop-after": self.control(services, {"drop_after_execution": True, "fault_percent": 60}, {"drop_after_execution": False}),
            "service-silent": self.control(services, {"silent_after_execution": True, "fault_percent": 30}, {"silent_after_execution": False}),
            "service-refusing": self.control(services, {"refuse": True, "fault_percent": 60}, {"refuse": False}),
            "store-error": self.control(["platform"], {"outage": "error"}, {"outage": "none"}),
            "store-drop": self.control(["platform"], {"outage": "drop"}, {"outage": "none"}),
            "store-silent": self.control(["platform"], {"outage": "silent"}, {"outage": "none"}),
            "store-slow": self.control(["platform"], {"slow_ms": 1200}, {"slow_ms": 0}),
            "store-lost-answers": self.control(["platform"], {"lose_answers": 0.5}, {"lose_answers": 0.0}),
            "list-frozen": self.control(["platform"], {"freeze_health": True}, {"freeze_health": False}),
        }

    def reserve(self, names, generator):
        """Reserves a target for a fault, so that two faults do not undo each other; returns None if all are busy."""
        with self.lock:
            free = [name for name in names if name not in self.busy]
            target = generator.choice(free) if free else None
            if target:
                self.busy.add(target)
            return target

    def release(self, name):
        with self.lock:
            self.busy.discard(name)

    def inject(self, kind, generator):
        from_us = now_us()
        target = self.kinds[kind](generator)
        if not target:
            return
        self.counts[kind] += 1
        # The disturbance includes 5 s for the members to agree again.
        self.record.add("disturbance", kind=kind, target=target, from_us=from_us, until_us=now_us() + 5_000_000)

    def control(self, targets, on, off, longest=9.0):
        def fault(generator):
            seconds = generator.uniform(min(1.0, longest), longest)
            target = self.reserve(targets, generator)
            if target:
                self.fleet.control(target, **on)
                time.sleep(seconds)
                if off:
                    self.fleet.control(target, **off)
                self.release(target)
            return target
        return fault

    def reserve_router(self, generator):
        # Two of three routers stay undisturbed, so that a router being replaced always has successors.
        with self.lock:
            routers = [router.id for router in self.fleet.routers]
            is_full = sum(name in self.busy for name in routers) * 3 >= len(routers)
        target = None if is_full else self.reserve(routers, generator)
        return next((router for router in self.fleet.routers if router.id == target), None)

    def router_kill(self, generator):
        pause = generator.uniform(0, 6)
        router = self.reserve_router(generator)
        if not router:
            return None
        from_us = now_us()
        router.process.kill()
        # The kernel accepts connections for a process until the process has exited.
        self.record.add("crash", entry=f"{fleets.HOST}:{router.callers}", at_us=from_us, until_us=now_us())
        time.sleep(pause)
        self.restart(router)
        return router.id

    def router_replace(self, generator):
        router = self.reserve_router(generator)
        if not router:
            return None
        self.replace(router)
        return router.id

    def replace(self, router):
        code = router.stop(STOP_TIMEOUT_S)
        if code is None:
            router.process.kill()
        self.record.add("stopped", entry=f"{fleets.HOST}:{router.callers}", exit_code=-1 if code is None else code)
        self.restart(router)

    def restart(self, router):
        router.start()
        deadline = time.monotonic() + 60
        while time.monotonic() < deadline and not router.is_ready():
            time.sleep(0.1)
        self.release(router.id)

    def router_pause(self, generator):
        seconds = generator.uniform(1, 12)
        router = self.reserve_router(generator)
        if not router:
            return None
        router.process.signal(fleets.signal.SIGSTOP)
        time.sleep(seconds)
        router.process.signal(fleets.signal.SIGCONT)
        self.release(router.id)
        return router.id

    def configuration_burst(self, generator):
        for _ in range(generator.randint(2, 20)):
            self.write_configuration()
            time.sleep(generator.uniform(0, 0.2))
        return "configuration"

    def write_configuration(self):
        with self.lock:
            self.fleet.generation += 1
            try:
                self.fleet.put_configuration()
                status, value = self.fleet.store("GET", fleets.CONFIGURATION_KEY)
            except (OSError, RuntimeError, http.client.HTTPException, ValueError):
                # During an outage or after a lost response it is unknown whether the change took effect.
                return
            if status == 200:
                self.record.add("written", revision=value[0]["ModifyIndex"])


def inject_faults(faults, arguments, deadline):
    """Injects randomly drawn faults, singly and in pairs, until their number or the time limit is reached."""
    generator = random.Random(f"faults-{arguments.seed}")
    kinds = arguments.kinds or sorted(faults.kinds)
    running, injected = [], 0
    while injected < arguments.faults and time.monotonic() < deadline:
        for kind in generator.sample(kinds, min(len(kinds), generator.choice((1, 2)))):
            thread = threading.Thread(target=faults.inject, args=(kind, random.Random(generator.random())), daemon=True)
            thread.start()
            running.append(thread)
            injected += 1
        time.sleep(generator.uniform(0.2, 1.8) * arguments.seconds / max(1, arguments.faults) * 1.5)
    for thread in running:
        thread.join()


def roll_routers(faults):
    for router in faults.fleet.routers:
        faults.busy.add(router.id)
        from_us = now_us()
        faults.replace(router)
        faults.counts["router-replace"] += 1
        faults.record.add("disturbance", kind="router-replace", target=router.id, from_us=from_us, until_us=now_us() + 5_000_000)


def start_loads(fleet, arguments, folder):
    loads = []
    for index, name in enumerate(MIXES[:arguments.mixes]):
        entries = [option for router in fleet.routers for option in ("--entry", f"{fleets.HOST}:{router.callers}")]
        command = [str(fleet.bin / "borageslip-load"), "run", "--mix", str(fleets.ROOT / "examples" / "mixes" / f"{name}.json"), *entries,
                   "--results", str(folder / f"{name}-results.json"), "--history", str(folder / f"{name}.jsonl"), "--seed", str(arguments.seed * 10 + index),
                   "--seconds", str(arguments.seconds), "--rate-factor", str(arguments.rate), "--request-timeout-s", "60"]
        loads.append(subprocess.Popen(command, stdout=subprocess.DEVNULL))
    return loads


def logged_violations(fleet):
    found = []
    for router in fleet.routers:
        for line in pathlib.Path(fleet.folder / f"{router.id}.log").read_text(errors="replace").splitlines():
            if "invariant-violated" in line:
                found.append(f"{router.id}: {line}")
    return found


def count_outcomes(histories):
    counts = collections.Counter()
    kinds = collections.Counter()
    for path in histories:
        for line in path.read_text().splitlines():
            event = json.loads(line)
            if event["event"] != "complete":
                continue
            counts["requests"] += 1
            if event["outcome"] == "ok":
                counts["answered"] += 1
            elif event.get("not_run") or event["outcome"] == "unreachable":
                counts["not run"] += 1
            else:
                counts["unknown"] += 1
            if event["outcome"] != "ok":
                kinds[f"{event['kind']} {event['outcome']} {event['error_kind']}"] += 1
    return counts, kinds


def run(arguments, folder):
    record, orders, counts = Recorder(), Recorder(), collections.Counter()
    with FailureFleet(routers=arguments.routers, engines=arguments.engines, slots=arguments.slots, build=arguments.build, token_ms=arguments.token_ms,
                      max_seconds=arguments.seconds + 400, keep_logs=folder) as fleet:
        fleet.start(wait=False)
        fleet.wait_ready(START_TIMEOUT_S)
        # Routers become homes only after 5 s; the checks start once the fleet has settled.
        time.sleep(6)
        record.add("written", revision=fleet.store("GET", fleets.CONFIGURATION_KEY)[1][0]["ModifyIndex"])
        sampler = StatusSampler(fleet, record)
        sampler.start()
        faults = Faults(fleet, record, counts)
        loads = start_loads(fleet, arguments, folder)
        bookings = Bookings(fleet, arguments.seed, arguments.booking_rate, arguments.seconds, orders)
        bookings.start()
        disconnecting = DisconnectingCallers(fleet, arguments.seed, arguments.seconds, record)
        disconnecting.start()
        deadline = time.monotonic() + arguments.seconds
        if arguments.rolling:
            roll_routers(faults)
        inject_faults(faults, arguments, deadline)
        for load in loads:
            if load.wait(arguments.seconds + 200) != 0:
                raise RuntimeError("borageslip-load exited with an error")
        bookings.join()
        disconnecting.join()
        faults.write_configuration()
        time.sleep(CONVERGENCE_S)
        sampler.stop_event.set()
        sampler.join()
        for name in [*fleet.engine_ports, *fleet.service_ports]:
            (folder / f"{name}-records.json").write_text(json.dumps(fleet.records(name)))
        unexpected_exits = [router.id for router in fleet.routers if not router.process.is_running()]
        record.write(folder / "fleet.jsonl")
        orders.write(folder / "orders.jsonl")
        engines, services, bin_folder = list(fleet.engine_ports), list(fleet.service_ports), fleet.bin
        logged = logged_violations(fleet)
    histories = [folder / f"{name}.jsonl" for name in MIXES[:arguments.mixes]] + [folder / "orders.jsonl"]
    command = [str(bin_folder / "borageslip-check"), "--fleet", str(folder / "fleet.jsonl")]
    for option, paths in (("--history", histories), ("--engine", [folder / f"{name}-records.json" for name in engines]),
                          ("--service", [folder / f"{name}-records.json" for name in services])):
        command += [part for path in paths for part in (option, str(path))]
    for option, seconds in (("--leaving-grace-s", 3), ("--configuration-grace-s", 8), ("--cancel-grace-s", 1)):
        command += [option, str(seconds * arguments.time_factor)]
    if arguments.deciding:
        command += ["--deciding", *arguments.deciding]
    checked = subprocess.run(command, stdout=subprocess.PIPE, text=True, timeout=300, check=False)
    return counts, count_outcomes(histories), checked, logged, sampler.violations, unexpected_exits


def report(arguments, result):
    counts, (outcomes, kinds), checked, logged, reported, unexpected_exits = result
    print(f"requests {outcomes['requests']}, answered {outcomes['answered']}, refused \"not run\" {outcomes['not run']}, unknown {outcomes['unknown']}")
    for kind, count in kinds.most_common():
        print(f"    {kind}: {count}")
    print(f"faults {sum(counts.values())}: " + ", ".join(f"{kind} {count}" for kind, count in sorted(counts.items())))
    print(checked.stdout, end="")
    for line in logged[:20]:
        print(line)
    reporting = {incarnation: count for incarnation, count in reported.items() if count}
    print(f"invariants asserted in the routers: {len(logged)} violations logged, reported by {reporting or 'none'}")
    if unexpected_exits:
        print(f"routers that exited unexpectedly: {unexpected_exits}")
    is_clean = checked.returncode == 0 and not logged and not reporting and not unexpected_exits
    scope = " of " + " ".join(arguments.deciding) if arguments.deciding else ""
    print(f"seed {arguments.seed}: {'no violation' if is_clean else 'VIOLATIONS'}{scope}")
    return 0 if is_clean else 1


def parse():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=int, default=60, help="duration of the arrivals")
    parser.add_argument("--faults", type=int, default=20)
    parser.add_argument("--kinds", nargs="*", help="kinds of fault to draw from; default: all")
    parser.add_argument("--rolling", action="store_true", help="first replace every router, one after another")
    parser.add_argument("--routers", type=int, default=9)
    parser.add_argument("--engines", type=int, default=6)
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--token-ms", type=float, default=5)
    parser.add_argument("--mixes", type=int, choices=range(1, len(MIXES) + 1), default=len(MIXES))
    parser.add_argument("--rate", type=float, default=1.0, help="factor applied to the arrival rate of the mixes")
    parser.add_argument("--booking-rate", type=float, default=5.0, help="orders per second in addition to those of the mixes")
    parser.add_argument("--build", default="release", help="name of the build folder under build/")
    parser.add_argument("--deciding", nargs="*", help="invariants that decide the exit status; default: all; all are printed")
    parser.add_argument("--time-factor", type=float, default=1, help="factor applied to the time limits of the checks, for slow machines and builds")
    parser.add_argument("--keep", help="folder for histories, records and logs; default: a temporary one, kept on violations")
    return parser.parse_args()


def main():
    arguments = parse()
    print("repeat with: tools/failure_run.py " + " ".join(sys.argv[1:]), flush=True)
    folder = pathlib.Path(arguments.keep or tempfile.mkdtemp(prefix="borageslip-failures-"))
    folder.mkdir(parents=True, exist_ok=True)
    try:
        status = report(arguments, run(arguments, folder))
    except (RuntimeError, OSError, subprocess.TimeoutExpired) as failure:
        print(f"the run failed: {failure}; files in {folder}")
        return 2
    if status == 0 and not arguments.keep:
        shutil.rmtree(folder, ignore_errors=True)
    else:
        print(f"histories, records and logs: {folder}")
    return status


if __name__ == "__main__":
    sys.exit(main())
