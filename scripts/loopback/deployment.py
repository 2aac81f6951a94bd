"""Runs a deployment of examples/ as processes on loopback, for the demo and for checks."""

import base64
import glob
import json
import os
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ENTRIES_PER_ZONE = 2
PEER_SECRET = "demo-secret-of-the-loopback-setup"
# Operators of the examples with their keys, which are valid only in deployments on loopback.
OPERATOR = {"varjuvork": ("ilme", "varjuvork-demo-key"), "pamplemousses": ("anjali", "pamplemousses-demo-key")}
# Service time of the stand-in upstreams; long enough that requests are in flight at each kill.
SERVICE_TIME_MS = 20


class Processes:
    """Starts child processes and stops them by their process ids."""

    def __init__(self, folder):
        self.folder = folder
        self.children = {}

    def start(self, name, command, wait_for_line=True):
        log = open(os.path.join(self.folder, name + ".log"), "w", encoding="utf-8")
        child = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=log, text=True)
        self.children[name] = child
        if not wait_for_line:
            return ""
        line = child.stdout.readline()
        if not line:
            raise RuntimeError(f"{name} did not start, see {log.name}")
        return line

    def signal(self, name, number):
        self.children[name].send_signal(number)

    def wait(self, name, timeout):
        return self.children[name].wait(timeout)

    def stop_all(self):
        for child in self.children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGKILL)
        for child in self.children.values():
            child.wait()


def http(method, url, body=None, timeout=2.0):
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        text = answer.read().decode()
    return json.loads(text) if text.startswith(("{", "[")) else text


def wait_until(condition, what, timeout=30.0):
    """Waits for a condition; raises RuntimeError after `timeout`, which only a failure reaches."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (urllib.error.URLError, ConnectionError, TimeoutError):
            pass
        time.sleep(0.05)
    raise RuntimeError("timed out waiting for " + what)


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for it in sockets:
        it.bind(("127.0.0.1", 0))
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


class Deployment:
    """A deployment from a folder below examples/, running on loopback."""

    def __init__(self, name, build, folder, seed, store_behind_relay=False,
                 service_time_ms=SERVICE_TIME_MS):
        self.name = name
        self.declarations = os.path.join(REPOSITORY, "examples", name)
        self.bin = os.path.join(build, "src")
        self.folder = folder
        self.seed = seed
        self.processes = Processes(folder)
        self.zones = self.read("setup.json")["zones"]
        self.places = [place for path in glob.glob(os.path.join(self.declarations, "places-*.json"))
                       for place in json.load(open(path, encoding="utf-8"))["places"]]
        self.services = self.read("services.json")["services"]
        self.entries = {}
        self.store = ""
        self.store_for_entries = ""
        self.relay_control = ""
        self.store_behind_relay = store_behind_relay
        self.service_time_ms = service_time_ms
        self.list_lag_s = 0.0
        self.upstreams = ""
        self.upstream_specs = []

    def read(self, name):
        with open(os.path.join(self.declarations, name), encoding="utf-8") as file:
            return json.load(file)

    def program(self, name):
        return os.path.join(self.bin, name)

    def start(self):
        started = json.loads(self.processes.start(
            "store", [self.program("fuchsiastandin"), "store", "--listen", "127.0.0.1:0"]))
        self.store = started["store"]
        self.store_for_entries = self.store
        if self.store_behind_relay:
            self.start_relay()
        self.start_upstreams()
        self.start_entries()
        self.bootstrap()
        for name, it in self.entries.items():
            wait_until(lambda it=it: self.is_ready(it), "entry " + name + " to be ready")

    def start_relay(self):
        started = json.loads(self.processes.start(
            "relay", [self.program("fuchsiastandin"), "relay", "--server", self.store]))
        self.store_for_entries = started["relay"]
        self.relay_control = started["control"]

    def start_upstreams(self):
        specs = []
        for place in self.places:
            for it in place["upstreams"]:
                specs.append({"id": it["id"], "listen": f"{it['address']}:{it['port']}",
                              "settings": {"slots": it["slots"], "service_time_ms": self.service_time_ms,
                                           "max_connections": it["max_connections"]}})
                self.register(it["id"], "upstream", f"{it['address']}:{it['port']}")
        path = os.path.join(self.folder, "upstreams.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(specs, file)
        self.processes.start("upstreams", [self.program("fuchsiastandin"), "upstream", "--spec", path,
                                           "--seed", str(self.seed)])
        self.upstreams = specs[0]["listen"]
        self.upstream_specs = specs
        http("POST", f"http://{self.store}/control/lag", {"ms": 0})

    def register(self, name, role, address, state="live"):
        http("PUT", f"http://{self.store}/v1/instances/{name}",
             {"id": name, "role": role, "address": address, "state": state})

    def start_entries(self):
        for zone in self.zones:
            for number in range(1, ENTRIES_PER_ZONE + 1):
                self.start_entry(f"{zone['id']}-{number}", zone)

    def start_entry(self, name, zone, ports=None):
        callers, peers, operators = ports or free_ports(3)
        it = {"callers": f"127.0.0.1:{callers}", "peers": f"127.0.0.1:{peers}",
              "operators": f"127.0.0.1:{operators}", "zone": zone["id"]}
        host, port = self.store_for_entries.split(":")
        platform = {"address": host, "port": int(port)}
        settings = {
            "instance": {"id": name, "region": zone["region"], "zone": zone["id"]},
            "listen": {"callers": {"address": "127.0.0.1", "port": callers},
                       "peers": {"address": "127.0.0.1", "port": peers},
                       "operators": {"address": "127.0.0.1", "port": operators}},
            "platform": {"store": platform, "instances": platform},
            "peers": {"secret": PEER_SECRET},
        }
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.register(name, "entry", it["peers"])
        self.processes.start(name, [self.program("fuchsiad"), "--settings", path],
                             wait_for_line=False)
        self.entries[name] = it

    def restart_entry(self, name, number=None):
        """Restarts an entry without state, after sending it signal `number` if one is given."""
        if number is not None:
            self.processes.signal(name, number)
        self.processes.wait(name, timeout=60)
        it = self.entries[name]
        zone = next(zone for zone in self.zones if zone["id"] == it["zone"])
        ports = [int(it[key].split(":")[1]) for key in ("callers", "peers", "operators")]
        self.start_entry(name, zone, ports)

    def versions(self, skip=()):
        """Returns the active version of each entry that answers; 0 if it has none."""
        found = {}
        for name, it in self.entries.items():
            if name in skip:
                continue
            try:
                text = http("GET", f"http://{it['operators']}/metrics")
            except (urllib.error.URLError, ConnectionError, TimeoutError):
                continue
            lines = [line for line in text.splitlines()
                     if line.startswith("fuchsiaproxy_configuration_version ")]
            found[name] = int(float(lines[0].split()[1])) if lines else 0
        return found

    def wait_for_version(self, version, skip, timeout):
        """Waits until all entries have at least `version`; returns whether they did in time."""
        end = time.monotonic() + timeout
        wanted = len(self.entries) - len(skip)
        while time.monotonic() < end:
            found = self.versions(skip)
            if len(found) == wanted and min(found.values()) >= version:
                return True
            time.sleep(0.02)
        return False

    def organisation(self):
        return self.read("members.json")["members"][0]["id"]

    def post_drain(self, entry, base_version, command, place):
        """Drains a place through the operators' API; returns status and body."""
        drain = {"id": "drain-" + place, "organisation": self.organisation(), "place": place}
        return self.post_changes(entry, base_version, command, [{"put": {"drain": drain}}])

    def post_changes(self, entry, base_version, command, changes):
        """Makes changes through the operators' API; returns status and body."""
        operator, key = OPERATOR[self.name]
        body = {"command": command, "base_version": base_version, "changes": changes}
        request = urllib.request.Request(f"http://{entry['operators']}/v1/changes",
                                         data=json.dumps(body).encode(), method="POST")
        token = base64.b64encode(f"{operator}:{key}".encode()).decode()
        request.add_header("Authorization", "Basic " + token)
        try:
            with urllib.request.urlopen(request, timeout=10) as answer:
                return answer.status, answer.read().decode()
        except urllib.error.HTTPError as failed:
            return failed.code, failed.read().decode()

    def metric(self, name):
        """Returns the sum of a metric, with its labels, over the entries that answer."""
        total = 0.0
        for it in self.entries.values():
            try:
                text = http("GET", f"http://{it['operators']}/metrics")
            except (urllib.error.URLError, ConnectionError, TimeoutError):
                continue
            for line in text.splitlines():
                if line.startswith(name + " "):
                    total += float(line.split()[-1])
        return total

    def control_until_done(self, *arguments):
        """Runs fuchsiactl until it succeeds; unresponsive connections may fail the first call."""
        for _ in range(5):
            try:
                return self.control(*arguments)
            except RuntimeError:
                continue
        raise RuntimeError("fuchsiactl failed five times: " + " ".join(arguments))

    def control(self, *arguments, skip=()):
        """Runs fuchsiactl against one entry and returns its output."""
        first = next(it for name, it in self.entries.items() if name not in skip)
        operator, key = OPERATOR[self.name]
        command = [self.program("fuchsiactl"), "--entry", first["operators"],
                   "--operator", operator, *arguments]
        done = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False,
                              env={**os.environ, "FUCHSIACTL_KEY": key})
        if done.returncode != 0:
            raise RuntimeError(" ".join(command) + ": " + done.stderr)
        return done.stdout

    def bootstrap(self):
        first = next(iter(self.entries.values()))
        wait_until(lambda: http("GET", f"http://{first['operators']}/healthz") is not None,
                   "the operators' API")
        self.control("bootstrap", self.declarations)

    def is_ready(self, entry):
        service = self.services[0]["id"]
        url = f"http://{entry['callers']}/lookup?service={service}&zone={entry['zone']}"
        # Entries that start together grant no slots until all slots that earlier processes may have
        # granted are free again, so only a successful request shows that the entry is ready.
        return (len(http("GET", url)["entries"]) == 3 and
                http("GET", f"http://{entry['callers']}/{service}/items") is not None)

    def start_caller(self, name, zone, service, rate, count, seed):
        entries = [it["callers"] for it in self.entries.values() if it["zone"] == zone]
        others = [it["callers"] for it in self.entries.values() if it["zone"] != zone]
        report = os.path.join(self.folder, name + ".report.json")
        command = [self.program("fuchsiastandin"), "caller", "--service", service, "--zone", zone,
                   "--lookup-target", f"/{service}/items", "--order-target", f"/{service}/new",
                   "--rate", str(rate), "--count", str(count), "--order-share", "0.3",
                   "--deadline-ms", "1000", "--seed", str(seed), "--json", report]
        for it in entries + others[:2]:
            command += ["--entry", it]
        self.processes.start(name, command, wait_for_line=False)
        return report


def ordered_service(deployment):
    """Returns the first service other than the catalogue, such as orders, or else the first."""
    for it in deployment.services:
        if it["id"] not in ("catalog", "catalogue"):
            return it["id"]
    return deployment.services[0]["id"]


def check_orders(reports, runs):
    """Compares the outcome that callers got for each order with the executions at the upstreams.

    Returns the ids that ran twice, that were lost (reported as run without an execution) and that
    ran although they were reported as not run.
    """
    outcomes = {}
    for report in reports:
        for outcome, ids in report["order_ids"].items():
            for it in ids:
                outcomes[it] = outcome
    twice = [it for it in outcomes if runs.get(it, 0) > 1]
    lost = [it for it, outcome in outcomes.items()
            if outcome in ("run", "already-run") and runs.get(it, 0) == 0]
    false_not_run = [it for it, outcome in outcomes.items()
                     if outcome == "not-run" and runs.get(it, 0) > 0]
    return twice, lost, false_not_run
