"""A roll-out of a version that answers 404 on one of its three routes, and is good on the others."""

import asyncio
import random
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "common-2"))
import stand

NODES = 3
SERVERS_PER_VERSION = 4
RATE = 60.0
# Requests by route, of 100.
ROUTES = {"lookup": 50, "charge": 30, "refund": 20}
BAD_ROUTE = "refund"
OVER_S = 30.0
CANARY_SHARE, CANARY_SLACK = 0.1, 50


class Versioned(stand.Server):
    def __init__(self, *args, version, **more):
        super().__init__(*args, **more)
        self.version = version

    def entry(self, state="ready"):
        return super().entry(state) | {"version": self.version}

    async def handle(self, line, headers, body, writer):
        attempt = headers["x-attempt-id"]
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(stand.render(421, {"X-Instance-Id": self.name, "X-Attempt-Id": attempt}))
            return
        self.runs.append((attempt, time.monotonic(), line))
        await asyncio.sleep(self.work_s)
        is_bad = stand.TROUBLE and self.version == "v2" and f"/{BAD_ROUTE}/" in line
        writer.write(stand.render(404 if is_bad else 200, {
            "X-Attempt-Id": attempt, "X-Server-Signature": f"{self.name}.{attempt}"}, attempt.encode()))
        await writer.drain()


async def play(record, work, started):
    network = stand.Network()
    store = stand.Store()

    def make(version, index, block):
        return Versioned(store, record, f"i-{version}-{index}", "svc", network.address(block, 1 + index), network.port,
                         version=version, zone="abc"[index % 3])

    old = [make("v1", index, 100) for index in range(SERVERS_PER_VERSION)]
    new = [make("v2", index, 101) for index in range(SERVERS_PER_VERSION)]
    for server in old:
        await server.start()
        server.register()
    store.put("config", "main", stand.configuration(
        [stand.route(name, "svc", f"/{name}/", timeout_ms=800, goal_ms=100, attempts=1) for name in ROUTES],
        [{"name": "svc", "health_path": "/healthz", "max_conns": 96}], [stand.tenant()]))
    seeds = ",".join(f"{network.address(0, 10 + index)}:{network.port + 3}" for index in range(3))
    store_address = network.address(1, 1)
    await store.listen("all", store_address, network.port)
    nodes = [stand.Node(network, work, index, seeds, f"{store_address}:{network.port}", "abc"[index])
             for index in range(NODES)]
    for node in nodes:
        started.append(node)
        await node.start()
    for node in nodes:
        await node.wait_until_ready()

    answers, stopping = {}, asyncio.Event()

    async def request():
        name = random.choices(list(ROUTES), list(ROUTES.values()))[0]
        attempt, node = stand.new_attempt(), random.choice(nodes)
        try:
            status, _, _ = await stand.call(node.ip, node.port, "POST", f"/{name}/x", {
                "Host": "site.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": 1500,
                "Authorization": "Bearer key-1"}, b"hi")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status = "closed"
        answers[name, status] = answers.get((name, status), 0) + 1

    async def traffic():
        tasks = set()
        while not stopping.is_set():
            task = asyncio.create_task(request())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.uniform(0.5, 1.5) / RATE)
        await asyncio.gather(*tasks)

    clients = asyncio.create_task(traffic())
    await asyncio.sleep(6.0)
    store.put("rollouts", "svc", {"service": "svc", "target": "v2", "over_s": OVER_S})
    ordered_at = time.monotonic()
    record(f"the operator orders v2 within {OVER_S:.0f} s")
    for server in new:
        await server.start()
        server.register()
    state = None
    while time.monotonic() < ordered_at + OVER_S:
        await asyncio.sleep(0.05)
        status = store.kinds["rollouts"]["svc"]["status"] or {}
        if status.get("state") == state:
            continue
        state = status.get("state")
        record(f"the roll-out is {state}")
        if state == "complete":
            for server in old:
                server.stop()
                store.remove("servers", server.name)
    stopping.set()
    await clients

    def reached(servers):
        return [run for server in servers for run in server.runs if ordered_at <= run[1] <= ordered_at + OVER_S]

    exposed, both = len(reached(new)), len(reached(new)) + len(reached(old))
    limit = CANARY_SHARE * both + CANARY_SLACK
    record(f"answers by route and status: {answers}")
    record(f"v2 got {exposed} of the {both} requests that reached the service, {limit:.0f} are allowed to a bad version")
    return stand.TROUBLE and exposed > limit


stand.run_case(CASE, play)
