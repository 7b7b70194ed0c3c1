"""HTTP/1.1 over asyncio streams, just enough for callers and upstreams of the soak."""

import asyncio
from dataclasses import dataclass, field


class Broken(Exception):
    """The connection ended, or what came is not HTTP."""


@dataclass
class Message:
    """A request or response: its first line, headers by lower-case name, and body."""

    first: str
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    # Whether the body came to its stated end.
    whole: bool = True
    # Whether the connection may carry another message.
    keeps: bool = True

    @property
    def status(self):
        return int(self.first.split()[1])


async def read_head(reader):
    """Reads up to the empty line; raises Broken when the connection ends before."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as error:
        raise Broken(str(error)) from error
    lines = text.split("\r\n")
    message = Message(lines[0])
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            message.headers[name.strip().lower()] = value.strip()
    message.keeps = message.headers.get("connection", "").lower() != "close"
    return message


async def read_chunks(reader, message):
    while True:
        size = int((await reader.readline()).split(b";")[0] or b"x", 16)
        if size == 0:
            await reader.readline()
            return
        message.body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_paced(reader, size, pause_s):
    """As `readexactly`, with a pause after each part."""
    body = bytearray()
    while len(body) < size:
        part = await reader.read(size - len(body))
        if not part:
            raise asyncio.IncompleteReadError(bytes(body), size)
        body += part
        await asyncio.sleep(pause_s)
    return bytes(body)


async def read_body(reader, message, is_request, pause_s=0.0):
    """Fills in the body; a body that ends early is kept and marked as not whole."""
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            await read_chunks(reader, message)
        elif "content-length" in message.headers:
            message.body = await read_paced(reader, int(message.headers["content-length"]),
                                            pause_s)
        elif not is_request:
            message.body = await reader.read()
            message.keeps = False
    except (asyncio.IncompleteReadError, ValueError, OSError) as error:
        message.body += getattr(error, "partial", b"")
        message.whole = False
        message.keeps = False
    return message


def render(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, method, target, headers=None, body=b"", limit=3.0):
    """One request on a connection of its own; raises Broken when there is no whole response."""
    host, port = address
    all_headers = {"Host": host, "Content-Length": len(body), **(headers or {})}
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(render(f"{method} {target} HTTP/1.1", all_headers, body))
                await writer.drain()
                message = await read_body(reader, await read_head(reader), False)
            finally:
                writer.close()
    except (OSError, TimeoutError) as error:
        raise Broken(str(error)) from error
    if not message.whole:
        raise Broken("the response ended early")
    return message
