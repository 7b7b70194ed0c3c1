"""Stand-ins for the scripts of the review: platform store, servers, clients, and the daemon's processes.

They speak what the users' pages say (PROTOCOL.md, DEPLOY.md) on loopback addresses and the real clock, and nothing
more: the store loses nothing and answers in order of its revisions, servers run what they accept.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds of lpc-lounge, as in its site file.
BOUNDS = {"grace_s": 8, "retry_ratio": 0.2, "retry_slack": 52, "retry_window_s": 10, "quota_window_s": 8,
          "quota_overrun": 0.1, "quota_slack": 140000, "canary_share": 0.1, "canary_slack": 50}
STORE_ANSWER_S = 0.004
PAGE_SIZE = 500
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, for record.txt."""

    def __init__(self, case):
        self.path = Path(case) / "record.txt"
        self.began = time.monotonic()
        self.lines = []

    def __call__(self, text, at=None):
        self.lines.append(f"{(at or time.monotonic()) - self.began:9.3f} {text}")

    def write(self):
        self.path.write_text("\n".join(self.lines) + "\n")


class Network:
    """A part of 127.0.0.0/8 that no other process listens on, and the ports that all nodes share."""

    def __init__(self):
        for _ in range(50):
            self.net = random.SystemRandom().randrange(2, 250)
            self.port = random.SystemRandom().randrange(11000, 30000)
            if self._is_free():
                return
        raise CannotRun("no free addresses")

    def _is_free(self):
        """Whether machines, stores and servers can listen there."""
        wanted = [(self.address(0, 10 + index), port, kind) for index in range(8)
                  for port in (9464, *range(self.port, self.port + 4)) for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)]
        wanted += [(self.address(block, 1), self.port, socket.SOCK_STREAM) for block in (1, 100, 101, 102, 103)]
        for address, port, kind in wanted:
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((address, port))
                except OSError:
                    return False
        return True

    def address(self, block, host):
        return f"127.{self.net}.{block}.{host}"


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines[1:]:
        key, _, value = line.partition(":")
        headers[key.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([part async for part in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", 0)))


def render(status, headers, body=b""):
    text = f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\n"
    text += "".join(f"{key}: {value}\r\n" for key, value in headers.items())
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Store:
    """The platform's store: objects by kind and name, one revision counter, lists in pages, watches."""

    def __init__(self):
        self.kinds = {}
        self.revision = 100
        self.history = []
        self.changed = asyncio.Event()
        self.servers = []
        self.connections = set()
        # Called with (label of the listener, method, kind, query) before a call is carried out.
        self.on_call = None
        # When a watch was open last, by the label of the listener.
        self.watching = {}

    async def listen(self, label, address, port):
        async def serve(reader, writer):
            task = asyncio.current_task()
            self.connections.add(task)
            try:
                await self._serve(label, reader, writer)
            except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                pass
            finally:
                self.connections.discard(task)
                writer.close()
        self.servers.append(await asyncio.start_server(serve, address, port))

    async def _serve(self, label, reader, writer):
        while True:
            line, headers = await read_head(reader)
            body = await read_body(reader, headers)
            method, target, _ = line.split(" ")
            status, answer = await self._call(label, method, target, body)
            writer.write(render(status, {"Content-Type": "application/json"}, json.dumps(answer).encode()))
            await writer.drain()

    async def _call(self, label, method, target, body):
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query, keep_blank_values=True).items()}
        path = [unquote(each) for each in parts.path.split("/")][2:]
        kind, name = path[0], path[1] if len(path) > 1 else None
        if self.on_call:
            self.on_call(label, method, kind, query)
        if method == "GET" and "watch" in query:
            return await self._watch(label, kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        made = self._carry_out(method, kind, name, len(path) > 2, query, json.loads(body) if body else None)
        await asyncio.sleep(STORE_ANSWER_S)
        return made

    def _carry_out(self, method, kind, name, is_status, query, given):
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and name is None:
            names = sorted(each for each in objects if each > query.get("after", ""))
            return 200, {"entries": [objects[each] for each in names[:PAGE_SIZE]],
                         "has_more": len(names) > PAGE_SIZE, "current_rev": self.revision}
        if method == "POST":
            name = given["meta"]["name"]
            if name in objects:
                return 409, objects[name]
            return 200, self.put(kind, name, given.get("spec"))
        if name not in objects:
            return 404, {}
        known = objects[name]
        expected = query.get("revision") or (given or {}).get("meta", {}).get("revision")
        if method != "GET" and expected and int(expected) != known["meta"]["revision"]:
            return 409, known
        if method == "PUT" and is_status:
            return 200, self.put(kind, name, known["spec"], given.get("status"))
        if method == "PUT":
            return 200, self.put(kind, name, given.get("spec"), known["status"])
        if method == "DELETE":
            return 200, self.remove(kind, name)
        return 200, known

    def put(self, kind, name, spec, status=None):
        """A write of the operator, a server or a node; gives the object as it is then."""
        objects = self.kinds.setdefault(kind, {})
        known = objects.get(name)
        if known and known["spec"] == spec and known["status"] == status:
            return known
        self.revision += 1
        created = known["meta"]["created"] if known else self.revision
        made = {"meta": {"name": name, "revision": self.revision, "created": created, "finalizers": [],
                         "deleting": False}, "spec": spec, "status": status}
        objects[name] = made
        self._tell(kind, made, False)
        return made

    def remove(self, kind, name):
        made = self.kinds[kind].pop(name)
        self.revision += 1
        self._tell(kind, {**made, "meta": {**made["meta"], "revision": self.revision}}, True)
        return made

    def _tell(self, kind, made, removed):
        self.history.append((self.revision, kind, {"removed": removed, "object": made}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _watch(self, label, kind, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            events = [event for at, of, event in self.history if at > after and of == kind]
            left = until - time.monotonic()
            if events or left <= 0:
                break
            self.watching[label] = time.monotonic()
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
            except asyncio.TimeoutError:
                pass
        made = 200, {"events": events, "current_rev": self.revision}
        await asyncio.sleep(STORE_ANSWER_S)
        return made


class Server:
    """One server of a service: registers itself, runs what it accepts, drains as the pages say."""

    def __init__(self, store, record, name, service, address, port, slots=6, work_s=0.015, zone="a"):
        self.store, self.record = store, record
        self.name, self.service, self.address, self.port = name, service, address, port
        self.slots, self.work_s, self.zone = slots, work_s, zone
        self.runs = []
        self.drained_at = None
        self.listener = None
        self.connections = set()
        self.born = int(time.time() * 1000)

    def entry(self, state="ready"):
        return {"service": self.service, "addr": f"{self.address}:{self.port}", "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": state, "cold_left_ms": 0, "seq": 1, "born": self.born}

    async def start(self):
        self.listener = await asyncio.start_server(self._serve, self.address, self.port)

    def register(self):
        self.store.put("servers", self.name, self.entry())

    def drain(self):
        """Reports `draining`; the return is the store's acknowledgement."""
        made = self.store.put("servers", self.name, self.entry("draining"))
        self.drained_at = time.monotonic()
        return made["meta"]["revision"]

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self.handle(line, headers, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, line, headers, body, writer):
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(render(421, {"X-Instance-Id": self.name, "X-Attempt-Id": attempt}))
            return
        self.runs.append((attempt, time.monotonic(), line))
        await asyncio.sleep(self.work_s)
        extra = {"Connection": "close"} if self.drained_at else {}
        writer.write(render(200, {"X-Attempt-Id": attempt, "X-Server-Signature": f"{self.name}.{attempt}", **extra},
                            f"ran {attempt}".encode()))
        await writer.drain()

    def stop(self):
        self.listener.close()
        for each in list(self.connections):
            each.close()


class Node:
    """A process of the daemon on an address of its own, started as the deploy file says."""

    def __init__(self, network, work, index, seeds, store_address, zone):
        self.name = f"edge-{zone}-{index}"
        self.ip = network.address(0, 10 + index)
        self.port = network.port
        self.work, self.child, self.log = Path(work), None, Path(work) / f"{self.name}.log"
        values = {"node": self.name, "region": "r", "zone": zone, "ip": self.ip, "seeds": seeds,
                  "platform.addr": store_address, "listen.front": f"{self.ip}:{self.port}",
                  "listen.ready": f"{self.ip}:{self.port + 1}", "listen.directory": f"{self.ip}:{self.port + 2}",
                  "listen.control": f"{self.ip}:{self.port + 3}"}
        values |= {f"bounds.{key}": str(value) for key, value in BOUNDS.items()}
        template = (ROOT / "deploy/gateway.ini").read_text()
        self.settings = self.work / f"{self.name}.conf"
        self.settings.write_text(re.sub(r"\{\{([^}]*)\}\}", lambda found: values.get(found[1], ""), template))

    async def start(self):
        with open(self.log, "ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                "target/ragwortcoved", "--config", str(self.settings), cwd=ROOT, stdout=log, stderr=log)

    def send_signal(self, number):
        if self.child and self.child.returncode is None:
            self.child.send_signal(number)

    async def terminate(self):
        self.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.child.wait(), BOUNDS["grace_s"])
        except asyncio.TimeoutError:
            await self.kill()

    async def kill(self):
        if self.child and self.child.returncode is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            await self.child.wait()

    async def is_ready(self):
        try:
            status, _, _ = await call(self.ip, self.port + 1, "GET", "/readyz", {"Host": "x"}, timeout=0.5)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_until_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if self.child.returncode is not None:
                raise CannotRun(f"{self.name} ended with {self.child.returncode}")
            if await self.is_ready():
                return
            await asyncio.sleep(0.02)
        raise CannotRun(f"{self.name} is not ready")


async def call(ip, port, method, target, headers, body=b"", timeout=3.0):
    """One request on a connection of its own; gives status, headers and body."""
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            text = f"{method} {target} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers.items())
            if body or method == "POST":
                text += f"Content-Length: {len(body)}\r\n"
            writer.write((text + "\r\n").encode() + body)
            await writer.drain()
            line, answered = await read_head(reader)
            return int(line.split(" ")[1]), answered, await read_body(reader, answered)
        finally:
            writer.close()


def new_attempt():
    return f"{random.getrandbits(64):016x}"


def route(name, service, prefix, kind="idempotent", **more):
    return {"name": name, "host": "site.example", "prefix": prefix, "type": kind, "timeout_ms": 3000, "goal_ms": 200,
            "prio": 1, "service": service, "attempts": 2, "public": False, "sticky": kind == "stream",
            "can_resume": False, "itl_target_ms": 500} | more


def tenant(name="team-1", key="key-1", **more):
    return {"name": name, "api_keys": [key], "prio": 1, "unit": "token", "raw_tokens": 200, "rate_per_s": 10000000,
            "burst": 10000000} | more


def configuration(routes, services, tenants, version=1):
    return {"version": version, "routes": routes, "services": services, "tenants": tenants,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def run_case(case, play):
    """Plays a case and ends with its exit code: 1 the rule was broken, 0 it held, 2 it could not run."""
    record = Record(case)

    async def whole():
        with tempfile.TemporaryDirectory() as work:
            started = []
            try:
                async with asyncio.timeout(110):
                    return await play(record, work, started)
            finally:
                for each in started:
                    await each.kill()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for log in Path(work).glob("*.log"):
                        (Path(keep) / log.name).write_bytes(log.read_bytes())

    try:
        broken = asyncio.run(whole())
        code = 1 if broken else 0
    except Exception as error:  # Only a broken rule may end with 1.
        record(f"the case could not run: {error!r}")
        code = 2
    record(f"exit {code}: " + {0: "the rule held", 1: "the rule was broken", 2: "not run"}[code])
    record.write()
    print(record.lines[-1])
    sys.exit(code)
