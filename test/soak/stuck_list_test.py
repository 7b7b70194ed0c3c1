#!/usr/bin/env python3
"""Lists of the store that are stuck or refused midway, and what a node and its peers make of them.

usage: test/soak/stuck_list_test.py BUILD_DIR
"""

import asyncio
import json
import sys
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

import fleet
import paged_store
import upstreams
import vms
import wire
from daemons import IP, Daemon, GatewayCase, StoreCase, wait_until


def announcement(number, **fields):
    return {"service": "s", "addr": f"{IP}:{2000 + number}", "state": "ready", "zone": "a", "version": "v1", "slots": 2, "born": 1,
            "seq": 1} | fields


class StuckStore(paged_store.PagedStore):
    """Gives one entry of `servers` as a page that comes again for ever, after a delay."""

    def __init__(self, target_port, name, delay_s=0.0):
        super().__init__(target_port)
        self.name = name
        self.delay_s = delay_s

    async def list_page(self, target):
        if target.segments[1] == "servers":
            await asyncio.sleep(self.delay_s)
            target.query.pop("after", None)
        answer = await super().list_page(target)
        if target.segments[1] != "servers":
            return answer
        body = json.loads(answer.body)
        body["entries"] = [each for each in body["entries"] if each["meta"]["name"] == self.name]
        body["has_more"] = True
        return wire.Message("HTTP/1.1 200 .", answer.headers, json.dumps(body).encode())


class LateWatches(paged_store.PagedStore):
    """Holds the watches of `servers` back for some seconds."""

    async def answer(self, message):
        target = paged_store.read_target(message.first.split(" ")[1])
        if target.segments[1:] == ["servers"] and target.query.get("wait_ms", "0") != "0":
            await asyncio.sleep(3.0)
        return await super().answer(message)


class RatedStore(paged_store.PagedStore):
    """Takes so many lists a second, and refuses the others with 429."""

    def __init__(self, target_port, rate_per_s):
        super().__init__(target_port, max_entries=1)
        self.rate_per_s = self.tokens = rate_per_s
        self.filled_at = time.monotonic()

    async def list_page(self, target):
        now = time.monotonic()
        self.tokens = min(self.rate_per_s, self.tokens + (now - self.filled_at) * self.rate_per_s)
        self.filled_at = now
        if self.tokens < 1:
            return wire.Message("HTTP/1.1 429 .")
        self.tokens -= 1
        return await super().list_page(target)


class StuckLists(GatewayCase):
    """Each test has a store of its own."""

    @classmethod
    def setUpClass(cls):
        pass

    tearDownClass = setUpClass

    def setUp(self):
        StoreCase.setUpClass.__func__(type(self))
        self.addCleanup(StoreCase.tearDownClass.__func__, type(self))
        super().setUp()

    def write(self, entries):
        async def send():
            store = upstreams.Store((IP, self.store_port))
            await asyncio.gather(*(store.fault(kind="odd_entry", of="servers", name=name, content=json.dumps(content))
                                   for name, content in entries))
        asyncio.run(send())

    def start_node(self, name, ports, seeds, store_port):
        fields = vms.BOUNDS | {"node": name, "region": "r", "zone": "a", "ip": IP, "platform.addr": f"{IP}:{store_port}"}
        fields |= {f"listen.{key}": f"{IP}:{port}" for key, port in ports.items()}
        fields["seeds"] = ",".join(seeds)
        return Daemon(self, vms.render(vms.TEMPLATE.read_text(), fields))

    def names_at(self, port):
        """The documents that a node gives to others, or None when it gives none."""
        answer = asyncio.run(wire.call((IP, port), "GET", "/objects/servers", limit=2.0))
        if answer.status != 200:
            return None
        return {entry["meta"]["name"] for entry in json.loads(answer.body)["entries"]}

    def test_a_list_read_in_part_does_not_replace_what_another_node_has(self):
        for number in range(40):
            self.write([(f"u{number:02}", announcement(number))])
        partial_ports = {name: fleet.free_port() for name in self.ports}
        seeds = [f"{IP}:{ports['control']}" for ports in (self.ports, partial_ports)]
        # The newest entry is the one on the page that is stuck, so both nodes state the same revision.
        self.start_node("partial", partial_ports, seeds, self.serve(StuckStore(self.store_port, "u39")).port)
        time.sleep(4.0)
        self.assertIsNone(self.names_at(partial_ports["control"]), "a part is given for the whole")
        self.start_node("whole", self.ports, seeds, self.serve(LateWatches(self.store_port)).port)
        time.sleep(3.0)
        known = self.names_at(self.ports["control"])
        self.assertEqual(len(known), 40)
        # More than a datagram holds: the node that has read a part offers its documents.
        self.write([(f"z{number:03}", announcement(100 + number)) for number in range(150)])
        time.sleep(2.0)
        self.assertEqual(known - self.names_at(self.ports["control"]), set())

    def test_a_stuck_list_of_a_slow_store_keeps_no_node_from_being_ready(self):
        self.write([("a", {})])
        front = self.serve(StuckStore(self.store_port, "a", 2.0))
        daemon = self.start(front.port)
        self.assertTrue(wait_until(self.is_ready, 12.0), daemon.log())

    def test_a_list_goes_on_after_a_page_was_refused_for_now(self):
        self.write([(f"x{number:02}", {}) for number in range(60)])
        daemon = self.start(self.serve(RatedStore(self.store_port, 20.0)).port)
        self.assertTrue(wait_until(self.is_ready, 15.0), daemon.log())

    def test_a_field_of_another_type_does_not_count_as_absent(self):
        wrong = {"slots": {}, "born": {}, "cold_left_ms": []}
        self.write([(f"wrong-{key}", announcement(1, **{key: value})) for key, value in wrong.items()])
        daemon = self.start()
        self.assertTrue(wait_until(self.is_ready, 3.0), daemon.log())
        for key in wrong:
            with self.subTest(key):
                self.assertIn(f"name=upstream_unreadable upstream=wrong-{key}", daemon.log())


if __name__ == "__main__":
    unittest.main()
