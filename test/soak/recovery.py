"""All entry VMs go away at once and come back, with real processes and the deployment's load."""

import asyncio
import random
import re
import signal
import socket
import time

import crowd
import estate
import fleet
import lounge
import odd_names
import paged_store
import upstreams
import vms
import wire

# Time of load before the fault, and after the time within which service has to be back.
WARM_S = 8.0
MEASURED_S = 8.0
ROW_S = 2.0
PORT_RANGES = {"low": (10240, 32000), "high": (33000, 60000)}
# Between the starts of the VMs' processes.
START_SPREAD_S = 0.3
READY_LIMIT_S = 10.0
SAMPLE_S = 1.0
# Held by a play on an address of its own, so that no other takes its addresses.
NET_PORT = 8549


def reserve_net():
    """The first free run of second numbers of loopback addresses, and the socket that holds it."""
    for net in range(1, 240, len(lounge.DOMAINS)):
        holder = socket.socket()
        try:
            holder.bind((f"127.{net}.255.1", NET_PORT))
            return holder, net
        except OSError:
            holder.close()
    raise RuntimeError("too many plays at once")


def served_share(sent, begins, ends=float("inf")):
    """Share that was served of what was sent in a time."""
    some = [each for each in sent if begins <= each.at < ends]
    return sum(each.served for each in some) / max(1, len(some))


def back_after(sent, returned):
    """Time after the return from which on nine tenths of what is sent in half a second are served, or None."""
    at = returned
    while at < returned + lounge.RECOVER_S + MEASURED_S - 1.0:
        if served_share(sent, at, at + 0.5) >= 0.9 and served_share(sent, at, at + 2.0) >= 0.9:
            return at - returned
        at += 0.1
    return None


def check_recovery(before, after):
    """Every broken promise, as text, for the shares served before the fault and long after the return."""
    if before >= lounge.LEAST_SERVED > after:
        return [f"RECOVER: {after:.2f} served later than {lounge.RECOVER_S:.0f} s after the return"]
    if before < lounge.LEAST_SERVED:
        return [f"the play itself: {before:.2f} served before the fault"]
    return []


class Play:
    """One run: store, upstreams, VMs, callers, the fault, and the check."""

    def __init__(self, options, seed, work):
        self.options = options
        self.draw = random.Random(seed)
        self.work = work
        self.sent = []
        self.broken = []
        self.told = []
        self.power = estate.Power()
        self.tasks = []
        self.returned = None
        # Plays side by side have loopback addresses of their own.
        self.net_holder, self.net = reserve_net()

    def note(self, text):
        self.told.append(f"{time.monotonic() - self.began:7.2f} s  {text}")

    async def start(self):
        self.began = time.monotonic()
        self.store_process, store_port = await fleet.start_store(self.options.build, self.work)
        self.store_port = store_port
        self.store = upstreams.Store(("127.0.0.1", store_port))
        self.front = paged_store.PagedStore(store_port, self.options.page_entries, self.options.page_bytes)
        vms_store_port = await self.front.start()
        self.version = 1
        await self.store.put("config", "main", lounge.make_rules(self.version))
        self.upstreams = []
        for index, domain in enumerate(lounge.DOMAINS):
            for number in range(3):
                pace = 3.0 if number == 2 else 0.68
                self.upstreams.append(estate.Upstream(f"lm-{domain}-{number}", "lm", domain, 10, 60, 360, pace,
                                                      self.power))
            self.upstreams.append(estate.Upstream(f"core-{domain}", "core", domain, 6, 24, 96, 1.0, self.power))
        for number, each in enumerate(self.upstreams):
            await each.start(f"127.{self.net + lounge.DOMAINS.index(each.domain)}.64.{number + 1}", 8548)
        self.tasks.append(asyncio.create_task(estate.Beats(self.store, self.upstreams).run()))
        low, high = PORT_RANGES[self.options.ports]
        drawn = self.draw.sample(range(low, high), 4)
        ports = dict(zip(("front", "ready", "control", "directory"), drawn)) | {"metrics": vms.METRICS_PORT}
        self.vms = [vms.Vm(self.options.build, self.work, self.net, domain, number, ports)
                    for domain in range(len(lounge.DOMAINS)) for number in range(lounge.VMS_OF_DOMAIN)]
        seeds = [vm.address("control") for vm in self.vms[::lounge.VMS_OF_DOMAIN]]
        for vm in self.vms:
            vm.prepare(seeds, f"127.0.0.1:{vms_store_port}", self.options.template)
        await asyncio.gather(*(self.start_late(vm.start) for vm in self.vms))
        if self.options.share:
            self.tasks += [asyncio.create_task(vm.keep_quota(self.options.share)) for vm in self.vms]
        self.tasks.append(asyncio.create_task(self.watch_memory()))
        if self.options.rows:
            self.tasks.append(asyncio.create_task(self.watch_slots()))
        await self.until_ready()

    async def start_late(self, start):
        await asyncio.sleep(self.draw.uniform(0.0, START_SPREAD_S))
        await start()

    async def watch_memory(self):
        while True:
            await asyncio.sleep(0.5)
            for vm in self.vms:
                vm.note_memory()

    async def watch_slots(self):
        """Compares the slots that the nodes count as taken with those that are."""
        while True:
            await asyncio.sleep(SAMPLE_S)
            counts = await asyncio.gather(*(self.read_gauges(vm) for vm in self.vms))
            counted = sum(each.get("owned_in_flight", 0.0) for each in counts)
            waiting = sum(each.get("owned_waiting", 0.0) for each in counts)
            running = sum(each.running for each in self.upstreams)
            queued = sum(each.waiting for each in self.upstreams)
            self.note(f"nodes count {counted:.0f} in flight and {waiting:.0f} waiting; "
                      f"upstreams run {running}, queue {queued}")

    async def read_gauges(self, vm):
        host, port = vm.address("control").rsplit(":", 1)
        try:
            page = (await wire.call((host, int(port)), "GET", "/metrics", limit=0.5)).body.decode()
        except wire.Broken:
            return {}
        found = re.findall(r"^ragwortcove_(\w+) ([\d.e+]+)$", page, re.M)
        return {name: float(value) for name, value in found}

    async def is_ready(self, vm):
        host, port = vm.address("ready").rsplit(":", 1)
        try:
            return (await wire.call((host, int(port)), "GET", "/readyz", limit=0.5)).status == 200
        except wire.Broken:
            return False

    async def until_ready(self):
        began = time.monotonic()
        waiting = list(self.vms)
        while waiting and time.monotonic() - began < READY_LIMIT_S:
            waiting = [vm for vm in waiting if not await self.is_ready(vm)]
            await asyncio.sleep(0.05)
        self.note(f"{len(self.vms) - len(waiting)} of {len(self.vms)} ready "
                  f"{time.monotonic() - began:.2f} s after the start")

    async def load(self):
        index = 0
        sending = []
        for domain_index, domain in enumerate(lounge.DOMAINS):
            callers = []
            for _ in range(lounge.CALLERS[domain]):
                callers.append(crowd.Caller(index, domain, self.vms, random.Random(self.draw.random()), self.sent))
                index += 1
            sending.append(self.send(domain_index, callers, random.Random(self.draw.random())))
        await asyncio.gather(*sending)

    async def send(self, domain_index, callers, draw):
        began = time.monotonic()
        rate = lounge.RATES[lounge.DOMAINS[domain_index]]
        weights = [kind.weight for kind in lounge.KINDS]
        open_requests = set()
        at = began
        while not self.stopping:
            at += draw.expovariate(rate * lounge.wave(domain_index, at - began))
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            kind = draw.choices(lounge.KINDS, weights)[0]
            task = asyncio.create_task(draw.choice(callers).send(kind))
            open_requests.add(task)
            task.add_done_callback(open_requests.discard)
        if open_requests:
            await asyncio.wait(open_requests, timeout=16.0)

    async def strike(self, number):
        """One more change is acknowledged, and all VMs go away at once."""
        if number == 0:
            for kind in self.options.odd_names:
                await odd_names.write_entries(self.store, kind, odd_names.SETS[self.options.odd_set], self.options.odd_bytes)
            self.note(f"odd names written to {', '.join(self.options.odd_names) or 'no kind'}")
        self.version += 1
        await self.store.put("config", "main", lounge.make_rules(self.version))
        loses_power = self.options.fault == "power"
        self.note(f"{self.options.fault}, number {number + 1}, away for {self.options.down:.1f} s")
        self.power.is_off = loses_power
        if self.options.upstreams:
            for each in self.upstreams:
                each.close()
            await asyncio.sleep(self.options.upstreams_before)
        if self.options.store_away:
            await self.store.fault(**self.options.store_fault)
        await asyncio.gather(*(vm.kill(loses_power) for vm in self.vms))
        await asyncio.sleep(self.options.down)
        self.power.is_off = False
        if number == 0:
            self.take_addresses()
        if self.options.upstreams:
            for each in self.upstreams:
                await each.start(*each.address)
        back = self.vms[:self.options.back]
        await asyncio.gather(*(self.start_late(vm.come_back) for vm in back))
        self.returned = time.monotonic()
        if self.options.hup:
            self.tasks += [asyncio.create_task(self.reload(vm)) for vm in back]
        if self.options.store_away:
            await asyncio.sleep(self.options.store_away)
            await self.store.fault(kind="none")

    def take_addresses(self):
        """Others hold some of the VMs' addresses when these come back, and for a while after."""
        holders = []
        for what in self.options.taken:
            for vm in self.vms:
                host, port = vm.address(what).rsplit(":", 1)
                holder = socket.socket()
                holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                holder.bind((host, int(port)))
                holder.listen()
                holders.append(holder)
        if holders:
            self.tasks.append(asyncio.create_task(self.give_back(holders)))

    async def give_back(self, holders):
        await asyncio.sleep(self.options.taken_for)
        self.note("the addresses are free again")
        for holder in holders:
            holder.close()

    async def reload(self, vm):
        """The settings of a VM that comes back have changed, and a signal says so."""
        await asyncio.sleep(self.draw.uniform(0.0, self.options.hup))
        if vm.child and vm.child.returncode is None:
            vm.child.send_signal(signal.SIGHUP)

    async def play(self):
        self.stopping = False
        await self.start()
        loading = asyncio.create_task(self.load())
        await asyncio.sleep(WARM_S)
        for number in range(self.options.series):
            await self.strike(number)
            if number + 1 < self.options.series:
                await asyncio.sleep(self.draw.uniform(0.2, 4.0))
        ready = asyncio.create_task(self.until_ready())
        await asyncio.sleep(self.returned + lounge.RECOVER_S + MEASURED_S - time.monotonic())
        self.stopping = True
        shares = [vm.used_processor_s() / (time.monotonic() - vm.launched) for vm in self.vms[:self.options.back]]
        self.most_processor = max(shares)
        await loading
        await ready
        self.check()

    def check(self):
        before = served_share(self.sent, self.began, self.began + WARM_S)
        after = served_share(self.sent, self.returned + lounge.RECOVER_S)
        self.broken += check_recovery(before, after)
        for vm in self.vms:
            for at, code in vm.own_ends:
                self.broken.append(f"FAULT: {vm.name} ended by itself with {code} at {at - self.began:.2f} s")
            if vm.most_memory_mb > lounge.MEMORY_MB:
                self.broken.append(f"FAULT: {vm.name} takes {vm.most_memory_mb} MB, {lounge.MEMORY_MB} allowed")
        back = back_after(self.sent, self.returned)
        self.summary = (f"served {before:.2f} before, {after:.2f} later than {lounge.RECOVER_S:.0f} s after; back "
                        f"after {'never' if back is None else f'{back:.1f} s'}; "
                        f"{max(vm.most_memory_mb for vm in self.vms)} MB and {self.most_processor:.3f} of a "
                        f"core at most")

    def rows(self):
        first = self.sent[0].at
        rows = {}
        for each in self.sent:
            row = rows.setdefault(int((each.at - first) / ROW_S), {"asked": 0, "served": 0})
            row["asked"] += 1
            row["served"] += each.served
            for how in each.tries:
                row[how] = row.get(how, 0) + 1
        for at, row in sorted(rows.items()):
            yield f"{first - self.began + at * ROW_S:7.1f} s  " + ", ".join(f"{key}: {row[key]}" for key in row)
        refused = {}
        for each in self.upstreams:
            for why, count in each.refused.items():
                refused[each.service, why] = refused.get((each.service, why), 0) + count
        yield f"pages of lists: {dict(self.front.pages)}; calls that are none: {self.front.refused[:3]}"
        yield f"upstreams refused {refused}, held {sum(each.ghosts for each in self.upstreams)} lost connections"

    async def end(self):
        for vm in getattr(self, "vms", []):
            await vm.kill()
        self.net_holder.close()
        for task in self.tasks:
            task.cancel()
        self.front.close()
        await self.store_process.kill()
        for each in getattr(self, "upstreams", []):
            each.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
