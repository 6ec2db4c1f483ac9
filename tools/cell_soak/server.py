"""HTTP servers of the stand-ins, and the faults of calls to them."""
import asyncio
import json
import random
import socket
import weakref

from aiohttp import web

SILENCE_S = 5  # Longer than any timeout of the hosts; then the connection is reset.
CLOSED_CHECK_S = 0.2

silent_connections = weakref.WeakSet()  # Transports that carry no answer any more, whatever is sent on them.


class CallFaults:
    """What happens to the calls on one path."""

    def __init__(self):
        self.silent = False         # They have no effect and get no answer.
        self.no_answers = False     # They are carried out and get no answer.
        self.refuse_share = 0.0     # Refused without an effect.
        self.lost_share = 0.0       # Carried out; the answer is lost.
        self.late_share = 0.0       # Carried out seconds later; no answer.
        self.delay_s = 0.0

    def clear(self):
        self.__init__()


class Path:
    """The calls of one host to one part of the platform."""

    def __init__(self):
        self.faults = CallFaults()
        self.connections = weakref.WeakSet()  # Transports on which calls have come.

    def add(self, request):
        if request.transport is not None:
            self.connections.add(request.transport)

    def silence_connections(self, share):
        """A share of those that are open carry no answer any more; new ones do."""
        chosen = [each for each in self.connections if not each.is_closing() and random.random() < share]
        silent_connections.update(chosen)
        return len(chosen)


def is_silent(request):
    return request.transport in silent_connections


async def no_answer(request):
    while is_silent(request):  # Until the host closes it.
        await asyncio.sleep(CLOSED_CHECK_S)
    await asyncio.sleep(SILENCE_S)
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


async def call(request, faults, handle):
    """Applies the faults to a call; `handle` carries it out and returns status and body."""
    body = await request.read()
    parsed = json.loads(body) if body else {}
    if faults.silent or is_silent(request):
        return await no_answer(request)
    if random.random() < faults.refuse_share:
        return web.json_response({}, status=503)
    if random.random() < faults.late_share:
        await asyncio.sleep(random.uniform(0.5, 4))
        await handle(parsed)
        return await no_answer(request)
    status, answer = await handle(parsed)
    if faults.silent or faults.no_answers or random.random() < faults.lost_share:
        return await no_answer(request)
    if faults.delay_s:
        await asyncio.sleep(faults.delay_s)
    if is_silent(request):
        return await no_answer(request)
    return web.json_response(answer, status=status)


def called_address(transport):
    return transport.get_extra_info("sockname")[0]


class LimitedServer(web.Server):
    """Tells `limits`, by the address that was called, of each connection, and resets those that have no place."""

    def __init__(self, handler, limits):
        super().__init__(handler)
        self.limits = limits
        self.limit_of = {}  # By connection.

    def connection_made(self, handler, transport):
        super().connection_made(handler, transport)
        self.limit_of[handler] = self.limits[called_address(transport)]
        if not self.limit_of[handler].opened(handler):
            transport.abort()

    def connection_lost(self, handler, exc=None):
        if handler in self.limit_of:
            self.limit_of.pop(handler).closed(handler)
        super().connection_lost(handler, exc)


class Listeners:
    """The listening sockets of a server. Its connections outlast them."""

    def __init__(self, server, port):
        self.server, self.port = server, port
        self.by_address = {}

    async def open(self, address):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((address, self.port))
        self.by_address[address] = await asyncio.get_running_loop().create_server(self.server, sock=sock, backlog=256)

    def close(self, address):
        self.by_address.pop(address).close()


async def listen(handler, addresses, port, limits=None):
    """Serves all addresses; the handler is called with the request and the address that was called."""
    async def on_request(request):
        return await handler(request, called_address(request.transport))

    server = web.Server(on_request) if limits is None else LimitedServer(on_request, limits)
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    listeners = Listeners(runner.server, port)
    for address in addresses:
        await listeners.open(address)
    return listeners
