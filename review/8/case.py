"""Orders that a cut link held up reach a worker that has left, long after their callers gave up."""
import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'standins2'))
import standins
from standins import BOUNDS, Client, Fleet, Store, Worker, config, free_port

CUT_S = 3.2
FIRST_RESEND_S = 0.2


class Link:
    """The link to a worker. A cut holds up bytes; TCP sends them again after doubling pauses."""

    def __init__(self, record, worker):
        self.record = record
        self.worker = worker
        self.port = free_port(['127.0.0.1'])
        self.cut_from = self.cut_to = 0.0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', self.port)

    def is_cut(self, at):
        return self.cut_from <= at < self.cut_to

    def delivered_at(self, sent_at):
        """Returns when bytes arrive that were sent at `sent_at`."""
        at, pause = sent_at, FIRST_RESEND_S
        while self.is_cut(at):
            at += pause
            pause *= 2
        return at

    async def serve(self, reader, writer):
        if self.is_cut(time.monotonic()):
            # The opening packet of a new connection is lost; nothing sent on it arrives.
            try:
                await reader.read()
            except OSError:
                pass
            writer.close()
            return
        there, back = await asyncio.open_connection('127.0.0.1', self.worker.port)
        try:
            await asyncio.gather(self.carry(reader, back, 'order'),
                                 self.carry(there, writer, 'answer'))
        except asyncio.CancelledError:
            pass

    async def carry(self, source, target, what):
        held = asyncio.Queue()
        sender = asyncio.ensure_future(self.deliver(held, target, what))
        try:
            while True:
                data = await source.read(65536)
                await held.put((self.delivered_at(time.monotonic()), data))
                if not data:
                    break
            await sender
        except (ConnectionError, OSError):
            # Reset by its sender: what is held up is lost.
            sender.cancel()
            target.transport.abort()

    async def deliver(self, held, target, what):
        at = 0.0
        try:
            while True:
                due, data = await held.get()
                at = max(at, due)  # TCP keeps the order of the bytes.
                late = at - time.monotonic()
                if late > 0:
                    await asyncio.sleep(late)
                    self.record.write('link', 'delivers held bytes of an %s: %d' % (what, len(data)))
                if not data:
                    break
                target.write(data)
                await target.drain()
        except (ConnectionError, OSError):
            pass
        target.close()


class LinkedWorker(Worker):
    """A worker whose address is that of its link."""

    def record_of(self):
        it = super().record_of()
        it['address'] = '127.0.0.1:%d' % self.link.port
        return it


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
        workers = [Worker(record, store, 'reservations', zone, 0.1)
                   for zone in ('nord-a', 'plaines-a', 'nord-b')]
        leaving = LinkedWorker(record, store, 'reservations', 'sud-a', 0.1)
        leaving.link = Link(record, leaving)
        await leaving.link.start()
        for worker in workers + [leaving]:
            await worker.start()
        routes = [['r-1', 'a.example', '/reserve/', 'reservations', 'non_idempotent', 2500, 300,
                   2, 1, True]]
        await store.write('op/config', config(7, routes, ['reservations']))
        fleet.add(['nord-a', 'plaines-a', 'nord-b'])
        await fleet.wait_ready()
        tasks = [asyncio.ensure_future(send_orders(record, fleet.entries[n % 3], n, stop, outcomes))
                 for n in range(30)]
        await asyncio.sleep(BOUNDS['stability_ms'] / 1000 + 1)
        if trouble:
            leaving.link.cut_from = time.monotonic()
            leaving.link.cut_to = leaving.link.cut_from + CUT_S
            record.write('link', 'is cut for %.1f s' % CUT_S)
        await asyncio.sleep(0.5)
        await leaving.report('draining')
        left_at = time.monotonic()
        await asyncio.sleep(8.5)
        stop.set()
        await asyncio.gather(*tasks)
    finally:
        stop.set()
        fleet.stop()
    settled = leaving.link.cut_to + BOUNDS['stability_ms'] / 1000
    late = [(round(at - left_at, 3), request) for at, request in leaving.arrivals
            if at - left_at > BOUNDS['drain_ms'] / 1000 and at > settled]
    answers = {request: status for request, status, _, _ in outcomes}
    return (len(late) > 0,
            'orders that reached the worker late, seconds after the confirmation, with what their '
            'callers had been answered before: %s'
            % ([(after, answers.get(request)) for after, request in late]))


standins.run(case, HERE)
