"""Subset of HTTP/1.1 over asyncio streams that the stand-ins of the soak need."""

import asyncio
import json


class Message:
    """A request or an answer; `first` holds the three parts of its first line."""

    def __init__(self, first, fields, body=b""):
        self.first = first
        self.fields = fields
        self.body = body

    def field(self, name, default=None):
        return self.fields.get(name.lower(), default)

    @property
    def method(self):
        return self.first[0]

    @property
    def target(self):
        return self.first[1]

    @property
    def status(self):
        return int(self.first[1])

    def keeps_connection(self):
        return self.field("connection", "").lower() != "close"


class Malformed(Exception):
    """The bytes received are not an HTTP message."""


async def read_message(reader, is_answer=False):
    """Returns the next message, or None if the connection ends before its first byte."""
    made = await read_head(reader, is_answer)
    if made is not None:
        made.body = await read_body(reader, made.fields, is_answer)
    return made


async def read_head(reader, is_answer=False):
    """Returns the next message without its body, or None as `read_message` does."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    first = lines[0].split(" ", 2)
    if len(first) < (2 if is_answer else 3):
        raise Malformed(lines[0])
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return Message(first, fields)


async def read_body(reader, fields, is_answer):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if is_answer else b""


def request_bytes(method, target, fields, body=b""):
    lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def answer_bytes(status, fields=(), body=b"", content_type=None):
    lines = [f"HTTP/1.1 {status} x"] + [f"{name}: {value}" for name, value in fields]
    if content_type:
        lines.append(f"Content-Type: {content_type}")
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def json_answer(value, status=200):
    return answer_bytes(status, body=json.dumps(value).encode(), content_type="application/json")


def abort(writer):
    """Closes a connection with a reset."""
    writer.transport.abort()


# Exceptions raised while a stand-in exchanges messages with a failed peer.
CONNECTION_ERRORS = (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError)
