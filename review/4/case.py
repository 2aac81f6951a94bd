"""A planned stop with grace_s 10 under load with some long requests."""

import asyncio
import os
import signal
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import Worker, main  # noqa: E402

# As `order-place` of large/LATER.md: time limit 8 s. A quarter of the runs is long, but ends in time.
ORDERS = {"name": "r-orders", "prefix": "/orders/", "type": "non_idempotent", "service": "orders",
          "timeout_ms": 8000, "target_latency_ms": 1000}
TIME_LIMIT_S = 8.0
LONG_SHARE = 0.25
LONG_RUN_S = 6.2
PAUSE_S = 0.05
# Clients keep the answer of a look-up (2 s here) up to three times as long.
CLIENTS_LEAVE_S = 6.0


async def run(bed):
    bed.configure([ORDERS], ["orders"])
    for number in range(16):
        zone = ("nord-a", "nord-b")[number % 2]
        await bed.add_worker(Worker(
            bed, f"i-orders{number}", "orders", zone, slots=5, queue=15,
            work_s=lambda call: LONG_RUN_S if bed.random.random() < LONG_SHARE else 0.3))
    await bed.start_entries(["nord-a", "nord-b"])
    stopped = bed.entries[0]

    async def send_orders(until):
        while time.monotonic() < until:
            bed.spawn(bed.call(stopped, ORDERS, TIME_LIMIT_S))
            await asyncio.sleep(PAUSE_S)

    await send_orders(time.monotonic() + 3)
    term = time.monotonic()
    if bed.trouble:
        stopped.signal(signal.SIGTERM)
    await send_orders(term + CLIENTS_LEAVE_S)
    grace = bed.bounds["grace_s"]
    if bed.trouble:
        try:
            await asyncio.wait_for(stopped.process.wait(), term + grace - time.monotonic())
            bed.record.add(f"{stopped.name} has ended {time.monotonic() - term:.2f} s after SIGTERM")
        except asyncio.TimeoutError:
            stopped.signal(signal.SIGKILL)
    # Until the time limit of the last order has passed.
    await asyncio.sleep(max(0, term + CLIENTS_LEAVE_S + TIME_LIMIT_S + 1 - time.monotonic()))
    breaks = []
    for name, it in bed.attempts.items():
        if not it.runs or isinstance(it.status, int):
            continue
        after = it.sent_at - term
        at_work_late = it.answered_at - term > grace * 5 / 6
        if it.answered_at - it.sent_at < TIME_LIMIT_S - 0.1 and not (at_work_late and after <= 3):
            breaks.append(f"LOST: {name}, sent {after:.2f} s after SIGTERM, ran at "
                          f"{it.runs[0][1].id} and was {it.status} {it.answered_at - term:.2f} s "
                          f"after SIGTERM, {it.answered_at - it.sent_at:.2f} s after it was sent")
    return breaks


main(__file__, run, bounds={"stability_ms": 4000, "drain_ms": 4000, "grace_s": 10,
                            "config_apply_ms": 4000})
