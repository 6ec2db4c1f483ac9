"""Loopback addresses of a soak, and the links between the hosts.

Each host sees every other host, every worker and the store under addresses of its own, so that each path can be cut by
itself. All addresses are of the same length: replacing one by another changes no length in an encoded message.
"""
import asyncio
import random
import weakref

PEER_PORT = 7720
METRICS_PORT = 7721
CALLER_PORT = 8161
READY_PORT = 8167
STORE_PORT = 8169
WORKER_PORT = 8500

HOST_NET = 99    # Third byte of the addresses on which the hosts listen.
WORKER_NET = 98  # Of the addresses that the workers write to the store; nothing listens there.


class Network:
    def __init__(self, slot):
        self.prefix = f"127.{100 + slot % 100}."

    def host(self, host):
        return f"{self.prefix}{HOST_NET}.{10 + host}"

    def peer_link(self, source, target):
        return f"{self.prefix}{10 + source}.{10 + target}"

    def store(self, host):
        return f"{self.prefix}{30 + host}.10"

    def worker(self, host, worker):
        return f"{self.prefix}{50 + host}.{10 + worker}"

    def advice(self, host):
        return f"{self.prefix}{70 + host}.10"

    def listed_worker(self, worker):
        return f"{self.prefix}{WORKER_NET}.{10 + worker}:{WORKER_PORT}"

    def seen_by(self, data, host):
        """Replaces all addresses by those that the host uses."""
        own = f"{self.prefix}{10 + host}."
        data = data.replace(f"{self.prefix}{HOST_NET}.".encode(), own.encode())
        data = data.replace(f"{own}{10 + host}".encode(), self.host(host).encode())
        return data.replace(f"{self.prefix}{WORKER_NET}.".encode(), f"{self.prefix}{50 + host}.".encode())

    def sent_by(self, data, host):
        """The reverse of seen_by."""
        data = data.replace(f"{self.prefix}{10 + host}.".encode(), f"{self.prefix}{HOST_NET}.".encode())
        return data.replace(f"{self.prefix}{50 + host}.".encode(), f"{self.prefix}{WORKER_NET}.".encode())


class PeerLink:
    """Carries the messages of one host to another. While it is cut, bytes wait and nothing is reset.

    Single connections can be silent for good: their bytes are lost, and neither end learns that the other has closed.
    """

    def __init__(self, network, source, target):
        self.network, self.source, self.target = network, source, target
        self.open = asyncio.Event()
        self.open.set()
        self.holds_closes = False             # While it is cut, a close waits as bytes do.
        self.connections = weakref.WeakSet()  # Writers to the source.
        self.silent = weakref.WeakSet()       # Of these: they carry nothing any more.

    async def start(self):
        await asyncio.start_server(self._serve, self.network.peer_link(self.source, self.target), PEER_PORT)

    def cut(self, cut, holds_closes=False):
        self.open.clear() if cut else self.open.set()
        self.holds_closes = cut and holds_closes

    def silence_connections(self, share):
        """A share of those that are open carry nothing any more; new ones do."""
        chosen = [each for each in self.connections if not each.is_closing() and random.random() < share]
        self.silent.update(chosen)
        return len(chosen)

    async def _serve(self, reader, writer):
        await self.open.wait()
        try:
            out_reader, out_writer = await asyncio.open_connection(self.network.host(self.target), PEER_PORT)
        except OSError:
            writer.transport.abort()
            return
        self.connections.add(writer)
        parts = [asyncio.ensure_future(self._messages(reader, out_writer, writer)),
                 asyncio.ensure_future(self._acks(out_reader, writer))]
        await asyncio.wait(parts, return_when=asyncio.FIRST_COMPLETED)
        if self.holds_closes:
            await self.open.wait()
        if writer in self.silent:
            await asyncio.wait(parts)
        writer.transport.abort()
        out_writer.transport.abort()

    async def _messages(self, reader, writer, connection):
        try:
            while True:
                length = await reader.readexactly(4)
                message = await reader.readexactly(int.from_bytes(length, "big"))
                await self.open.wait()
                if connection in self.silent:
                    continue
                writer.write(length + self.network.seen_by(self.network.sent_by(message, self.source), self.target))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            return

    async def _acks(self, reader, writer):
        try:
            while data := await reader.read(4096):
                await self.open.wait()
                if writer in self.silent:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            return
