"""Callers of the soak, and what they may conclude from what they get."""

import asyncio
import hashlib
import json
import random
import socket
import time
from dataclasses import dataclass

import upstreams
import wire

# Statuses that promise that a request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
DEADLINE_S = 4.0
# Shorter than every deadline and time-out: before, neither is a reason to end an answer.
NO_EXCUSE_S = 3.3
# A request that is still open after this time has been read.
READ_WITHIN_S = 0.5
# Time after an answer said that its upstream leaves, from which on nothing more may reach it.
DRAIN_S = 2.0
# Time after a refusal that asks for a pause, from which on so many may still reach the upstream.
PAUSE_BEGINS_S = 0.5
MOST_IN_PAUSE = 2
# The longest pause of the callers that idle.
IDLE_S = 4.0
# Of the callers that read slowly.
RECEIVE_BUFFER_BYTES = 65536
READ_PAUSE_S = (0.02, 0.08)
# Share of requests whose body comes in chunks, and the pause after each of its bytes.
CHUNKED_SHARE = 0.05
BYTE_PAUSE_S = 0.002
# Share of requests that callers give up, and after how long.
LEAVING_SHARE = 0.04
LEAVES_AFTER_S = (0.0, 0.04)
# Some callers keep a list of addresses for so many of its lifetimes.
LONG_LIFETIMES = 3
# Bodies beyond this length are kept as their digest.
LONGEST_KEPT_BYTES = 65536


@dataclass
class Kind:
    """A kind of request: its path and whether it may run more than once."""

    name: str
    path: str
    may_repeat: bool
    streams: bool
    is_large: bool = False


EXTRA = Kind("extra", "/extra/", True, False)
ASSURED = (
    Kind("charge", "/plain/once/", False, False),
    Kind("read", "/plain/again/", True, False),
    Kind("draft", "/stream/once/", False, True),
    Kind("chat", "/stream/resume/", True, True),
    Kind("export", "/plain/large/", False, False, True),
)
STREAMS = tuple(kind for kind in ASSURED if kind.streams)
# The route and the team of the last one come and go.
KINDS = (*ASSURED, EXTRA)
KIND_WEIGHTS = (4, 4, 4, 4, 1, 1)
SLOW_KIND_WEIGHTS = (2, 2, 2, 2, 8, 0)


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
    # Whether the answer said that its upstream leaves.
    says_leaving: bool = False
    # Whether the other side ended the connection before the answer was complete.
    cut: bool = False
    # Whether the caller gave the request up.
    left: bool = False
    # Whether it has a part that ends upstreams.
    is_bad: bool = False


def kept(body):
    return body if len(body) <= LONGEST_KEPT_BYTES else hashlib.sha256(body).digest()


class Caller:
    """Asks where to connect, keeps its connection while it lasts, and sends one request at a time."""

    def __init__(self, nodes, outcomes, seed, reads_slowly=False, operator=None, leaves=False, parts=None):
        self.nodes = nodes
        self.parts = parts
        self.leaves = leaves
        self.outcomes = outcomes
        self.random = random.Random(seed)
        self.known = []
        self.known_until = 0.0
        self.connection = None
        self.stopping = False
        self.reads_slowly = reads_slowly
        # Whoever knows the operator idles for up to four fifths of the limit when it last asked.
        self.operator = operator
        self.idle_s = 0.0

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
                lifetimes = LONG_LIFETIMES if self.reads_slowly else 1
                self.known_until = time.monotonic() + lifetimes * body["ttl_s"]
                return

    def close(self):
        if self.connection:
            self.connection[2].close()
        self.connection = None

    async def connect(self):
        if self.connection and not self.connection[1].at_eof():
            return self.connection
        self.close()
        await self.resolve()
        if not self.known:
            raise wire.Broken("no address is known")
        address = self.random.choice(self.known)
        host, port = address.rsplit(":", 1)
        opening = socket.socket()
        opening.setblocking(False)
        if self.reads_slowly:
            opening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        try:
            await asyncio.get_running_loop().sock_connect(opening, (host, int(port)))
        except BaseException:
            opening.close()
            raise
        reader, writer = await asyncio.open_connection(sock=opening)
        self.connection = (address, reader, writer)
        return self.connection

    async def write_request(self, writer, first, headers):
        """Some bodies come in chunks, byte by byte, and some of these are empty."""
        if self.random.random() >= CHUNKED_SHARE:
            writer.write(wire.render(first, headers, b"hello"))
            await writer.drain()
            return
        framing = {key: value for key, value in headers.items() if key != "Content-Length"}
        writer.write(wire.render(first, framing | {"Transfer-Encoding": "chunked"}))
        body = self.random.choice((b"", b"5\r\nhello\r\n")) + b"0\r\n\r\n"
        for each in body:
            writer.write(bytes([each]))
            await writer.drain()
            await asyncio.sleep(BYTE_PAUSE_S)

    async def send(self, kind, bad_part=None):
        attempt = f"{self.random.getrandbits(64):016x}"
        outcome = Outcome(kind, attempt, "", time.monotonic(), 0.0, is_bad=bad_part is not None)
        headers = {"Host": "soak.example", "X-Attempt-Id": attempt, "Content-Length": 5,
                   "X-Deadline-Ms": int(DEADLINE_S * 1000),
                   "Authorization": f"Bearer {'key-2' if kind is EXTRA else 'key-1'}"}
        if kind.streams:
            headers |= {"X-Model": "m", "X-Token-Count": "120,60",
                        "X-Prefix-Hash": self.parts.prompt(attempt, bad_part) if self.parts
                        else f"a1:40,{attempt[:8]}:80"}
        try:
            async with asyncio.timeout(DEADLINE_S):
                outcome.node, reader, writer = await self.connect()
            outcome.opened, outcome.sent = True, time.monotonic()
            async with asyncio.timeout(DEADLINE_S + 1.0):
                await self.write_request(writer, f"POST {kind.path}x HTTP/1.1", headers)
                if self.leaves and self.random.random() < LEAVING_SHARE:
                    await asyncio.sleep(self.random.uniform(*LEAVES_AFTER_S))
                    outcome.left = True
                    return self.end(outcome)
                head = await wire.read_head(reader)
                outcome.status = head.status
                outcome.signature = head.headers.get("x-server-signature")
                outcome.says_leaving = head.headers.get("server-leaving") == "1"
                pause_s = self.random.uniform(*READ_PAUSE_S) if self.reads_slowly else 0.0
                await wire.read_body(reader, head, False, pause_s)
                outcome.body, outcome.whole = kept(head.body), head.whole
                outcome.cut = not head.whole
                if not head.keeps:
                    self.close()
        except TimeoutError:
            self.close()
        except (wire.Broken, OSError, ValueError):
            outcome.cut = outcome.opened
            self.close()
        return self.end(outcome)

    def end(self, outcome):
        if outcome.left:
            self.close()
        outcome.ended = time.monotonic()
        self.outcomes.append(outcome)
        return outcome

    async def run(self, pause_s):
        while not self.stopping:
            if self.operator:
                self.idle_s = self.operator.plan["idle_ms"] / 1000
            weights = SLOW_KIND_WEIGHTS if self.reads_slowly else KIND_WEIGHTS
            await self.send(self.random.choices(KINDS, weights)[0])
            if self.operator and self.random.random() < 0.5:
                await asyncio.sleep(min(IDLE_S, 0.8 * self.idle_s) * self.random.random())
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
        expected = kept(upstreams.plain_body(outcome.attempt, instance, outcome.kind.is_large))
        return None if outcome.body == expected or not outcome.whole else "another body"
    expected = expected_stream(outcome.attempt)
    if outcome.whole:
        return None if outcome.body == expected else "events missing, doubled or mixed"
    return None if expected.startswith(outcome.body) else "a cut stream with wrong events"


def lost(outcome, ledger):
    """How a request was lost, or None."""
    took = outcome.ended - outcome.sent
    if not outcome.cut or took > NO_EXCUSE_S or \
            ledger.touched("trouble", outcome.node, outcome.sent, outcome.ended):
        return None
    runs = ledger.runs.get(outcome.attempt, [])
    for run in runs:
        if not ledger.touched("trouble", run.upstream, run.began, outcome.ended):
            return f"LOST: cut {took:.2f} s after it was sent, while {run.instance} was sound"
    if not runs and took > READ_WITHIN_S and \
            ledger.touched("planned", outcome.node, outcome.sent, outcome.ended):
        return f"LOST: read whole beside planned work, and cut after {took:.2f} s"
    return None


def sent_to_leaving(outcomes, ledger):
    """Requests that a node sent to an upstream long after it had passed on that it leaves."""
    told = {}
    for outcome in outcomes:
        if outcome.says_leaving and outcome.signature:
            key = (outcome.node, outcome.signature.rsplit(".", 1)[0])
            told[key] = min(told.get(key, outcome.ended), outcome.ended)
    broken = []
    for outcome in outcomes:
        for run in ledger.runs.get(outcome.attempt, []):
            since = told.get((outcome.node, run.instance))
            if since is None or outcome.sent <= since + DRAIN_S or \
                    ledger.touched("trouble", outcome.node, since, outcome.sent):
                continue
            broken.append(f"{outcome.attempt}: DRAIN: {outcome.node} sent it to {run.instance} "
                          f"{outcome.sent - since:.2f} s after it had passed on that it leaves")
    return broken


def sent_into_pauses(outcomes, ledger):
    """Pauses that an upstream had asked a node for, and that it did not keep."""
    node_of = {outcome.attempt: outcome.node for outcome in outcomes}
    by_sender = {}
    for arrival in ledger.arrivals:
        key = (node_of.get(arrival.attempt), arrival.instance)
        by_sender.setdefault(key, []).append(arrival)
    broken = []
    for (node, instance), arrivals in by_sender.items():
        for told in arrivals:
            begins, ends = told.at + PAUSE_BEGINS_S, told.at + told.pause_s
            inside = sum(begins < each.at < ends for each in arrivals)
            if node and inside > MOST_IN_PAUSE and \
                    not ledger.touched("trouble", node, told.at, ends):
                broken.append(f"{told.attempt}: BUDGET: {node} sent {inside} requests to {instance} "
                              f"while that had asked for a pause of {told.pause_s:.1f} s")
                break
    return broken


def check(outcomes, ledger):
    """Every broken promise, as text."""
    broken = sent_to_leaving(outcomes, ledger) + sent_into_pauses(outcomes, ledger)
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
            if run.team != ("team-2" if outcome.kind is EXTRA else "team-1") or run.has_key:
                broken.append(f"{attempt}: reached an upstream as team {run.team!r}, "
                              f"with its key: {run.has_key}")
    for outcome in outcomes:
        if outcome.status == 200:
            wrong = wrong_success(outcome, ledger.runs.get(outcome.attempt, []))
            if wrong:
                broken.append(f"{outcome.attempt}: {outcome.kind.name}: {wrong}")
        allowed = (401, 404) if outcome.kind is EXTRA else (400,) if outcome.is_bad else ()
        if outcome.status in (400, 401, 403, 404) and outcome.status not in allowed:
            broken.append(f"{outcome.attempt}: a proper request got {outcome.status}")
        how = lost(outcome, ledger)
        if how:
            broken.append(f"{outcome.attempt}: {outcome.kind.name} at {outcome.node}: {how}")
    return broken
