"""Upstreams of the soak: they record every run, and fail as ordered."""

import asyncio
import json
import time
from dataclasses import dataclass, field

import wire

EVENTS = 12
EVENT_GAP_S = 0.02
WORK_S = 0.02


@dataclass
class Run:
    """One request that an upstream has begun to work on."""

    attempt: str
    instance: str
    team: str
    began: float
    has_key: bool


@dataclass
class Ledger:
    """What all upstreams have seen, by attempt."""

    runs: dict = field(default_factory=dict)

    def record(self, run):
        self.runs.setdefault(run.attempt, []).append(run)


def plain_body(attempt, instance):
    return f"answer {attempt} of {instance}".encode()


def event_text(number, attempt):
    return f"id: {number}\ndata: event {number} of {attempt}\n\n".encode()


class Upstream:
    """One address behind a proxy; each start of it is a new instance."""

    def __init__(self, name, target, ledger, store, random):
        self.name = name
        self.target = target
        self.ledger = ledger
        self.store = store
        self.random = random
        self.starts = 0
        self.instance = None
        self.server = None
        self.writers = set()
        self.announced = None
        self.state = "ready"
        # Shares of requests that end so.
        self.lost = 0.0
        self.failing = 0.0
        self.refusing = 0.0
        self.slow_s = 0.0

    async def start(self, port=0):
        self.starts += 1
        self.instance = f"{self.name}-{self.starts}"
        self.state = "ready"
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        return self.server.sockets[0].getsockname()[1]

    async def announce(self, address):
        """Writes the instance's entry; a store that is away is tried again by the heartbeat."""
        spec = {"service": self.target, "addr": f"{address[0]}:{address[1]}", "zone": "a",
                "version": "v1", "slots": 8, "state": self.state, "cold_left_ms": 0,
                "seq": int(time.monotonic() * 10), "born": self.starts}
        self.announced = address
        await self.store.put("servers", self.instance, spec)

    async def crash(self):
        """Ends at once: connections break, nothing is said."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        gone, self.instance = self.instance, None
        await self.store.remove("servers", gone)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await wire.read_body(reader, await wire.read_head(reader), True)
                if not request.whole or not await self.answer(request, writer):
                    return
        except (wire.Broken, OSError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        attempt = request.headers.get("x-attempt-id", "")
        expected = request.headers.get("x-expect-instance", self.instance)
        common = {"X-Attempt-Id": attempt, "X-Instance-Id": self.instance}
        if expected != self.instance:
            writer.write(wire.render("HTTP/1.1 421 Misdirected", {**common, "Content-Length": 0}))
            return True
        if self.random.random() < self.refusing:
            refusal = {**common, "X-Not-Executed": 1, "Content-Length": 0}
            writer.write(wire.render("HTTP/1.1 503 Service Unavailable", refusal))
            return True
        instance = self.instance
        self.ledger.record(Run(attempt, instance, request.headers.get("x-tenant", ""),
                               time.monotonic(), "authorization" in request.headers))
        signed = {**common, "X-Server-Signature": f"{instance}.{attempt}"}
        await asyncio.sleep(WORK_S + self.slow_s)
        if self.random.random() < self.lost:
            return False
        if self.random.random() < self.failing:
            writer.write(wire.render("HTTP/1.1 500 Internal", {**signed, "Content-Length": 0}))
            return True
        if "/stream/" in request.first:
            return await self.stream(request, signed, writer, attempt)
        body = plain_body(attempt, instance)
        writer.write(wire.render("HTTP/1.1 200 OK", {**signed, "Content-Length": len(body)}, body))
        await writer.drain()
        return True

    async def stream(self, request, signed, writer, attempt):
        first = int(request.headers.get("last-event-id", 0)) + 1
        head = {**signed, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(wire.render("HTTP/1.1 200 OK", head))
        for number in range(first, EVENTS + 1):
            event = event_text(number, attempt)
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Store:
    """The operator's and the upstreams' own way to the stand-in store, without a proxy."""

    def __init__(self, address):
        self.address = address

    async def call(self, method, target, body=None):
        text = b"" if body is None else json.dumps(body).encode()
        headers = {"Content-Type": "application/json"}
        return await wire.call(self.address, method, target, headers, text)

    async def put(self, kind, name, spec):
        """Creates or replaces; gives up silently while the store is made to fail."""
        document = {"meta": {"name": name}, "spec": spec}
        try:
            made = await self.call("POST", f"/objects/{kind}", document)
            if made.status == 409:
                made = await self.call("PUT", f"/objects/{kind}/{name}", document)
            return made.status == 200
        except wire.Broken:
            return False

    async def remove(self, kind, name):
        try:
            await self.call("DELETE", f"/objects/{kind}/{name}")
        except wire.Broken:
            pass  # The entry stays, as it does when an upstream dies while the store is away.

    async def fault(self, **order):
        await self.call("POST", "/fault", order)
