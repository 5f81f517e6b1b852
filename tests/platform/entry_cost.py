#!/usr/bin/env python3
"""Measures the cost of one borageslip-entry process: time from start until ready, CPU time per request and per streamed
event, and resident memory. Runs against the stand-ins of this folder on loopback.

CPU time is that of the process over its whole life, as counted by the kernel, so the speed of the stand-ins does not affect
it. The CPU time of an idle process over the same duration, including its start, is subtracted.
"""
import argparse
import asyncio
import json
import pathlib
import resource
import tempfile
import time

from entry_test import Entry, read_answer, request
from platform_standin import BackendServer, Store, configuration, start_server


def resident_megabytes(pid):
    line = next(line for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


async def caller(entry, path, count, method, body):
    """Sends requests sequentially on one connection. Returns the number of complete responses with status 200."""
    reader, writer = await asyncio.open_connection("127.0.0.1", entry.front)
    complete = 0
    for number in range(count):
        writer.write(request(path, method, identity=f"c-{id(writer)}-{number}", body=body, deadline=10000))
        answer = await read_answer(reader)
        complete += answer.status == 200 and answer.is_complete
    writer.close()
    return complete


async def measure_process(binary, store_address, workload):
    """Starts an instance, runs the workload and stops the instance. Returns the workload's result, the time until ready in
    seconds, the resident memory in MB, the CPU time in seconds and the time from start to stop in seconds."""
    with tempfile.TemporaryDirectory() as folder:
        entry = Entry(binary, folder, store_address, grace_s=1)
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        started = time.monotonic()
        await entry.start()
        if not await entry.wait_until(entry.is_ready):
            raise RuntimeError("the instance did not become ready within 20 s")
        ready_after = time.monotonic() - started
        result = await workload(entry)
        memory = resident_megabytes(entry.process.pid)
        entry.process.terminate()
        await entry.process.wait()
        elapsed = time.monotonic() - started
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
    cpu_time = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    return result, ready_after, memory, cpu_time, elapsed


async def run(binary, callers, requests, streams, events):
    store, servers = Store(), []
    _, store_address = await start_server(store.serve)
    for number in range(4):
        server = BackendServer(f"server-{number}")
        server.event_count, server.event_delay = events, 0.002
        _, server.address = await start_server(server.serve)
        servers.append(server)
    store.put_json("op/config", configuration(1, routes=[{**route, "timeout_ms": 60000} for route in configuration(1)["routes"]]))
    for server in servers:
        store.put_json(f"servers/{server.identity}", server.entry("pool", slots=256))

    async def idle(_):
        await asyncio.sleep(5)

    def concurrent_callers(path, method, count, tasks, body=b""):
        return lambda entry: asyncio.gather(*[caller(entry, path, count, method, body) for _ in range(tasks)])

    _, ready_after, idle_memory, idle_cpu_time, idle_time = await measure_process(binary, store_address, idle)
    plain, _, _, plain_cpu_time, plain_time = await measure_process(binary, store_address, concurrent_callers("/read/a", "GET", requests // callers, callers))
    streamed, _, memory, stream_cpu_time, stream_time = await measure_process(binary, store_address, concurrent_callers("/stream/a", "POST", 1, streams, b"x"))
    per_second = idle_cpu_time / idle_time
    request_ms = 1000 * (plain_cpu_time - per_second * plain_time) / max(1, sum(plain))
    event_ms = (1000 * (stream_cpu_time - per_second * stream_time) - request_ms * sum(streamed)) / max(1, sum(streamed) * events)
    return {
        "ready_s": round(ready_after, 3),
        "idle_ms_per_s": round(1000 * per_second, 2),
        "requests": sum(plain),
        "request_ms": round(request_ms, 4),
        "streams": sum(streamed),
        "events": sum(streamed) * events,
        "event_ms": round(event_ms, 5),
        "resident_idle_mb": round(idle_memory, 1),
        "resident_streams_mb": round(memory, 1),
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True, help="directory that contains the programs")
    parser.add_argument("--callers", type=int, default=20)
    parser.add_argument("--requests", type=int, default=6000)
    parser.add_argument("--streams", type=int, default=60)
    parser.add_argument("--events", type=int, default=300)
    arguments = parser.parse_args()
    result = asyncio.run(run(str(pathlib.Path(arguments.bin) / "borageslip-entry"), arguments.callers, arguments.requests, arguments.streams, arguments.events))
    print(json.dumps(result))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
