"""Upstreams with slots, queues and bounded connections, which keep what they had from VMs that lost power."""

import asyncio
import contextlib
import time

import wire

IDLE_S = 5.0
STEP_S = 0.0039
TOKENS_OF_EVENT = 5
PREFILL_TOKENS_PER_S = 66200.0
WORK_S = 0.015


class Power:
    """Whether the VMs have power. What happens to a connection when they lose it, no other side learns."""

    def __init__(self):
        self.is_off = False


class Upstream:
    """One server of a service; each start of it is a new instance."""

    def __init__(self, name, service, domain, slots, queue, max_connections, pace, power):
        self.name = name
        self.service = service
        self.domain = domain
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.queue = queue
        self.max_connections = max_connections
        self.pace = pace
        self.power = power
        self.starts = 0
        self.instance = None
        self.server = None
        self.writers = set()
        self.connections = 0
        self.waiting = 0
        self.running = 0
        # What it has refused, by reason, and requests of VMs without power that it went on with.
        self.refused = {"connections": 0, "queue": 0}
        self.served = 0
        self.ghosts = 0

    async def start(self, address, port):
        self.starts += 1
        self.instance = f"i-{self.name}-{self.starts}"
        self.address = (address, port)
        self.server = await asyncio.start_server(self.serve, address, port, backlog=512)

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.instance = None

    def entry(self, count):
        return {"service": self.service, "addr": f"{self.address[0]}:{self.address[1]}", "zone": self.domain,
                "version": "v1", "slots": self.slot_count, "state": "ready", "cold_left_ms": 0,
                "seq": count, "born": self.starts}

    async def serve(self, reader, writer):
        # The end of the play cancels what still runs.
        with contextlib.suppress(asyncio.CancelledError):
            await self.serve_connection(reader, writer)

    async def serve_connection(self, reader, writer):
        if self.connections >= self.max_connections:
            self.refused["connections"] += 1
            writer.transport.abort()
            return
        self.connections += 1
        self.writers.add(writer)
        is_ghost = False
        try:
            while True:
                try:
                    async with asyncio.timeout(IDLE_S):
                        head = await wire.read_head(reader)
                except TimeoutError:
                    return
                request = await wire.read_body(reader, head, True)
                if not request.whole or not await self.answer(request, writer):
                    return
        except (wire.Broken, OSError):
            is_ghost = self.power.is_off
        finally:
            self.writers.discard(writer)
            writer.close()
            # No end of the connection has arrived; it counts until it has been idle for long.
            if is_ghost:
                self.ghosts += 1
                await asyncio.sleep(IDLE_S)
            self.connections -= 1

    async def answer(self, request, writer):
        instance = self.instance
        attempt = request.headers.get("x-attempt-id", "")
        common = {"X-Attempt-Id": attempt, "X-Instance-Id": instance, "Keep-Alive": f"timeout={int(IDLE_S)}"}
        if request.first.startswith("GET /report"):
            body = (b'{"phase":"mixed","models":[{"name":"m","version":1,"loras":[]}],"busy":false,"seq":1,'
                    b'"queued":%d,"active":%d,"kv_in_use":1000,"kv_max":708253,"kv_handles":0}'
                    % (self.waiting, self.running))
            writer.write(wire.render("HTTP/1.1 200 OK", {"Content-Type": "application/json",
                                                         "Content-Length": len(body)}, body))
            return True
        if request.headers.get("x-expect-instance", instance) != instance:
            writer.write(wire.render("HTTP/1.1 421 Misdirected", {**common, "Content-Length": 0}))
            return True
        if self.waiting >= self.queue:
            self.refused["queue"] += 1
            writer.write(wire.render("HTTP/1.1 503 Service Unavailable",
                                     {**common, "X-Not-Executed": 1, "Content-Length": 0}))
            return True
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            try:
                return await self.run(request, {**common, "X-Server-Signature": f"{instance}.{attempt}"}, writer)
            finally:
                self.running -= 1

    async def run(self, request, signed, writer):
        self.served += 1
        if "x-token-count" not in request.headers:
            await asyncio.sleep(WORK_S * self.pace)
            body = signed["X-Server-Signature"].encode() * 20
            writer.write(wire.render("HTTP/1.1 200 OK", {**signed, "Content-Length": len(body)}, body))
            return True
        prompt, most = (int(text) for text in request.headers["x-token-count"].split(","))
        await asyncio.sleep(self.pace * prompt / PREFILL_TOKENS_PER_S + 0.012)
        head = {**signed, "X-Weight-Versions": 1, "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked"}
        writer.write(wire.render("HTTP/1.1 200 OK", head))
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, most // TOKENS_OF_EVENT + 1):
            event = f"id: {number}\ndata: event {number} {'.' * 30}\n\n".encode()
            # A run whose connection has closed ends, unless nothing of that has arrived.
            if not writer.transport.is_closing():
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            elif not self.power.is_off:
                return False
            await asyncio.sleep(self.pace * STEP_S * TOKENS_OF_EVENT)
        if not writer.transport.is_closing():
            writer.write(b"0\r\n\r\n")
        return True


class Beats:
    """Writes the entries of the upstreams that run; entries of those that are gone lapse."""

    PERIOD_S = 1.2
    LAPSES_AFTER_S = 3 * PERIOD_S

    def __init__(self, store, all_upstreams):
        self.store = store
        self.upstreams = all_upstreams
        self.written_at = {}

    async def run(self):
        while True:
            for each in self.upstreams:
                if each.instance:
                    self.written_at[each.instance] = time.monotonic()
                    await self.store.put("servers", each.instance, each.entry(int(time.monotonic() * 10)))
            for instance, at in list(self.written_at.items()):
                if time.monotonic() - at > self.LAPSES_AFTER_S:
                    del self.written_at[instance]
                    await self.store.remove("servers", instance)
            await asyncio.sleep(self.PERIOD_S)
