"""A download that is being read slowly is cut off by the planned stop of its entry."""

import asyncio
import os
import signal
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins3"))

import bed as beds  # noqa: E402
from bed import GRACE_S, HOST, STABILITY_S, Entry  # noqa: E402
from worker import Worker  # noqa: E402

TIME_LIMIT_MS = 8000
CLIENTS = 4
DOWNLOAD_BYTES = 300_000
# A slow reader: this many bytes, and the pause between two reads. It needs 5 s for the download.
READ_BYTES = 3000
READ_PAUSE_S = 0.05
RECEIVE_BUFFER = 16_384
# The client sends further requests behind the download, of which the first one follows the stop.
FURTHER_PAUSE_S = 0.8
MAX_FURTHER = 5
STOP_AFTER_S = 1.0


class Reader:
    """A client that pipelines on one connection and reads slowly."""

    def __init__(self, bed, entry, name):
        self.bed = bed
        self.name = name
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        self.socket.connect((entry.ip, 8548))
        self.sent = {}
        self.answered = []
        self.data = b""
        self.ended = None
        self.closing = False

    def send(self, path):
        attempt = f"{self.name}-{len(self.sent) + 1}"
        self.sent[attempt] = time.monotonic()
        self.bed.record(f"{attempt} sent: GET {path}")
        self.socket.sendall(f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
                            f"X-Deadline-Ms: {TIME_LIMIT_MS}\r\n\r\n".encode())
        return attempt

    def send_further(self, delay_s):
        time.sleep(delay_s)
        for _ in range(MAX_FURTHER):
            if self.ended or self.closing:
                return
            try:
                self.send("/small/2f")
            except OSError:
                return
            time.sleep(FURTHER_PAUSE_S)

    def read(self):
        """Reads until the connection ends, an answer closes it, or all requests are answered."""
        end = time.monotonic() + TIME_LIMIT_MS / 1000
        self.socket.settimeout(1)
        while time.monotonic() < end and not self.closing:
            try:
                data = self.socket.recv(READ_BYTES)
            except socket.timeout:
                if len(self.answered) == len(self.sent):
                    break
                continue
            except OSError as error:
                self.ended = f"reset: {error}"
                break
            if not data:
                self.ended = "end of stream"
                break
            self.data += data
            self.take_answers()
            time.sleep(READ_PAUSE_S)
        self.bed.record(f"{self.name} stops reading: {self.ended or 'its answers are complete'}; "
                        f"{len(self.data)} bytes of an incomplete answer")
        self.socket.close()

    def take_answers(self):
        while True:
            head_end = self.data.find(b"\r\n\r\n")
            if head_end < 0:
                return
            lines = self.data[:head_end].decode("latin-1").split("\r\n")
            fields = dict(it.lower().split(": ", 1) for it in lines[1:])
            size = head_end + 4 + int(fields["content-length"])
            if len(self.data) < size:
                return
            self.data = self.data[size:]
            attempt = list(self.sent)[len(self.answered)]
            self.answered.append(attempt)
            self.closing = fields.get("connection") == "close"
            self.bed.record(f"{attempt} answered {lines[0].split(' ')[1]}, complete")


class SizedWorker(Worker):
    """Sends a large body for a download."""

    async def serve(self, reader, writer):
        self.body_bytes = DOWNLOAD_BYTES if self.service == "katalog" else 200
        await super().serve(reader, writer)


async def case(bed):
    bed.store.put("op/config", beds.config(7, [
        beds.route("r1", "/download/", "download", "katalog", TIME_LIMIT_MS, 1000),
        beds.route("r2", "/small/", "idempotent", "receptura", TIME_LIMIT_MS, 1000)],
        ["katalog", "receptura"]))
    zones = list(beds.ZONES)
    workers = [SizedWorker(bed, f"i-{n:08x}", service, zones[n % len(zones)], slots=9, work_s=0.05)
               for n, service in enumerate(["katalog"] * 4 + ["receptura"] * 4)]
    for it in workers:
        await it.start()
    bed.entries = [Entry(bed, "nord-a", 1)]
    entry = bed.entries[0]
    await entry.start()
    await entry.wait_ready()
    await asyncio.sleep(STABILITY_S + 1)

    readers = [Reader(bed, entry, f"c{n}") for n in range(CLIENTS)]
    downloads = [it.send("/download/2f") for it in readers]
    threads = [threading.Thread(target=it.read, daemon=True) for it in readers]
    threads += [threading.Thread(target=it.send_further, args=(STOP_AFTER_S + 0.2,), daemon=True)
                for it in readers]
    for it in threads:
        it.start()
    await asyncio.sleep(STOP_AFTER_S)
    stopped_at = time.monotonic()
    if bed.trouble:
        entry.signal(signal.SIGTERM)
        bed.record(f"SIGTERM for {entry.name}")
        await asyncio.wait_for(entry.process.wait(), GRACE_S)
        bed.record(f"{entry.name} ended {time.monotonic() - stopped_at:.2f} s after SIGTERM")
    while any(it.is_alive() for it in threads):
        await asyncio.sleep(0.1)
    return judge(readers, downloads, workers)


def judge(readers, downloads, workers):
    run = {attempt for it in workers for attempt in it.done}
    broken = []
    for reader, attempt in zip(readers, downloads):
        if attempt not in run:
            raise beds.Unfit(f"{attempt} did not reach a worker")
        if attempt not in reader.answered:
            broken.append(f"LOST {attempt}, whose worker had ended its work, got "
                          f"{len(reader.data)} bytes of its answer: {reader.ended}")
    return broken


beds.run(case, HERE)
