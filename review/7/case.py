"""A watch is cut as a worker is removed; orders still reach the worker after `drain_ms`."""
import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'standins2'))
import standins
from standins import BOUNDS, Client, Fleet, Store, Worker, config

DRAIN_S = BOUNDS['drain_ms'] / 1000
# The worker serves for `drain_ms` after its entry was removed, and this little longer.
LITTLE_LONGER_S = 0.4


async def send_orders(record, entry, number, stop, outcomes):
    client = Client(record, entry, 'client-%d' % number)
    while not stop.is_set():
        target = '/reserve/%d' % random.randrange(39)
        outcomes.append(await client.send('POST', target, b'x' * 400, 2500, random.randrange(39)))
        await asyncio.sleep(random.uniform(0, 0.05))
    client.close()


async def case(record, trouble):
    store = Store(record)
    await store.start()
    fleet = Fleet(record, store)
    stop = asyncio.Event()
    outcomes = []
    try:
        workers = [Worker(record, store, 'reservations', zone, 0.25)
                   for zone in ('nord-a', 'plaines-a', 'sud-a', 'nord-b')]
        for worker in workers:
            await worker.start()
        routes = [['r-1', 'a.example', '/reserve/', 'reservations', 'non_idempotent', 2500, 300,
                   2, 1, True]]
        await store.write('op/config', config(7, routes, ['reservations']))
        fleet.add(['nord-a', 'plaines-a', 'sud-a'])
        await fleet.wait_ready()
        tasks = [asyncio.ensure_future(send_orders(record, fleet.entries[n % 3], n, stop, outcomes))
                 for n in range(24)]
        # All entries and the store have been calm for longer than `stability_ms`.
        await asyncio.sleep(BOUNDS['stability_ms'] / 1000 + 2)
        leaving = workers[0]
        if trouble:
            store.cut_watches()
        # This worker never reports `draining`: its entry is removed, and it serves on.
        await store.drop('servers/' + leaving.id)
        removed_at = time.monotonic()
        await asyncio.sleep(DRAIN_S + LITTLE_LONGER_S)
        leaving.exit()
        await asyncio.sleep(2)
        stop.set()
        await asyncio.gather(*tasks)
    finally:
        stop.set()
        fleet.stop()
    late = ['%.3f' % (at - removed_at) for at, _ in leaving.arrivals if at - removed_at > DRAIN_S]
    unanswered = [it[0] for it in outcomes if it[1] != 200 and it[0] in leaving.ran]
    return (len(late) > 0,
            'orders that reached the removed worker later than drain_ms, seconds after the '
            'removal: %s; orders that it had begun and whose caller got no success: %d'
            % (late, len(unanswered)))


standins.run(case, HERE)
