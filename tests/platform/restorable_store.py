"""Stand-in of the users' key-value store that comes back from older copies of itself, as in a restore drill.
"""
import asyncio
import base64
import collections
import json
import time
from urllib.parse import parse_qs, urlsplit

from platform_standin import Store

COPY_LIFETIME = 30  # Seconds for which copies of the state are kept.
Copy = collections.namedtuple("Copy", "time items leases revision next_lease")


class RestorableStore(Store):
    """Store that states its era in all answers and checks what instances do about leases."""

    def __init__(self):
        super().__init__()
        self.era = 1
        self.copies = []  # Of the state after each change.
        self.lease_holders = {}  # Instance by era and lease number, of connections whose instance is known.
        self.told_eras = {}  # Newest era in the answers to an instance.
        self.foreign_lease_calls = []  # Calls about leases that the instance had not been granted in the era that it knew.
        self.full_reads = {}  # Reads of all keys, by instance.
        self._keep_copy()

    def _keep_copy(self):
        now = time.monotonic()
        leases = {number: {"ttl": entry["ttl"], "left": entry["until"] - now} for number, entry in self.leases.items()}
        self.copies.append(Copy(now, dict(self.items), leases, self.revision, self.next_lease))
        while self.copies[0].time < now - COPY_LIFETIME:
            self.copies.pop(0)

    def _record(self, event):
        super()._record(event)
        self._keep_copy()

    async def restore(self, age, down_time=0.0):
        """Is unavailable for a time, then goes on from a copy some seconds old: what was written since is lost, and its
        revisions and lease numbers are issued again. Returns the lost changes of keys without a lease, oldest first; their
        writers are expected to write them again."""
        copy = [copy for copy in self.copies if copy.time <= time.monotonic() - age][-1]
        self.is_down = down_time > 0
        await asyncio.sleep(down_time)
        lost = [event for event in self.history if event["revision"] > copy.revision and not event.get("lease") and not event.get("had_lease")]
        now = time.monotonic()
        self.era += 1
        self.items, self.revision, self.next_lease = dict(copy.items), copy.revision, copy.next_lease
        self.leases = {number: {"ttl": entry["ttl"], "until": now + entry["left"]} for number, entry in copy.leases.items()}
        self.history = [event for event in self.history if event["revision"] <= copy.revision]
        self.oldest_revision = min(self.oldest_revision, copy.revision)
        self.copies = [entry for entry in self.copies if entry.time <= copy.time]
        self._keep_copy()
        self.is_down = False
        self.changed.set()
        self.changed = asyncio.Event()
        return lost

    def write_again(self, events):
        """Writes the last of the lost changes of each key again."""
        for event in {event["key"]: event for event in events}.values():
            if event.get("deleted"):
                self.remove(event["key"])
            else:
                self.put(event["key"], base64.b64decode(event["value"]))

    def begin_call(self, instance, line):
        """Records calls by an instance that contradict what it has been told."""
        url = urlsplit(line.split(" ")[1])
        call, *rest = url.path.split("/")[2:]
        query = parse_qs(url.query, keep_blank_values=True)
        if call == "kv-range" and query["path_prefix"] == [""] and "after" not in query:
            self.full_reads[instance] = self.full_reads.get(instance, 0) + 1
        if call not in ("kv-keep", "kv-lease-end") or instance is None:
            return
        is_own = self.lease_holders.get((self.era, int(rest[0]))) == instance
        if self.told_eras.get(instance) == self.era and not is_own:
            self.foreign_lease_calls.append((instance, call, int(rest[0]), self.era))

    def end_call(self, instance, call, answer):
        """Notes who holds a lease, and states the era."""
        if call == "kv-lease":
            self.lease_holders[self.era, json.loads(answer.split(b"\r\n\r\n", 1)[1])["lease"]] = instance
        self.told_eras[instance] = self.era
        return answer.replace(b"\r\n", f"\r\nStore-Era: {self.era}\r\n".encode(), 1)
