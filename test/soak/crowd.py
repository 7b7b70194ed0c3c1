"""Callers that send at a rate whatever comes back, with the retries that the platform's callers make."""

import asyncio
import json
import time
from dataclasses import dataclass, field

import lounge
import wire

PROMISES = (408, 421, 429, 503)


@dataclass
class Sent:
    """One request of a caller, over all its attempts."""

    kind: str
    at: float
    served: bool = False
    ended: float = 0.0
    # How each attempt has ended: a status or a few words.
    tries: list = field(default_factory=list)


class Link:
    """A connection of a caller. When its VM loses power, no end of it arrives."""

    def __init__(self, vm, reader, writer):
        self.vm = vm
        self.reader = reader
        self.writer = writer
        self.outage = vm.outages
        self.idle_since = time.monotonic()

    @property
    def is_silent(self):
        return self.vm.outages != self.outage

    def close(self):
        self.writer.close()


class Caller:
    """One caller of a domain, with its kept connections and its list of addresses."""

    def __init__(self, index, domain, vms, draw, sent):
        self.index = index
        self.domain = domain
        self.vms = vms
        self.by_address = {vm.address("front"): vm for vm in vms}
        self.draw = draw
        self.sent = sent
        self.links = []
        self.known = []
        self.known_until = 0.0
        self.failed = set()
        self.lifetimes = 3 if index % 5 == 0 else 1
        self.resolving = asyncio.Lock()
        self.lookups = {"answered": 0, "failed": 0}

    async def resolve(self):
        async with self.resolving:
            if time.monotonic() < self.known_until and self.known:
                return
            near = sorted(self.vms, key=lambda vm: (vm.domain != self.domain, self.draw.random()))[:3]
            for vm in near:
                if vm.is_dark:
                    await asyncio.sleep(lounge.RESOLVE_S)
                    continue
                host, port = vm.address("directory").rsplit(":", 1)
                try:
                    answer = await wire.call((host, int(port)), "GET", f"/resolve?name={lounge.HOST}&region="
                                             f"ch-north&zone={self.domain}", limit=lounge.RESOLVE_S)
                    body = json.loads(answer.body) if answer.status == 200 else {}
                except (wire.Broken, ValueError):
                    body = {}
                if body.get("addrs"):
                    self.lookups["answered"] += 1
                    self.known = body["addrs"]
                    self.failed.clear()
                    self.known_until = time.monotonic() + self.lifetimes * body["ttl_s"]
                    return
                self.lookups["failed"] += 1

    async def connect(self, is_first):
        await self.resolve()
        while is_first and self.links:
            link = self.links.pop()
            if link.vm.address("front") in self.known and not link.reader.at_eof() and \
                    time.monotonic() - link.idle_since < 0.8 * lounge.IDLE_LIMIT_S:
                return link
            link.close()
        choices = [each for each in self.known if each not in self.failed] or self.known
        if not choices:
            await asyncio.sleep(0.05)
            raise wire.Broken("no address is known")
        address = self.draw.choice(choices)
        vm = self.by_address[address]
        try:
            async with asyncio.timeout(lounge.CONNECT_S):
                if vm.is_dark:
                    await asyncio.sleep(2 * lounge.CONNECT_S)
                host, port = address.rsplit(":", 1)
                return Link(vm, *await asyncio.open_connection(host, int(port)))
        except (OSError, TimeoutError) as error:
            self.failed.add(address)
            raise wire.Broken(f"no connection: {type(error).__name__}") from error

    def request(self, kind, left_s, last_event, attempt, sizes):
        headers = {"Host": lounge.HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": max(1, int(left_s * 1000)),
                   "Authorization": f"Bearer key-{lounge.TENANTS[self.index % len(lounge.TENANTS)]}"}
        if kind.type == "stream":
            prompt, events = sizes
            thing = self.draw.randrange(150)
            headers |= {"X-Model": "m", "X-Token-Count": f"{prompt + 60},{events * 5}",
                        "X-Prefix-Hash": f"a{kind.rank}:60,{0xb000 + thing:x}:{prompt}"}
            if last_event:
                headers["Last-Event-Id"] = last_event
        method = "GET" if kind.name == "read" else "POST"
        body = b"x" * kind.body
        if method == "POST":
            headers["Content-Length"] = len(body)
        return wire.render(f"{method} {kind.path}x HTTP/1.1", headers, body)

    async def attempt(self, kind, deadline, is_first, sizes):
        """Gives how it ended and whether the connection may have been read."""
        link = await self.connect(is_first)
        attempt = f"{self.draw.getrandbits(64):016x}"
        try:
            async with asyncio.timeout_at(deadline):
                link.writer.write(self.request(kind, deadline - time.monotonic(), None, attempt, sizes))
                head = await wire.read_head(link.reader)
                answer = await wire.read_body(link.reader, head, False)
        except (wire.Broken, OSError, ValueError, TimeoutError) as error:
            silent = link.is_silent
            if silent:
                left = deadline - time.monotonic()
                patience = max(2.0, 4 * kind.goal_ms / 1000) if kind.type == "stream" else left
                await asyncio.sleep(max(0.0, min(patience, left)))
            link.close()
            return "silent" if silent else f"cut {type(error).__name__}", None
        if not answer.whole:
            if link.is_silent:
                await asyncio.sleep(max(0.0, min(2.0, deadline - time.monotonic())))
            link.close()
            return "cut in the answer", None
        link.idle_since = time.monotonic()
        if answer.keeps:
            self.links.append(link)
        else:
            link.close()
        retry_after = float(answer.headers.get("retry-after", 0.0))
        return answer.status, retry_after if answer.status in PROMISES else None

    async def send(self, kind):
        """One request with its retry."""
        made = Sent(kind.name, time.monotonic())
        self.sent.append(made)
        deadline = made.at + kind.deadline_ms / 1000
        sizes = (max(20, int(kind.prompt * self.draw.lognormvariate(-0.5, 1.0))),
                 min(10 * kind.events, lounge.draw_count(self.draw, kind.events))) if kind.events else None
        if sizes:
            sizes = (min(sizes[0], 54600), int(sizes[1]))
        for number in range(2):
            pause, may_repeat = 0.0, kind.may_repeat
            try:
                how, promised = await self.attempt(kind, deadline, number == 0, sizes)
                if promised is not None:
                    may_repeat, pause = True, promised
            except wire.Broken as error:
                how, may_repeat = str(error), True
            made.tries.append(how)
            if how == 200:
                made.served = True
                break
            left = deadline - time.monotonic()
            if not may_repeat or pause > left / 3 or left <= 0.05:
                break
            await asyncio.sleep(pause or self.draw.uniform(0.0, 0.1))
        made.ended = time.monotonic()
