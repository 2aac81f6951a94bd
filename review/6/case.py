"""An entry of another writer under servers/ ends every process of the system, again and again."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'standins2'))
import standins
from standins import Client, Fleet, Store, Worker, config

# A bad entry whose number of slots is of another type: lists inside lists. 400 KB of the 1,048,576
# bytes (`value_bytes`) that a value may have.
DEPTH = 200_000
BAD = ('{"address":"127.0.0.1:9","info":{"service":"catalogue","zone":"nord-a","config_version":"v1",'
       '"slots":%s%s},"status":{"state":"ready","seq":1,"cold_remaining_ms":0}}'
       % ('[' * DEPTH, ']' * DEPTH))
RESTART_S = 1.0


async def send_requests(record, entry, number, stop, outcomes):
    """Reads on a kept connection. Outcomes: (entry, request, status, the connection was kept)."""
    client = Client(record, entry, 'client-%d' % number)
    while not stop.is_set():
        kept = client.streams is not None
        request, status, _, _ = await client.send('GET', '/shelf/%d' % number, limit_ms=2000)
        outcomes.append((entry, request, status, kept))
        if status is None:
            await asyncio.sleep(0.2)
    client.close()


async def restart_ended(record, fleet, ends, stop):
    """Starts ended processes again after a short delay, as the platform does."""
    while not stop.is_set():
        for entry in fleet.entries:
            code = entry.ended()
            if code is not None and not getattr(entry, 'restarting', False):
                record.write(entry.name, 'has ended by itself, code %s' % code)
                ends[entry.name] = ends.get(entry.name, 0) + 1
                entry.restarting = True
                asyncio.get_running_loop().call_later(RESTART_S, start_again, entry)
        await asyncio.sleep(0.02)


def start_again(entry):
    if os.path.isdir(entry.fleet.folder):
        entry.start()
        entry.restarting = False


async def case(record, trouble):
    store = Store(record)
    await store.start()
    fleet = Fleet(record, store)
    stop = asyncio.Event()
    ends = {}
    outcomes = []
    try:
        workers = [Worker(record, store, 'catalogue', zone, 0.31)
                   for zone in ('nord-a', 'plaines-a', 'sud-a', 'nord-b', 'sud-b')]
        for worker in workers:
            await worker.start()
        routes = [['r-1', 'a.example', '/shelf/', 'catalogue', 'idempotent', 2000, 250, 2, 2, True]]
        await store.write('op/config', config(7, routes, ['catalogue']))
        fleet.add(['nord-a', 'plaines-a', 'sud-a'])
        await fleet.wait_ready()
        tasks = [asyncio.ensure_future(send_requests(record, fleet.entries[n % 3], n, stop, outcomes))
                 for n in range(18)]
        tasks.append(asyncio.ensure_future(restart_ended(record, fleet, ends, stop)))
        await asyncio.sleep(5)
        if trouble:
            await store.write('servers/i-another', BAD.encode())
        await asyncio.sleep(8)
        stop.set()
        await asyncio.gather(*tasks)
    finally:
        stop.set()
        fleet.stop()
    ran = {request for worker in workers for request in worker.ran}
    lost = {}
    for entry, request, status, kept in outcomes:
        if status is None and kept and request in ran:
            lost[entry.name] = lost.get(entry.name, 0) + 1
    return (any(it > 3 for it in lost.values()),
            'lost on kept connections at sound workers, by machine: %s; processes that ended by '
            'themselves: %s' % (lost, ends))


standins.run(case, HERE)
