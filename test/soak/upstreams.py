"""Upstreams of the soak: they record every run, and fail as ordered."""

import asyncio
import contextlib
import json
import math
import time
from dataclasses import dataclass, field

import wire

EVENTS = 12
EVENT_GAP_S = 0.04
WORK_S = 0.02
LARGE_BYTES = 5 << 20
# Time from the head of a response to the end of an upstream that a part of the prompt ends.
ENDS_AFTER_S = 0.06
# Bytes without end: how long they last when nobody closes, and their pace on a connection.
FLOOD_S = 2.0
FLOOD_BYTES = 32768
FLOOD_PAUSE_S = 0.005
MOST_FLOODS = 4
# Time after a fault within which its effects may still show.
SETTLE_S = 0.3


@dataclass
class Run:
    """One request that an upstream has begun to work on."""

    attempt: str
    instance: str
    team: str
    began: float
    has_key: bool
    target: str = ""
    version: str = "v1"

    @property
    def upstream(self):
        return self.instance.rsplit("-", 1)[0]


@dataclass
class Arrival:
    """One request that has reached an upstream, whether it runs there or not."""

    attempt: str
    instance: str
    at: float
    # For how long the upstream then wants nothing from the sender.
    pause_s: float = 0.0


@dataclass
class Span:
    """Trouble or planned work at the node or upstream of that name, or at any."""

    kind: str
    name: str
    begins: float
    ends: float = math.inf


@dataclass
class Ledger:
    """What all upstreams have seen, by attempt, and what was done to whom."""

    runs: dict = field(default_factory=dict)
    spans: list = field(default_factory=list)
    arrivals: list = field(default_factory=list)
    # When upstreams of a later version have failed or have been slow.
    bad_answers: list = field(default_factory=list)

    def record(self, run):
        self.runs.setdefault(run.attempt, []).append(run)

    @contextlib.contextmanager
    def during(self, kind, name, after_s=SETTLE_S):
        span = Span(kind, name, time.monotonic())
        self.spans.append(span)
        try:
            yield
        finally:
            span.ends = time.monotonic() + after_s

    def touched(self, kind, name, begins, ends):
        return any(span.kind == kind and span.name in (name, "any") and span.begins <= ends and
                   begins <= span.ends for span in self.spans)


def plain_body(attempt, instance, is_large=False):
    text = f"answer {attempt} of {instance}".encode()
    return text * (LARGE_BYTES // len(text)) if is_large else text


def event_text(number, attempt):
    return f"id: {number}\ndata: event {number} of {attempt}\n\n".encode()


class Upstream:
    """One address behind a proxy; each start of it is a new instance."""

    def __init__(self, name, target, slots, ledger, store, random, version="v1"):
        self.name = name
        self.target = target
        self.slots = slots
        self.version = version
        # Factor on the time of all work.
        self.pace = 1.0
        self.ledger = ledger
        self.store = store
        self.random = random
        self.starts = 0
        self.instance = None
        self.server = None
        self.writers = set()
        self.announced = None
        # Instance and entry that the store has acknowledged.
        self.stored = None
        self.state = "ready"
        # Shares of requests that end so.
        self.lost = 0.0
        self.failing = 0.0
        self.refusing = 0.0
        # Share of requests before whose response an earlier refusal is written once more.
        self.repeating = 0.0
        # The last refusal on each connection.
        self.refusals = {}
        self.slow_s = 0.0
        # Sound all the same.
        self.silent_until = 0.0
        # Pause that refusals ask for, in seconds.
        self.pause_s = 0.0
        # Whether all answers say that the instance leaves.
        self.says_it_leaves = False
        # Whether the entry has gone although the instance serves on.
        self.is_unlisted = False
        # The parts of prompts that end upstreams, and what then ends this one.
        self.parts = None
        self.end = None
        # Where bytes come without end.
        self.flood = None
        self.floods = 0

    async def start(self, port=0):
        self.starts += 1
        self.instance = f"{self.name}-{self.starts}"
        self.state = "ready"
        self.says_it_leaves = False
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        return self.server.sockets[0].getsockname()[1]

    async def leave_unannounced(self):
        """The entry goes without a word before; the instance serves on."""
        self.is_unlisted = True
        self.stored = None
        await self.store.remove("servers", self.instance)

    async def announce(self, address):
        """Writes the instance's entry if it has changed or is not there.

        A store that is away is tried again by the heartbeat.
        """
        if self.is_unlisted:
            return
        spec = {"service": self.target, "addr": f"{address[0]}:{address[1]}", "zone": "a",
                "version": self.version, "slots": self.slots, "state": self.state, "cold_left_ms": 0,
                "born": self.starts}
        self.announced = address
        is_known = self.stored == (self.instance, spec)
        counted = spec | {"seq": int(time.monotonic() * 10)}
        if await self.store.put("servers", self.instance, counted, replaces=not is_known):
            self.stored = (self.instance, spec)

    def close(self):
        """Listens no more, and breaks all connections."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def crash(self):
        """Ends at once: connections break, nothing is said."""
        self.close()
        gone, self.instance = self.instance, None
        await self.store.remove("servers", gone)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await wire.read_body(reader, await wire.read_head(reader), True)
                if writer in self.refusals and self.random.random() < self.repeating:
                    writer.write(self.refusals[writer])
                if not request.whole or not await self.answer(request, writer):
                    return
        except (wire.Broken, OSError):
            return
        finally:
            self.writers.discard(writer)
            self.refusals.pop(writer, None)
            writer.close()

    def refuse(self, writer, headers):
        """States that the request has not run."""
        refusal = {**headers, "X-Not-Executed": 1, "Content-Length": 0}
        self.refusals[writer] = wire.render("HTTP/1.1 503 Service Unavailable", refusal)
        writer.write(self.refusals[writer])
        return True

    async def answer(self, request, writer):
        attempt = request.headers.get("x-attempt-id", "")
        expected = request.headers.get("x-expect-instance", self.instance)
        common = {"X-Attempt-Id": attempt, "X-Instance-Id": self.instance}
        if self.says_it_leaves:
            common["Server-Leaving"] = 1
        if expected != self.instance:
            writer.write(wire.render("HTTP/1.1 421 Misdirected", {**common, "Content-Length": 0}))
            return True
        arrival = Arrival(attempt, self.instance, time.monotonic())
        self.ledger.arrivals.append(arrival)
        if self.pause_s > 0.0:
            arrival.pause_s = self.pause_s
            return self.refuse(writer, {**common, "Retry-After": f"{self.pause_s:.2f}"})
        if self.random.random() < self.refusing:
            return self.refuse(writer, common)
        bad_part = self.parts and self.parts.bad_part_of(request)
        if bad_part:
            self.parts.arrivals[bad_part].append(arrival)
        instance = self.instance
        self.ledger.record(Run(attempt, instance, request.headers.get("x-tenant", ""),
                               time.monotonic(), "authorization" in request.headers,
                               self.target, self.version))
        signed = {**common, "X-Server-Signature": f"{instance}.{attempt}"}
        await asyncio.sleep(WORK_S * self.pace + self.slow_s)
        if bad_part:
            return await self.end_on(bad_part, signed, writer)
        if self.flood:
            return await self.answer_without_end(signed, writer)
        if self.random.random() < self.lost:
            return False
        if self.random.random() < self.failing:
            self.count_bad_answer()
            writer.write(wire.render("HTTP/1.1 500 Internal", {**signed, "Content-Length": 0}))
            return True
        if "/stream/" in request.first:
            return await self.stream(request, signed, writer, attempt)
        body = plain_body(attempt, instance, "/large/" in request.first)
        await self.stay_silent()
        writer.write(wire.render("HTTP/1.1 200 OK", {**signed, "Content-Length": len(body)}, body))
        await writer.drain()
        return True

    async def end_on(self, bad_part, signed, writer):
        """Begins a response, and ends soon after with all that it does."""
        instance = self.instance
        head = {**signed, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(wire.render("HTTP/1.1 200 OK", head))
        await asyncio.sleep(ENDS_AFTER_S)
        if self.instance == instance:
            self.parts.ends[bad_part].append(time.monotonic())
            self.end()
        return False

    def count_bad_answer(self):
        if self.version != "v1":
            self.ledger.bad_answers.append(time.monotonic())

    async def stay_silent(self):
        while time.monotonic() < self.silent_until:
            await asyncio.sleep(self.silent_until - time.monotonic())

    async def answer_without_end(self, signed, writer):
        """Sends bytes at a bounded pace until the other side closes, or for a bounded time."""
        head = wire.render("HTTP/1.1 200 OK", {**signed, "Transfer-Encoding": "chunked"})
        filler = b"x" * FLOOD_BYTES
        chunk = f"{FLOOD_BYTES:x}\r\n".encode() + filler + b"\r\n"
        hint = b"HTTP/1.1 103 Early Hints\r\n\r\n"
        first, more = {"head": (head[:-2], b"X-Filler: " + filler + b"\r\n"),
                       "hints": (b"", hint * (FLOOD_BYTES // len(hint))),
                       "body": (head, chunk), "event": (head, chunk)}[self.flood]
        if self.floods >= MOST_FLOODS:
            return False
        self.floods += 1
        try:
            writer.write(first)
            async with asyncio.timeout(FLOOD_S):
                while True:
                    writer.write(more)
                    await writer.drain()
                    await asyncio.sleep(FLOOD_PAUSE_S)
        except TimeoutError:
            return False
        finally:
            self.floods -= 1

    async def stream(self, request, signed, writer, attempt):
        first = int(request.headers.get("last-event-id", 0)) + 1
        head = {**signed, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(wire.render("HTTP/1.1 200 OK", head))
        for number in range(first, EVENTS + 1):
            await self.stay_silent()
            event = event_text(number, attempt)
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S * self.pace)
        if self.pace > 1.0:
            self.count_bad_answer()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Store:
    """The operator's and the upstreams' own way to the stand-in store, without a proxy."""

    def __init__(self, address):
        self.address = address
        # What was written and removed last, each with the time.
        self.written = {}
        self.removed = {}

    async def call(self, method, target, body=None):
        text = b"" if body is None else json.dumps(body).encode()
        headers = {"Content-Type": "application/json"}
        return await wire.call(self.address, method, target, headers, text)

    async def put(self, kind, name, spec, replaces=True):
        """Creates, or replaces what is there; gives up silently while the store is made to fail."""
        document = {"meta": {"name": name}, "spec": spec}
        try:
            made = await self.call("POST", f"/objects/{kind}", document)
            if made.status == 409 and not replaces:
                return True
            if made.status == 409:
                made = await self.call("PUT", f"/objects/{kind}/{name}", document)
            if made.status == 200:
                self.written[kind, name] = (spec, time.monotonic())
            return made.status == 200
        except wire.Broken:
            return False

    async def read_state(self, kind, name):
        """The state that the system has written, or None."""
        try:
            document = json.loads((await self.call("GET", f"/objects/{kind}/{name}")).body)
        except (wire.Broken, ValueError):
            return None
        return ((document or {}).get("status") or {}).get("state")

    async def remove(self, kind, name):
        self.removed[kind, name] = time.monotonic()
        self.written.pop((kind, name), None)
        try:
            await self.call("DELETE", f"/objects/{kind}/{name}")
        except wire.Broken:
            pass  # The entry stays, as it does when an upstream dies while the store is away.

    async def write_again(self, since):
        """Writes once more what was written since then, after a copy of that time has come back."""
        for (kind, name), (spec, written) in list(self.written.items()):
            if written >= since:
                await self.put(kind, name, spec)

    async def remove_again(self, since):
        for (kind, name), removed in list(self.removed.items()):
            if removed >= since:
                await self.remove(kind, name)

    async def fault(self, **order):
        await self.call("POST", "/fault", order)
