"""Loopback proxies between two sides, which delay, silence or reset the connections through them."""

import asyncio

from . import http1


class Proxy:
    """Forwards connections from its own port to `to`.

    `delay_s` holds bytes back in both directions. `silent` names directions whose bytes are dropped
    while the connections stay open: "up" (towards `to`) and "down". A connection through which
    bytes were dropped stays silent for good, as one whose middle has forgotten it.
    """

    def __init__(self, to):
        self.to = to
        self.port = 0
        self.delay_s = 0.0
        self.silent = set()
        self.refusing = False
        self.links = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def accept(self, reader, writer):
        if self.refusing:
            http1.abort(writer)
            return
        if self.silent:
            self.links.add(writer)
            await self.swallow(reader)
            return
        try:
            to_reader, to_writer = await asyncio.open_connection(*self.to)
        except OSError:
            http1.abort(writer)
            return
        self.links.update((writer, to_writer))
        lost = set()
        await asyncio.gather(self.pump(reader, to_writer, "up", lost),
                             self.pump(to_reader, writer, "down", lost))
        self.links.difference_update((writer, to_writer))

    async def swallow(self, reader):
        try:
            while await reader.read(65536):
                pass
        except OSError:
            pass

    async def pump(self, reader, writer, direction, lost):
        try:
            while True:
                data = await reader.read(65536)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if direction in self.silent or direction in lost:
                    lost.add(direction)
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
        for writer in list(self.links):
            http1.abort(writer)
        self.links.clear()
