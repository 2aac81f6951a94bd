"""Callers, which look up entries, keep connections open, and report every answer to the checks."""

import asyncio
import json
import time

from . import http1

CONNECT_LIMIT_S = 1.0
LOOK_UP_LIMIT_S = 1.0
OBJECT_COUNT = 60
# An entry may answer this long after the time limit.
ANSWER_SLACK_S = 0.5
# Sizes of an upload: stated, and sent before the caller stops to send. An entry buffers less than
# the second before it sends the request on.
UPLOAD_BYTES = 300_000
UPLOAD_SENT_BYTES = 150_000
UPLOAD_PAUSE_S = 1.0


class Caller:
    """One caller of a zone. It reuses a connection until the entry closes it or it fails."""

    def __init__(self, testbed, zone, number):
        self.testbed = testbed
        self.zone = zone
        self.name = f"{zone}-{number}"
        self.addresses = []
        self.addresses_valid_until = 0.0
        self.avoided = {}
        self.entry = None
        self.reader = None
        self.writer = None
        self.sent = 0

    async def run(self):
        random = self.testbed.random
        while not self.testbed.ended:
            await asyncio.sleep(random.expovariate(1 / self.testbed.caller_pause_s))
            route = random.choice(self.testbed.routes)
            started = time.monotonic()
            retry_after = await self.send_attempt(route, started)
            if retry_after is not None and not self.testbed.ended:
                await asyncio.sleep(min(retry_after, route.time_limit_s / 3))
                self.close()
                if time.monotonic() < started + route.time_limit_s:
                    await self.send_attempt(route, started)

    async def send_attempt(self, route, started):
        """Sends one attempt. Returns the seconds to wait before a retry, or None for no retry."""
        left_s = started + route.time_limit_s - time.monotonic()
        if not await self.connect():
            return 0.05
        self.sent += 1
        attempt = f"{self.name}-{self.sent}"
        method = "GET" if route.idempotent else "POST"
        body = b"" if route.idempotent else f"order {attempt}".encode()
        target = f"{route.prefix}{self.testbed.random.randint(0, 99)}"
        fields = [("Host", route.host), ("X-Attempt-Id", attempt),
                  ("Cookie", f"X-Affinity-Key={self.testbed.random.randint(1, OBJECT_COUNT)}"),
                  ("X-Deadline-Ms", str(max(1, int(left_s * 1000))))]
        checks = self.testbed.checks
        checks.on_sent(attempt, route, self.entry, target, body)
        times_out_early = self.testbed.random.random() < self.testbed.early_timeout_share
        try:
            self.writer.write(http1.request_bytes(method, target, fields, body))
            answer = await asyncio.wait_for(
                http1.read_message(self.reader, is_answer=True),
                route.time_limit_s / 8 if times_out_early else left_s + ANSWER_SLACK_S)
        except asyncio.TimeoutError:
            if not times_out_early:
                checks.on_timeout(attempt)
            self.close()
            return None
        except http1.Malformed as error:
            checks.violation("MIXED", f"{attempt}: {self.entry.name} answered malformed: {error}")
            self.close()
            return None
        except http1.CONNECTION_ERRORS:
            answer = None
        if answer is None:
            checks.on_connection_lost(attempt)
            self.avoid()
            return 0.0 if route.idempotent else None
        if not answer.keeps_connection():
            self.close()
        checks.on_answer(attempt, answer)
        if answer.status < 400:
            return None
        not_run = answer.status in (429, 503, 408, 421)
        if not_run or route.idempotent:
            return float(answer.field("retry-after", "0"))
        return None

    async def connect(self):
        if self.writer and not self.writer.transport.is_closing() and not self.reader.at_eof() \
                and self.entry.name in {it.name for it in await self.entries()}:
            return True
        self.close()
        now = time.monotonic()
        candidates = [it for it in await self.entries() if self.avoided.get(it.name, 0) < now]
        if not candidates:
            return False
        self.entry = self.testbed.random.choice(candidates)
        try:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", self.entry.callers_proxy.port), CONNECT_LIMIT_S)
            return True
        except (OSError, asyncio.TimeoutError):
            self.avoid()
            return False

    async def entries(self):
        if time.monotonic() >= self.addresses_valid_until:
            await self.look_up()
        return self.addresses

    async def look_up(self):
        order = list(self.testbed.entries)
        self.testbed.random.shuffle(order)
        order.sort(key=lambda it: it.zone != self.zone)
        for entry in order[:3]:
            try:
                answer = await asyncio.wait_for(self.request_look_up(entry), LOOK_UP_LIMIT_S)
            except (asyncio.TimeoutError, *http1.CONNECTION_ERRORS):
                continue
            if answer is None or answer.status != 200:
                continue
            read = json.loads(answer.body)
            self.addresses = [self.testbed.by_address[it] for it in read["addresses"]]
            self.addresses_valid_until = time.monotonic() + read["ttl_s"]
            self.testbed.checks.on_look_up(entry, self.addresses)
            return

    async def request_look_up(self, entry):
        host, port = entry.look_ups
        reader, writer = await asyncio.open_connection(host, port)
        try:
            region = self.testbed.zones[self.zone]
            target = f"/fuchsiaproxy/resolve?name=soak.example&region={region}&zone={self.zone}"
            writer.write(http1.request_bytes("GET", target, [("Host", host)]))
            return await http1.read_message(reader, is_answer=True)
        finally:
            writer.close()

    def avoid(self):
        self.avoided[self.entry.name] = time.monotonic() + 1.0
        self.close()

    def close(self):
        if self.writer:
            self.writer.close()
        self.writer = None
        self.reader = None


class Uploader(Caller):
    """A caller whose requests stop in mid body, so that entries fail them after a part was sent."""

    async def run(self):
        try:
            while not self.testbed.ended:
                await asyncio.sleep(UPLOAD_PAUSE_S)
                if await self.connect():
                    await self.upload()
                self.close()
        finally:
            self.close()

    async def upload(self):
        self.sent += 1
        route = self.testbed.upload_route
        attempt = f"{self.name}-{self.sent}"
        target = f"{route.prefix}{self.sent}"
        head = http1.request_bytes("PUT", target, [
            ("Host", route.host), ("X-Attempt-Id", attempt),
            ("X-Deadline-Ms", str(int(route.time_limit_s * 1000))),
            ("Content-Length", str(UPLOAD_BYTES))])
        checks = self.testbed.checks
        checks.on_sent(attempt, route, self.entry, target, b"")
        try:
            self.writer.write(head + b"x" * UPLOAD_SENT_BYTES)
            answer = await http1.read_message(self.reader, is_answer=True)
        except http1.CONNECTION_ERRORS:
            answer = None
        if answer is None:
            checks.counts["uploads cut"] += 1
            return
        checks.on_answer(attempt, answer)
