#!/usr/bin/env python3
"""Sends malformed and abusive requests to a running fleet and checks that each gets a typed error or is cancelled, that
the fleet still serves requests afterwards, and that the memory of the daemon does not grow."""

import argparse
import json
import pathlib
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))
import fleet as fleets  # noqa: E402

CHATS = "/v1/chat/completions"
KEY = {"Authorization": f"Bearer {fleets.Fleet.account_key('account-1')}"}
GOOD = fleets.chat_body("chat", "hello")

failures = []


def check(name, is_good, seen):
    print(("ok      " if is_good else "FAILED  ") + name + ("" if is_good else f": {seen}"))
    if not is_good:
        failures.append(name)


def expect(name, port, body, kind, headers=None, path=CHATS, method="POST"):
    """Checks that the response is problem details of this kind and states that nothing was run."""
    status, _, text = fleets.request(port, method, path, body, KEY if headers is None else headers)
    try:
        problem = json.loads(text)
    except ValueError:
        problem = {}
    check(name, problem.get("kind") == kind and problem.get("not_run") is True and problem.get("status") == status, (status, text[:200]))


def expect_refused(name, port, raw):
    """Checks that a request that the HTTP library rejects gets any 4xx status or a closed connection, not silence."""
    with socket.create_connection((fleets.HOST, port), timeout=20) as connection:
        try:
            connection.sendall(raw)
            connection.shutdown(socket.SHUT_WR)
            answer = connection.recv(4096).decode("latin-1")
        except OSError:
            answer = ""
    check(name, answer == "" or answer.split(" ")[1][:1] == "4", answer[:100])


def resident_kb(router):
    for line in open(f"/proc/{router.process.child.pid}/status"):
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


def running(fleet):
    return sum(fleets.request_json(port, "GET", "/v1/load")[1]["running"] for port in fleet.engine_ports.values())


def wait_for_idle_engines(fleet, name):
    deadline = time.monotonic() + 30
    while running(fleet) and time.monotonic() < deadline:
        time.sleep(0.1)
    check(name, running(fleet) == 0, f"{running(fleet)} runs left")


def abandon_chat(fleet, port, stream):
    """Sends a chat that would take minutes and closes the connection once an engine runs it."""
    body = json.dumps(fleets.chat_body("long", "hello", stream=stream, max_tokens=60000)).encode()
    head = f"POST {CHATS} HTTP/1.1\r\nHost: x\r\nAuthorization: {KEY['Authorization']}\r\nContent-Length: {len(body)}\r\n\r\n"
    with socket.create_connection((fleets.HOST, port), timeout=20) as connection:
        connection.sendall(head.encode() + body)
        deadline = time.monotonic() + 20
        while not running(fleet) and time.monotonic() < deadline:
            time.sleep(0.05)
        check("an engine runs the chat", running(fleet) == 1, running(fleet))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="release")
    options = parser.parse_args()
    with fleets.Fleet(routers=2, engines=2, build=options.build, engine_options=["--report-lag-ms", "0"]) as fleet:
        fleet.start()
        port = fleet.routers[0].callers
        expect("a body that is not JSON", port, "{", "malformed-request")
        expect("a body that is not an object", port, "[]", "malformed-request")
        expect("no model", port, {"messages": GOOD["messages"]}, "malformed-request")
        expect("no messages", port, {"model": "assistant"}, "malformed-request")
        expect("a number where a string is expected", port, {**GOOD, "model": 7}, "malformed-request")
        expect("a message without a role", port, {**GOOD, "messages": [{}]}, "malformed-request")
        expect("a negative number of tokens", port, {**GOOD, "max_tokens": -1}, "malformed-request")
        expect("a priority that is a string", port, {**GOOD, "priority": "high"}, "malformed-request")
        expect("an unknown model", port, {**GOOD, "model": "none"}, "unknown-model")
        expect("a chat key of a megabyte", port, {**GOOD, "prompt_cache_key": "k" * (1 << 20)}, "request-too-large")
        expect("an unknown account", port, GOOD, "unauthenticated", {"Authorization": "Bearer nobody"})
        expect("no account", port, GOOD, "unauthenticated", {})
        expect("an unknown service", port, {}, "not-found", path="/services/none/x")
        expect("a booking without a key", port, {}, "idempotency-key-missing", path="/services/booking/bookings")
        expect("a forged ticket", port, {}, "malformed-request", {**KEY, "Idempotency-Key": "t1.entry-1-1.00.00"}, "/services/booking/bookings")
        expect_refused("a header of a megabyte", port, b"POST " + CHATS.encode() + b" HTTP/1.1\r\nHost: x\r\nX-Long: " + b"a" * (1 << 20) + b"\r\n\r\n")
        expect_refused("a body over the limit", port, b"POST " + CHATS.encode() + b" HTTP/1.1\r\nHost: x\r\nContent-Length: 999999999\r\n\r\n{}")
        expect_refused("a request line that is not HTTP", port, b"\x00\xff\x01 nothing\r\n\r\n")
        expect_refused("a POST without Content-Length", port, b"POST " + CHATS.encode() + b" HTTP/1.1\r\nHost: x\r\nAuthorization: " + KEY["Authorization"].encode() + b"\r\n\r\n")

        abandon_chat(fleet, port, stream=True)
        wait_for_idle_engines(fleet, "a caller that leaves a stream frees the engine")
        abandon_chat(fleet, port, stream=False)
        wait_for_idle_engines(fleet, "a caller that leaves a whole answer frees the engine")

        before = resident_kb(fleet.routers[0])
        for _ in range(200):
            fleets.request(port, "POST", CHATS, {**GOOD, "prompt_cache_key": "k" * 100000}, KEY)
        growth = resident_kb(fleet.routers[0]) - before
        check("200 refused bodies of 100 KB do not stay in memory", growth < 10000, f"{growth} KB")

        runs = sum(len(fleet.records(name)["executions"]) for name in fleet.service_ports)
        check("no refused booking ran", runs == 0, runs)
        answer = fleets.chat(fleet.routers[1].callers, "account-1", GOOD)
        check("the fleet still serves", answer["whole"], answer)
        check("no invariant was violated", all(router.status()["invariant_violations"] == 0 for router in fleet.routers), "see the logs")
    print(f"{len(failures)} failed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
