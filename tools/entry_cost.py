#!/usr/bin/env python3
"""Measures what one borageslip-entry costs: time from its start until it is ready, processor time of a request and of a
streamed event, and resident memory. Runs against the stand-ins of tests/platform on loopback.

The processor time is that of the process alone, as the kernel counts it, so that the speed of the stand-ins does not
matter; an idle second is subtracted.
"""
import argparse
import asyncio
import json
import os
import pathlib
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "tests" / "platform"))
from entry_test import Entry, read_answer, request  # noqa: E402
from platform_standin import BackendServer, Store, configuration, start_server  # noqa: E402

TICKS = os.sysconf("SC_CLK_TCK")


def processor_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_megabytes(pid):
    line = next(line for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


async def caller(entry, path, count, method, body):
    """Sends requests one after the other on one connection. Returns how many were answered whole."""
    reader, writer = await asyncio.open_connection("127.0.0.1", entry.front)
    good = 0
    for number in range(count):
        writer.write(request(path, method, identity=f"c-{id(writer)}-{number}", body=body, deadline=10000))
        answer = await read_answer(reader)
        good += answer.status == 200 and answer.is_complete
    writer.close()
    return good


async def measured(entry, work):
    """Returns the work's result and the processor time that it took."""
    pid = entry.process.pid
    idle_from = processor_seconds(pid)
    await asyncio.sleep(1)
    idle = processor_seconds(pid) - idle_from
    before, started = processor_seconds(pid), time.monotonic()
    result = await work
    spent = processor_seconds(pid) - before
    return result, max(0.0, spent - idle * (time.monotonic() - started))


async def run(binary, callers, requests, streams, events):
    store, servers, listeners = Store(), [], []
    listener, store_address = await start_server(store.serve)
    listeners.append(listener)
    for number in range(4):
        server = BackendServer(f"server-{number}")
        server.pieces, server.piece_delay = events, 0.002
        listener, server.address = await start_server(server.serve)
        listeners.append(listener)
        servers.append(server)
    store.put_json("op/config", configuration(1, routes=[{**route, "timeout_ms": 60000} for route in configuration(1)["routes"]]))
    for server in servers:
        store.put_json(f"servers/{server.identity}", server.entry("pool", slots=256))
    with tempfile.TemporaryDirectory() as folder:
        entry = Entry(binary, folder, store_address)
        started = time.monotonic()
        await entry.start()
        if not await entry.until(entry.is_ready):
            raise RuntimeError("the instance did not become ready")
        ready_after = time.monotonic() - started
        try:
            await asyncio.gather(*[caller(entry, "/read/a", 20, "GET", b"") for _ in range(callers)])
            plain, plain_time = await measured(entry, asyncio.gather(*[caller(entry, "/read/a", requests // callers, "GET", b"") for _ in range(callers)]))
            streamed, stream_time = await measured(entry, asyncio.gather(*[caller(entry, "/stream/a", 1, "POST", b"x") for _ in range(streams)]))
            memory = resident_megabytes(entry.process.pid)
        finally:
            entry.process.terminate()
            await entry.process.wait()
    request_ms = 1000 * plain_time / max(1, sum(plain))
    event_ms = 1000 * (stream_time - request_ms / 1000 * sum(streamed)) / max(1, sum(streamed) * events)
    return {
        "ready_s": round(ready_after, 3),
        "requests": sum(plain),
        "request_ms": round(request_ms, 4),
        "streams": sum(streamed),
        "events": sum(streamed) * events,
        "event_ms": round(event_ms, 5),
        "resident_mb": round(memory, 1),
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True, help="folder of the programs")
    parser.add_argument("--callers", type=int, default=20)
    parser.add_argument("--requests", type=int, default=6000)
    parser.add_argument("--streams", type=int, default=60)
    parser.add_argument("--events", type=int, default=300)
    arguments = parser.parse_args()
    result = asyncio.run(run(str(pathlib.Path(arguments.bin) / "borageslip-entry"), arguments.callers, arguments.requests, arguments.streams, arguments.events))
    print(json.dumps(result))
    return 0


if __name__ == "__main__":
    sys.exit(main())
