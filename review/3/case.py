"""The store gives no answers for a short time; four seconds later the operator moves a route.

With VARIANT=connections all open connections to the store go silent for good instead.
"""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import SilentProxy, Worker, main  # noqa: E402

ORDERS = {"name": "r-orders", "prefix": "/orders/", "type": "non_idempotent", "service": "reservations"}
# Longer than stability_ms (3 s): by then the machines count as in touch again.
QUIET_S = 4.0
OUTAGE_S = 1.5


async def send_orders(bed):
    while True:
        bed.spawn(bed.call(bed.random.choice(bed.entries), ORDERS, 2.5))
        await asyncio.sleep(0.05)


async def run(bed):
    proxy = SilentProxy(bed.store.port, bed.record)
    await proxy.start()
    bed.store_port = proxy.port
    services = ["reservations", "tresorerie"]
    bed.configure([ORDERS], services)
    for number, service in enumerate(services * 2):
        await bed.add_worker(Worker(bed, f"i-{service}{number}", service, ("nord-a", "nord-b")[number // 2]))
    await bed.start_entries(["nord-a", "nord-b", "nord-a"])
    bed.spawn(send_orders(bed))
    await asyncio.sleep(2)
    for number in range(3):
        await bed.add_worker(Worker(bed, f"i-joined{number}", "tresorerie", "nord-a"))
        await asyncio.sleep(0.15)
    if os.environ.get("VARIANT") == "connections":
        if bed.trouble:
            proxy.go_silent()
    else:
        bed.store.silent = bed.trouble
        bed.record.add(f"the store is {'silent' if bed.trouble else 'up'}")
        await asyncio.sleep(OUTAGE_S)
        bed.store.silent = False
        bed.record.add("the store is up")
    await asyncio.sleep(QUIET_S)
    confirmed = bed.configure([dict(ORDERS, service="tresorerie")], services)
    bed.record.add("the config moves r-orders from reservations to tresorerie")
    bound = confirmed + bed.bounds["config_apply_ms"] / 1000
    await asyncio.sleep(16)
    breaks = []
    for name, it in bed.attempts.items():
        for at, worker in it.runs:
            if it.sent_at > bound and worker.service == "reservations":
                breaks.append(f"CONFIG: {name}, sent {it.sent_at - confirmed:.2f} s after the "
                              f"confirmation, ran at {worker.id} of the old service")
    return breaks


main(__file__, run)
