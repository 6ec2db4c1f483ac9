"""Stand-in of the platform's advice service, with an address for each host: it names the workers that may run a step."""
import asyncio
import time
import zlib

from tools.cell_soak import server
from tools.cell_soak.network import STORE_PORT

SPEC = {"DecideMs": 20, "PeriodMs": 1, "ValidMs": 2500}  # Of a queue with advice.
ALLOWED_SHARE = 0.7  # Of the workers, for each step.


class Tickets:
    """Those that were issued. Each is valid for one step, during one life of one worker, and for a limited time."""

    def __init__(self):
        self.issued = {}  # Ticket to (step, worker id, born_ms, expires).

    def issue(self, step, worker):
        ticket = f"t-{len(self.issued):08x}"
        self.issued[ticket] = (step, worker.id, worker.born_ms, time.monotonic() + SPEC["ValidMs"] / 1000)
        return ticket

    def is_valid(self, ticket, step, worker):
        issued = self.issued.get(ticket)
        return issued is not None and issued[:3] == (step, worker.id, worker.born_ms) and time.monotonic() < issued[3]


class Advice:
    def __init__(self, network, workers, tickets, hosts):
        self.network, self.workers, self.tickets = network, workers, tickets
        self.turns = [asyncio.Lock() for _ in range(hosts)]  # One call at a time for each calling host.
        self.paths = [server.Path() for _ in range(hosts)]

    async def start(self):
        hosts = {self.network.advice(host): host for host in range(len(self.paths))}
        await server.listen(lambda request, address: self._serve(request, hosts[address]), hosts, STORE_PORT)

    async def _serve(self, request, host):
        self.paths[host].add(request)
        return await server.call(request, self.paths[host].faults, lambda body: self._advise(body, host))

    async def _advise(self, body, host):
        async with self.turns[host]:
            await asyncio.sleep((SPEC["DecideMs"] + SPEC["PeriodMs"] * len(body["Workers"])) / 1000)
        asked = [worker for worker in self.workers.all if worker.id in body["Workers"] and worker.up]
        allowed = [worker for worker in asked if self._allows(body["Step"], worker)]
        return 200, {"Allowed": [[worker.id, self.tickets.issue(body["Step"], worker)] for worker in allowed],
                     "ValidMs": SPEC["ValidMs"]}

    @staticmethod
    def _allows(step, worker):
        return zlib.crc32(f"{step} {worker.id}".encode()) % 100 < 100 * ALLOWED_SHARE
