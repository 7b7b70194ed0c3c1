"""Callers of the soak, and what they may conclude from what they get."""

import asyncio
import json
import random
import time
from dataclasses import dataclass

import upstreams
import wire

# Statuses that promise that a request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
DEADLINE_S = 4.0


@dataclass
class Kind:
    """A kind of request: its path and whether it may run more than once."""

    name: str
    path: str
    may_repeat: bool
    streams: bool


KINDS = (
    Kind("charge", "/plain/once/", False, False),
    Kind("read", "/plain/again/", True, False),
    Kind("draft", "/stream/once/", False, True),
    Kind("chat", "/stream/resume/", True, True),
)


@dataclass
class Outcome:
    kind: Kind
    attempt: str
    node: str
    sent: float
    ended: float
    # None when the connection ended or could not be opened.
    status: int | None = None
    signature: str | None = None
    body: bytes = b""
    whole: bool = False
    opened: bool = False


class Caller:
    """Asks where to connect, keeps its connection while it lasts, and sends one request at a time."""

    def __init__(self, nodes, outcomes, seed):
        self.nodes = nodes
        self.outcomes = outcomes
        self.random = random.Random(seed)
        self.known = []
        self.known_until = 0.0
        self.connection = None
        self.stopping = False

    async def resolve(self):
        if time.monotonic() < self.known_until and self.known:
            return
        for node in self.random.sample(self.nodes, len(self.nodes)):
            try:
                answer = await wire.call(node.address("directory"), "GET",
                                         "/resolve?name=soak.example&region=soak&zone=a",
                                         limit=1.0)
                body = json.loads(answer.body) if answer.status == 200 else {}
            except (wire.Broken, ValueError):
                continue
            if body.get("addrs"):
                self.known = body["addrs"]
                self.known_until = time.monotonic() + body["ttl_s"]
                return

    def close(self):
        if self.connection:
            self.connection[2].close()
        self.connection = None

    async def connect(self):
        await self.resolve()
        if self.connection and self.connection[0] in self.known:
            return self.connection
        self.close()
        if not self.known:
            raise wire.Broken("no address is known")
        address = self.random.choice(self.known)
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        self.connection = (address, reader, writer)
        return self.connection

    async def send(self, kind, key="key-1"):
        attempt = f"{self.random.getrandbits(64):016x}"
        outcome = Outcome(kind, attempt, "", time.monotonic(), 0.0)
        headers = {"Host": "soak.example", "X-Attempt-Id": attempt, "Content-Length": 5,
                   "X-Deadline-Ms": int(DEADLINE_S * 1000), "Authorization": f"Bearer {key}"}
        if kind.streams:
            headers |= {"X-Model": "m", "X-Token-Count": "120,60",
                        "X-Prefix-Hash": f"a1:40,{attempt[:8]}:80"}
        try:
            async with asyncio.timeout(DEADLINE_S + 1.0):
                address, reader, writer = await self.connect()
                outcome.node, outcome.opened = address, True
                writer.write(wire.render(f"POST {kind.path}x HTTP/1.1", headers, b"hello"))
                await writer.drain()
                head = await wire.read_head(reader)
                outcome.status = head.status
                outcome.signature = head.headers.get("x-server-signature")
                await wire.read_body(reader, head, False)
                outcome.body, outcome.whole = head.body, head.whole
                if not head.keeps:
                    self.close()
        except (wire.Broken, OSError, TimeoutError, ValueError):
            self.close()
        outcome.ended = time.monotonic()
        self.outcomes.append(outcome)
        return outcome

    async def run(self, pause_s):
        while not self.stopping:
            await self.send(self.random.choice(KINDS))
            await asyncio.sleep(pause_s * self.random.uniform(0.5, 1.5))
        self.close()


def expected_stream(attempt):
    return b"".join(upstreams.event_text(number, attempt)
                    for number in range(1, upstreams.EVENTS + 1))


def wrong_success(outcome, runs):
    """What is wrong with a success, or None."""
    if outcome.signature is None:
        return "a success without a signature"
    instance = outcome.signature.rsplit(".", 1)[0]
    if outcome.signature != f"{instance}.{outcome.attempt}":
        return "an answer to another request"
    if instance not in [run.instance for run in runs]:
        return "signed by an upstream that did not run it"
    if not outcome.kind.streams:
        expected = upstreams.plain_body(outcome.attempt, instance)
        return None if outcome.body == expected or not outcome.whole else "another body"
    expected = expected_stream(outcome.attempt)
    if outcome.whole:
        return None if outcome.body == expected else "events missing, doubled or mixed"
    return None if expected.startswith(outcome.body) else "a cut stream with wrong events"


def check(outcomes, ledger):
    """Every broken promise, as text."""
    broken = []
    sent = {outcome.attempt: outcome for outcome in outcomes}
    for attempt, runs in ledger.runs.items():
        outcome = sent.get(attempt)
        if outcome is None:
            broken.append(f"{attempt}: ran and nobody asked for it")
            continue
        if len(runs) > 1 and not outcome.kind.may_repeat:
            broken.append(f"{attempt}: {outcome.kind.name} ran {len(runs)} times")
        if outcome.status in NOT_RUN and not outcome.kind.may_repeat:
            broken.append(f"{attempt}: {outcome.kind.name} got {outcome.status} and has run")
        for run in runs:
            if run.team != "team-1" or run.has_key:
                broken.append(f"{attempt}: reached an upstream as team {run.team!r}, "
                              f"with its key: {run.has_key}")
    for outcome in outcomes:
        if outcome.status == 200:
            wrong = wrong_success(outcome, ledger.runs.get(outcome.attempt, []))
            if wrong:
                broken.append(f"{outcome.attempt}: {outcome.kind.name}: {wrong}")
        if outcome.status in (400, 401, 403, 404):
            broken.append(f"{outcome.attempt}: a proper request got {outcome.status}")
    return broken
