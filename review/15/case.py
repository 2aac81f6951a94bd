"""A key that was taken away is accepted by an entry that starts after the store's drill."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins3"))

import bed as beds  # noqa: E402
from bed import CONNECTION_ERRORS, HOST, Entry, read_body, read_head  # noqa: E402
from worker import Worker  # noqa: E402

REVOKE_S = 5.0
GRACE_S = 6.0
TIME_LIMIT_MS = 3000
# Times after the confirmation of the config that takes the key away.
STOPS_AT_S = -3.0
DRILL_AT_S = 3.8
AWAY_S = 0.2
COPY_AGE_S = 4.5
STARTS_AT_S = 4.1
WRITTEN_AGAIN_AT_S = 5.9
ENDS_AT_S = 9.0
TAKEN_AWAY = "key-of-b"
KEPT = "key-of-a"


class Client:
    """Sends a read each tenth of a second, each on a connection of its own."""

    def __init__(self, bed, entry, key, name, reads):
        self.bed = bed
        self.entry = entry
        self.key = key
        self.name = name
        self.reads = reads
        self.count = 0

    async def run(self, end):
        tasks = []
        while time.monotonic() < end:
            tasks.append(asyncio.create_task(self.read()))
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)

    async def read(self):
        self.count += 1
        attempt = f"{self.name}-{self.count}"
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.entry.ip, 8548), 1)
            read = {"sent": time.monotonic(), "key": self.key, "entry": self.entry, "status": 0}
            self.reads[attempt] = read
            self.bed.record(f"{attempt} sent with {self.key} to {self.entry.name}")
            writer.write((f"GET /odczyty/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
                          f"Authorization: Bearer {self.key}\r\n"
                          f"X-Deadline-Ms: {TIME_LIMIT_MS}\r\n\r\n").encode())
            (_, status, _), fields = await asyncio.wait_for(read_head(reader), 4)
            await read_body(reader, fields)
            read["status"] = int(status)
            self.bed.record(f"{attempt} answered {status}")
        except (asyncio.TimeoutError, *CONNECTION_ERRORS):
            pass
        finally:
            if writer is not None:
                writer.close()


async def case(bed):
    routes = [beds.route("r1", "/odczyty/", "idempotent", "tablica", TIME_LIMIT_MS)]
    before = beds.config(7, routes, ["tablica"], [("ta", [KEPT]), ("tb", [TAKEN_AWAY])])
    after = beds.config(9, routes, ["tablica"], [("ta", [KEPT]), ("tb", [])])
    bed.store.put("op/config", before)
    zones = list(beds.ZONES)
    workers = [Worker(bed, f"i-{n:08x}", "tablica", zones[n % len(zones)], slots=12, work_s=0.1)
               for n in range(8)]
    for it in workers:
        await it.start()
    bounds = {"revocation_bound_ms": int(REVOKE_S * 1000), "store_settle_ms": 4000,
              "apply_ms": 3000, "drain_ms": 3000}
    bed.entries = [Entry(bed, zone, n + 1, bounds=bounds) for n, zone in enumerate(zones[:2])]
    stopped = bed.entries[1]
    for it in bed.entries:
        await it.start()
    for it in bed.entries:
        await it.wait_ready()
    confirmed = time.monotonic() + 5.0 - STOPS_AT_S
    reads = {}
    clients = [asyncio.create_task(Client(bed, entry, key, f"{key}-{entry.zone}", reads)
                                   .run(confirmed + ENDS_AT_S))
               for entry in bed.entries for key in (KEPT, TAKEN_AWAY)]

    async def until(at):
        await asyncio.sleep(max(0.0, confirmed + at - time.monotonic()))

    await until(STOPS_AT_S)
    stopped.signal(signal.SIGTERM)
    bed.record(f"SIGTERM to {stopped.name}")
    await until(0)
    bed.store.put("op/config", after)
    confirmed = time.monotonic()
    bed.record(f"confirmed: version 9, without {TAKEN_AWAY}")
    await until(STOPS_AT_S + GRACE_S)
    stopped.signal(signal.SIGKILL)
    await stopped.process.wait()
    await until(DRILL_AT_S)
    if bed.trouble:
        bed.store.leave()
        bed.record("the store is away")
        await until(DRILL_AT_S + AWAY_S)
        bed.store.return_from_copy(COPY_AGE_S)
        bed.record(f"the store is back from a copy {COPY_AGE_S} s old")
    await until(STARTS_AT_S)
    await stopped.start()
    await until(WRITTEN_AGAIN_AT_S)
    if bed.trouble:
        bed.store.put("op/config", after)
        bed.record(f"version 9, without {TAKEN_AWAY}, is written again")
    await asyncio.gather(*clients)
    return judge(bed, stopped, workers, confirmed, reads)


def judge(bed, stopped, workers, confirmed, reads):
    def served(key, first, last):
        return [it for it in reads.values() if it["key"] == key and it["status"] == 200
                and first < it["sent"] - confirmed < last]
    if not served(TAKEN_AWAY, -99, 0):
        raise beds.Unfit("the key was not accepted before it was taken away")
    if not [it for it in served(KEPT, STARTS_AT_S, 99) if it["entry"] is stopped]:
        raise beds.Unfit(f"{stopped.name} did not serve after its start")
    broken = []
    for worker in workers:
        for _, attempt in worker.runs:
            it = reads[attempt]
            late = it["sent"] - confirmed
            if it["key"] == TAKEN_AWAY and late > REVOKE_S:
                broken.append(f"CONFIG {attempt}, sent to {it['entry'].name} {late:.2f} s after the "
                              f"confirmation that took its key away, runs on {worker.id}, "
                              f"answered {it['status']}")
    bed.record(f"reads {len(reads)}, with {TAKEN_AWAY} served after the confirmation: "
               f"{len(served(TAKEN_AWAY, 0, 99))}")
    return sorted(broken)


beds.run(case, HERE)
