"""A worker of the platform: registers itself in the store and runs requests in its slots."""

import asyncio
import time

from bed import CONNECTION_ERRORS, answer_bytes, read_body, read_head, reset

HEARTBEAT_S = 1.5


class Worker:
    """`work_s` is the time that a request takes. `runs` holds (time, attempt id) of each start of
    work, and `done` the ids of the requests whose work ended."""

    def __init__(self, bed, identity, service, zone, slots=5, work_s=0.41):
        self.bed = bed
        self.id = identity
        self.service = service
        self.zone = zone
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.writers = set()
        self.runs = []
        self.done = set()
        self.running = set()
        self.body_bytes = 200
        self.beats = True

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.register()

    def register(self, state="ready"):
        self.sequence += 1
        self.bed.store.put("servers/" + self.id, {
            "address": f"127.0.0.1:{self.port}", "born": self.born,
            "info": {"service": self.service, "config_version": "v1", "zone": self.zone,
                     "slots": self.slot_count},
            "status": {"state": state, "seq": self.sequence, "cold_remaining_ms": 0}})

    def exit(self):
        """Ends the process: its listener and connections close."""
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        return set(self.running)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except CONNECTION_ERRORS:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        _, fields = await read_head(reader)
        await read_body(reader, fields)
        attempt = fields["x-attempt-id"]
        if fields.get("x-expected-instance", self.id) != self.id:
            writer.write(answer_bytes(421, [f"X-Instance-Id: {self.id}"]))
            return True
        async with self.slots:
            self.runs.append((time.monotonic(), attempt))
            self.running.add(attempt)
            self.bed.record(f"{self.id} runs {attempt}")
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running.discard(attempt)
            self.done.add(attempt)
        body = attempt.encode().ljust(self.body_bytes, b".")
        writer.write(answer_bytes(200, [f"X-Attempt-Id: {attempt}",
                                        f"X-Response-Seal: {self.id}.{attempt}"], body))
        await writer.drain()
        return True
