"""VMs with an address of their own each, which run a daemon with the settings that the platform makes of the template."""

import asyncio
import os
import re
import resource
import signal
import time
from pathlib import Path

import lounge

TEMPLATE = Path(__file__).parent.parent.parent / "deploy" / "gateway.ini"
# Stands in the template.
METRICS_PORT = 9464
# After a process has ended by itself, so long until it is started again.
RESTART_S = 0.5
# Length of a period of the processor's quota.
QUOTA_PERIOD_S = 0.1
BOUNDS = {"bounds.grace_s": 8, "bounds.retry_ratio": 0.2, "bounds.retry_slack": 52,
          "bounds.retry_window_s": 10, "bounds.quota_window_s": 8, "bounds.quota_overrun": 0.1,
          "bounds.quota_slack": 140000, "bounds.canary_share": 0.1, "bounds.canary_slack": 50}


def render(template, fields):
    """Fills in a template; a field that is not stated leaves nothing."""
    return re.sub(r"\{\{([\w.]+)\}\}", lambda found: str(fields.get(found[1], "")), template)


def set_limits():
    resource.setrlimit(resource.RLIMIT_NOFILE, (lounge.MAX_DESCRIPTORS, lounge.MAX_DESCRIPTORS))


class Vm:
    """One VM: its daemon, what the daemon's ends were, and whether it has power."""

    def __init__(self, build, work, net, domain_index, number, ports):
        self.domain = lounge.DOMAINS[domain_index]
        self.name = f"edge-{self.domain}-{number + 1}"
        self.ip = f"127.{net + domain_index}.0.{number + 17}"
        self.ports = ports
        self.program = os.path.join(build, "ragwortcoved")
        self.settings_path = Path(work) / f"{self.name}.ini"
        self.log_path = Path(work) / f"{self.name}.log"
        self.child = None
        self.launched = 0.0
        self.runs = False
        self.supervisor = None
        # Times at which the process has ended by itself.
        self.own_ends = []
        self.is_dark = False
        self.outages = 0
        self.most_memory_mb = 0

    def address(self, what):
        return f"{self.ip}:{self.ports[what]}"

    def prepare(self, seeds, store, template=TEMPLATE):
        fields = BOUNDS | {"node": self.name, "region": "ch-north", "zone": self.domain, "ip": self.ip,
                           "seeds": ",".join(seeds), "platform.addr": store}
        for listener in ("front", "ready", "control", "directory"):
            fields[f"listen.{listener}"] = self.address(listener)
        self.settings_path.write_text(render(Path(template).read_text(), fields))

    async def start(self):
        self.runs = True
        await self.launch()
        self.supervisor = asyncio.create_task(self.supervise())

    async def launch(self):
        with open(self.log_path, "ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                self.program, "--config", str(self.settings_path), stdout=log, stderr=log,
                preexec_fn=set_limits)
        self.launched = time.monotonic()

    async def supervise(self):
        while True:
            code = await self.child.wait()
            if not self.runs:
                return
            self.own_ends.append((time.monotonic(), code))
            await asyncio.sleep(RESTART_S)
            if not self.runs:
                return
            await self.launch()

    async def kill(self, loses_power=False):
        self.runs = False
        if loses_power:
            self.is_dark = True
            self.outages += 1
        if self.child and self.child.returncode is None:
            self.note_memory()
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            await self.child.wait()
        if self.supervisor:
            self.supervisor.cancel()

    async def come_back(self):
        self.is_dark = False
        await self.start()

    def note_memory(self):
        try:
            status = Path(f"/proc/{self.child.pid}/status").read_text()
            self.most_memory_mb = max(self.most_memory_mb, int(status.split("VmHWM:")[1].split()[0]) // 1024)
        except (OSError, IndexError, AttributeError):
            pass

    def used_processor_s(self):
        try:
            total = 0
            for task in Path(f"/proc/{self.child.pid}/task").iterdir():
                total += int((task / "schedstat").read_text().split()[0])
            return total / 1e9
        except (OSError, ValueError, AttributeError):
            return 0.0

    async def keep_quota(self, share):
        """Stops the process for the rest of each period in which it has used its share of a core."""
        while True:
            began, pid, used = time.monotonic(), self.child and self.child.pid, self.used_processor_s()
            stopped = False
            while time.monotonic() - began < QUOTA_PERIOD_S:
                await asyncio.sleep(0.005)
                is_over = self.used_processor_s() - used >= share * QUOTA_PERIOD_S
                if is_over and not stopped and self.child.returncode is None and self.child.pid == pid:
                    self.child.send_signal(signal.SIGSTOP)
                    stopped = True
            if stopped and self.child.returncode is None:
                self.child.send_signal(signal.SIGCONT)
