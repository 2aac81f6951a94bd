"""A worker breaks off an empty chunked answer inside its last chunk, and the entry process ends."""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import ERRORS, Worker, main  # noqa: E402

ORDERS = {"name": "r-orders", "prefix": "/orders/", "type": "non_idempotent", "service": "reservations"}
DUES = {"name": "r-dues", "prefix": "/dues/", "type": "non_idempotent", "service": "tresorerie"}
# The dose of `garble` in the site file: this share of the worker's answers is broken off.
BROKEN_SHARE = 0.02
RESTART_S = 0.5
SECONDS = 60


class EmptyAnswers(Worker):
    """Answers with an empty body in chunks; breaks off a few of the answers after "0 CR LF"."""

    breaks_off = False

    async def run(self, attempt, call, deadline, writer):
        self.bed.on_run(attempt, self)
        await asyncio.sleep(self.work_s(call))
        writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Seal: seal.{attempt}\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n".encode())
        if self.breaks_off and self.bed.random.random() < BROKEN_SHARE:
            self.bed.record.add(f"worker {self.id} breaks off its answer to {attempt}")
            writer.write(b"0\r\n")
            await writer.drain()
            return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def run(bed):
    bed.configure([ORDERS, DUES], ["reservations", "tresorerie"])
    for number, zone in enumerate(("nord-a", "nord-b")):
        await bed.add_worker(Worker(bed, f"i-reservations{number}", "reservations", zone,
                                    work_s=lambda call: 0.4))
        await bed.add_worker(EmptyAnswers(bed, f"i-tresorerie{number}", "tresorerie", zone))
    bed.workers[1].breaks_off = bed.trouble
    await bed.start_entries(["nord-a", "nord-b"])
    end = time.monotonic() + SECONDS
    ends = {it.name: 0 for it in bed.entries}

    async def restart(entry):
        """The platform starts a process that has ended again after a short delay."""
        while True:
            code = await entry.process.wait()
            ends[entry.name] += 1
            bed.record.add(f"entry {entry.name} ended by itself with code {code}")
            await asyncio.sleep(RESTART_S)
            await entry.start()

    lost = []

    async def client(entry, route):
        """Keeps one connection for all its requests, as long as the entry keeps it."""
        connection, used = None, 0
        while time.monotonic() < end:
            try:
                connection = connection or await asyncio.open_connection(*entry.front)
            except ERRORS:
                await asyncio.sleep(0.3)
                continue
            it = await bed.call(entry, route, 2.5, connection)
            used += 1
            if not isinstance(it.status, int):
                if used > 1 and it.runs and route is ORDERS:
                    lost.append(f"LOST: an order that ran at the sound worker {it.runs[0][1].id} was "
                                f"{it.status} on a kept connection to {entry.name}")
                connection[1].close()
                connection, used = None, 0
            await asyncio.sleep(0.1)

    for it in bed.entries:
        bed.spawn(restart(it))
        for _ in range(6):
            bed.spawn(client(it, ORDERS))
        for _ in range(4):
            bed.spawn(client(it, DUES))
    await asyncio.sleep(max(0, end + 3 - time.monotonic()))
    bed.record.add(f"ends by themselves: {ends}")
    print(f"ends by themselves: {ends}; orders cut: {len(lost)}")
    breaks = lost if len(lost) > 3 else []
    if sum(n >= 3 for n in ends.values()) >= 2:
        breaks = breaks + [f"Fault: processes ended by themselves: {ends}"]
    return breaks


main(__file__, run)
