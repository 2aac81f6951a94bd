"""Checks of the promises during the soak, from the events that callers and upstreams report."""

import collections
import time

PROMISES_NOT_RUN = (408, 421, 429, 503)
# Time bounds are checked only if the event loop of the soak was never delayed by more than this.
MAX_LOOP_DELAY_S = 0.25
# Longest time from the last byte of a request to its arrival at an upstream, on a busy machine.
MAX_TRANSIT_S = 0.5
# An upstream that asks for a pause may get this many requests of an entry later than this.
MAX_IN_PAUSE = 2
PAUSE_STARTS_AFTER_S = 0.5


class Attempt:
    """State of one attempt of a caller."""

    def __init__(self, route, entry, target, body):
        self.route = route
        self.entry = entry
        self.target = target
        self.body = body
        self.sent_at = time.monotonic()
        self.arrivals = 0
        self.runs = []
        self.answers = {}
        self.refused = None


class Checks:
    """Counts and violations. `fault_windows` holds (begin, end, scope, planned), where scope is the
    name of an entry, "store", "callers" or "upstreams"."""

    def __init__(self, testbed):
        self.testbed = testbed
        self.attempts = {}
        self.violations = []
        self.counts = collections.Counter()
        self.fault_windows = []
        self.loop_delays = collections.deque(maxlen=4000)
        self.cold_arrivals = collections.defaultdict(collections.deque)
        # By entry and upstream: when the entry passed on that the upstream is leaving, and the
        # pauses that the upstream asked for as [begin, end, arrivals].
        self.leaving_since = {}
        self.pauses = collections.defaultdict(list)

    def violation(self, promise, text):
        at = time.monotonic() - self.testbed.began
        self.violations.append((promise, f"{at:.2f} s: {text}"))

    def add_fault(self, scope, seconds, planned=False):
        now = time.monotonic()
        self.fault_windows.append((now, now + seconds, scope, planned))

    def is_stable(self, entry, since):
        """Whether, from `stability_s` before `since` until now, entry and store had no fault
        and the event loop was on time."""
        begin = since - self.testbed.bounds["stability_s"]
        return not self.had_fault((entry.name, "store"), begin) and self.loop_was_on_time(begin)

    def had_fault(self, scopes, since, planned_too=True):
        """Whether a fault of one of the scopes lasted until `since` or later."""
        return any(scope in scopes and end >= since and (planned_too or not planned)
                   for _, end, scope, planned in self.fault_windows)

    def loop_was_on_time(self, since):
        late = any(at >= since and delay > MAX_LOOP_DELAY_S for at, delay in self.loop_delays)
        if late:
            self.counts["not checked because the event loop was late"] += 1
        return not late

    # Events of callers.

    def on_sent(self, attempt, route, entry, target, body):
        self.counts["sent"] += 1
        self.attempts[attempt] = Attempt(route, entry, target, body)

    def on_answer(self, attempt, answer):
        it = self.attempts[attempt]
        self.counts[f"answered {answer.status}"] += 1
        if answer.field("server-leaving") and it.runs:
            self.leaving_since.setdefault((it.entry.name, it.runs[-1]), time.monotonic())
        if answer.status < 300:
            seal = answer.field("x-response-seal")
            if (200, answer.body) != it.answers.get(seal):
                self.violation("MIXED", f"{attempt} got a success that no upstream sent for it")
            return
        seal = answer.field("x-response-seal")
        if seal and it.answers.get(seal, (0,))[0] != answer.status:
            self.violation("MIXED", f"{attempt} got status {answer.status} with another answer's seal")
        if answer.status in PROMISES_NOT_RUN and not it.route.idempotent:
            it.refused = answer.status
            if it.runs:
                self.violation("REFUSED", f"{attempt} was answered {answer.status} and ran at {it.runs}")
        if answer.status in (400, 401, 403, 404, 413, 431):
            self.violation("DENIED", f"{attempt} on {it.route.prefix} got {answer.status}")

    def on_connection_lost(self, attempt):
        it = self.attempts[attempt]
        self.counts["cut"] += 1
        stopping_since = it.entry.stopping_since
        stopping = stopping_since is not None and \
            it.sent_at < stopping_since + self.testbed.bounds["grace_s"] / 2
        stable = not self.had_fault((it.entry.name, "callers", "upstreams"),
                                    it.sent_at - self.testbed.bounds["stability_s"],
                                    planned_too=False)
        if stopping and stable and it.arrivals and self.loop_was_on_time(it.sent_at):
            self.violation("LOST", f"{attempt} reached an upstream and was cut off by the stop of {it.entry.name}")

    def on_timeout(self, attempt):
        it = self.attempts[attempt]
        self.counts["unanswered"] += 1
        if self.is_stable(it.entry, it.sent_at) and not self.had_fault(("callers",), it.sent_at):
            self.violation("HELD", f"{attempt} had no answer from {it.entry.name} in {it.route.time_limit_s} s")

    def on_look_up(self, by, entries):
        now = time.monotonic()
        limit = self.testbed.bounds["stability_s"] + 3
        any_running = any(it.ended_at is None for it in entries)
        for it in entries:
            if any_running and it.ended_at and it.ended_at + limit < now and self.is_stable(by, now):
                self.violation("DIRECTORY", f"{by.name} listed {it.name}, ended {now - it.ended_at:.1f} s ago")

    # Events of upstreams.

    def on_arrival(self, attempt, upstream, call):
        it = self.attempts.get(attempt)
        if it is None or (call.target, call.body) != (it.target, it.body):
            self.violation("UNASKED", f"{upstream.id} got {call.method} {call.target} as {attempt}")
            return
        it.arrivals += 1
        now = time.monotonic()
        # A time bound is checked only if it had passed both when the request was sent and
        # MAX_TRANSIT_S before the arrival.
        since = min(it.sent_at, now - MAX_TRANSIT_S)
        stable = self.is_stable(it.entry, since)
        bounds = self.testbed.bounds
        if stable and upstream.left_at and since > upstream.left_at + bounds["drain_s"]:
            self.violation("DRAIN", f"{attempt} reached {upstream.id} {now - upstream.left_at:.2f} s after it left")
        evacuated = self.testbed.evacuated.get(upstream.zone)
        if stable and evacuated and since > evacuated + bounds["evacuation_s"]:
            self.violation("EVAC", f"{attempt} reached {upstream.id} in {upstream.zone}")
        if stable and upstream.service not in it.route.services_since(since - bounds["config_apply_s"]):
            self.violation("CONFIG", f"{attempt} on {it.route.prefix} reached {upstream.service}")
        if upstream.service not in it.route.services_since(0):
            self.violation("ROUTE", f"{attempt} on {it.route.prefix} reached {upstream.service}")
        if it.arrivals > it.route.max_attempts:
            self.violation("ATTEMPTS", f"{attempt} reached {it.arrivals} upstreams")
        if now < upstream.cold_until:
            self.check_cold_arrival(upstream, now)
        self.check_stated_exclusion(attempt, it, upstream, since, now)

    def on_pause(self, attempt, upstream, seconds):
        now = time.monotonic()
        self.counts["pauses"] += 1
        self.pauses[self.attempts[attempt].entry.name, upstream.id].append(
            [now + PAUSE_STARTS_AFTER_S, now + seconds, 0])

    def check_stated_exclusion(self, attempt, it, upstream, since, now):
        """Checks what the upstream has stated to the entry, whatever the store says."""
        key = (it.entry.name, upstream.id)
        left = self.leaving_since.get(key)
        if left and since > left + self.testbed.bounds["drain_s"] and \
                not self.had_fault((it.entry.name,), left) and self.loop_was_on_time(left):
            self.violation("DRAIN", f"{attempt} reached {upstream.id} {now - left:.2f} s after "
                           f"{it.entry.name} passed on that it is leaving")
        for pause in self.pauses[key]:
            begin, end, _ = pause
            if not begin < now < end:
                continue
            pause[2] += 1
            asked_at = begin - PAUSE_STARTS_AFTER_S
            if pause[2] > MAX_IN_PAUSE and not self.had_fault((it.entry.name,), asked_at) and \
                    self.loop_was_on_time(asked_at):
                self.violation("BUDGET", f"{attempt} is number {pause[2]} of {it.entry.name} at "
                               f"{upstream.id} in its pause")

    def check_cold_arrival(self, upstream, now):
        recent = self.cold_arrivals[upstream.id]
        recent.append(now)
        while recent[0] < now - 1:
            recent.popleft()
        bounds = self.testbed.bounds
        if len(recent) > bounds["cold_per_s"] * bounds["cold_overshoot"] + bounds["cold_slack"]:
            self.violation("FAILBACK", f"{upstream.id} got {len(recent)} requests in a second while cold")

    def on_execution(self, attempt, upstream, call):
        it = self.attempts.get(attempt)
        if it is None:
            return
        self.counts["runs"] += 1
        if it.runs and not it.route.idempotent:
            self.violation("TWICE", f"{attempt} ran at {it.runs} and at {upstream.id}")
        if it.refused:
            self.violation("REFUSED", f"{attempt} was answered {it.refused} and ran later at {upstream.id}")
        it.runs.append(upstream.id)

    def on_upstream_answer(self, attempt, status, seal, body):
        it = self.attempts.get(attempt)
        if it is not None:
            it.answers[seal] = (status, body)

    # End of the run.

    def finish(self, served_after, sent_after):
        bounds = self.testbed.bounds
        extra = sum(max(0, it.arrivals - 1) for it in self.attempts.values())
        allowed = bounds["retry_ratio"] * len(self.attempts) + bounds["retry_slack"]
        if extra > allowed:
            self.violation("BUDGET", f"{extra} extra arrivals, {allowed:.0f} allowed")
        if sent_after >= 20 and served_after < sent_after / 4:
            self.violation("RECOVER", f"{served_after} of {sent_after} served after the last fault")
