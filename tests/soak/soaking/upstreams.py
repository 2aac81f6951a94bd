"""Stand-ins for upstreams, which run requests in slots, register in the store and inject faults."""

import asyncio
import collections
import hashlib
import random
import time

from . import http1
from .proxy import Proxy

MAX_QUEUED = 8
WARM_WORK_S = 0.02
COLD_OBJECT_WORK_S = 0.06
MAX_CACHED_OBJECTS = 40
# Share of the requests that an upstream turns away with a pause, though it may have free slots, and
# the length of the pause.
PAUSING_SHARE = 0.01
PAUSE_S = (0.8, 2.5)
# Share of the refusals that do not name their request.
UNNAMED_SHARE = 0.5
# Delays after which an answer is repeated, or a refusal that nobody asked for is sent.
REPEATED_AFTER_S = (0.001, 0.03, 0.2)
UNASKED_AFTER_S = 0.12
# Statuses with which an upstream fails a request that it has run, without saying that it has not.
UNMARKED_STATUSES = (408, 429, 503)


# Prefix of the requests whose bodies their callers do not finish.
UPLOADS = "/uploads/"


def seal_of(attempt, upstream, body):
    return hashlib.sha1(f"{attempt} {upstream} ".encode() + body).hexdigest()


class Upstream:
    """Stand-in for one upstream process. `lost_answers`, `garbled` and `failing` are the shares of
    answers with that fault, `repeated` that of answers and refusals that are sent twice, `unmarked`
    that of runs that end with the status of a refusal, and `unasked` that of answers that are
    followed by a refusal of no request; `slow_by` multiplies the work time."""

    def __init__(self, testbed, identity, service, zone, port=0, slots=4):
        self.testbed = testbed
        self.id = identity
        self.service = service
        self.zone = zone
        self.slots = slots
        self.port = port
        self.proxy = None
        self.server = None
        self.writers = set()
        self.running = 0
        self.waiting = 0
        self.free_slot = asyncio.Condition()
        self.objects = collections.OrderedDict()
        self.lost_answers = 0.0
        self.garbled = 0.0
        self.failing = 0.0
        self.repeated = 0.0
        self.unmarked = 0.0
        self.unasked = 0.0
        self.slow_by = 1.0
        # By connection, an answer that is sent a second time before the next answer.
        self.stale = {}
        self.cold_until = 0.0
        self.started_ms = int(time.time() * 1000)
        # Time at which the store confirmed the drain or removal; a fault that crashes the upstream
        # sets it itself.
        self.left_at = None
        # The upstream says in its answers that it is leaving.
        self.leaving = False
        # For what the upstream states in its answers; separate, so that the faults of a seed stay
        # the same.
        self.random = random.Random(identity)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.proxy = Proxy(("127.0.0.1", self.port))
        await self.proxy.start()

    def record(self, state="ready"):
        cold_s = max(0.0, self.cold_until - time.monotonic())
        return {"born": self.started_ms, "address": f"127.0.0.1:{self.proxy.port}",
                "info": {"service": self.service, "config_version": "v1", "zone": self.zone,
                         "slots": self.slots},
                "status": {"state": state, "seq": 1, "cold_remaining_ms": int(cold_s * 1000)}}

    async def register(self):
        await self.testbed.store.write("servers/" + self.id, self.record())

    async def drain(self):
        await self.testbed.store.write("servers/" + self.id, self.record("draining"))
        self.left_at = time.monotonic()

    async def unregister(self):
        await self.testbed.store.remove("servers/" + self.id)
        self.left_at = self.left_at or time.monotonic()

    def crash(self):
        """Ends without notice. The record stays in the store until `unregister`."""
        self.server.close()
        self.proxy.refusing = True
        self.proxy.reset_all()
        for writer in list(self.writers):
            http1.abort(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except http1.CONNECTION_ERRORS:
            pass
        except http1.Malformed as error:
            self.testbed.checks.violation("UNASKED", f"{self.id} got a malformed request: {error}")
        self.writers.discard(writer)
        writer.close()

    async def serve_one(self, reader, writer):
        call = await http1.read_head(reader)
        if call is None:
            return False
        attempt = call.field("x-attempt-id")
        if call.target.startswith(UPLOADS):
            return await self.serve_upload(attempt, call, reader)
        call.body = await http1.read_body(reader, call.fields, is_answer=False)
        expected = call.field("x-expected-instance")
        if expected and expected != self.id:
            writer.write(http1.answer_bytes(421, [("X-Instance-Id", self.id), ("X-Not-Executed", "1")]))
            return True
        self.testbed.checks.on_arrival(attempt, self, call)
        pause = self.pause_field(attempt)
        if pause or (self.running >= self.slots and self.waiting >= MAX_QUEUED):
            self.refuse(writer, attempt, self.status_fields() + pause)
            return True
        deadline = time.monotonic() + int(call.field("x-deadline-ms", "10000")) / 1000
        async with self.free_slot:
            self.waiting += 1
            try:
                await self.free_slot.wait_for(lambda: self.running < self.slots)
            finally:
                self.waiting -= 1
            self.running += 1
        try:
            if time.monotonic() >= deadline or writer.transport.is_closing():
                self.refuse(writer, attempt, self.leaving_field())
                return True
            return await self.run(attempt, call, deadline, writer)
        finally:
            async with self.free_slot:
                self.running -= 1
                self.free_slot.notify()

    async def serve_upload(self, attempt, call, reader):
        """Begins to work at the head of a request, and ends when its caller breaks it off."""
        self.testbed.checks.on_arrival(attempt, self, call)
        self.testbed.checks.on_execution(attempt, self, call)
        await http1.read_body(reader, call.fields, is_answer=False)
        return False

    def refuse(self, writer, attempt, fields):
        named = self.random.random() >= UNNAMED_SHARE
        made = http1.answer_bytes(503, ([("X-Attempt-Id", attempt)] if named else []) + fields
                                  + [("X-Not-Executed", "1")])
        writer.write(made)
        self.send_more(writer, made)

    def send_more(self, writer, made):
        """Sends what belongs to no request, behind the answer `made`."""
        loop = asyncio.get_running_loop()
        if self.random.random() < self.repeated:
            loop.call_later(self.random.choice(REPEATED_AFTER_S), self.send_late, writer, made)
        if self.random.random() < self.unasked:
            unasked = http1.answer_bytes(503, [("X-Not-Executed", "1")])
            loop.call_later(UNASKED_AFTER_S, self.send_late, writer, unasked)

    @staticmethod
    def send_late(writer, made):
        if not writer.transport.is_closing():
            writer.write(made)

    async def run(self, attempt, call, deadline, writer):
        self.testbed.checks.on_execution(attempt, self, call)
        work_s = min(self.work_s(call), max(0.0, deadline - time.monotonic()))
        await asyncio.sleep(work_s)
        rng = self.testbed.random
        status = 504 if time.monotonic() >= deadline else 500 if rng.random() < self.failing else 200
        if self.random.random() < self.unmarked:
            status = self.random.choice(UNMARKED_STATUSES)
        if writer in self.stale:
            writer.write(self.stale.pop(writer))
        body = (f"{attempt} {call.method} {call.target} " + "x" * rng.randint(0, 3000)).encode()
        seal = seal_of(attempt, self.id, body)
        self.testbed.checks.on_upstream_answer(attempt, status, seal, body)
        fields = [("X-Attempt-Id", attempt), ("X-Response-Seal", seal)] + self.status_fields()
        made = http1.answer_bytes(status, fields, body)
        if rng.random() < self.lost_answers:
            http1.abort(writer)
            return False
        if rng.random() < self.garbled:
            return await self.garble(made, writer)
        writer.write(made)
        self.send_more(writer, made)
        await writer.drain()
        return True

    async def garble(self, made, writer):
        """Truncates the answer, repeats it at once or before the next answer, or precedes it with
        bytes that are not HTTP."""
        kind = self.testbed.random.choice(["cut", "extra", "stale", "noise"])
        if kind == "cut":
            writer.write(made[:len(made) // 2])
            writer.close()
        elif kind == "noise":
            writer.write(b"\x00noise\r\n\r\n" + made)
        elif kind == "extra":
            writer.write(made + made)
        else:
            writer.write(made)
            self.stale[writer] = made
        return kind in ("extra", "stale")

    def status_fields(self):
        load = f"{self.running},{self.waiting},{self.slots},100"
        return [("X-Server-Load", load)] + self.leaving_field()

    def leaving_field(self):
        return [("Server-Leaving", "1")] if self.leaving or self.left_at else []

    def pause_field(self, attempt):
        if self.random.random() >= PAUSING_SHARE:
            return []
        seconds = round(self.random.uniform(*PAUSE_S), 3)
        self.testbed.checks.on_pause(attempt, self, seconds)
        return [("Retry-After", str(seconds))]

    def work_s(self, call):
        key = call.field("cookie", "")
        known = key in self.objects
        self.objects[key] = True
        self.objects.move_to_end(key)
        if len(self.objects) > MAX_CACHED_OBJECTS:
            self.objects.popitem(last=False)
        work_s = WARM_WORK_S if known else COLD_OBJECT_WORK_S
        return work_s * self.slow_by * self.testbed.random.uniform(0.6, 1.6)
