"""Loopback proxies that delay, drop or reset the traffic between two sides."""

import asyncio

from . import http1


class Proxy:
    """Forwards connections from its own port to `to`.

    `delay_s` delays bytes in both directions. `dropped` holds the directions whose bytes are
    discarded while the connections stay open: "up" (towards `to`) and "down". A connection that has
    lost bytes in a direction never forwards that direction again, as when a device on its path has
    lost its connection state.
    """

    def __init__(self, to):
        self.to = to
        self.port = 0
        self.delay_s = 0.0
        self.dropped = set()
        self.refusing = False
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def accept(self, reader, writer):
        if self.refusing:
            http1.abort(writer)
            return
        if self.dropped:
            self.writers.add(writer)
            await self.discard(reader)
            return
        try:
            to_reader, to_writer = await asyncio.open_connection(*self.to)
        except OSError:
            http1.abort(writer)
            return
        self.writers.update((writer, to_writer))
        broken = set()
        await asyncio.gather(self.pump(reader, to_writer, "up", broken),
                             self.pump(to_reader, writer, "down", broken))
        self.writers.difference_update((writer, to_writer))

    async def discard(self, reader):
        try:
            while await reader.read(65536):
                pass
        except OSError:
            pass

    async def pump(self, reader, writer, direction, broken):
        try:
            while True:
                data = await reader.read(65536)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if direction in self.dropped or direction in broken:
                    broken.add(direction)
                    if data:
                        continue
                    return
                if not data:
                    writer.close()
                    return
                writer.write(data)
                await writer.drain()
        except OSError:
            http1.abort(writer)

    def reset_all(self):
        for writer in list(self.writers):
            http1.abort(writer)
        self.writers.clear()
