"""The troubles of a run, drawn from its seed. They overlap and may come more than once."""

import asyncio
import random
import signal
import time

# Upstreams whose record is gone still serve this long, as those of the platform do.
SERVES_ON_S = 6.0
ADDRESS_REUSE_S = 2.0
# Upstreams that are slow, fail or lose answers at the same time.
IMPAIRED_SHARE = 0.4


class Faults:
    """Brings about one trouble after the other; each runs on its own."""

    def __init__(self, world, seed):
        self.world = world
        self.seed = seed
        self.checks = world.checks
        self.log = []
        # Entries with a trouble of their process, which get no second one at the same time.
        self.busy = set()

    def kinds(self):
        return [self.kill_entry, self.freeze_entry, self.roll_entry, self.kill_all_entries,
                self.reload_entry, self.store_away, self.store_turns_some_away, self.store_slow,
                self.store_loses_answers, self.store_compacts, self.leases_expire, self.cut_from_store,
                self.one_way_cut, self.reset_callers, self.delay_callers, self.callers_give_up,
                self.burst, self.upstream_crash, self.upstream_drain, self.upstream_replaced,
                self.upstream_slow, self.upstream_loses_answers, self.upstream_garbles,
                self.upstream_fails, self.upstream_silent, self.upstream_joins, self.route_moves,
                self.route_moves, self.time_limit_changes, self.evacuate, self.evacuate]

    async def run(self, seconds):
        end = time.monotonic() + seconds
        rng = random.Random(self.seed)
        while time.monotonic() < end:
            kind = rng.choice(self.kinds())
            self.log.append(f"{time.monotonic() - self.world.began:.2f} s {kind.__name__}")
            # Each trouble draws for itself, so that the timing of others does not change its choices.
            self.world.keep(kind(random.Random(f"{self.seed} {len(self.log)}")))
            await asyncio.sleep(rng.uniform(0.2, 2.0))

    @staticmethod
    def span(rng, least=0.5, most=4.0):
        return rng.uniform(least, most)

    def idle_entry(self, rng):
        fit = [it for it in self.world.entries if it.name not in self.busy]
        # Others have to remain, or nothing can be judged.
        return rng.choice(fit) if len(fit) > 1 else None

    def upstream(self, rng):
        """An upstream whose service has others in force, or None."""
        active = [it for it in self.world.upstreams if it.left_at is None]
        fit = [it for it in active if sum(o.service == it.service for o in active) > 3]
        return rng.choice(fit) if fit else None

    # Entries.

    async def kill_entry(self, rng):
        await self.replace_process(rng, lambda entry: entry.kill(), planned=False)

    async def roll_entry(self, rng):
        async def stop(entry):
            if not await entry.stop():
                self.checks.violation("STOP", f"{entry.name} did not end within its grace time")
        await self.replace_process(rng, stop, planned=True)

    async def replace_process(self, rng, end, planned):
        entry = self.idle_entry(rng)
        if entry is None:
            return
        self.busy.add(entry.name)
        self.checks.trouble(entry.name, self.world.bounds["grace_s"], planned)
        await end(entry)
        down_s = self.span(rng, 0.1, 1.5)
        self.checks.trouble(entry.name, down_s + 0.5, planned)
        await asyncio.sleep(down_s)
        await entry.start()
        self.busy.discard(entry.name)

    async def kill_all_entries(self, rng):
        entries = [it for it in self.world.entries if it.name not in self.busy]
        self.busy.update(it.name for it in entries)
        for entry in entries:
            self.checks.trouble(entry.name, 2.0)
        await asyncio.gather(*(it.kill() for it in entries))
        await asyncio.sleep(self.span(rng, 0.2, 1.0))
        for entry in entries:
            await entry.start()
        self.busy.difference_update(it.name for it in entries)

    async def freeze_entry(self, rng):
        entry = self.idle_entry(rng)
        if entry is None:
            return
        self.busy.add(entry.name)
        seconds = self.span(rng)
        self.checks.trouble(entry.name, seconds)
        entry.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        entry.signal(signal.SIGCONT)
        self.checks.trouble(entry.name, 0.1)
        self.busy.discard(entry.name)

    async def reload_entry(self, rng):
        entry = rng.choice(self.world.entries)
        entry.write_settings(retry_slack=rng.choice([40, 60]))
        entry.signal(signal.SIGHUP)

    # The store.

    async def store_away(self, rng):
        seconds = self.span(rng)
        self.checks.trouble("store", seconds)
        self.world.store.failure = rng.choice(["refuse", "silent", "reset"])
        async with self.world.store.changed:
            self.world.store.changed.notify_all()
        await asyncio.sleep(seconds)
        self.world.store.failure = None
        self.checks.trouble("store", 0.1)

    async def store_turns_some_away(self, rng):
        seconds = self.span(rng)
        for entry in rng.sample(self.world.entries, 2):
            self.checks.trouble(entry.name, seconds + 0.1)
            how = rng.choice(["refuse", "silent", "reset"])
            self.world.store.turned_away[entry.name] = how
        await asyncio.sleep(seconds)
        self.world.store.turned_away.clear()

    async def store_slow(self, rng):
        seconds = self.span(rng)
        self.checks.trouble("store", seconds + 0.1)
        self.world.store.answer_delay_s = rng.uniform(0.1, 0.4)
        await asyncio.sleep(seconds)
        self.world.store.answer_delay_s = 0.004

    async def store_loses_answers(self, rng):
        seconds = self.span(rng)
        self.checks.trouble("store", seconds + 0.1)
        self.world.store.lost_writes = 0.5
        await asyncio.sleep(seconds)
        self.world.store.lost_writes = 0.0

    async def store_compacts(self, rng):
        self.checks.trouble("store", 0.1)
        await self.world.store.compact()

    async def leases_expire(self, rng):
        self.checks.trouble("store", 0.1)
        store = self.world.store
        for lease in list(store.leases):
            await store.end_lease(lease)

    async def cut_from_store(self, rng):
        entry = rng.choice(self.world.entries)
        seconds = self.span(rng)
        self.checks.trouble(entry.name, seconds + 0.1)
        entry.store_proxy.silent = {"up", "down"}
        await asyncio.sleep(seconds)
        entry.store_proxy.silent = set()

    async def one_way_cut(self, rng):
        entry = rng.choice(self.world.entries)
        seconds = self.span(rng)
        self.checks.trouble(entry.name, seconds + 0.1)
        entry.store_proxy.silent = {rng.choice(["up", "down"])}
        await asyncio.sleep(seconds)
        entry.store_proxy.silent = set()
        # Connections that lost bytes stay silent; the platform counts that as their reset.
        self.checks.trouble(entry.name, 0.1)

    # Callers.

    async def reset_callers(self, rng):
        entry = rng.choice(self.world.entries)
        self.checks.trouble("callers", 0.1)
        entry.callers_proxy.reset_all()

    async def delay_callers(self, rng):
        entry = rng.choice(self.world.entries)
        seconds = self.span(rng)
        self.checks.trouble("callers", seconds + 0.5)
        entry.callers_proxy.delay_s = rng.uniform(0.05, 0.5)
        await asyncio.sleep(seconds)
        entry.callers_proxy.delay_s = 0.0

    async def callers_give_up(self, rng):
        self.world.give_up_share = 0.3
        await asyncio.sleep(self.span(rng))
        self.world.give_up_share = 0.0

    async def burst(self, rng):
        usual = self.world.caller_pause_s
        self.world.caller_pause_s = usual / 3
        await asyncio.sleep(self.span(rng))
        self.world.caller_pause_s = usual

    # Upstreams.

    async def upstream_crash(self, rng):
        it = self.upstream(rng)
        if it is None:
            return
        it.left_at = time.monotonic() + 4.5
        it.crash()
        await asyncio.sleep(4.5)
        await it.unregister()
        await self.world.add_upstream(it.service, it.zone, cold_s=3.0)

    async def upstream_drain(self, rng):
        it = self.upstream(rng)
        if it is None:
            return
        if rng.random() < 0.5:
            await it.drain()
            await asyncio.sleep(SERVES_ON_S)
        else:
            await it.unregister()
            await asyncio.sleep(SERVES_ON_S)
        await it.unregister()
        it.crash()
        await self.world.add_upstream(it.service, it.zone)

    async def upstream_replaced(self, rng):
        """Its address goes to an upstream of another service."""
        it = self.upstream(rng)
        if it is None:
            return
        other = next(name for name in ("browse", "orders") if name != it.service)
        it.left_at = time.monotonic()
        it.crash()
        await it.unregister()
        await asyncio.sleep(ADDRESS_REUSE_S)
        await self.world.add_upstream(other, it.zone, port=it.port)
        await self.world.add_upstream(it.service, it.zone, cold_s=3.0)

    async def impair(self, rng, name, value, usual):
        seconds = self.span(rng)
        self.checks.trouble("upstreams", seconds + 2)
        impaired = [it for it in self.world.upstreams if rng.random() < IMPAIRED_SHARE]
        for it in impaired:
            setattr(it, name, value)
        await asyncio.sleep(seconds)
        for it in impaired:
            setattr(it, name, usual)

    async def upstream_slow(self, rng):
        await self.impair(rng, "slow_by", 6.0, 1.0)

    async def upstream_loses_answers(self, rng):
        await self.impair(rng, "lost_answers", 0.3, 0.0)

    async def upstream_garbles(self, rng):
        await self.impair(rng, "garbled", 0.3, 0.0)

    async def upstream_fails(self, rng):
        await self.impair(rng, "failing", 0.5, 0.0)

    async def upstream_silent(self, rng):
        it = self.upstream(rng)
        if it is None:
            return
        seconds = self.span(rng, 0.5, 2.0)
        self.checks.trouble("upstreams", seconds + 3)
        it.proxy.silent = {rng.choice(["up", "down"])}
        await asyncio.sleep(seconds)
        it.proxy.silent = set()

    async def upstream_joins(self, rng):
        if len([it for it in self.world.upstreams if it.left_at is None]) < 28:
            zone = rng.choice(list(self.world.zones))
            await self.world.add_upstream(rng.choice(["browse", "orders"]), zone, cold_s=3.0)

    # Operators.

    async def route_moves(self, rng):
        route = rng.choice(self.world.routes)
        service = "orders" if route.history[-1][1] == "browse" else "browse"
        route.history.append((float("inf"), service))
        await self.world.configure()
        route.history[-1] = (time.monotonic(), service)

    async def time_limit_changes(self, rng):
        route = rng.choice(self.world.routes)
        route.time_limit_s = rng.choice([2.0, 2.5, 3.0])
        await self.world.configure()

    async def evacuate(self, rng):
        zone = rng.choice(list(self.world.zones))
        if self.world.evacuated:
            return
        await self.world.store.write("op/evacuate/" + zone, {})
        self.world.evacuated[zone] = time.monotonic()
        await asyncio.sleep(self.span(rng, 7.0, 12.0))
        self.world.evacuated.pop(zone)
        await self.world.store.remove("op/evacuate/" + zone)
