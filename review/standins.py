"""Small stand-ins for store, workers and clients, and a launcher of real entries, for the cases.

Everything listens on loopback. Messages follow PROTOCOL.md and `fleetbench wire`.
"""

import asyncio
import base64
import collections
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ERRORS = (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError)
HOST = "shop.example"
# Bounds of sites/lirenou.toml; a case may change single ones.
BOUNDS = {"stability_ms": 3000, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
          "config_apply_ms": 2000, "retry_budget_ratio": 0.2, "budget_slack": 60, "ttl_max_s": 5,
          "evacuation_ms": 5000}


class Message:
    def __init__(self, first, fields):
        self.first = first
        self.fields = fields
        self.body = b""

    def field(self, name, default=None):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    """Returns the next head, or None if the connection ends before it begins."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), fields)


async def read_body(reader, it, until_close):
    if it.field("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            it.body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return
    elif it.field("content-length") is not None:
        it.body = await reader.readexactly(int(it.field("content-length")))
    elif until_close:
        it.body = await reader.read()


async def read_message(reader, answer=False):
    it = await read_head(reader)
    if it is not None:
        await read_body(reader, it, answer)
    return it


def answer_bytes(status, fields=(), body=b""):
    lines = [f"HTTP/1.1 {status} x"] + [f"{n}: {v}" for n, v in fields]
    return ("\r\n".join(lines + [f"Content-Length: {len(body)}"]) + "\r\n\r\n").encode() + body


def json_answer(value, status=200):
    return answer_bytes(status, [("Content-Type", "application/json")], json.dumps(value).encode())


def reset(writer):
    """Closes a connection with a reset."""
    it = writer.transport.get_extra_info("socket")
    if it is not None and it.fileno() >= 0:
        it.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Record:
    """Collects what was sent, answered and run, and writes it to record.txt."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.began = time.monotonic()
        self.lines = []

    def add(self, text):
        self.lines.append(f"{time.monotonic() - self.began:8.3f}  {text}")

    def write(self):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write("\n".join(self.lines) + "\n")


class Store:
    """The platform's store: items, watches and leases. Loses nothing and answers in 4 ms."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.revision = 100
        self.history = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.watch_epoch = 0
        self.waiting = 0
        self.silent = False  # Calls that arrive meanwhile get no response, also not later.
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Writes a JSON value; the return is the store's confirmation."""
        self.apply([(key, json.dumps(value).encode(), lease)], [])
        self.record.add(f"store confirms a write of {key}")
        return time.monotonic()

    def remove(self, key):
        self.apply([], [key])
        self.record.add(f"store confirms the removal of {key}")
        return time.monotonic()

    def apply(self, puts, removed):
        self.revision += 1
        for key, value, lease in puts:
            created = self.items[key]["created"] if key in self.items else self.revision
            self.items[key] = {"key": key, "value": base64.b64encode(value).decode(),
                               "rev": self.revision, "created": created, "lease": lease}
            self.history.append(dict(self.items[key]))
        for key in removed:
            if self.items.pop(key, None):
                self.history.append({"key": key, "rev": self.revision, "deleted": True})
        self.notify()

    def cut_watches(self):
        """Cuts the watches that are waiting. Other calls and the history stay as they are."""
        self.record.add(f"store cuts {self.waiting} waiting watches")
        self.watch_epoch += 1
        self.notify()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [it for it, (_, end) in self.leases.items() if end <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        known = self.leases.pop(lease, None)
        keys = [it["key"] for it in self.items.values() if it["lease"] == lease]
        if keys:
            self.record.add(f"lease {lease} ends: {keys}")
            self.apply([], keys)
        return known is not None

    async def serve(self, reader, writer):
        try:
            while (call := await read_message(reader)) is not None:
                await asyncio.sleep(0.004)
                if self.silent:
                    await asyncio.Event().wait()
                answer = await self.answer(call)
                if answer is None:
                    reset(writer)
                    return
                writer.write(answer)
                await writer.drain()
        except ERRORS:
            pass
        writer.close()

    async def answer(self, call):
        path, _, query = call.first[1].partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        name = path.removeprefix("/fuchsiaproxy/")
        if name == "kv-range":
            prefix, after = args.get("prefix", ""), args.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return json_answer({"items": [self.items[k] for k in keys[:500]],
                                "has_more": len(keys) > 500, "current_rev": self.revision})
        if name == "kv-watch":
            return await self.watch(args["prefix"], int(args["after"]), int(args["wait_ms"]))
        if name == "kv-txn":
            return self.transact(json.loads(call.body))
        if name == "kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl = json.loads(call.body)["ttl_ms"]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return json_answer({"lease": lease, "ttl_ms": ttl})
        verb, _, lease = name.partition("/")
        if verb == "kv-keep" and int(lease) in self.leases:
            ttl = self.leases[int(lease)][0]
            self.leases[int(lease)] = (ttl, time.monotonic() + ttl / 1000)
            return json_answer({"ttl_ms": ttl})
        if verb == "kv-lease-end" and self.end_lease(int(lease)):
            return answer_bytes(200)
        return answer_bytes(404)

    async def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        epoch = self.watch_epoch
        while True:
            events = [it for it in self.history
                      if it["rev"] > after and it["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return json_answer({"events": events, "current_rev": self.revision})
            self.waiting += 1
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            finally:
                self.waiting -= 1
            if epoch != self.watch_epoch:
                return None

    def transact(self, body):
        for it in body["expected_rev"]:
            if self.items.get(it["key"], {"rev": 0})["rev"] != it["rev"]:
                return json_answer({"items": []}, 412)
        if any(it.get("lease") and it["lease"] not in self.leases for it in body["puts"]):
            return answer_bytes(404)
        self.apply([(it["key"], base64.b64decode(it["value"]), it.get("lease", 0))
                    for it in body["puts"]], body["remove"])
        return json_answer({"rev": self.revision})


class Worker:
    """A worker with slots and a short queue. `work_s` maps a request to the length of its run."""

    def __init__(self, bed, identity, service, zone, slots=6, queue=18, work_s=lambda call: 0.05):
        self.bed = bed
        self.id = identity
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.running = 0
        self.waiting = 0
        self.slot = asyncio.Condition()
        self.writers = set()
        self.server = None
        self.port = 0
        self.born = int(time.time() * 1000)
        self.cut = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, state="ready"):
        return {"born": self.born, "address": f"127.0.0.1:{self.port}",
                "info": {"service": self.service, "config_version": "v1", "zone": self.zone,
                         "slots": self.slots},
                "status": {"state": state, "seq": 1, "cold_remaining_ms": 0}}

    def register(self):
        return self.bed.store.put("servers/" + self.id, self.entry())

    def exit(self):
        """Ends the process: the listener and all connections go."""
        self.bed.record.add(f"worker {self.id} exits, {self.running} requests running")
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    def load(self):
        return [("X-Server-Load", f"{self.running},{self.waiting},{self.slots}")]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (call := await read_message(reader)) is not None:
                if not await self.serve_one(call, reader, writer):
                    break
        except ERRORS:
            pass
        self.writers.discard(writer)
        writer.close()

    def refusal(self, call):
        """The answer of a full worker, as `fleetbench wire` shows it."""
        return answer_bytes(503, [("X-Not-Executed", "1")])

    async def before_answer(self, call, writer):
        """For faulty workers."""

    def after_answer(self, answer, writer):
        """For faulty workers."""

    async def serve_one(self, call, reader, writer):
        attempt = call.field("x-attempt-id", "")
        expected = call.field("x-expected-instance")
        if expected and expected != self.id:
            writer.write(answer_bytes(421, [("X-Attempt-Id", attempt), ("X-Instance-Id", self.id)]))
            return True
        if call.first[1] == "/health":
            writer.write(answer_bytes(200, [("X-Instance-Id", self.id)] + self.load()))
            return True
        self.bed.on_arrival(attempt, self, call)
        await self.before_answer(call, writer)
        if self.running >= self.slots and self.waiting >= self.queue:
            answer = self.refusal(call)
            self.bed.record.add(f"worker {self.id} refuses {attempt} as full")
            writer.write(answer)
            self.after_answer(answer, writer)
            return True
        deadline = time.monotonic() + int(call.field("x-deadline-ms", "10000")) / 1000
        async with self.slot:
            self.waiting += 1
            try:
                await self.slot.wait_for(lambda: self.running < self.slots)
            finally:
                self.waiting -= 1
            self.running += 1
        try:
            if time.monotonic() >= deadline or writer.transport.is_closing():
                writer.write(answer_bytes(503, [("X-Not-Executed", "1")]))
                return True
            return await self.run(attempt, call, deadline, writer)
        finally:
            async with self.slot:
                self.running -= 1
                self.slot.notify()

    async def run(self, attempt, call, deadline, writer):
        self.bed.on_run(attempt, self)
        work = self.work_s(call)
        end = min(time.monotonic() + work, deadline)
        while (left := end - time.monotonic()) > 0:
            await asyncio.sleep(min(left, 0.02))
            if writer.transport.is_closing():  # Workers drop a request whose connection closes.
                self.bed.record.add(f"worker {self.id} drops {attempt}: its connection closed")
                self.cut.append(attempt)
                return False
        status = 504 if time.monotonic() >= deadline else 200
        body = f"{attempt} {call.first[0]} {call.first[1]}".encode()
        seal = f"seal.{self.id}.{attempt}"
        self.bed.record.add(f"worker {self.id} ends the run of {attempt} with {status}")
        answer = answer_bytes(status, [("X-Attempt-Id", attempt), ("X-Response-Seal", seal)]
                              + self.load(), body)
        writer.write(answer)
        await writer.drain()
        self.after_answer(answer, writer)
        return True


class Entry:
    """One real entry, started with the command of deploy/system.toml on its own loopback address."""

    def __init__(self, bed, zone, number):
        self.bed = bed
        self.zone = zone
        self.name = f"edge-{zone}-{number}"
        self.ip = f"127.{bed.network[0]}.{bed.network[1]}.{10 + number}"
        self.front = (self.ip, 8548)
        self.directory = (self.ip, 8546)
        self.readiness = (self.ip, 8542)
        self.store_port = bed.store_port or bed.store.port
        self.process = None
        self.log = open(os.path.join(bed.folder, self.name + ".log"), "ab")

    def settings(self):
        return {"node": self.name, "zone": self.zone, "region": self.bed.zones[self.zone],
                "zones": self.bed.zones, "ip": self.ip, "internal_ports": [7540, 7555],
                "listen": {"frontend": "%s:%d" % self.front, "directory": "%s:%d" % self.directory,
                           "readiness": "%s:%d" % self.readiness},
                "platform": {"address": f"127.0.0.1:{self.store_port}"},
                "limits": {"max_fds": 4100}, "bounds": self.bed.bounds}

    def write_settings(self):
        """Fills the template of the role as DEPLOY.md says."""
        def value(match):
            it = self.settings()
            for part in match.group(1).split("."):
                it = it[int(part)] if isinstance(it, list) else it[part]
            return json.dumps(it)
        with open(os.path.join(REPOSITORY, self.bed.role["template"]), encoding="utf-8") as file:
            text = re.sub(r"\{\{([a-z_0-9.]+)\|json\}\}", value, file.read())
        path = os.path.join(self.bed.folder, self.name + ".boot")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    async def start(self):
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["FUCHSIAPROXY_BOOT"] = self.write_settings()
        self.process = await asyncio.create_subprocess_exec(
            *self.bed.role["run"].split(), cwd=REPOSITORY, env=environment, stdout=self.log,
            stderr=self.log)
        self.bed.record.add(f"entry {self.name} starts")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.bed.record.add(f"entry {self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def get(self, at, target):
        reader, writer = await asyncio.open_connection(*at)
        try:
            writer.write(f"GET {target} HTTP/1.1\r\nHost: {at[0]}\r\n\r\n".encode())
            return await asyncio.wait_for(read_message(reader, True), 1)
        finally:
            writer.close()

    async def look_up(self, zone):
        answer = await self.get(self.directory, f"/fuchsiaproxy/resolve?name={HOST}"
                                f"&region={self.bed.zones[zone]}&zone={zone}")
        return json.loads(answer.body)["addresses"] if answer.first[1] == "200" else []

    async def ready(self):
        try:
            answer = await self.get(self.readiness, "/fuchsiaproxy/ready")
            return answer is not None and answer.first[1] == "200"
        except ERRORS + (asyncio.TimeoutError,):
            return False


class Attempt:
    def __init__(self, route, sent_at):
        self.route = route
        self.sent_at = sent_at
        self.arrivals = []
        self.runs = []
        self.status = None
        self.answered_at = None


class Bed:
    """Store, workers, entries and clients of one run."""

    def __init__(self, case, seed=1, bounds=None):
        self.case = os.path.dirname(os.path.abspath(case))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.random = random.Random(seed)
        self.record = Record(self.case)
        self.folder = tempfile.mkdtemp(prefix="fuchsiaproxy-review-")
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.zones = {"nord-a": "nord", "nord-b": "nord"}
        self.network = self.free_network()
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["entry"]
        self.store = Store(self.record)
        self.store_port = None  # The port at which entries reach the store, if a proxy is between.
        self.entries = []
        self.workers = []
        self.attempts = {}
        self.tasks = []
        self.version = 0
        self.sent = 0

    @staticmethod
    def free_network():
        """Returns the middle numbers of loopback addresses on which the ports are free."""
        for _ in range(200):
            network = (random.randint(20, 250), random.randint(1, 250))
            try:
                for host in range(10, 16):
                    for port in (8548, 8546, 8542, 9464, 7540):
                        with socket.socket() as it:
                            it.bind((f"127.{network[0]}.{network[1]}.{host}", port))
                return network
            except OSError:
                continue
        raise RuntimeError("no free loopback addresses")

    def on_arrival(self, attempt, worker, call):
        self.record.add(f"request {attempt} reaches {worker.id} ({worker.service}), "
                        f"{call.field('x-deadline-ms')} ms left")
        if attempt in self.attempts:
            self.attempts[attempt].arrivals.append((time.monotonic(), worker))

    def on_run(self, attempt, worker):
        self.record.add(f"worker {worker.id} runs {attempt}")
        if attempt in self.attempts:
            self.attempts[attempt].runs.append((time.monotonic(), worker))

    def configure(self, routes, services):
        """Writes a config. A route is a dict of its columns."""
        self.version += 3
        columns = ["name", "hostname", "prefix", "type", "timeout_ms", "target_latency_ms",
                   "priority", "traffic_split", "max_attempts", "session_affinity",
                   "allowed_regions", "service"]
        usual = {"hostname": HOST, "timeout_ms": 2500, "target_latency_ms": 300, "priority": 1,
                 "traffic_split": None, "max_attempts": 2, "session_affinity": True,
                 "allowed_regions": []}
        rows = [[dict(usual, **it).get(c) for c in columns] for it in routes]
        return self.store.put("op/config", {
            "config_version": f"{self.version:08x}", "routes": {"columns": columns, "rows": rows},
            "services": {"columns": ["name", "health_path", "max_conns", "protocol", "tls",
                                     "cold_start_s", "cold_per_s"],
                         "rows": [[it, "/health", 360, "h1", False, 3.0, 13.0] for it in services]},
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})

    async def add_worker(self, worker):
        await worker.start()
        worker.register()
        self.workers.append(worker)
        return worker

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.append(task)
        return task

    async def start_entries(self, zones):
        self.spawn(self.store.expire_leases())
        self.entries += [Entry(self, zone, n) for n, zone in enumerate(zones)]
        for it in self.entries:
            await it.start()
        end = time.monotonic() + 20
        while time.monotonic() < end:
            if all([await it.ready() for it in self.entries]):
                known = [await it.look_up(it.zone) for it in self.entries]
                if all(len(it) == len(zones) for it in known):
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError("the entries do not get ready; logs in " + self.folder)

    async def call(self, entry, route, limit_s, connection=None, body=b"order"):
        """Sends one request and returns its attempt. `connection` is a reader and a writer to use."""
        self.sent += 1
        attempt = f"a{os.getpid():x}{self.sent:06d}"
        it = self.attempts[attempt] = Attempt(route, time.monotonic())
        method = "GET" if route["type"] == "idempotent" else "POST"
        body = b"" if method == "GET" else body
        writer = None
        try:
            reader, writer = connection or await asyncio.open_connection(*entry.front)
            head = [f"{method} {route['prefix']}{self.random.randint(1, 99)} HTTP/1.1",
                    f"Host: {HOST}", f"X-Attempt-Id: {attempt}",
                    f"Cookie: X-Affinity-Key={self.random.randint(1, 40)}",
                    f"X-Deadline-Ms: {int(limit_s * 1000)}"]
            if method == "POST":
                head.append(f"Content-Length: {len(body)}")
            it.sent_at = time.monotonic()
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
            self.record.add(f"client sends {attempt} {method} {route['prefix']} to {entry.name}")
            answer = await asyncio.wait_for(read_message(reader, True), limit_s + 0.3)
            it.status = int(answer.first[1]) if answer else "closed"
            it.answer = answer
        except asyncio.TimeoutError:
            it.status = "no answer"
        except ERRORS as error:
            it.status = f"cut ({type(error).__name__})"
        it.answered_at = time.monotonic()
        took = it.answered_at - it.sent_at
        self.record.add(f"client gets {it.status} for {attempt} after {took:.3f} s")
        if writer and not connection:
            writer.close()
        return it

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for it in self.entries:
            if it.process and it.process.returncode is None:
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
            if it.process:
                await it.process.wait()
            it.log.close()


def counted(attempts):
    """Returns the numbers of answers by status as text."""
    numbers = collections.Counter(str(it.status) for it in attempts)
    return ", ".join(f"{n} x {s}" for s, n in sorted(numbers.items()))


class Link:
    silent = False


class SilentProxy:
    """Forwards to the store. `go_silent` makes the open connections silent for good, without a
    reset; connections that are opened later work."""

    def __init__(self, to_port, record):
        self.to_port = to_port
        self.record = record
        self.open = set()
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def go_silent(self):
        self.record.add(f"{len(self.open)} open connections to the store go silent")
        for it in self.open:
            it.silent = True

    async def accept(self, reader, writer):
        state = Link()
        self.open.add(state)
        try:
            to_reader, to_writer = await asyncio.open_connection("127.0.0.1", self.to_port)
            await asyncio.gather(self.pump(reader, to_writer, state),
                                 self.pump(to_reader, writer, state))
        except ERRORS:
            pass
        self.open.discard(state)

    @staticmethod
    async def pump(reader, writer, state):
        while data := await reader.read(65536):
            if not state.silent:
                writer.write(data)
                await writer.drain()
        if not state.silent:
            writer.close()


def main(case, run, **options):
    """Runs `run(bed)`, which returns the breaks of the rule as texts, and exits as the issue says."""
    sys.unraisablehook = lambda it: None  # Streams that are left when the loop has closed.

    async def play():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        bed = Bed(case, **options)
        try:
            await bed.store.start()
            breaks = await asyncio.wait_for(run(bed), 110)
            return breaks, 1 if breaks else 0, bed
        except Exception as error:  # The case could not run.
            bed.record.add(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return [], 2, bed
        finally:
            await bed.stop()
    breaks, code, bed = asyncio.run(play())
    bed.record.add(f"answers: {counted(bed.attempts.values())}")
    for it in breaks:
        bed.record.add("BROKEN " + it)
    bed.record.add(f"result: {len(breaks)} breaks, exit code {code}")
    bed.record.write()
    print("\n".join(breaks[:5]))
    print(f"{len(bed.attempts)} requests ({counted(bed.attempts.values())}); "
          f"{len(breaks)} breaks; exit {code}")
    if code == 2 or os.environ.get("KEEP"):
        print("logs of the entries: " + bed.folder)
    else:
        shutil.rmtree(bed.folder, ignore_errors=True)
    sys.exit(code)
