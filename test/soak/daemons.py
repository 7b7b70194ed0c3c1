"""Real daemons with a stand-in store, for tests of single programs."""

import asyncio
import os
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path

import fleet
import lounge
import upstreams
import vms
import wire

# The first argument of the test that imports this.
BUILD = sys.argv.pop(1) if len(sys.argv) > 1 and not sys.argv[1].startswith("-") else "build"
# From when it can start until it is ready.
START_LIMIT_S = 3.0
IP = "127.0.0.1"


def answers(port, path):
    try:
        return asyncio.run(wire.call((IP, port), "GET", path, limit=0.5)).status == 200
    except wire.Broken:
        return False


def wait_until(condition, limit_s, pause_s=0.05):
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        if condition():
            return True
        time.sleep(pause_s)
    return False


class Daemon:
    """One process, with its log in a file."""

    def __init__(self, case, settings, path=None):
        work = tempfile.TemporaryDirectory()
        case.addCleanup(work.cleanup)
        self.log_path = Path(work.name) / "log"
        if path is None:
            path = Path(work.name) / "daemon.ini"
            path.write_text(settings)
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen([os.path.join(BUILD, "ragwortcoved"), "--config", str(path)],
                                            stdout=log, stderr=log)
        case.addCleanup(self.end)

    def runs(self):
        return self.process.poll() is None

    def most_memory_mb(self):
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.split("VmHWM:")[1].split()[0]) // 1024

    def log(self):
        return self.log_path.read_text(errors="replace")

    def end(self):
        if self.runs():
            self.process.kill()
        self.process.wait()


class StoreCase(unittest.TestCase):
    """Tests with a stand-in store that all of them share."""

    @classmethod
    def setUpClass(cls):
        cls.store_port = fleet.free_port()
        cls.store = subprocess.Popen([os.path.join(BUILD, "standin-platform"), "-p", str(cls.store_port)],
                                     stdout=subprocess.DEVNULL)
        if not wait_until(lambda: answers(cls.store_port, "/healthz"), START_LIMIT_S):
            raise RuntimeError("the stand-in store did not start")
        asyncio.run(upstreams.Store((IP, cls.store_port)).put("config", "main", lounge.make_rules(1)))

    @classmethod
    def tearDownClass(cls):
        cls.store.kill()
        cls.store.wait()

    def slow_the_store_down(self):
        """From now on it answers after two seconds."""
        store = upstreams.Store((IP, self.store_port))
        asyncio.run(store.fault(kind="slow", factor=500))
        self.addCleanup(lambda: asyncio.run(store.fault(kind="none")))


class GatewayCase(StoreCase):
    """Tests of daemons with the settings that the deployment's template gives."""

    bounds = vms.BOUNDS

    def setUp(self):
        self.ports = {name: fleet.free_port() for name in ("front", "ready", "control", "directory")}

    def settings(self, store_port=None):
        fields = self.bounds | {"node": "n", "region": "r", "zone": "a", "ip": IP,
                               "platform.addr": f"{IP}:{store_port or self.store_port}"}
        fields |= {f"listen.{name}": f"{IP}:{port}" for name, port in self.ports.items()}
        fields["seeds"] = fields["listen.control"]
        return vms.render(vms.TEMPLATE.read_text(), fields)

    def start(self, store_port=None):
        return Daemon(self, self.settings(store_port))

    def is_ready(self):
        return answers(self.ports["ready"], "/readyz")

    def serve(self, front):
        """Has a front of the store served by a thread of its own until the test has ended."""
        loop = asyncio.new_event_loop()
        thread = threading.Thread(target=loop.run_forever, daemon=True)
        thread.start()

        def end():
            asyncio.run_coroutine_threadsafe(front.end(), loop).result(START_LIMIT_S)
            loop.call_soon_threadsafe(loop.stop)
            thread.join()
            loop.close()

        asyncio.run_coroutine_threadsafe(front.start(), loop).result(START_LIMIT_S)
        self.addCleanup(end)
        return front
