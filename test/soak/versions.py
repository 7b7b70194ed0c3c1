"""Watches from outside which version of the configuration each node has in force."""

import asyncio
import random
import time
from dataclasses import dataclass

import configuration
import wire

PAUSE_S = 0.03
# Without trouble for so long, a node and the store are in touch.
CONTACT_S = 3.0
# Two requests that are so close to each other say nothing about their order.
ORDER_S = 0.25


@dataclass
class Probe:
    """A request on the route that one version has added."""

    node: str
    # Process of the node, since a new one knows nothing of before.
    run: int
    version: int
    sent: float
    ended: float
    # Whether the node had the route; it is not told when the node answered something else.
    in_force: bool


class Watcher:
    def __init__(self, nodes, operator, ledger, seed):
        self.nodes = nodes
        self.operator = operator
        self.ledger = ledger
        self.random = random.Random(seed)
        self.probes = []
        # Ids of all requests, also of those that run after the watcher has given them up.
        self.attempts = []
        self.stopping = False

    async def run(self):
        number = 0
        while not self.stopping:
            number += 1
            await self.probe(self.random.choice(self.nodes), number)
            await asyncio.sleep(PAUSE_S)

    def forget_runs(self):
        """Takes the watcher's own requests out of what callers are checked against."""
        for attempt in self.attempts:
            self.ledger.runs.pop(attempt, None)

    async def probe(self, node, number):
        newest = self.operator.version
        oldest = max(1, newest - configuration.MARKED_VERSIONS // 2)
        version = self.random.randint(oldest, newest)
        attempt = f"version-{number}"
        self.attempts.append(attempt)
        headers = {"X-Attempt-Id": attempt, "X-Deadline-Ms": 1000, "Host": "soak.example",
                   "Authorization": "Bearer key-1"}
        run = node.process.child.pid
        sent = time.monotonic()
        try:
            answer = await wire.call(node.address("callers"), "GET",
                                     configuration.mark_path(version) + "x", headers, limit=1.0)
        except wire.Broken:
            return
        # A node that has a later version than this may have dropped the route.
        if answer.status not in (200, 404) or \
                self.operator.version - version >= configuration.MARKED_VERSIONS:
            return
        self.probes.append(Probe(node.served_at, run, version, sent, time.monotonic(),
                                 answer.status == 200))


def check(probes, acknowledged, ledger):
    """Versions that were not in force in time, or no more."""
    broken = []
    first_seen = {}
    for probe in sorted(probes, key=lambda each: each.ended):
        key = (probe.node, probe.run, probe.version)
        if probe.in_force:
            first_seen.setdefault(key, probe.ended)
            continue
        seen = first_seen.get(key)
        if seen is not None and probe.sent > seen + ORDER_S:
            broken.append(f"CONFIG: {probe.node} has gone back behind version {probe.version}, "
                          f"{probe.sent - seen:.2f} s after it was in force there")
            continue
        confirmed = acknowledged.get(probe.version)
        if confirmed is None or probe.sent <= confirmed + configuration.CONFIG_S or \
                ledger.touched("trouble", "store", probe.sent - CONTACT_S, probe.sent) or \
                ledger.touched("trouble", probe.node, probe.sent - CONTACT_S, probe.sent) or \
                ledger.touched("cut_from_store", probe.node, probe.sent - CONTACT_S, probe.sent):
            continue
        broken.append(f"CONFIG: {probe.node} is behind version {probe.version} "
                      f"{probe.sent - confirmed:.2f} s after it was confirmed")
    return broken
