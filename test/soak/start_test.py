#!/usr/bin/env python3
"""Daemons that cannot have at once what they need at their start do not end.

usage: test/soak/start_test.py BUILD_DIR
"""

import asyncio
import os
import signal
import socket
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

import fleet
import lounge
import odd_names
import paged_store
import upstreams
import vms
from daemons import IP, START_LIMIT_S, Daemon, GatewayCase, StoreCase, answers, wait_until

HELD_S = 1.5
# The grace time of the settings, and some more.
STOP_LIMIT_S = 9.0
# Of one list that is stuck: the next one is due after three times HELD_S.
MOST_PAGES = 3


def hold(kind, port):
    holder = socket.socket(type=kind)
    if kind == socket.SOCK_STREAM:
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((IP, port))
    if kind == socket.SOCK_STREAM:
        holder.listen()
    return holder


class Gateway(GatewayCase):
    """With the settings that the deployment's template gives."""

    def test_it_starts_although_another_process_holds_an_address_that_no_caller_needs(self):
        holder = hold(socket.SOCK_STREAM, vms.METRICS_PORT)
        self.addCleanup(holder.close)
        daemon = self.start()
        self.assertTrue(wait_until(self.is_ready, START_LIMIT_S), daemon.log())
        time.sleep(HELD_S)
        self.assertTrue(daemon.runs())
        self.assertIn("name=listen_failed key=metrics", daemon.log())

    def test_it_starts_although_the_store_answers_after_two_seconds(self):
        self.slow_the_store_down()
        daemon = self.start()
        self.assertTrue(wait_until(self.is_ready, START_LIMIT_S + 2.0), daemon.log())

    def test_it_starts_although_names_in_the_store_must_be_escaped(self):
        front = self.serve(paged_store.PagedStore(self.store_port, max_entries=1))
        store = upstreams.Store((IP, self.store_port))
        for kind in ("config", "servers", "rollouts", "evacuations", "ragwortcove-parts", "ragwortcove-nodes"):
            asyncio.run(odd_names.write_entries(store, kind, odd_names.SETS["all"], 10))
        daemon = self.start(front.port)
        self.assertTrue(wait_until(self.is_ready, START_LIMIT_S), daemon.log())
        self.assertEqual(front.refused, [])

    def test_a_list_that_has_no_end_keeps_no_node_from_serving_and_fills_no_memory(self):
        front = self.serve(paged_store.EndlessStore(self.store_port, "servers"))
        daemon = self.start(front.port)
        time.sleep(HELD_S * 3)
        self.assertTrue(daemon.runs(), daemon.log())
        self.assertLess(daemon.most_memory_mb(), lounge.MEMORY_MB)
        self.assertLess(front.pages["servers"], MOST_PAGES)
        self.assertIn("name=documents_incomplete documents=upstreams", daemon.log())
        self.assertTrue(self.is_ready(), daemon.log())

    def test_it_waits_for_an_address_that_another_process_holds(self):
        for name, kind in (("front", socket.SOCK_STREAM), ("control", socket.SOCK_DGRAM)):
            with self.subTest(name):
                self.setUp()
                holder = hold(kind, self.ports[name])
                daemon = self.start()
                time.sleep(HELD_S)
                self.assertTrue(daemon.runs(), daemon.log())
                self.assertFalse(self.is_ready())
                holder.close()
                self.assertTrue(wait_until(self.is_ready, START_LIMIT_S), daemon.log())
                daemon.end()


    def test_a_signal_that_comes_before_the_settings_are_read_does_not_end_it(self):
        for number in (signal.SIGHUP, signal.SIGTERM):
            with self.subTest(number.name):
                self.setUp()
                work = tempfile.TemporaryDirectory()
                self.addCleanup(work.cleanup)
                path = Path(work.name) / "settings"
                os.mkfifo(path)
                daemon = Daemon(self, None, path)
                time.sleep(HELD_S)
                daemon.process.send_signal(number)
                time.sleep(0.1)
                self.assertTrue(daemon.runs(), "ended by the signal")
                path.write_text(self.settings())
                self.assertTrue(wait_until(lambda: "process_started" in daemon.log(), START_LIMIT_S))
                if number == signal.SIGTERM:
                    self.assertEqual(daemon.process.wait(STOP_LIMIT_S), 0, daemon.log())
                else:
                    # The signal asks to read them once more.
                    path.write_text(self.settings())
                    self.assertTrue(wait_until(self.is_ready, START_LIMIT_S), daemon.log())
                    self.assertIn("name=settings_reloaded", daemon.log())
                daemon.end()


class OwnInterface(StoreCase):
    """The daemon of the product's own interface."""

    def setUp(self):
        self.callers, self.own_store, self.peers = (fleet.free_port() for _ in range(3))

    def start(self, mode, store_port):
        return Daemon(self, f"[node]\nname = n\nregion = r\nfailure_domain = a\n"
                            f"callers = {IP}:{self.callers}\npeers = {IP}:{self.peers}\n\n"
                            f"[platform]\nmode = {mode}\naddress = {IP}:{store_port}\n")

    def test_it_waits_for_an_address_that_another_process_holds(self):
        for port in (self.callers, self.peers, self.own_store):
            holder = hold(socket.SOCK_STREAM, port)
            daemon = self.start("embedded", self.own_store)
            time.sleep(HELD_S)
            self.assertTrue(daemon.runs(), daemon.log())
            holder.close()
            is_served = wait_until(lambda: answers(self.own_store, "/healthz") and
                                   answers(self.callers, "/healthz"), START_LIMIT_S)
            self.assertTrue(is_served, daemon.log())
            daemon.end()

    def test_a_stop_ends_the_wait(self):
        holder = hold(socket.SOCK_STREAM, self.callers)
        self.addCleanup(holder.close)
        daemon = self.start("embedded", self.own_store)
        time.sleep(HELD_S)
        daemon.process.terminate()
        self.assertEqual(daemon.process.wait(START_LIMIT_S), 0, daemon.log())

    def test_it_starts_although_the_platform_answers_after_two_seconds(self):
        self.slow_the_store_down()
        daemon = self.start("http", self.store_port)
        self.assertTrue(wait_until(lambda: answers(self.callers, "/readyz"), START_LIMIT_S + 2.0),
                        daemon.log())


if __name__ == "__main__":
    unittest.main()
