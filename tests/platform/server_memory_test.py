#!/usr/bin/env python3
"""Runs several borageslip-entry processes before model servers whose memory is small and checks that no server gets more
than it holds.

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
from entry_test import Entry, check, end_all, run_checks, start_all  # noqa: E402
from platform_standin import BackendServer, Store, configuration, start_server  # noqa: E402

CAPACITY = 4000  # Tokens of each server.
SERVERS = 3
INSTANCES = 4
PREFIX_TOKENS = 600
OWN_TOKENS = 100
OUTPUT_TOKENS = 200
CALLERS = 60
LOAD_TIME = 6  # Seconds.
IMMEDIATE = 0.3  # Seconds, within which a request that no server can hold is rejected.


class MemoryServer(BackendServer):
    """Model server that holds the prompts and the outputs of its requests, a shared prefix once, until they end."""

    def __init__(self, identity):
        super().__init__(identity)
        self.slots = 64
        self.held = []
        self.peak_held = 0

    async def _stream(self, headers, own_headers, writer):
        prompt, output = (int(part) for part in headers["x-token-usage"].split(","))
        prefix, own = headers["x-prompt-prefix"].split(",")
        request = (prefix.split(":")[0], prompt - int(own.split(":")[1]), int(own.split(":")[1]) + output)
        self.held.append(request)
        prefixes = {identity: tokens for identity, tokens, _ in self.held}
        self.peak_held = max(self.peak_held, sum(prefixes.values()) + sum(own for _, _, own in self.held))
        try:
            return await super()._stream(headers, own_headers, writer)
        finally:
            self.held.remove(request)


def memory_configuration(version):
    document = configuration(version)
    for route in document["routes"]:
        if route["route_type"] == "streaming":
            route.update({"backend": "models", "sticky": True})
    document["backends"].append({**document["backends"][0], "name": "models", "engine": {"slots": 64, "kv_capacity": CAPACITY}})
    return document


def token_headers(number, prompt=PREFIX_TOKENS + OWN_TOKENS, output=OUTPUT_TOKENS):
    # The hint is an estimate of the output that is far off.
    return ["X-Model: m", f"X-Token-Usage: {prompt},{output}", f"X-Prompt-Prefix: {number % 3 + 1:x}:{prompt - OWN_TOKENS},{number + 4096:x}:{OWN_TOKENS}", "X-Length-Hint: 1"]


async def load(entries, servers, trouble):
    """Callers that ask again and again. Returns their answers by request id."""
    for server in servers:
        server.runs.clear()
        server.peak_held = 0
    answers = {}
    end = time.monotonic() + LOAD_TIME

    async def call(caller):
        count = 0
        while time.monotonic() < end:
            count += 1
            number = caller * 1000 + count
            entry = entries[caller % len(entries)]
            identity = f"{trouble}-{number}"
            try:
                answers[identity] = await entry.ask("/once/stream/a", "POST", body=b"x", identity=identity, deadline=1900, headers=token_headers(number))
            except OSError:
                await asyncio.sleep(0.1)

    async def disturb():
        await asyncio.sleep(LOAD_TIME / 4)
        if trouble == "freeze":
            for entry in entries[:2]:
                entry.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(1)
                entry.process.send_signal(signal.SIGCONT)
        if trouble == "kill":
            entries[-1].process.kill()
            await entries[-1].process.wait()

    await asyncio.gather(disturb(), *(call(caller) for caller in range(CALLERS)))
    return answers


async def check_load(entries, servers, trouble):
    """Guards against a server that crashes because several instances together send it more than it holds."""
    answers = await load(entries, servers, trouble)
    served = sum(answer.status == 200 and answer.is_complete for answer in answers.values())
    rejected = {identity for identity, answer in answers.items() if answer.status in (429, 503)}
    runs = {headers["x-request-id"] for server in servers for _, headers, _ in server.runs}
    peaks = [server.peak_held for server in servers]
    print(f"{trouble}: {len(answers)} requests, {served} served, {len(rejected)} rejected, most tokens held {peaks} of {CAPACITY}")
    check(f"no server gets more than its memory holds ({trouble})", max(peaks) <= CAPACITY, peaks)
    check(f"the memory is used ({trouble})", served >= 150 and max(peaks) > CAPACITY / 2, (served, peaks))
    check(f"no request that was rejected as not run has reached a server ({trouble})", not rejected & runs, sorted(rejected & runs)[:5])


async def check_too_large(entry, servers):
    """Guards against a request that waits until its deadline for memory that no server has."""
    began = time.monotonic()
    answer = await entry.ask("/once/stream/a", "POST", body=b"x", identity="too-large", deadline=1900, headers=token_headers(1, CAPACITY, 10))
    passed = time.monotonic() - began
    check("a request larger than any server's memory is rejected at once as not run", answer.status == 503 and "retry-after" in answer.headers and passed < IMMEDIATE, f"{passed:.2f} s {answer}")
    check("it has reached no server", not any(headers["x-request-id"] == "too-large" for server in servers for _, headers, _ in server.runs))
    metrics = (await entry.get(entry.metrics, "/metrics")).body.decode()
    check("it is counted", "borageslip_entry_memory_rejections_total 1" in metrics)


async def run_fleet(binary, contracts):
    store = Store()
    _, store.address = await start_server(store.serve)
    servers = [MemoryServer(f"i-{number}") for number in range(SERVERS)]
    for server in servers:
        await server.listen()
        store.put_json(f"servers/{server.identity}", server.entry("models"))
    store.put_json("op/config", memory_configuration(7))
    with tempfile.TemporaryDirectory() as folder:
        entries = [Entry(binary, folder, store.address, name=f"entry-{number}") for number in range(INSTANCES)]
        for entry in entries:
            entry.path.write_text(json.dumps({**json.loads(entry.path.read_text()), "contracts": contracts}))
        try:
            await start_all(entries)
            await asyncio.sleep(1)
            if "pressure" not in contracts:
                await asyncio.wait_for(load(entries, servers, "unguarded"), 60)
                peaks = [server.peak_held for server in servers]
                check("without the contract the same load exceeds the memory", max(peaks) > CAPACITY, peaks)
                return
            await asyncio.wait_for(check_too_large(entries[0], servers), 60)
            for trouble in ("none", "freeze", "kill"):
                await asyncio.wait_for(check_load(entries, servers, trouble), 60)
            check("the log says when a server's memory is full", any(line["event"] == "server-memory" and line["state"] == "full" for entry in entries for line in entry.log_lines()))
        finally:
            await end_all(entries)


async def run(binary):
    await run_fleet(binary, ["base", "pressure"])
    await run_fleet(binary, ["base"])


if __name__ == "__main__":
    sys.exit(run_checks(__doc__, run))
