#!/usr/bin/env python3
"""What an upstream in trouble sends in place of an answer reaches no caller of a real daemon as a whole answer.

usage: test/soak/answers_test.py BUILD_DIR
"""

import asyncio
import contextlib
import fcntl
import itertools
import socket
import struct
import sys
import termios
import threading
import time
import unittest
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

import lounge
import upstreams
import vms
from daemons import IP, START_LIMIT_S, GatewayCase, wait_until

ROUNDS = 20
# Much more than an upstream reads before it answers, and within max_body_bytes.
UPLOAD_BYTES = (1_000_000, 2_000_000, 3_500_000)
READ_FIRST_BYTES = 20_000
RECEIVE_BUFFER_BYTES = 65536
# Between the part of an answer and the reset.
RESET_PAUSES_S = (0.0, 0.005, 0.03)
WHOLE = b"all of the answer. " * 2000
PART = WHOLE[:1000]
LIMIT_S = 5.0
POLL_S = 0.01
# Of a daemon's log, at its end.
LOG_SHOWN = 3000
ROUTES = {kind.name: kind for kind in lounge.KINDS}


@dataclass
class Answer:
    """What a caller got; without a status, no head came to its end."""

    status: int | None = None
    body: bytes = b""
    # Whether the framing says that this is all of it.
    is_complete: bool = False


def parse(data, ended_in_order):
    """Reads the bytes of one response, up to the connection's end."""
    head, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        return Answer()
    lines = head.decode("latin-1").split("\r\n")
    fields = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
    status = int(lines[0].split()[1])
    if fields.get("transfer-encoding") == "chunked":
        body = b""
        while True:
            size_text, separator, rest = rest.partition(b"\r\n")
            if not separator:
                return Answer(status, body)
            size = int(size_text, 16)
            if size == 0:
                return Answer(status, body, rest.startswith(b"\r\n"))
            body += rest[:size]
            if len(rest) < size + 2:
                return Answer(status, body)
            rest = rest[size + 2:]
    if "content-length" in fields:
        return Answer(status, rest, len(rest) == int(fields["content-length"]))
    return Answer(status, rest, ended_in_order)


def find_fault(answer, expects_502=False):
    """What is wrong with an answer for which only broken ones have been sent, or None."""
    if expects_502 and answer.status != 502:
        return f"status {answer.status} instead of 502"
    if answer.status is not None and not 200 <= answer.status < 600:
        return f"status {answer.status} is none"
    if answer.status is not None and answer.status < 300 and answer.is_complete and answer.body != WHOLE:
        return f"{len(answer.body)} bytes taken for all {len(WHOLE)}"
    if answer.status is not None and answer.status >= 300 and PART[:30] in answer.body:
        return f"status {answer.status} with the body of the broken answer"
    return None


def receive_all(connection):
    """All bytes, and whether the connection ended in order."""
    data = b""
    try:
        while part := connection.recv(65536):
            data += part
    except OSError:
        return data, False
    return data, True


def send_request(port, kind, attempt, body_bytes):
    """One request on a connection of its own, read while it is still being written."""
    head = (f"POST {kind.path}x HTTP/1.1\r\nHost: {lounge.HOST}\r\nAuthorization: Bearer key-hule\r\n"
            f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {int(LIMIT_S * 1000)}\r\nConnection: close\r\n"
            f"Content-Length: {body_bytes}\r\n\r\n").encode()
    with socket.create_connection((IP, port), LIMIT_S) as connection:
        errors = []

        def write():
            try:
                connection.sendall(head + b"b" * body_bytes)
            except OSError as error:
                errors.append(error)

        writer = threading.Thread(target=write)
        writer.start()
        data, ended_in_order = receive_all(connection)
        with contextlib.suppress(OSError):
            connection.shutdown(socket.SHUT_RDWR)
        writer.join()
    # A reset is told once, to the writer or to the reader; after an end in order a writer gets EPIPE.
    was_reset = any(isinstance(error, ConnectionResetError) for error in errors)
    return parse(data, ended_in_order and not was_reset)


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


class Server:
    """Accepts connections in a thread of its own, and serves each in one more."""

    def __init__(self, case):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.listener.bind((IP, 0))
        self.listener.listen(64)
        self.port = self.listener.getsockname()[1]
        self.thread = threading.Thread(target=self.accept, daemon=True)
        self.thread.start()
        case.addCleanup(self.end)

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                connection.settimeout(LIMIT_S)
                threading.Thread(target=self.serve_safely, args=(connection,), daemon=True).start()

    def serve_safely(self, connection):
        with contextlib.suppress(OSError), connection:
            self.serve(connection)

    def end(self):
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.thread.join()


class RawUpstream(Server):
    """Answers in the way that its mode says; `modes` says it for the next requests only."""

    def __init__(self, case, instance="core-1"):
        self.instance = instance
        self.mode = "sound"
        self.modes = []
        self.pause_s = 0.0
        # Modes of the requests that came, of each round and of all; bytes that had not come before a reset.
        self.played = []
        self.all_played = []
        # Of them, those of rounds and not of their beginnings.
        self.counted = 0
        self.missing = []
        super().__init__(case)

    def serve(self, connection):
        data = b""
        while b"\r\n\r\n" not in data:
            part = connection.recv(4096)
            if not part:
                return
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        if not lines[0].startswith("POST"):
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            return
        fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
        attempt = fields.get("x-attempt-id", "")
        if fields.get("x-expect-instance", self.instance) != self.instance:
            connection.sendall(f"HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: {attempt}\r\nX-Instance-Id: "
                               f"{self.instance}\r\nContent-Length: 0\r\n\r\n".encode())
            return
        mode = self.modes.pop(0) if self.modes else self.mode
        self.played.append(mode)
        self.all_played.append(mode)
        signed = (f"X-Attempt-Id: {attempt}\r\nX-Instance-Id: {self.instance}\r\n"
                  f"X-Server-Signature: {self.instance}.{attempt}\r\n").encode()
        length = int(fields.get("content-length", 0))
        if mode == "reset":
            self.read(connection, len(body), READ_FIRST_BYTES)
            connection.sendall(b"HTTP/1.1 200 OK\r\n" + signed + b"\r\n" + PART)
            time.sleep(self.pause_s)
            waiting = struct.unpack("i", fcntl.ioctl(connection, termios.FIONREAD, b"\0" * 4))[0]
            self.missing.append(length - READ_FIRST_BYTES - waiting)
            reset(connection)
            return
        time.sleep(self.pause_s)
        self.read(connection, len(body), length)
        stated = b"Content-Length: %d\r\n" % len(PART)
        first, more, content = {"sound": (b"200 OK", b"", WHOLE), "cut in order": (b"200 OK", b"", PART),
                                "000": (b"000 Odd", b"", PART), "000 stated": (b"000 Odd", stated, PART)}[mode]
        connection.sendall(b"HTTP/1.1 " + first + b"\r\n" + signed + more + b"\r\n" + content)
        connection.shutdown(socket.SHUT_WR)
        receive_all(connection)

    @staticmethod
    def read(connection, count, until):
        while count < until:
            part = connection.recv(min(until - count, 65536))
            if not part:
                return
            count += len(part)


class NaiveGateway(Server):
    """A faulty gateway: any end of its upstream's connection is the end of the answer."""

    def __init__(self, case, upstream_port):
        self.upstream_port = upstream_port
        super().__init__(case)

    def serve(self, connection):
        with socket.create_connection((IP, self.upstream_port), LIMIT_S) as upstream:
            def write():
                with contextlib.suppress(OSError):
                    while part := connection.recv(65536):
                        upstream.sendall(part)
                # What no one wants is read all the same, for the caller not to be reset.
                receive_all(connection)

            writer = threading.Thread(target=write)
            writer.start()
            data, _ = receive_all(upstream)
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            writer.join()


class Checker(unittest.TestCase):
    """The check fails when it should: no daemon stands between."""

    def send(self, port, size):
        return send_request(port, ROUTES["charge"], "a1", size)

    def test_a_reset_is_not_the_end_of_an_answer(self):
        upstream = RawUpstream(self)
        upstream.mode, upstream.pause_s = "reset", 0.03
        for size in UPLOAD_BYTES:
            self.assertEqual(self.send(upstream.port, size), Answer(200, PART, False))

    def test_a_part_that_ends_in_order_is_a_fault(self):
        upstream = RawUpstream(self)
        upstream.mode = "cut in order"
        answer = self.send(upstream.port, UPLOAD_BYTES[0])
        self.assertEqual(answer, Answer(200, PART, True))
        self.assertIsNotNone(find_fault(answer))

    def test_a_part_that_a_faulty_gateway_takes_for_all_is_a_fault(self):
        upstream = RawUpstream(self)
        upstream.mode, upstream.pause_s = "reset", 0.03
        answer = self.send(NaiveGateway(self, upstream.port).port, UPLOAD_BYTES[-1])
        self.assertEqual(answer, Answer(200, PART, True))
        self.assertIsNotNone(find_fault(answer))

    def test_an_answer_that_has_no_status_is_a_fault(self):
        upstream = RawUpstream(self)
        for upstream.mode in ("000", "000 stated"):
            for port in (upstream.port, NaiveGateway(self, upstream.port).port):
                answer = self.send(port, 600)
                self.assertEqual(answer, Answer(0, PART, True))
                self.assertIsNotNone(find_fault(answer))
        self.assertIsNotNone(find_fault(Answer(502, PART, True), True))
        self.assertIsNone(find_fault(Answer(502, b"", True), True))

    def test_a_part_in_a_frame_is_a_fault(self):
        chunk = f"{len(PART):x}\r\n".encode() + PART + b"\r\n"
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk
        stated = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" + PART
        for data in (chunked + b"0\r\n\r\n", stated % len(PART)):
            self.assertIsNotNone(find_fault(parse(data, True)))
        for data in (chunked, chunked[:-100], chunked + b"0\r\n", stated % len(WHOLE)):
            self.assertIsNone(find_fault(parse(data, True)))

    def test_a_whole_answer_is_none(self):
        upstream = RawUpstream(self)
        answer = self.send(upstream.port, UPLOAD_BYTES[0])
        self.assertEqual(answer, Answer(200, WHOLE, True))
        self.assertIsNone(find_fault(answer))


class BrokenAnswers(GatewayCase):
    """One daemon; in each round its upstreams are new instances, so that none is avoided for what it did before."""

    # Each round may repeat its request. The template's share is for failures that are rare.
    bounds = vms.BOUNDS | {"bounds.retry_ratio": 1}

    def setUp(self):
        super().setUp()
        rules = lounge.make_rules(2)
        for route in rules["routes"]:
            # No answer is to be late on a busy machine.
            route["timeout_ms"] = int(LIMIT_S * 1000)
        self.documents = upstreams.Store((IP, self.store_port))
        self.assertTrue(asyncio.run(self.documents.put("config", "main", rules)))
        self.upstream = RawUpstream(self)
        self.upstreams = [self.upstream]
        self.daemon = self.start()
        self.assertTrue(wait_until(self.is_ready, START_LIMIT_S), self.daemon.log())
        self.rounds = 0
        self.numbers = itertools.count(1)
        self.answers = Counter()

    def tearDown(self):
        self.withdraw()
        played = Counter(mode for each in self.upstreams for mode in each.all_played)
        print(f"{self.id().rsplit('.', 1)[1]}: answers {dict(self.answers)}, reached upstreams {dict(played)}")

    def withdraw(self):
        for each in self.upstreams:
            asyncio.run(self.documents.remove("servers", each.instance))

    def begin_round(self):
        """Announces new instances, and waits until each of them serves."""
        self.withdraw()
        self.rounds += 1
        for number, each in enumerate(self.upstreams):
            each.mode = "sound"
            # Two requests at once are then run by two upstreams.
            each.pause_s = 0.02 if len(self.upstreams) > 1 else 0.0
            each.played.clear()
            each.instance = f"{self.id().rsplit('.', 1)[1]}-{self.rounds}-{number}"
            entry = {"service": "core", "addr": f"{IP}:{each.port}", "zone": "a", "version": "v1", "slots": 8,
                     "state": "ready", "cold_left_ms": 0, "seq": self.rounds, "born": self.rounds}
            self.assertTrue(asyncio.run(self.documents.put("servers", each.instance, entry)))
        self.assertTrue(wait_until(self.all_serve, START_LIMIT_S, POLL_S), self.daemon.log()[-LOG_SHOWN:])
        for each in self.upstreams:
            each.played.clear()
            each.all_played = each.all_played[:each.counted]

    def all_serve(self):
        with ThreadPoolExecutor() as pool:
            got = list(pool.map(lambda _: self.send("charge", 600), self.upstreams))
        return got == [Answer(200, WHOLE, True)] * len(got) and all(each.played for each in self.upstreams)

    def send(self, name, size):
        return send_request(self.ports["front"], ROUTES[name], f"a-{next(self.numbers)}", size)

    def play(self, name, sizes, order, check, rounds=ROUNDS):
        """Has the upstreams fail as ordered, sends one request, and checks its answer."""
        for number in range(rounds):
            self.begin_round()
            order()
            for each in self.upstreams:
                each.pause_s = RESET_PAUSES_S[number % len(RESET_PAUSES_S)]
            answer = self.send(name, sizes[number % len(sizes)])
            self.answers[answer.status, len(answer.body)] += 1
            for each in self.upstreams:
                each.counted = len(each.all_played)
            with self.subTest(request=name, round=number):
                check(answer)

    def order(self, mode):
        def set_mode():
            self.upstream.mode = mode

        return set_mode

    def expect_502(self, mode, answer, at_most=1):
        self.assertIsNone(find_fault(answer, True), answer)
        # Otherwise the round has shown nothing.
        self.assertIn(self.upstream.played, [[mode] * count for count in range(1, at_most + 1)])
        self.assertTrue(all(missing > 0 for missing in self.upstream.missing))

    def test_a_part_is_no_answer_to_an_upload_that_may_run_once(self):
        self.play("charge", UPLOAD_BYTES, self.order("reset"), lambda answer: self.expect_502("reset", answer))

    def test_a_part_is_no_answer_to_an_upload_that_may_be_repeated(self):
        attempts = ROUTES["read"].attempts
        self.play("read", UPLOAD_BYTES, self.order("reset"),
                  lambda answer: self.expect_502("reset", answer, attempts))

    def test_an_upload_that_may_be_repeated_is_answered_by_another_upstream(self):
        second = RawUpstream(self)
        self.upstreams.append(second)
        # Whoever gets the request first fails.
        second.modes = self.upstream.modes

        def check(answer):
            self.assertEqual(answer, Answer(200, WHOLE, True))
            self.assertEqual(sorted(each.played for each in self.upstreams), [["reset"], ["sound"]])

        self.play("read", UPLOAD_BYTES, lambda: self.upstream.modes.append("reset"), check)

    def test_an_answer_that_has_no_status_is_no_answer(self):
        for mode, rounds in (("000", ROUNDS // 2), ("000 stated", ROUNDS // 4)):
            for name in ("charge", "read"):
                attempts = ROUTES[name].attempts
                self.play(name, (600,), self.order(mode),
                          lambda answer: self.expect_502(mode, answer, attempts), rounds)

    def test_a_sound_answer_without_a_length_is_served_whole(self):
        def check(answer):
            self.assertEqual(answer, Answer(200, WHOLE, True))
            self.assertEqual(self.upstream.played, ["sound"])

        for name in ("charge", "read"):
            self.play(name, (600, *UPLOAD_BYTES), self.order("sound"), check, ROUNDS // 2)


if __name__ == "__main__":
    unittest.main()
