"""The real programs: daemons and the stand-in store as child processes of the soak."""

import asyncio
import os
import random
import re
import signal
import socket
from pathlib import Path

from proxy import Proxy

STOP_LIMIT_S = 8
# Below the range from which the kernel takes ports of outgoing connections.
LISTENING_PORTS = (10240, 32768)
GIVEN_PORTS = set()

SETTINGS = """[node]
name = {name}
region = soak
failure_domain = {domain}

[gateway]
callers = 127.0.0.1:{callers}
readiness = 127.0.0.1:{readiness}
directory = 127.0.0.1:{directory}
peers = 127.0.0.1:{peers}
seeds = {seeds}
store = 127.0.0.1:{store}
metrics = 127.0.0.1:{metrics}
address_time_to_live = {lifetime}s
stop_limit = {stop_limit}s
repeat_share = 0.2
repeat_allowance = {allowance}
repeat_window = 10s
quota_window = 8s
quota_overrun = 0.1
quota_slack = 140000

[log]
level = info
"""


def free_port():
    """A port that no outgoing connection takes while its daemon is away."""
    while True:
        port = random.SystemRandom().randrange(*LISTENING_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in GIVEN_PORTS:
            GIVEN_PORTS.add(port)
            return port


class Process:
    """A child that only this object ends, by its id."""

    def __init__(self, arguments, log_path):
        self.arguments = arguments
        self.log_path = log_path
        self.child = None
        self.expected_end = False

    async def start(self):
        self.expected_end = False
        with open(self.log_path, "ab") as log:
            self.child = await asyncio.create_subprocess_exec(*self.arguments, stdout=log,
                                                              stderr=log)

    def send(self, number):
        if self.child and self.child.returncode is None:
            self.child.send_signal(number)

    async def kill(self):
        self.expected_end = True
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self.child.wait()

    async def end(self):
        """Asks for a graceful shutdown; gives the exit code, or None when the grace time is over."""
        self.expected_end = True
        self.send(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self.child.wait(), STOP_LIMIT_S + 1)
        except asyncio.TimeoutError:
            await self.kill()
            return None

    def most_memory_mb(self):
        """The most that the running process has used so far."""
        try:
            status = Path(f"/proc/{self.child.pid}/status").read_text()
            return int(status.split("VmHWM:")[1].split()[0]) // 1024
        except (OSError, IndexError):
            return 0

    def last_event(self):
        """Name of the last event that the process has written to its log."""
        names = re.findall(r" name=(\w+) ", Path(self.log_path).read_text(errors="replace"))
        return names[-1] if names else None

    def has_crashed(self):
        return self.child is not None and self.child.returncode is not None and \
            not self.expected_end


class Node:
    """A daemon, its addresses, and its own way to the store."""

    def __init__(self, build, work, index):
        self.name = f"node-{index}"
        self.ports = {key: free_port() for key in
                      ("callers", "readiness", "directory", "peers", "metrics")}
        self.domain = "abc"[index % 3]
        self.settings_path = Path(work) / f"{self.name}.ini"
        self.process = Process([os.path.join(build, "ragwortcoved"), "--config",
                                str(self.settings_path)], Path(work) / f"{self.name}.log")
        self.store_link = None

    async def prepare(self, store_port, seeds, allowance, lifetime=1):
        self.store_link = Proxy(store_port)
        await self.store_link.start()
        self.settings_path.write_text(SETTINGS.format(
            name=self.name, domain=self.domain, store=self.store_link.port, seeds=seeds,
            stop_limit=STOP_LIMIT_S, allowance=allowance, lifetime=lifetime, **self.ports))

    @property
    def served_at(self):
        return f"127.0.0.1:{self.ports['callers']}"

    def address(self, kind):
        return ("127.0.0.1", self.ports[kind])


async def start_store(build, work):
    """Starts the stand-in store on a port of its choice; gives the process and the port."""
    log_path = Path(work) / "store.log"
    process = Process([os.path.join(build, "standin-platform"), "-p", "0"], log_path)
    await process.start()
    for _ in range(100):
        await asyncio.sleep(0.05)
        text = log_path.read_text()
        if "listening on" in text:
            return process, int(text.split("listening on")[1].split()[0].rsplit(":", 1)[1])
    raise RuntimeError("the stand-in store did not start")
