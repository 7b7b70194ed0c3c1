"""Small stand-ins of the users' platform for the scripts under review/: the metadata store, servers,
clients, and the machines that run the project's daemon. Everything listens on loopback addresses."""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DAEMON = ROOT / "target" / "ragwortcoved"
TEMPLATE = ROOT / "deploy" / "gateway.ini"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PORTS = {"front": 8221, "ready": 8224, "control": 8229, "directory": 8220}
ZONES = ("zrh-a", "gva-b", "bsl-c")
# As in the settings of a small deployment.
BOUNDS = {"grace_s": 8, "retry_ratio": 0.2, "retry_slack": 52, "retry_window_s": 10,
          "quota_window_s": 8, "quota_overrun": 0.1, "quota_slack": 140000, "canary_share": 0.1,
          "canary_slack": 50}


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, with the time since the start of the script."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """First line, headers by lower-case name, and whole body of an HTTP/1.1 message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif head[0].startswith("HTTP/"):
        body = await reader.read()
    return head[0], headers, body


def render(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def json_answer(status, content):
    body = json.dumps(content).encode()
    return render(f"HTTP/1.1 {status} Status",
                  {"Content-Type": "application/json", "Content-Length": len(body)}, body)


class Store:
    """The platform's metadata store as its page tells: objects by kind and name, one revision."""

    HISTORY = 5000

    def __init__(self):
        self.revision = 100
        self.kinds = {}
        self.history = []
        self.changed = asyncio.Event()
        # Time after which a watch that has heard nothing is cut off; none while unset.
        self.cut_watches_after_s = None
        self.cuts = 0

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port)

    def note(self, kind, stored, removed):
        self.history.append((self.revision, kind, json.loads(json.dumps(stored)), removed))
        del self.history[:-self.HISTORY]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec=None, status=None):
        objects = self.kinds.setdefault(kind, {})
        known = objects.get(name)
        if known and (spec is None or known["spec"] == spec) and \
                (status is None or known["status"] == status):
            return known
        self.revision += 1
        created = known["meta"]["created"] if known else self.revision
        stored = {"meta": {"name": name, "revision": self.revision, "created": created,
                           "finalizers": [], "deleting": False},
                  "spec": spec if spec is not None else (known or {}).get("spec"),
                  "status": status if status is not None else (known or {}).get("status")}
        objects[name] = stored
        self.note(kind, stored, False)
        return stored

    def beat(self, name, spec):
        """A server's heartbeat: the entry changes when more than `seq` does."""
        known = self.kinds.get("servers", {}).get(name)
        if known and known["spec"] | {"seq": 0} == spec | {"seq": 0}:
            known["spec"]["seq"] = spec["seq"]
        else:
            self.put("servers", name, spec)

    def remove(self, kind, name):
        stored = self.kinds.get(kind, {}).pop(name, None)
        if stored:
            self.revision += 1
            stored["meta"]["revision"] = self.revision
            self.note(kind, stored, True)
        return stored

    async def serve(self, reader, writer):
        try:
            while True:
                first, _, body = await read_message(reader)
                answer = await self.answer(first, body)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def answer(self, first, body):
        method, target, _ = first.split(" ")
        path, _, query = target.partition("?")
        asked = dict(urllib.parse.parse_qsl(query))
        parts = path.strip("/").split("/")
        if parts[0] != "objects" or len(parts) < 2:
            return json_answer(404, {})
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        if method == "GET" and "watch" in asked:
            return await self.watch(kind, int(asked["watch"]), int(asked.get("wait_ms", 0)))
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and name is None:
            names = [each for each in sorted(objects) if each > asked.get("after", "")]
            return json_answer(200, {"entries": [objects[each] for each in names[:500]],
                                     "has_more": len(names) > 500, "current_rev": self.revision})
        known = objects.get(name)
        given = json.loads(body) if body else {}
        if method == "POST":
            name = given["meta"]["name"]
            if name in objects:
                return json_answer(409, objects[name])
            return json_answer(200, self.put(kind, name, given.get("spec"), given.get("status")))
        if known is None:
            return json_answer(404, {})
        if method == "GET":
            return json_answer(200, known)
        wanted = asked.get("revision") or given.get("meta", {}).get("revision")
        if wanted is not None and int(wanted) != known["meta"]["revision"]:
            return json_answer(409, known)
        if method == "DELETE":
            return json_answer(200, self.remove(kind, name))
        if len(parts) > 3:
            return json_answer(200, self.put(kind, name, status=given.get("status")))
        return json_answer(200, self.put(kind, name, given.get("spec")))

    async def watch(self, kind, after, wait_ms):
        if self.history and after < self.history[0][0] - 1 and len(self.history) == self.HISTORY:
            return json_answer(410, {})
        began = time.monotonic()
        ends = began + wait_ms / 1000
        while True:
            events = [{"object": stored, "removed": removed}
                      for at, of, stored, removed in self.history if of == kind and at > after]
            left = ends - time.monotonic()
            if events or left <= 0:
                return json_answer(200, {"events": events, "current_rev": self.revision})
            if self.cut_watches_after_s is not None:
                left = min(left, began + self.cut_watches_after_s - time.monotonic())
                if left <= 0:
                    self.cuts += 1
                    return None
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Server:
    """A sound plain server: announces itself, runs requests, and tells what it has run."""

    def __init__(self, name, service, zone, store, record, slots=6, work_s=0.015):
        self.work_s = work_s
        self.name, self.service, self.zone = name, service, zone
        self.store, self.record, self.slots = store, record, slots
        self.born = int(time.time() * 1000)
        self.runs = []
        self.writers = set()

    async def start(self, host, port):
        self.host, self.port = host, port
        self.free = asyncio.Semaphore(self.slots)
        self.listener = await asyncio.start_server(self.serve, host, port)
        self.beating = asyncio.create_task(self.beat())

    async def beat(self):
        count = 0
        while True:
            count += 1
            self.beaten_at = time.monotonic()
            self.store.beat(self.name, {
                "service": self.service, "addr": f"{self.host}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": "ready", "cold_left_ms": 0,
                "seq": count, "born": self.born})
            await asyncio.sleep(1.2)

    def leave_unannounced(self):
        """The entry goes, without `draining` before; the server goes on serving."""
        self.beating.cancel()
        self.store.remove("servers", self.name)

    def exit(self):
        """The process ends: nothing listens any more, and open connections break."""
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                writer.write(await self.answer(first, headers, body))
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, first, headers, body):
        attempt = headers.get("x-attempt-id", "")
        common = {"X-Attempt-Id": attempt}
        if headers.get("x-expect-instance", self.name) != self.name:
            return render("HTTP/1.1 421 Misdirected", {**common, "Content-Length": 0})
        arrived = self.record.now()
        async with self.free:
            self.runs.append({"attempt": attempt, "at": arrived, "server": self.name,
                              "tenant": headers.get("x-tenant", "")})
            self.record.write(f"run {attempt} at {self.name}, tenant {headers.get('x-tenant')}")
            await asyncio.sleep(self.work_s)
        text = f"answer {attempt}".encode()
        return render("HTTP/1.1 200 OK", {**common, "X-Server-Signature": f"{self.name}.{attempt}",
                                          "Content-Length": len(text)}, text)


FAILURES = (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError)


class DirectoryClient:
    """Keeps the directory's answer for its lifetime, or three times as long, and longer without a new
    one; picks an address at random for each new connection, but none that has failed it."""

    def __init__(self, machines, zone, lifetimes, record):
        self.nearest = sorted(machines, key=lambda each: (each.zone != zone, random.random()))
        self.zone, self.lifetimes, self.record = zone, lifetimes, record
        self.addresses, self.failed, self.known_until = [], set(), 0.0

    async def address(self, host):
        """An address to connect to, or None."""
        left = [each for each in self.addresses if each not in self.failed]
        if self.record.now() >= self.known_until or not left:
            await self.resolve(host)
            left = [each for each in self.addresses if each not in self.failed]
        return random.choice(left) if left else None

    async def resolve(self, host):
        query = f"/resolve?name={host}&region=ch-north&zone={self.zone}"
        for machine in self.nearest[:3]:
            try:
                status, _, body = await call(machine.host, PORTS["directory"], "GET", query,
                                             limit=1.0)
                answer = json.loads(body) if status == 200 else {}
            except FAILURES:
                continue
            if answer.get("addrs"):
                self.addresses, self.failed = answer["addrs"], set()
                self.known_until = self.record.now() + self.lifetimes * min(answer["ttl_s"], 5)
                return

    async def get(self, host, target, headers, sent, attempt):
        """Sends one request on a new connection; records it in `sent` once it is sent."""
        address = await self.address(host)
        if address is None:
            self.record.write(f"{attempt} found no address")
            return
        ip, port = address.split(":")
        sent[attempt] = self.record.now()
        self.record.write(f"sent {attempt} to {ip}")
        try:
            status, _, _ = await call(ip, int(port), "GET", target, headers, limit=2.0)
        except FAILURES as error:
            status = type(error).__name__
            self.failed.add(address)
        self.record.write(f"answered {attempt} {status}")


class Machine:
    """One machine of the system: the daemon as the deploy file starts it, at an address of its own."""

    def __init__(self, name, host, zone, seeds, store, work):
        self.name, self.host, self.zone = name, host, zone
        self.settings = Path(work) / f"{name}.conf"
        self.log = Path(work) / f"{name}.log"
        self.child = None
        self.write_settings(seeds, store)

    def write_settings(self, seeds, store):
        values = {"node": self.name, "region": "ch-north", "zone": self.zone, "ip": self.host,
                  "seeds": ",".join(seeds), "platform.addr": store}
        values |= {f"listen.{key}": f"{self.host}:{port}" for key, port in PORTS.items()}
        values |= {f"bounds.{key}": str(value) for key, value in BOUNDS.items()}
        text = TEMPLATE.read_text()
        for key, value in values.items():
            text = text.replace("{{" + key + "}}", value)
        self.settings.write_text(text)

    @property
    def control(self):
        return f"{self.host}:{PORTS['control']}"

    async def start(self):
        with open(self.log, "ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                str(DAEMON), "--config", str(self.settings), stdout=log, stderr=log, cwd=ROOT)

    def runs(self):
        return self.child is not None and self.child.returncode is None

    def send(self, number):
        if self.runs():
            self.child.send_signal(number)

    async def kill(self):
        if self.runs():
            self.child.send_signal(signal.SIGKILL)
            await self.child.wait()

    async def is_ready(self):
        try:
            status, _, _ = await call(self.host, PORTS["ready"], "GET", "/readyz", limit=0.5)
            return status == 200
        except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, limit_s=15.0):
        ends = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > ends or not self.runs():
                raise CannotRun(f"{self.name} did not become ready")
            await asyncio.sleep(0.05)


async def call(host, port, method, target, headers=None, body=b"", limit=5.0):
    """One request on a connection of its own: status, headers and body of the answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            framed = {"Host": host, **(headers or {})}
            if body or method == "POST":
                framed["Content-Length"] = len(body)
            writer.write(render(f"{method} {target} HTTP/1.1", framed, body))
            await writer.drain()
            first, got, text = await read_message(reader)
            return int(first.split()[1]), got, text
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), limit)


def free_network():
    """Prefix of loopback addresses on which all ports of a machine are free."""
    for _ in range(50):
        prefix = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        try:
            for last in (1, 2, 3, 4, 5, 6, 7, 8, 100, 101, 102, 103):
                for port in (*PORTS.values(), 9464, 8225):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((f"{prefix}.{last}", port))
            return prefix
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


def make_config(version, service, tenants, routes, idle_ms=15000, body_bytes=4194304):
    return {"version": version, "routes": routes, "tenants": tenants,
            "services": [{"name": service}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": body_bytes,
                       "header_timeout_ms": 5000, "idle_timeout_ms": idle_ms}}


def make_route(name, service, kind="idempotent", attempts=2, timeout_ms=1500):
    return {"name": name, "host": "ficu95.example", "prefix": f"/{name}/", "type": kind,
            "service": service, "attempts": attempts, "timeout_ms": timeout_ms, "goal_ms": 100,
            "prio": 0, "public": False}


def play(path, case, limit_s=110):
    """Runs `case(record, prefix, work, machines)`; it gives True when the rule was broken."""
    if not DAEMON.exists():
        print("target/ragwortcoved is not built")
        sys.exit(2)
    record = Record(path)
    machines = []

    async def run():
        with tempfile.TemporaryDirectory() as work:
            try:
                return await asyncio.wait_for(case(record, free_network(), work, machines), limit_s)
            finally:
                for each in machines:
                    await each.kill()
                if keep := os.environ.get("KEEP_LOGS"):
                    for each in machines:
                        (Path(keep) / each.log.name).write_bytes(each.log.read_bytes())

    try:
        broken = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
