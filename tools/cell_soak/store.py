"""Stand-in of the platform's store, with an address for each host."""
import asyncio
import base64
import bisect
import time

from tools.cell_soak import server
from tools.cell_soak.network import STORE_PORT

PAGE_ITEMS = 200
ANSWER_S = 0.004
MIN_TTL_S = 1.0


class Store:
    def __init__(self, network, hosts):
        self.network = network
        self.paths = [server.Path() for _ in range(hosts)]
        self.watches_silent = [asyncio.Event() for _ in range(hosts)]
        self.items = {}      # Key to (value, revision, created, lease).
        self.events = []     # (revision, key, value, lease); value None: removed.
        self.revision = 10
        self.history_from = 0
        self.leases = {}     # Id to [ttl, expires].
        self.leases_paused = False
        self.last_lease = 1000
        self.last_writer = 0  # The host that last wrote under a condition: the owner.
        self.changed = asyncio.Event()

    async def start(self):
        addresses = {self.network.store(host): host for host in range(len(self.paths))}
        await server.listen(lambda request, address: self._serve(request, addresses[address]), addresses, STORE_PORT)
        asyncio.ensure_future(self._expire())

    # --- Writes of the operator and the workers ---

    def put(self, key, value):
        self.revision += 1
        self._write(key, value, 0)
        self._wake()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            self._erase(key)
            self._wake()

    # --- Faults ---

    def silence_watches(self, host, silent):
        """The watches of the host hear nothing, or that ends and they are cut."""
        self.watches_silent[host].set() if silent else self.watches_silent[host].clear()
        self._wake()

    def forget_history(self):
        self.events.clear()
        self.history_from = self.revision
        self._wake()

    # --- Calls ---

    async def _serve(self, request, host):
        self.paths[host].add(request)
        await asyncio.sleep(ANSWER_S)
        path, query = request.path, request.query
        faults = self.paths[host].faults
        if path == "/kv-watch":
            return await self._watch(request, host, query["Prefix"], int(query["After"]), int(query["WaitMs"]) / 1000)
        if path == "/kv-key":
            return await server.call(request, faults, lambda body: self._read(host, query["Key"]))
        if path == "/kv-range":
            return await server.call(request, faults,
                                     lambda body: self._range(host, query["Prefix"], query.get("After", "")))
        if path == "/kv-txn":
            return await server.call(request, faults, lambda body: self._commit(host, body))
        if path == "/kv-lease":
            return await server.call(request, faults, self._grant)
        lease = int(path.rsplit("/", 1)[-1]) if path.rsplit("/", 1)[-1].isdigit() else 0
        if path.startswith("/kv-keep/"):
            return await server.call(request, faults, lambda body: self._keep(lease))
        if path.startswith("/kv-lease-end/"):
            return await server.call(request, faults, lambda body: self._end(lease))
        return server.web.json_response({}, status=404)

    def _render(self, host, key, item):
        value, revision, created, lease = item
        seen = base64.b64encode(self.network.seen_by(value, host)).decode()
        return {"Key": key, "Value": seen, "Revision": revision, "Created": created, "Lease": lease}

    async def _read(self, host, key):
        item = self.items.get(key)
        if item is None:
            return 404, {"AtRev": self.revision}
        return 200, {**self._render(host, key, item), "AtRev": self.revision}

    async def _range(self, host, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        rows = [self._render(host, key, self.items[key]) for key in keys[:PAGE_ITEMS]]
        return 200, {"items": rows, "HasMore": len(keys) > PAGE_ITEMS, "AtRev": self.revision}

    async def _watch(self, request, host, prefix, after, wait):
        until = time.monotonic() + wait
        silent = self.watches_silent[host]
        rows = []
        while not rows:
            if silent.is_set():
                while silent.is_set() and time.monotonic() < until + 1:
                    await self._next_change(0.2)
                request.transport and request.transport.abort()
                return server.web.Response(status=500)
            if self.paths[host].faults.silent or server.is_silent(request):
                return await server.no_answer(request)
            if after < self.history_from:
                return server.web.json_response({}, status=410)
            first = bisect.bisect_right(self.events, after, key=lambda event: event[0])
            for revision, key, value, lease in self.events[first:]:
                if not key.startswith(prefix):
                    continue
                if value is None:
                    rows.append({"Key": key, "Revision": revision, "Deleted": True})
                else:
                    rows.append(self._render(host, key, (value, revision, revision, lease)))
            left = until - time.monotonic()
            if rows or left <= 0:
                break
            await self._next_change(left)
        answer = {"events": rows, "AtRev": self.revision}

        async def result(body):
            return 200, answer
        return await server.call(request, self.paths[host].faults, result)

    async def _commit(self, host, body):
        states, holds = [], True
        for check in body.get("Expect", []):
            item = self.items.get(check["Key"])
            holds = holds and (item[1] if item else 0) == check["Revision"]
            if item:
                states.append(self._render(host, check["Key"], item))
        if not holds:
            return 412, {"items": states, "Revision": self.revision}
        if not body.get("Writes") and not body.get("Remove"):
            return 200, {"Revision": self.revision}  # Changes nothing.
        if any(write.get("Lease", 0) and write["Lease"] not in self.leases for write in body.get("Writes", [])):
            return 404, {}
        self.revision += 1
        for write in body.get("Writes", []):
            value = self.network.sent_by(base64.b64decode(write["Value"]), host)
            self._write(write["Key"], value, write.get("Lease", 0))
        for key in body.get("Remove", []):
            if key in self.items:
                self._erase(key)
        if body.get("Expect"):
            self.last_writer = host
        self._wake()
        return 200, {"Revision": self.revision}

    async def _grant(self, body):
        ttl = max(MIN_TTL_S, body["TtlMs"] / 1000)
        self.last_lease += 1
        self.leases[self.last_lease] = [ttl, time.monotonic() + ttl]
        return 200, {"Lease": self.last_lease, "TtlMs": int(ttl * 1000)}

    async def _keep(self, lease):
        if lease not in self.leases:
            return 404, {}
        self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
        return 200, {"TtlMs": int(self.leases[lease][0] * 1000)}

    async def _end(self, lease):
        if self.leases.pop(lease, None) is None:
            return 404, {}
        self._drop_keys_of(lease)
        return 200, {}

    # --- State ---

    def _write(self, key, value, lease):
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.events.append((self.revision, key, value, lease))

    def _erase(self, key):
        del self.items[key]
        self.events.append((self.revision, key, None, 0))

    def _drop_keys_of(self, lease):
        keys = [key for key, item in self.items.items() if item[3] == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self._erase(key)
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def _next_change(self, timeout):
        try:
            await asyncio.wait_for(self.changed.wait(), timeout)
        except asyncio.TimeoutError:
            pass

    async def _expire(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for lease in list(self.leases):
                if self.leases_paused:
                    self.leases[lease][1] += now - before
                elif self.leases[lease][1] <= now:
                    del self.leases[lease]
                    self._drop_keys_of(lease)
