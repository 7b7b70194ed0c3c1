"""A front of the stand-in store that reads targets as HTTP libraries do, and gives lists in pages of its own size."""

import asyncio
import json
import time
import urllib.parse
from collections import Counter, defaultdict
from dataclasses import dataclass

import wire

OBJECTS = "objects"
# Longest time for a call to the stand-in store.
CALL_LIMIT_S = 5.0
DROPPED_HEADERS = ("content-length", "transfer-encoding", "connection")


@dataclass
class Target:
    """Path and query of a call, decoded."""

    segments: list
    query: dict

    @property
    def is_list(self):
        return len(self.segments) == 2 and self.segments[0] == OBJECTS and "watch" not in self.query


def read_target(text):
    """As a server does: `#` ends it, `+` in a value is a space, `%XX` a byte; a part without `=` has no value."""
    parts = urllib.parse.urlsplit(text)
    segments = [urllib.parse.unquote(segment) for segment in parts.path.split("/")[1:]]
    return Target(segments, dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True)))


def write_target(target):
    path = "/" + "/".join(urllib.parse.quote(segment, safe="") for segment in target.segments)
    query = urllib.parse.urlencode(target.query, quote_via=urllib.parse.quote)
    return f"{path}?{query}" if query else path


@dataclass
class Entry:
    name: bytes
    text: bytes


@dataclass
class KindList:
    """All entries of a kind by name, or the refusal that came in place of them."""

    entries: list
    revision: int
    headers: dict
    refusal: wire.Message = None


def cut_page(entries, after, max_entries, max_bytes):
    """The entries of the page after a name, and whether more follow; one entry at least."""
    rest = [entry for entry in entries if entry.name > after.encode()]
    page, size = [], 0
    for entry in rest[:max_entries]:
        size += len(entry.text)
        if page and size > max_bytes:
            break
        page.append(entry)
    return page, len(page) < len(rest)


class PagedStore:
    """Answers lists, and hands all other calls on to the stand-in store."""

    def __init__(self, target_port, max_entries=500, max_bytes=1 << 20):
        self.target = ("127.0.0.1", target_port)
        self.max_entries = max_entries
        self.max_bytes = max_bytes
        self.port = 0
        self.server = None
        # Pages given of each kind, and calls that no such store takes.
        self.pages = Counter()
        self.refused = []
        # One task for each connection.
        self.serving = set()
        # What was read last of each kind, and when that began.
        self.read = {}
        self.locks = defaultdict(asyncio.Lock)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def close(self):
        if self.server:
            self.server.close()

    async def end(self):
        """Listens no more, and ends what it serves."""
        self.close()
        for task in self.serving:
            task.cancel()
        await asyncio.gather(*self.serving, return_exceptions=True)

    async def serve(self, reader, writer):
        self.serving.add(asyncio.current_task())
        try:
            while True:
                message = await wire.read_body(reader, await wire.read_head(reader), True)
                answer = await self.answer(message)
                headers = {key: value for key, value in answer.headers.items() if key not in DROPPED_HEADERS}
                headers["content-length"] = len(answer.body)
                writer.write(wire.render(f"HTTP/1.1 {answer.status} .", headers, answer.body))
                await writer.drain()
                if not message.keeps:
                    return
        except (wire.Broken, OSError, asyncio.CancelledError):
            pass
        finally:
            self.serving.discard(asyncio.current_task())
            writer.transport.abort()

    async def answer(self, message):
        words = message.first.split(" ")
        if len(words) != 3:
            self.refused.append(message.first)
            return wire.Message("HTTP/1.1 400 .")
        target = read_target(words[1])
        if words[0] == "GET" and target.is_list:
            return await self.list_page(target)
        headers = {key: value for key, value in message.headers.items() if key not in DROPPED_HEADERS}
        limit = CALL_LIMIT_S + int(target.query.get("wait_ms", 0)) / 1000
        return await wire.call(self.target, words[0], write_target(target), headers, message.body, limit)

    async def list_page(self, target):
        kind = target.segments[1]
        self.pages[kind] += 1
        whole = await self.read_kind(kind)
        if whole.refusal:
            return whole.refusal
        entries, has_more = cut_page(whole.entries, target.query.get("after", ""), self.max_entries, self.max_bytes)
        body = b'{"entries":[%s],"has_more":%s,"current_rev":%d}' % (
            b",".join(entry.text for entry in entries), b"true" if has_more else b"false", whole.revision)
        return wire.Message("HTTP/1.1 200 .", dict(whole.headers), body)

    async def read_kind(self, kind):
        """All entries of a kind. A reading that began after the call did serves all who wait for it."""
        arrived = time.monotonic()
        async with self.locks[kind]:
            known, began = self.read.get(kind, (None, 0.0))
            if began < arrived:
                began = time.monotonic()
                known = await self.read_anew(kind, known)
                self.read[kind] = (known, began)
            return known

    async def read_anew(self, kind, known):
        counts = json.loads((await wire.call(self.target, "GET", "/counts", limit=CALL_LIMIT_S)).body)
        if known and known.revision == counts["revision"]:
            return known
        entries, after = [], ""
        while True:
            page = await wire.call(self.target, "GET", write_target(Target([OBJECTS, kind], {"after": after})),
                                   limit=CALL_LIMIT_S)
            if page.status != 200:
                return KindList([], 0, {}, page)
            part = json.loads(page.body)
            entries += part["entries"]
            if not part["has_more"]:
                break
            after = entries[-1]["meta"]["name"]
        entries.sort(key=lambda entry: entry["meta"]["name"].encode())
        made = [Entry(entry["meta"]["name"].encode(), json.dumps(entry, ensure_ascii=False).encode())
                for entry in entries]
        return KindList(made, part["current_rev"], page.headers)


class EndlessStore(PagedStore):
    """Answers lists of a kind with the same large page for ever, as where a name asks for an earlier page."""

    def __init__(self, target_port, kind, page_bytes=1 << 20):
        super().__init__(target_port)
        self.kind = kind
        self.entry = json.dumps({"meta": {"name": "a", "revision": 5}, "spec": "." * page_bytes}).encode()

    async def list_page(self, target):
        if target.segments[1] != self.kind:
            return await super().list_page(target)
        self.pages[self.kind] += 1
        sound = await self.read_kind("config")
        body = b'{"entries":[%s],"has_more":true,"current_rev":%d}' % (self.entry, sound.revision)
        return wire.Message("HTTP/1.1 200 .", dict(sound.headers), body)
