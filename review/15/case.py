"""The directory names an entry that was killed, after a time in which the store was silent."""

import asyncio
import json
import os
import signal
import sys
import time
import urllib.parse

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins3"))

import bed as beds  # noqa: E402
from bed import CONNECTION_ERRORS, HOST, STABILITY_S, Entry, read_body, read_head  # noqa: E402
from worker import Worker  # noqa: E402

SETTLES_S = 5.0
SILENT_AFTER_S = 0.1
SILENT_FOR_S = 4.5
ENDS_AFTER_S = 12.0
CLIENTS_PER_ENTRY = 16
# A client asks anew when its response has run out.
ASKS_EACH_S = 2.0


class Client:
    """Asks one entry for addresses, on a connection of its own each time."""

    def __init__(self, bed, entry, answers):
        self.bed = bed
        self.entry = entry
        self.answers = answers

    async def run(self, delay, end):
        await asyncio.sleep(delay)
        while time.monotonic() < end:
            await self.ask()
            await asyncio.sleep(ASKS_EACH_S)

    async def ask(self):
        writer = None
        asked = time.monotonic()
        query = urllib.parse.urlencode({"name": HOST, "region": beds.ZONES[self.entry.zone],
                                        "zone": self.entry.zone})
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.entry.ip, 8546), 1)
            writer.write(f"GET /fuchsiaproxy/resolve?{query} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            (_, status, _), fields = await asyncio.wait_for(read_head(reader), 1)
            body = await read_body(reader, fields)
            named = json.loads(body)["addresses"] if status == "200" else []
            self.answers.append((asked, self.entry.name, named))
            self.bed.record(f"{self.entry.name} answered {status} {named}")
        except (asyncio.TimeoutError, KeyError, *CONNECTION_ERRORS) as error:
            self.bed.record(f"{self.entry.name} did not answer: {error!r}")
        finally:
            if writer is not None:
                writer.close()


def lease_of(bed, entry):
    for key, item in bed.store.items.items():
        if key.endswith("/" + entry.name):
            return item["lease"]
    raise beds.Unfit(f"{entry.name} has no record in the store")


async def case(bed):
    bed.store.put("op/config", beds.config(
        7, [beds.route("r1", "/shelf/", "idempotent", "catalogue", 2000)], ["catalogue"]))
    zones = list(beds.ZONES)
    for n in range(6):
        await Worker(bed, f"i-{n:08x}", "catalogue", zones[n]).start()
    bed.entries = [Entry(bed, zone, n + 1) for n, zone in enumerate(["nord-a", "nord-b", "nord-a"])]
    for it in bed.entries:
        await it.start()
    for it in bed.entries:
        await it.wait_ready()
    *running, victim = bed.entries
    began = time.monotonic()
    answers = []
    clients = [asyncio.create_task(Client(bed, entry, answers).run(
        n * ASKS_EACH_S / CLIENTS_PER_ENTRY, began + SETTLES_S + ENDS_AFTER_S))
        for entry in running for n in range(CLIENTS_PER_ENTRY)]

    await asyncio.sleep(SETTLES_S)
    lease = lease_of(bed, victim)
    renewed = asyncio.Event()
    bed.store.on_renewal = lambda it: renewed.set() if it == lease else None
    await asyncio.wait_for(renewed.wait(), 5)
    victim.signal(signal.SIGKILL)
    await victim.process.wait()
    killed = time.monotonic()
    bed.record(f"{victim.name} is killed, just after its lease was renewed")
    stable_again = killed
    if bed.trouble:
        await asyncio.sleep(SILENT_AFTER_S)
        bed.store.fall_silent()
        bed.record("the store is silent")
        await asyncio.sleep(SILENT_FOR_S)
        bed.store.end_silence()
        bed.record("the store answers again")
        stable_again = time.monotonic()
    await asyncio.gather(*clients)

    address = f"{victim.ip}:8548"
    if not [it for it in answers if it[0] < killed and address in it[2]]:
        raise beds.Unfit(f"{victim.name} was not named before")
    late = max(killed + STABILITY_S + 3.0, stable_again + STABILITY_S)
    alive = {f"{it.ip}:8548" for it in running}
    wrong = [it for it in answers if it[0] > late and address in it[2] and alive & set(it[2])]
    return [f"DRAIN {name} names {victim.name} {asked - killed:.2f} s after its end, "
            f"{asked - stable_again:.2f} s after the store was back"
            for asked, name, _ in wrong] if len(wrong) > 3 else []


beds.run(case, HERE)
