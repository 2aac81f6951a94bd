"""Stand-ins for the platform's store, workers and clients, and the start of real entries.

All addresses are loopback addresses. Each entry has an address of its own, because every entry uses
the same ports.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

HERE = os.path.dirname(os.path.abspath(__file__))
REPOSITORY = os.path.dirname(os.path.dirname(HERE))
PROGRAM = os.path.join(REPOSITORY, "target", "platform", "fuchsia-edge")
HOST = "jepu9.example"
ZONES = {"nord-a": "nord", "nord-b": "nord", "plaines-a": "plaines", "plaines-b": "plaines",
         "sud-a": "sud", "sud-b": "sud"}
# Bounds of the small deployment Lirenou.
DRAIN_S = 2.0
STABILITY_S = 3.0
GRACE_S = 6
CONNECTION_ERRORS = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError)


class Record:
    """Writes what was sent, answered and run to record.txt beside the script."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """Returns the words of the first line and the fields, with names in lower case."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.lower()] = value.strip()
    return lines[0].split(" ", 2), fields


async def read_body(reader, fields):
    """Returns the whole body; an end before it raises IncompleteReadError."""
    if fields.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(fields.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if size == 0:
            return body


def answer_bytes(status, fields=(), body=b""):
    lines = [f"HTTP/1.1 {status} x"] + list(fields) + [f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    except OSError:
        pass
    writer.transport.abort()


class Store:
    """The platform's store, as PROTOCOL.md describes it, with the drill of the seventh letter."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.revision = 100
        self.oldest = 100
        self.history = []
        self.leases = {}
        self.next_lease = 1
        self.era = 1
        self.away = False
        self.silent_since = None
        self.last_silence = 0.0
        self.on_renewal = None
        self.changed = asyncio.Event()
        self.writers = set()
        self.copies = []
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        asyncio.create_task(self.expire_leases())
        return server

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            paused = self.away or self.silent_since is not None
            for lease in [it for it, (_, end) in self.leases.items() if end <= now and not paused]:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [it for it, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)
        return True

    def keep_copy(self):
        self.copies.append((time.monotonic(), self.revision, dict(self.items), dict(self.leases),
                            self.next_lease))

    def put(self, key, value, lease=0):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(data).decode(),
                           "rev": self.revision, "created": created, "lease": lease}
        self.history.append(dict(self.items[key]))
        self.after_change()

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append({"key": key, "rev": self.revision, "deleted": True})
            self.after_change()

    def after_change(self):
        self.keep_copy()
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def leave(self):
        """The store is away: its connections are reset, and new ones are refused at once."""
        self.away = True
        for writer in list(self.writers):
            reset(writer)

    def return_from_copy(self, age_s):
        """Returns from what it held `age_s` ago, with its revisions and leases, in a new era."""
        end = time.monotonic() - age_s
        _, self.revision, items, leases, self.next_lease = [it for it in self.copies if it[0] <= end][-1]
        self.items = dict(items)
        now = time.monotonic()
        self.leases = {it: (ttl, now + ttl / 1000) for it, (ttl, _) in leases.items()}
        self.history = []
        self.oldest = self.revision
        self.era += 1
        self.away = False
        self.after_change()

    def fall_silent(self):
        """The store does and answers nothing, also later; leases pause. Calls that it has are lost."""
        self.silent_since = self.last_silence = time.monotonic()

    def end_silence(self):
        pause = time.monotonic() - self.silent_since
        self.silent_since = None
        self.leases = {it: (ttl, end + pause) for it, (ttl, end) in self.leases.items()}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while not self.away:
                (method, target, _), fields = await read_head(reader)
                body = await read_body(reader, fields)
                called = time.monotonic()
                await asyncio.sleep(0.004)
                if self.silent_since is not None:
                    await asyncio.Event().wait()
                status, value = await self.answer(method, target, body)
                if self.away:
                    break
                if called < self.last_silence:
                    await asyncio.Event().wait()
                text = b"" if value is None else json.dumps(value).encode()
                writer.write(answer_bytes(status, ["Content-Type: application/json",
                                                   f"Store-Era: {self.era}"], text))
                await writer.drain()
        except CONNECTION_ERRORS:
            pass
        finally:
            self.writers.discard(writer)
            reset(writer)

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        name = path.removeprefix("/fuchsiaproxy/")
        prefix = args.get("prefix", "")
        if name == "kv-range":
            keys = sorted(it for it in self.items if it.startswith(prefix) and it > args.get("after", ""))
            return 200, {"items": [self.items[it] for it in keys[:500]], "has_more": len(keys) > 500,
                         "current_rev": self.revision}
        if name == "kv-watch":
            return await self.watch(prefix, int(args["after"]), int(args["wait_ms"]))
        if name == "kv-txn":
            return self.transact(json.loads(body))
        if name == "kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl = json.loads(body)["ttl_ms"]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl}
        verb, _, lease = name.partition("/")
        if verb == "kv-keep" and int(lease) in self.leases:
            ttl = self.leases[int(lease)][0]
            self.leases[int(lease)] = (ttl, time.monotonic() + ttl / 1000)
            if self.on_renewal is not None:
                self.on_renewal(int(lease))
            return 200, {"ttl_ms": ttl}
        if verb == "kv-lease-end" and self.end_lease(int(lease)):
            return 200, None
        return 404, None

    async def watch(self, prefix, after, wait_ms):
        era = self.era
        end = time.monotonic() + wait_ms / 1000
        while True:
            if era != self.era or after < self.oldest or after > self.revision:
                return 410, None
            events = [it for it in self.history if it["rev"] > after and it["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        for it in body["expected_rev"]:
            if self.items.get(it["key"], {"rev": 0})["rev"] != it["rev"]:
                return 412, {"items": []}
        if any(it.get("lease") and it["lease"] not in self.leases for it in body["puts"]):
            return 404, None
        for it in body["puts"]:
            self.put(it["key"], base64.b64decode(it["value"]), it.get("lease", 0))
        for key in body["remove"]:
            self.remove(key)
        return 200, {"rev": self.revision}


def route(name, prefix, kind, service, timeout_ms, goal_ms=300):
    return [name, HOST, prefix, kind, timeout_ms, goal_ms, 1, None, 2, True, [], service]


def config(version, routes, services, tenants=None):
    """The value of op/config, encoded as `fleetbench wire` shows it."""
    columns = ["name", "hostname", "prefix", "type", "timeout_ms", "target_latency_ms", "priority",
               "traffic_split", "max_attempts", "session_affinity", "allowed_regions", "service"]
    made = {"config_version": f"{version:08x}", "routes": {"columns": columns, "rows": routes},
            "services": {"columns": ["name", "health_path", "max_conns", "protocol", "tls",
                                     "cold_start_s", "cold_per_s"],
                         "rows": [[it, "/health", 360, "h1", False, 3.0, 13.0] for it in services]},
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
    if tenants is not None:
        rows = [[name, keys, None, 0, 0, []] for name, keys in tenants]
        made["tenants"] = {"columns": ["name", "api_keys", "priority", "rate_per_s", "burst",
                                       "allowed_regions"], "rows": rows}
    return made


class Entry:
    """A real entry: the program of the deploy file, with settings from the template of the role."""

    def __init__(self, bed, zone, number, grace_s=GRACE_S, bounds=None):
        self.bed = bed
        self.name = f"edge-{zone}-{number}"
        self.ip = f"127.{bed.network}.{number}.1"
        self.zone = zone
        self.settings = os.path.join(bed.folder, self.name + ".json")
        self.log_path = os.path.join(bed.folder, self.name + ".log")
        self.process = None
        self.bounds = bounds or {}
        self.write_settings(grace_s)

    def write_settings(self, grace_s):
        made = {"entry": {"id": self.name, "zone": self.zone, "region": ZONES[self.zone]},
                "zones": ZONES,
                "listen": {"callers": f"{self.ip}:8548", "look_ups": f"{self.ip}:8546",
                           "readiness": f"{self.ip}:8542", "internal_address": self.ip,
                           "peer_port": 7540, "metrics_port": 9464},
                "store": {"address": f"127.0.0.1:{self.bed.store.port}"},
                "limits": {"descriptors": 4100},
                "bounds": {"extra_attempt_ratio": 0.2, "extra_attempt_slack": 60, "stop_s": grace_s,
                           "store_settle_ms": 3000, "apply_ms": 2000, "drain_ms": 2000,
                           "look_up_ttl_s": 5, **self.bounds}}
        with open(self.settings + ".new", "w", encoding="utf-8") as file:
            json.dump(made, file)
        os.replace(self.settings + ".new", self.settings)

    async def start(self):
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, cwd=REPOSITORY, stdout=log, stderr=log,
                env={"FUCHSIAPROXY_BOOT": self.settings, "PATH": os.environ["PATH"],
                     "HOME": self.bed.folder, "LANG": "C"})
        self.bed.record(f"{self.name} started")

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def wait_ready(self):
        end = time.monotonic() + 15
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(self.ip, 8542)
                writer.write(b"GET /fuchsiaproxy/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200 " in line:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise Unfit(f"{self.name} did not get ready")

    def log_lines(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            for line in file:
                if line.startswith("{"):
                    yield json.loads(line)


class Unfit(Exception):
    """The case could not run."""


class Bed:
    """The stand-ins and entries of one case."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="fuchsiaproxy-review-")
        self.network = random.SystemRandom().randint(2, 250)
        self.store = Store(self.record)
        self.entries = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"

    async def stop(self):
        for it in self.entries:
            if it.process is not None and it.process.returncode is None:
                it.signal(signal.SIGCONT)
                it.signal(signal.SIGKILL)
                await it.process.wait()


def run(case, folder):
    """Runs `case(bed)`, which returns a list of what broke the rule. Never returns."""

    async def main():
        # Connections that the end of the run cancels are no failures.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        bed = Bed(folder)
        try:
            if not os.path.exists(PROGRAM):
                raise Unfit(f"{PROGRAM} is not built")
            await bed.store.start()
            broken = await asyncio.wait_for(case(bed), 100)
            for it in broken:
                bed.record("BROKEN " + it)
            print(f"{len(broken)} breaches" + "".join("\n  " + it for it in broken[:8]))
            return 1 if broken else 0
        except (Unfit, asyncio.TimeoutError, OSError) as error:
            bed.record(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await bed.stop()

    code = asyncio.run(main())
    sys.stdout.flush()
    os._exit(code)
