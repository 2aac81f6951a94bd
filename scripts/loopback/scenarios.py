"""Fault scenarios on a running deployment, with the violations of each promise."""

import json
import random
import signal
import threading
import time

from .deployment import check_orders, http, ordered_service, wait_until

# The promise is 3 s; reading the counters adds two round trips on loopback.
LEAVING_LIMIT_S = 3.0
CONFIGURATION_LIMIT_S = 4.0
# Far below the traffic of a zone, so that the cap limits the shift.
CAP_PER_SECOND = 6


class Tally:
    """Trials, injected faults and violations by promise."""

    def __init__(self):
        self.rows = {}

    def add(self, promise, trials=0, faults=0, violations=0, note=""):
        row = self.rows.setdefault(promise, {"trials": 0, "faults": 0, "violations": 0, "notes": []})
        row["trials"] += trials
        row["faults"] += faults
        row["violations"] += violations
        if note:
            row["notes"].append(note)

    def print(self):
        print(f"{'promise':42}{'trials':>9}{'faults':>9}{'violations':>12}")
        for promise, row in self.rows.items():
            print(f"{promise:42}{row['trials']:>9}{row['faults']:>9}{row['violations']:>12}")
            for note in row["notes"]:
                print("    " + note)

    def violations(self):
        return sum(row["violations"] for row in self.rows.values())


class Load:
    """Callers in every zone that send requests for `seconds`."""

    def __init__(self, deployment, label, seconds, rate, seed):
        self.deployment = deployment
        self.names = []
        self.reports = []
        service = ordered_service(deployment)
        for number, zone in enumerate(deployment.zones):
            name = f"{label}-{zone['id']}"
            self.names.append(name)
            self.reports.append(deployment.start_caller(name, zone["id"], service, rate,
                                                        int(rate * seconds), seed + number))
        self.seconds = seconds

    def finish(self):
        for name in self.names:
            self.deployment.processes.wait(name, timeout=self.seconds + 90)
        return [json.load(open(path, encoding="utf-8")) for path in self.reports]


def check_requests(deployment, tally, reports, faults):
    """Checks the promises about requests that all scenarios share."""
    runs = http("GET", f"http://{deployment.upstreams}/control/runs")["ids"]
    twice, lost, false_not_run = check_orders(reports, runs)
    orders = sum(report["orders"]["sent"] for report in reports)
    not_run = sum(report["orders"]["not_run"] for report in reports)
    sent = orders + sum(report["lookups"]["sent"] for report in reports)
    wrong = sum(report[kind]["wrong"] for report in reports for kind in ("lookups", "orders"))
    tally.add("an order runs at most once", orders, faults, len(twice), " ".join(twice[:3]))
    tally.add("no order told as run is lost", orders, faults, len(lost), " ".join(lost[:3]))
    tally.add("not-run is told only of orders that never run", not_run, faults, len(false_not_run),
              " ".join(false_not_run[:3]))
    tally.add("each answer is whole and the caller's own", sent, faults, wrong)


def unknown_of(reports):
    return sum(report[kind]["unknown"] + report[kind]["failed"]
               for report in reports for kind in ("lookups", "orders"))


def kill_and_restart(deployment, tally, rng):
    """Kills entries one after the other and restarts them without any stored state."""
    load = Load(deployment, "kill", 12, 40, rng.randrange(1 << 30))
    faults = 0
    for _ in range(4):
        time.sleep(1.5)
        name = rng.choice(list(deployment.entries))
        deployment.restart_entry(name, signal.SIGKILL)
        faults += 1
    check_requests(deployment, tally, load.finish(), faults)


def freeze(deployment, tally, rng):
    """Suspends entries for longer than others wait for them, and resumes them."""
    load = Load(deployment, "freeze", 14, 40, rng.randrange(1 << 30))
    faults = 0
    for _ in range(2):
        time.sleep(1)
        names = rng.sample(list(deployment.entries), 2)
        for name in names:
            deployment.processes.signal(name, signal.SIGSTOP)
        time.sleep(4)
        for name in names:
            deployment.processes.signal(name, signal.SIGCONT)
        faults += len(names)
    check_requests(deployment, tally, load.finish(), faults)


def store_down(deployment, tally, rng):
    """Makes the store unavailable while entries are killed and restart without stored state."""
    load = Load(deployment, "store", 14, 40, rng.randrange(1 << 30))
    before = deployment.versions()
    http("POST", f"http://{deployment.store}/control/down", {"mode": rng.choice(["close", "silent"])})
    faults = 1
    for _ in range(2):
        time.sleep(1)
        deployment.restart_entry(rng.choice(list(deployment.entries)), signal.SIGKILL)
        faults += 1
    time.sleep(5)
    after = deployment.versions()
    back = [name for name, version in after.items() if version < max(before.values())]
    http("POST", f"http://{deployment.store}/control/down", {"mode": "none"})
    tally.add("a configuration never goes back", len(after), faults, len(back),
              "behind during the outage: " + " ".join(back) if back else "")
    check_requests(deployment, tally, load.finish(), faults)


def planned_stops(deployment, tally, rng):
    """Stops entries gracefully with requests in flight, and reloads one with SIGHUP."""
    load = Load(deployment, "stop", 20, 40, rng.randrange(1 << 30))
    time.sleep(1)
    names = rng.sample(list(deployment.entries), 3)
    reloaded = names.pop()
    deployment.processes.signal(reloaded, signal.SIGHUP)
    times = []
    for name in names:
        begin = time.monotonic()
        deployment.processes.signal(name, signal.SIGTERM)
        code = deployment.processes.wait(name, timeout=60)
        times.append(time.monotonic() - begin)
        tally.add("a planned stop ends by itself", 1, 0, 0 if code == 0 else 1)
        deployment.restart_entry(name)
    reports = load.finish()
    alive = deployment.processes.children[reloaded].poll() is None
    tally.add("a reload that is refused ends nothing", 1, 0, 0 if alive else 1)
    check_requests(deployment, tally, reports, 0)
    sent = sum(report[kind]["sent"] for report in reports for kind in ("lookups", "orders"))
    tally.add("a planned stop cuts off no request", sent, len(names), unknown_of(reports),
              f"drain time {max(times):.1f} s")


def configuration_changes(deployment, tally, rng):
    """Changes the configuration while a hub is killed and the store loses answers."""
    place = deployment.places[-1]["id"]
    for number in range(4):
        name = rng.choice(list(deployment.entries))
        faults = 0
        if number == 1:
            deployment.processes.signal(name, signal.SIGKILL)
            faults = 1
        if number == 2:
            http("POST", f"http://{deployment.store}/control/lose_answers", {"n": 1})
            faults = 1
        before = max(deployment.versions(skip=[name]).values())
        deployment.control("drain" if number % 2 == 0 else "undrain", place, skip=[name])
        begin = time.monotonic()
        skip = [name] if number == 1 else []
        reached = deployment.wait_for_version(before + 1, skip, CONFIGURATION_LIMIT_S)
        tally.add("a configuration is in force everywhere in 4 s", 1, faults,
                  0 if reached else 1, f"{time.monotonic() - begin:.2f} s")
        tally.add("a command is applied once", 1, faults,
                  0 if max(deployment.versions(skip=skip).values()) == before + 1 else 1)
        if number == 1:
            deployment.restart_entry(name)


def racing_operators(deployment, tally, rng):
    """Makes operators change the same drain at the same time through different entries."""
    place = deployment.places[0]["id"]
    entries = list(deployment.entries.values())
    for number in range(3):
        before = max(deployment.versions().values())
        results = []

        def change(entry, percent):
            results.append(deployment.post_drain(entry, before, f"race-{number}-{percent}", place))

        threads = [threading.Thread(target=change, args=(entry, percent))
                   for percent, entry in enumerate(rng.sample(entries, 3))]
        for it in threads:
            it.start()
        for it in threads:
            it.join()
        winners = [status for status, _ in results if status == 200]
        conflicts = [text for status, text in results if status == 409 and "version" in text]
        tally.add("of racing commands exactly one wins", 1, 1,
                  0 if len(winners) == 1 and len(conflicts) == 2 else 1,
                  "" if len(winners) == 1 else str(results)[:200])
        deployment.wait_for_version(before + 1, [], CONFIGURATION_LIMIT_S)
        deployment.control("undrain", place)
        deployment.wait_for_version(before + 2, [], CONFIGURATION_LIMIT_S)


def leaving_upstream(deployment, tally, rng):
    """Reports an upstream as leaving in the instance list, which lags."""
    load = Load(deployment, "leave", 14, 40, rng.randrange(1 << 30))
    time.sleep(4)
    service = ordered_service(deployment)
    ids = [it["id"] for place in deployment.places if place["service"] == service
           for it in place["upstreams"]]
    chosen = rng.choice(ids)
    spec = next(it for it in deployment.upstream_specs if it["id"] == chosen)
    deployment.register(spec["id"], "upstream", spec["listen"], "leaving")
    time.sleep(LEAVING_LIMIT_S + deployment.list_lag_s)
    first = http("GET", f"http://{spec['listen']}/control/counters")["received"]
    time.sleep(3)
    second = http("GET", f"http://{spec['listen']}/control/counters")["received"]
    deployment.register(spec["id"], "upstream", spec["listen"])
    tally.add("a leaving upstream gets no new work after 3 s", 1, 1, second - first)
    check_requests(deployment, tally, load.finish(), 1)


def silent_store_connections(deployment, tally, rng):
    """Drops all further bytes on the open connections to the store; new connections work."""
    for _ in range(2):
        before = max(deployment.versions().values())
        http("POST", f"http://{deployment.relay_control}/control/silence_open",
             {"to_server": True, "to_client": True})
        place = rng.choice(deployment.places)["id"]
        deployment.control_until_done("drain", place)
        begin = time.monotonic()
        reached = deployment.wait_for_version(before + 1, [], CONFIGURATION_LIMIT_S)
        tally.add("silent connections to the store are replaced", 1, 1, 0 if reached else 1,
                  f"change in force after {time.monotonic() - begin:.2f} s")
        deployment.control("undrain", place)
        deployment.wait_for_version(before + 2, [], CONFIGURATION_LIMIT_S)


def capped_shift(deployment, tally, rng):
    """Shifts half of the traffic of a place under a much lower cap while an entry is suspended."""
    service = ordered_service(deployment)
    places = [it for it in deployment.places if it["service"] == service]
    source, target = places[0], places[-1]
    organisation = deployment.organisation()
    split = {zone["id"]: 0 for zone in deployment.zones}
    split[source["zone"]] = CAP_PER_SECOND
    cap = {"id": "prove-cap", "organisation": organisation, "from": {"place": source["id"]},
           "to": {"place": target["id"]}, "unit": "requests_per_second", "limit": CAP_PER_SECOND,
           "split": split}
    shift = {"id": "prove-shift", "organisation": organisation, "service": service,
             "from": source["id"], "to": target["id"], "percent": 50}
    first = next(iter(deployment.entries.values()))
    before = max(deployment.versions().values())
    status, text = deployment.post_changes(first, before, "prove-capped-shift",
                                           [{"put": {"cap": cap}}, {"put": {"shift": shift}}])
    if status != 200:
        raise RuntimeError(text)
    deployment.wait_for_version(before + 1, [], CONFIGURATION_LIMIT_S)
    load = Load(deployment, "shift", 14, 60, rng.randrange(1 << 30))
    counter = f'fuchsiaproxy_moves_total{{from="{source["id"]}",to="{target["id"]}"}}'
    begin, moved = time.monotonic(), deployment.metric(counter)
    for step in range(4):
        time.sleep(3)
        if step == 1:
            frozen = rng.choice([name for name, it in deployment.entries.items()
                                 if it["zone"] == source["zone"]])
            deployment.processes.signal(frozen, signal.SIGSTOP)
            time.sleep(2)
            deployment.processes.signal(frozen, signal.SIGCONT)
            time.sleep(1.5)
        now, total = time.monotonic(), deployment.metric(counter)
        # Counters are up to one second old, so a window may include one more second of moves.
        allowed = CAP_PER_SECOND * (now - begin + 2)
        tally.add("a shift never exceeds its cap", 1, 1 if step == 1 else 0,
                  0 if total - moved <= allowed else 1,
                  f"{total - moved:.0f} moves in {now - begin:.1f} s under {CAP_PER_SECOND}/s")
        begin, moved = now, total
    check_requests(deployment, tally, load.finish(), 1)
    remove = [{"remove": {"shift": "prove-shift"}}, {"remove": {"cap": "prove-cap"}}]
    deployment.post_changes(first, before + 1, "prove-capped-shift-end", remove)
    deployment.wait_for_version(before + 2, [], CONFIGURATION_LIMIT_S)


SCENARIOS = [configuration_changes, racing_operators, silent_store_connections, leaving_upstream,
             capped_shift,
             kill_and_restart, freeze, store_down, planned_stops]


def run(deployment, seed, names):
    tally = Tally()
    for scenario in SCENARIOS:
        if names and scenario.__name__ not in names:
            continue
        print(f"{deployment.name}: {scenario.__name__}", flush=True)
        # Each scenario has its own seed: callers with equal seeds would create equal request ids.
        scenario(deployment, tally, random.Random(f"{seed}-{scenario.__name__}"))
        wait_until(lambda: all(deployment.is_ready(it) for it in deployment.entries.values()),
                   "all entries to be ready again", 60)
    return tally
