#!/usr/bin/env python3
"""Checks that a running borageslip-entry stays in the platform's member list when writes of the store are carried out late.

Real processes and the real clock. Prints one line for each check and ends with the number of failed checks.
"""
import asyncio
import pathlib
import signal
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from entry_test import Entry, check, run_checks  # noqa: E402
from platform_standin import Store, configuration, start_server  # noqa: E402

LEASE_S = 6  # Of a member record.
REWRITE_S = 2  # Within which a removed record is back.
OBSERVED_S = 2 * LEASE_S


async def start_entry(binary, folder, name, lost_puts):
    store = Store()
    _, address = await start_server(store.serve)
    store.address = address
    store.lost_puts = lost_puts
    store.put_json("op/config", configuration(7))
    entry = Entry(binary, folder, address, name=name)
    await entry.start()
    return store, entry, f"borageslip/members/{name}"


async def end(entry, store, key):
    entry.process.send_signal(signal.SIGTERM)
    code = await asyncio.wait_for(entry.process.wait(), 8)
    check(f"{key} ends in order and leaves the list", code == 0 and key not in store.items, code)


async def longest_absence(store, key, seconds):
    absent_since, longest = None, 0.0
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        store._expire()
        now = time.monotonic()
        if key in store.items:
            absent_since = None
        else:
            absent_since = absent_since or now
            longest = max(longest, now - absent_since)
        await asyncio.sleep(0.02)
    return longest


async def check_late_write_at_start(binary, folder):
    """Guards against a write at the start that is carried out late and takes the instance out of the list for good."""
    store, entry, key = await start_entry(binary, folder, "entry-late", lost_puts=1)
    listed = await entry.wait_until(lambda: is_listed(store, key), 5)
    absence = await longest_absence(store, key, OBSERVED_S)
    check("an instance stays listed after a late write of its own start", listed and absence == 0, f"listed {listed}, absent {absence:.1f} s")
    await end(entry, store, key)


async def check_late_write_of_an_earlier_process(binary, folder):
    """Guards against a late write of an earlier process of the same name, whose lease nobody renews."""
    store, entry, key = await start_entry(binary, folder, "entry-earlier", lost_puts=0)
    await entry.wait_until(lambda: is_listed(store, key), 5)
    await asyncio.sleep(1)
    store.leases[1] = {"ttl": 1, "until": time.monotonic() + 1}
    store.put(key, b"{}", lease=1)
    absence = await longest_absence(store, key, OBSERVED_S)
    check("an instance whose record was replaced and removed is listed again", absence <= REWRITE_S and key in store.items, f"absent {absence:.1f} s")
    await end(entry, store, key)


async def is_listed(store, key):
    return key in store.items


async def run(binary):
    with tempfile.TemporaryDirectory() as folder:
        await asyncio.gather(*(asyncio.wait_for(case(binary, folder), 60) for case in (check_late_write_at_start, check_late_write_of_an_earlier_process)))


if __name__ == "__main__":
    sys.exit(run_checks(__doc__, run))
