"""A worker that has left is used again after the store has returned from an older copy."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins3"))

import bed as beds  # noqa: E402
from bed import CONNECTION_ERRORS, DRAIN_S, HOST, Entry, read_body, read_head  # noqa: E402
from worker import Worker  # noqa: E402

WORKERS = 8
CLIENTS_PER_ENTRY = 6
TIME_LIMIT_MS = 2500
LEAVES_AT_S = 5.0
# After its entry is removed the worker serves for drain_ms and two seconds more, and then exits.
EXITS_AFTER_S = DRAIN_S + 2.0
DRILL_AFTER_S = 2.3
AWAY_S = 0.2
COPY_AGE_S = 3.5
# After this time the removal, which the copy lacks, is written again.
WRITTEN_AGAIN_AFTER_S = 1.9


class Client:
    """Sends one order after the other on a kept connection."""

    def __init__(self, bed, entry, name, orders):
        self.bed = bed
        self.entry = entry
        self.name = name
        self.orders = orders
        self.count = 0

    async def run(self, end):
        reader = writer = None
        while time.monotonic() < end:
            if writer is None:
                reader, writer = await asyncio.open_connection(self.entry.ip, 8548)
            self.count += 1
            attempt = f"{self.name}-{self.count}"
            order = {"sent": time.monotonic(), "entry": self.entry, "status": None}
            self.orders[attempt] = order
            self.bed.record(f"{attempt} sent")
            writer.write((f"POST /reserve/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
                          f"X-Deadline-Ms: {TIME_LIMIT_MS}\r\nContent-Length: 4\r\n\r\ncopy").encode())
            try:
                (_, status, _), fields = await asyncio.wait_for(read_head(reader), 4)
                await read_body(reader, fields)
                order["status"] = int(status)
            except (asyncio.TimeoutError, *CONNECTION_ERRORS):
                order["status"] = 0
            self.bed.record(f"{attempt} answered {order['status']}")
            if order["status"] == 0 or fields.get("connection") == "close":
                writer.close()
                writer = None
            await asyncio.sleep(0.1)


def left_at_by_entry(bed, worker):
    """Returns when each entry itself took note that the worker was gone, on the steady clock."""
    offset = time.monotonic() - time.time()
    noted = {}
    for entry in bed.entries:
        for line in entry.log_lines():
            if line["event"] == "upstream_removed" and line["upstream"] == worker.id:
                noted.setdefault(entry.name, line["time_ms"] / 1000 + offset)
    return noted


async def case(bed):
    bed.store.put("op/config", beds.config(
        7, [beds.route("r1", "/reserve/", "non_idempotent", "reservations", TIME_LIMIT_MS)],
        ["reservations"]))
    zones = list(beds.ZONES)
    workers = [Worker(bed, f"i-{n:08x}", "reservations", zones[n % len(zones)]) for n in range(WORKERS)]
    for it in workers:
        await it.start()
    bed.entries = [Entry(bed, zone, n + 1) for n, zone in enumerate(zones[:2])]
    for it in bed.entries:
        await it.start()
    for it in bed.entries:
        await it.wait_ready()
    began = time.monotonic()
    orders = {}
    clients = [asyncio.create_task(Client(bed, entry, f"{entry.zone}-{n}", orders).run(began + 14))
               for entry in bed.entries for n in range(CLIENTS_PER_ENTRY)]

    await asyncio.sleep(LEAVES_AT_S)
    leaver = workers[0]
    bed.store.remove("servers/" + leaver.id)
    left_at = time.monotonic()
    bed.record(f"{leaver.id} leaves: the store has accepted the removal of its entry")
    exit_task = asyncio.create_task(exit_later(bed, leaver))
    if bed.trouble:
        await asyncio.sleep(DRILL_AFTER_S)
        bed.store.leave()
        bed.record("the store is away")
        await asyncio.sleep(AWAY_S)
        bed.store.return_from_copy(COPY_AGE_S)
        bed.record(f"the store is back from a copy {COPY_AGE_S} s old")
        await asyncio.sleep(WRITTEN_AGAIN_AFTER_S)
        bed.store.remove("servers/" + leaver.id)
        bed.record(f"the removal of {leaver.id} is written again")
    cut = await exit_task
    await asyncio.gather(*clients)
    return judge(bed, leaver, left_at, cut, orders)


async def exit_later(bed, worker):
    await asyncio.sleep(EXITS_AFTER_S)
    cut = worker.exit()
    bed.record(f"{worker.id} exits, at work on {sorted(cut)}")
    return cut


def judge(bed, leaver, left_at, cut, orders):
    noted = left_at_by_entry(bed, leaver)
    if len(noted) != len(bed.entries):
        raise beds.Unfit("an entry did not note the removal")
    before = [at for at, _ in leaver.runs if at < left_at]
    if not before:
        raise beds.Unfit("the worker that left had no work before")
    broken = []
    for at, attempt in leaver.runs:
        order = orders[attempt]
        acknowledged = max(left_at, noted[order["entry"].name])
        if min(at, order["sent"]) > acknowledged + DRAIN_S:
            lost = f", lost when it exited, answered {order['status']}" if attempt in cut else ""
            broken.append(f"DRAIN {attempt} reached {leaver.id} {at - acknowledged:.2f} s after "
                          f"{order['entry'].name} had noted that it was gone{lost}")
    bed.record(f"orders {len(orders)}, answered 200: {sum(it['status'] == 200 for it in orders.values())}")
    return broken


beds.run(case, HERE)
