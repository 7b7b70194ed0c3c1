"""A loopback proxy that delays, resets, silences or cuts one way what passes through it."""

import asyncio


class Proxy:
    MODES = ("pass", "delay", "reset", "silent", "one_way", "refuse")

    def __init__(self, target_port):
        self.target_port = target_port
        self.mode = "pass"
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            self.reset_all()

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self):
        """Listens no more, and breaks what passes through."""
        if self.server:
            self.server.close()
        self.reset_all()

    async def accept(self, reader, writer):
        if self.mode in ("refuse", "reset"):
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        await asyncio.gather(self.pump(reader, far_writer, True),
                             self.pump(far_reader, writer, False))
        self.writers -= {writer, far_writer}
        writer.close()
        far_writer.close()

    async def pump(self, reader, writer, is_forward):
        try:
            while True:
                data = await reader.read(16384)
                while self.mode == "silent" or (self.mode == "one_way" and not is_forward):
                    await asyncio.sleep(0.05)
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (OSError, RuntimeError):
            writer.transport.abort()
