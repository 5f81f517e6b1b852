#!/usr/bin/env python3
"""Runs the operators' client against a running fleet: plan, confirm, status, a stale confirmation, undo, history, and a
store outage during which a router restarts."""

import argparse
import json
import pathlib
import subprocess
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tools"))

import fleet as fleets  # noqa: E402

SUCCESS, STALE, UNAVAILABLE, NOT_IN_FORCE = 0, 3, 4, 6
# Timeout that ends a hanging run; no check depends on the speed of a step.
TIMEOUT_S = 60


def check(condition, text):
    if not condition:
        raise AssertionError(text)
    print(f"ok: {text}", flush=True)


class Client:
    def __init__(self, fleet):
        self.fleet = fleet

    def run(self, *arguments):
        """Returns (exit code, parsed JSON or None, standard error)."""
        command = [str(self.fleet.bin / "borageslip"), "--json", "--store", f"{fleets.HOST}:{self.fleet.platform_port}"]
        for router in self.fleet.routers:
            command += ["--operator", f"{fleets.HOST}:{router.operators}"]
        completed = subprocess.run(command + list(arguments), capture_output=True, text=True, timeout=TIMEOUT_S, check=False)
        try:
            answer = json.loads(completed.stdout)
        except json.JSONDecodeError:
            answer = None
        return completed.returncode, answer, completed.stderr

    def plan(self, name, patch):
        intent = self.fleet.folder / f"{name}.intent.json"
        intent.write_text(json.dumps({"patch": patch, "operator": "system test", "reason": name}))
        plan = self.fleet.folder / f"{name}.plan.json"
        code, answer, errors = self.run("plan", str(intent), "--output", str(plan))
        check(code == SUCCESS, f"plan {name}: {errors}")
        return plan, answer

    def wait_in_force(self, revision):
        deadline = time.monotonic() + TIMEOUT_S
        while True:
            code, answer, _ = self.run("status")
            if code == SUCCESS and answer["revision"] == revision:
                return answer
            if time.monotonic() > deadline:
                raise AssertionError(f"revision {revision} is not in force: {answer}")
            time.sleep(0.2)


class RevisionLog:
    """Polls the revision of every router and records each decrease within one incarnation as a violation."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.revisions = {}
        self.violations = []
        self.stop_event = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        while not self.stop_event.wait(0.05):
            for router in self.fleet.routers:
                try:
                    status = router.status()
                except (OSError, ValueError, TypeError):
                    continue
                seen = self.revisions.setdefault(status["incarnation"], [])
                if seen and status["revision"] < seen[-1]:
                    self.violations.append((status["incarnation"], seen[-1], status["revision"]))
                if not seen or seen[-1] != status["revision"]:
                    seen.append(status["revision"])

    def stop(self):
        self.stop_event.set()
        self.thread.join()


def check_changes(fleet, client):
    code, before, errors = client.run("show")
    check(code == SUCCESS and before["document"]["models"], f"show prints the stored configuration {errors}")
    first, effects = client.plan("first", {"limits": {"queue_limit": 17}})
    check(client.run("show")[1] == before, "a plan changes nothing")
    check("/limits" in json.dumps(effects["changes"]), "the plan names the changed field")
    rival, _ = client.plan("rival", {"limits": {"queue_limit": 99}})
    code, confirmed, errors = client.run("confirm", str(first))
    check(code == SUCCESS and confirmed["revision"] > before["revision"], f"confirm puts the plan in the store {errors}")
    status = client.wait_in_force(confirmed["revision"])
    count = len(fleet.routers)
    check(status["in_force"] == count and len(status["routers"]) == count, f"the plan is in force on {count} of {count}")
    code, repeated, _ = client.run("confirm", str(first))
    check(code == SUCCESS and repeated["revision"] == confirmed["revision"], "a repeated confirm changes nothing")
    code, _, errors = client.run("confirm", str(rival))
    check(code == STALE, f"a conflicting confirm is refused as stale: {errors.strip()}")
    check(client.run("show")[1]["document"]["limits"]["queue_limit"] == 17, "the refused plan changed nothing")

    undo = fleet.folder / "undo.plan.json"
    code, _, errors = client.run("undo", "--by", "system test", "--reason", "undo the first", "--output", str(undo))
    check(code == SUCCESS, f"undo plans the reversal {errors}")
    code, undone, errors = client.run("confirm", str(undo), "--wait-seconds", str(TIMEOUT_S))
    check(code == SUCCESS, f"the reversal is confirmed {errors}")
    client.wait_in_force(undone["revision"])
    after = client.run("show")[1]["document"]
    without_plan = lambda document: {name: member for name, member in document.items() if name != "plan"}
    check(without_plan(after) == without_plan(before["document"]), "the reversal restores the document")
    code, entries, errors = client.run("history")
    check(code == SUCCESS and [entry["reason"] for entry in entries] == ["undo the first", "first"], f"history lists both plans, newest first {errors}")
    return undone["revision"]


def check_outage(fleet, client, revision):
    plan, _ = client.plan("during-outage", {"limits": {"queue_limit": 33}})
    fleet.control("platform", outage="error")
    router = fleet.routers[1]
    old = router.status()["incarnation"]
    router.kill()
    code, status, _ = client.run("status")
    count = len(fleet.routers)
    check(code == NOT_IN_FORCE and status["in_force"] == count - 1, f"with a router killed the status is {count - 1} of {count}")
    router.start()
    fleet.wait_ready(timeout=TIMEOUT_S)
    check(router.status()["incarnation"] != old and router.status()["revision"] == revision, "a router that restarts during the outage takes the configuration from its peers")
    check(client.wait_in_force(revision)["in_force"] == count, "the configuration stays in force during the outage")
    code, _, errors = client.run("confirm", str(plan))
    check(code == UNAVAILABLE, f"confirm during the outage is refused: {errors.strip()}")
    fleet.control("platform", outage="none")
    code, confirmed, errors = client.run("confirm", str(plan))
    check(code == SUCCESS, f"the same plan is confirmed after the outage {errors}")
    client.wait_in_force(confirmed["revision"])


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", type=pathlib.Path, default=ROOT / "build" / "release" / "bin")
    options = parser.parse_args()
    # Three members of a region watch the store, so two of the five fetch the configuration from peers.
    with fleets.Fleet(routers=5, engines=2, services=1, build=options.bin.parent.name, limits={"directory_lifetime_s": 1}, max_seconds=280) as fleet:
        fleet.put_configuration()
        for router in fleet.routers:
            router.start()
        fleet.wait_ready(timeout=TIMEOUT_S)
        log = RevisionLog(fleet)
        try:
            client = Client(fleet)
            revision = check_changes(fleet, client)
            check_outage(fleet, client, revision)
        finally:
            log.stop()
        check(not log.violations, f"no router's revision went lower {log.violations}")
        for router in fleet.routers:
            check(router.status()["invariant_violations"] == 0, f"{router.id} reports no invariant violation")
    return 0


if __name__ == "__main__":
    sys.exit(main())
