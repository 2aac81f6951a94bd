"""Deployment on loopback: real entries, with stand-ins for store, upstreams and callers."""

import asyncio
import json
import os
import random
import signal
import time

from .callers import Caller, Uploader
from .checks import Checks
from .proxy import Proxy
from .store import Store
from .upstreams import UPLOADS, Upstream

ZONES = {"north-a": "north", "north-b": "north", "south-a": "south", "south-b": "south"}
UPSTREAMS_PER_ZONE = {"browse": 2, "orders": 2}
CALLERS_PER_ZONE = 8
# Longer than an entry waits for more of a body.
UPLOAD_LIMIT_S = 20.0
HOST = "soak.example"
# Bounds of the platform; some are written to the settings of the entries.
BOUNDS = {"stability_s": 3.0, "drain_s": 2.5, "evacuation_s": 5.0, "config_apply_s": 2.5,
          "grace_s": 6.0, "retry_ratio": 0.2, "retry_slack": 60, "cold_per_s": 5,
          "cold_overshoot": 1.5, "cold_slack": 3}
FIRST_ADDRESS = 10


class Route:
    """A route and its history of services, each with the time at which the store confirmed it."""

    def __init__(self, name, prefix, idempotent, service, time_limit_s):
        self.name = name
        self.host = HOST
        self.prefix = prefix
        self.idempotent = idempotent
        self.time_limit_s = time_limit_s
        self.max_attempts = 2
        self.history = [(0.0, service)]

    def services_since(self, at):
        """Returns the services of the version in force at `at` and of all later ones."""
        older = [it for it in self.history if it[0] <= at]
        return {service for _, service in older[-1:] + [it for it in self.history if it[0] > at]}

    def row(self):
        kind = "idempotent" if self.idempotent else "non_idempotent"
        return [self.name, self.host, self.prefix, kind, int(self.time_limit_s * 1000), 300, 1, None,
                self.max_attempts, True, [], self.history[-1][1]]


class Entry:
    """One real entry process, with a proxy towards callers and one towards the store."""

    def __init__(self, testbed, zone, number):
        self.testbed = testbed
        self.zone = zone
        self.name = f"entry-{zone}-{number}"
        # Each entry has its own loopback address, since all entries use the same ports.
        self.ip = f"127.0.{testbed.network}.{FIRST_ADDRESS + number}"
        self.callers = (self.ip, 8548)
        self.look_ups = (self.ip, 8546)
        self.callers_proxy = Proxy(self.callers)
        self.store_proxy = None
        self.process = None
        self.ended_at = None
        self.stopping_since = None
        self.settings_path = os.path.join(testbed.folder, self.name + ".json")
        self.log = open(os.path.join(testbed.folder, self.name + ".log"), "ab")

    async def prepare(self):
        await self.callers_proxy.start()
        self.store_proxy = Proxy(("127.0.0.1", await self.testbed.store.listen(self.name)))
        await self.store_proxy.start()
        self.write_settings()

    def write_settings(self, retry_slack=BOUNDS["retry_slack"]):
        settings = {
            "entry": {"id": self.name, "zone": self.zone, "region": ZONES[self.zone]},
            "zones": ZONES,
            "listen": {"callers": "%s:%d" % self.callers, "look_ups": "%s:%d" % self.look_ups,
                       "readiness": f"{self.ip}:8542", "internal_address": self.ip,
                       "peer_port": 7540, "metrics_port": 9464},
            "store": {"address": f"127.0.0.1:{self.store_proxy.port}"},
            "limits": {"descriptors": 1024},
            "bounds": {"extra_attempt_ratio": BOUNDS["retry_ratio"],
                       "extra_attempt_slack": retry_slack, "stop_s": BOUNDS["grace_s"],
                       "store_settle_ms": int(BOUNDS["stability_s"] * 1000), "look_up_ttl_s": 5}}
        with open(self.settings_path, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            self.testbed.program, "--settings", self.settings_path, stdout=self.log, stderr=self.log)
        self.ended_at = None
        self.stopping_since = None

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()
        self.ended_at = time.monotonic()
        self.callers_proxy.reset_all()

    async def stop(self):
        """Stops the process gracefully; returns whether it ended within its grace time."""
        self.stopping_since = time.monotonic()
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), BOUNDS["grace_s"])
            ended = True
        except asyncio.TimeoutError:
            ended = False
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self.ended_at = time.monotonic()
        return ended


class Testbed:
    """All processes and stand-ins of one run."""

    def __init__(self, seed, build, folder, network, entries_per_zone):
        self.random = random.Random(seed)
        self.program = os.path.join(build, "platform", "fuchsia-edge")
        self.folder = folder
        self.network = network
        self.zones = ZONES
        self.bounds = BOUNDS
        self.began = time.monotonic()
        self.ended = False
        self.early_timeout_share = 0.0
        self.caller_pause_s = 0.25
        self.store = Store()
        self.store.random = self.random
        self.checks = Checks(self)
        self.version = 0
        self.evacuated = {}
        self.next_upstream = 1
        self.routes = [Route("r-browse", "/browse/", True, "browse", 2.0),
                       Route("r-orders", "/orders/", False, "orders", 2.5)]
        # Not among the routes that faults change.
        self.upload_route = Route("r-uploads", UPLOADS, False, "orders", UPLOAD_LIMIT_S)
        self.entries = [Entry(self, zone, number) for number, zone in
                        enumerate(zone for zone in ZONES for _ in range(entries_per_zone))]
        self.by_address = {"%s:%d" % it.callers: it for it in self.entries}
        self.upstreams = []
        self.tasks = []

    async def start(self):
        self.start_task(self.store.expire_leases())
        self.start_task(self.measure_loop_delay())
        for entry in self.entries:
            await entry.prepare()
        await self.configure()
        for zone in ZONES:
            for service, count in UPSTREAMS_PER_ZONE.items():
                for _ in range(count):
                    await self.add_upstream(service, zone)
        for entry in self.entries:
            await entry.start()
        await self.wait_until_ready()
        for zone in ZONES:
            for number in range(CALLERS_PER_ZONE):
                self.start_task(Caller(self, zone, number).run())
            self.start_task(Uploader(self, zone, "upload").run())

    def start_task(self, work):
        task = asyncio.create_task(work)
        self.tasks.append(task)
        return task

    async def wait_until_ready(self):
        probe = Caller(self, next(iter(ZONES)), "probe")
        limit = time.monotonic() + 20
        while time.monotonic() < limit:
            await probe.look_up()
            if len(probe.addresses) * 2 >= len(self.entries):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the entries do not answer look-ups, see " + self.folder)

    async def measure_loop_delay(self):
        step = 0.02
        while True:
            due = time.monotonic() + step
            await asyncio.sleep(step)
            now = time.monotonic()
            if now - due > step:
                self.checks.loop_delays.append((now, now - due))

    async def configure(self):
        self.version += self.random.randint(1, 5)
        columns = ["name", "hostname", "prefix", "type", "timeout_ms", "target_latency_ms", "priority",
                   "traffic_split", "max_attempts", "session_affinity", "allowed_regions", "service"]
        services = [[name, "/health", 300, "h1", False, 3.0, BOUNDS["cold_per_s"]]
                    for name in UPSTREAMS_PER_ZONE]
        await self.store.write("op/config", {
            "config_version": f"{self.version:08x}",
            "routes": {"columns": columns, "rows": [it.row() for it in self.routes + [self.upload_route]]},
            "services": {"columns": ["name", "health_path", "max_conns", "protocol", "tls",
                                     "cold_start_s", "cold_per_s"], "rows": services},
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})

    async def add_upstream(self, service, zone, port=0, cold_s=0.0):
        it = Upstream(self, f"u-{self.next_upstream}", service, zone, port)
        self.next_upstream += 1
        it.cold_until = time.monotonic() + cold_s
        await it.start()
        await it.register()
        self.upstreams.append(it)
        return it

    async def stop(self):
        self.ended = True
        # Connection errors that the end of the run causes are not failures.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for entry in self.entries:
            entry.signal(signal.SIGCONT)
            entry.signal(signal.SIGKILL)
            if entry.process:
                await entry.process.wait()
            entry.log.close()
