"""Stand-ins of the workers: they carry out starts, stops and holds as the platform's pages say, and run no real work."""
import asyncio
import json
import random
import time

from tools.cell_soak import server
from tools.cell_soak.callers import PREFIX
from tools.cell_soak.network import WORKER_PORT

MAX_HOLD_S = 6.0
MAX_WAIT_S = 2.0
STOP_S = 0.05
HEARTBEAT_S = 1.5
ENTRY_S = 3 * HEARTBEAT_S  # The store removes the entry of a worker that is silent for longer.
CAPACITY = {"Cpu": 16000, "MemMb": 65536, "Gpu": 0}
CLOCK_AT_BIRTH_MS = 1000
LAST_SLOT = 89  # Addresses of workers have numbers of two digits.
MAX_CONNECTIONS = 64  # That a worker accepts, of all hosts together.
IN_TRANSIT_SHARE = 0.3  # Of the orders that are sent to a worker about to crash.
TRANSIT_S = (0.2, 1.5)
LATE_S = (0.3, 1.4)  # Of orders that are late, see Worker.late_s.
RECEIVED_LATE_S = (2, 12)  # Of orders that a process has received and that it, or its next life, carries out.
RESTART_CHECK_S = 0.02
LATE_START_SHARE = 0.5
LATE_ORDER_SHARE = 0.1  # Of stops and holds; most answers show that a late start has not come.


class Connections:
    """The connections that are open at a worker. It cannot tell that a host has lost power: those stay open."""

    def __init__(self, hosts):
        self.open = [set() for _ in range(hosts)]  # By host.
        self.left_open = 0                         # By hosts that lost power.
        self.most = 0                              # At a time.
        self.refused = [0] * hosts                 # By host.

    def opened(self, connection, host):
        """False if the worker has no place for it."""
        count = self.left_open + sum(len(each) for each in self.open) + 1
        if count > MAX_CONNECTIONS:
            self.refused[host] += 1
            return False
        self.most = max(self.most, count)
        self.open[host].add(connection)
        return True

    def lose_power(self, host):
        self.left_open += len(self.open[host])
        self.open[host].clear()

    def reset(self, spared):
        for connection in set().union(*self.open) - spared:
            connection.transport.abort()
        self.left_open = 0


class HostConnections:
    """The connections of one host to a worker."""

    def __init__(self, connections, host):
        self.connections, self.host = connections, host

    def opened(self, connection):
        return self.connections.opened(connection, self.host)

    def closed(self, connection):
        self.connections.open[self.host].discard(connection)


class Worker:
    def __init__(self, number, slot, network, store, checks, durations, tickets):
        self.number, self.id = number, f"i-7f3a91{number:02d}"
        self.slot = slot  # Of its addresses.
        self.network, self.store, self.checks = network, store, checks
        self.durations = durations  # Seconds of a task, by job.
        self.tickets = tickets  # None: its queues have no advice.
        self.paths = [server.Path() for _ in store.paths]
        self.connections = Connections(len(store.paths))
        self.cut_from_store = False
        self.entry_written_at = time.monotonic()
        self.entry_due_at = 0    # The first one of this life.
        self.crash_near = False
        self.late_s = None       # Some orders get no answer and arrive so much later.
        self.state = "ready"
        self.leaving = False     # It is being replaced, and has left if it is not up.
        self.start_late = asyncio.Event()
        self.in_transit = set()  # Connections of orders that the crash overtakes; their senders do not learn of it.
        self.ends_named = asyncio.Event()  # By one of these orders, a hold.
        self.told_life = {}      # That the last lists named, by host.
        self.changed = asyncio.Event()
        self.begin_life()

    def begin_life(self):
        """Starts a process, which knows nothing of earlier ones."""
        self.up = True
        self.born = time.monotonic()
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.token = 0
        self.lease_until = 0
        self.last_end = 0
        self.runs = {}     # (task, number) to [run, ends_at, how, cpu].
        self.highest = {}  # Highest number that was stopped or ended here, by task.
        self.ends = []     # [number, run].

    def end_life(self):
        self.up = False
        for run, *_ in self.runs.values():
            self.checks.ended(run, "crashed")
        self.runs, self.ends = {}, []
        self.connections.reset(self.in_transit)
        self.in_transit.clear()
        self.ends_named.clear()
        self.changed.set()
        self.changed = asyncio.Event()

    def clock_ms(self):
        return CLOCK_AT_BIRTH_MS + int((time.monotonic() - self.born) * 1000)

    def write_entry(self):
        if self.cut_from_store or not self.up or time.monotonic() < self.entry_due_at:
            if time.monotonic() - self.entry_written_at > ENTRY_S:
                self.store.remove(f"servers/{self.id}")
            return
        self.entry_written_at = time.monotonic()
        self.sequence += 1
        entry = {"Service": "pool", "Address": self.network.listed_worker(self.slot), "Zone": f"z{self.number % 3}",
                 "Version": "v1", "Slots": 8, "State": self.state, "ColdLeftMs": 0, "Capacity": CAPACITY,
                 "Labels": ["a", f"r{self.number // 4}"], "ClockMs": self.clock_ms(), "born": self.born_ms,
                 "Sequence": self.sequence}
        self.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    async def serve(self, request, host):
        self.paths[host].add(request)
        handlers = {"/run-start": self._start, "/run-stop": self._stop, "/hold": self._hold}
        handler = handlers.get(request.path)
        if handler is None:
            return server.web.json_response({}, status=404)
        if self.crash_near and not self.paths[host].faults.silent:
            body = await request.json()
            if body.get("LastSeen") or random.random() < IN_TRANSIT_SHARE:
                self.in_transit.add(request.protocol)
                asyncio.ensure_future(self._carry_out_late(handler, body, host, TRANSIT_S))
                if body.get("LastSeen"):
                    self.ends_named.set()
                return await server.no_answer(request)
        elif self.late_s and not self.paths[host].faults.silent and self._is_late(request.path):
            self.in_transit.add(request.protocol)
            asyncio.ensure_future(self._carry_out_late(handler, await request.json(), host, self.late_s))
            return await server.no_answer(request)

        async def handle(body):
            if not self.up:  # The crash came while the connection was being accepted.
                if request.transport is not None:
                    request.transport.abort()
                return 503, {}
            expected = request.headers.get("X-Hibiscusstand-Expect-Instance", self.id)
            if expected != self.id:
                return 421, {"ClockMs": self.clock_ms()}
            self.end_due_runs()
            status, answer = await handler(body, host, time.monotonic(), self.told_life.get(host))
            if "born" in answer and request.transport is not None:
                self.told_life[host] = answer["born"]
            return status, {**answer, "ClockMs": self.clock_ms()}
        return await server.call(request, self.paths[host].faults, handle)

    def _is_late(self, path):
        late = random.random() < (LATE_START_SHARE if path == "/run-start" else LATE_ORDER_SHARE)
        if late and path == "/run-start":
            self.start_late.set()
        return late

    async def _carry_out_late(self, handler, body, host, seconds):
        """An order in transit: it reaches whichever process runs by then, or the next one if none does."""
        sent_at, born_ms, told = time.monotonic(), self.born_ms, self.told_life.get(host, self.born_ms)
        await asyncio.sleep(random.uniform(*seconds))
        while not self.up and not self.leaving:
            await asyncio.sleep(RESTART_CHECK_S)
        if self.up:
            if self.born_ms != born_ms:
                self._note_next_life(handler.__name__[1:], body, host, time.monotonic() - sent_at)
            self.end_due_runs()
            await handler(body, host, sent_at, told)

    def _note_next_life(self, order, body, host, age):
        self.checks.count(f"{order}s carried out by the next life")
        if order == "start":
            print(f"{self.checks.at():7.3f} w{self.number}: the start of {body['Task']} run {body['Run']} by h{host} "
                  f"reaches the next life after {age:.3f} s", flush=True)

    def _fenced(self, body):
        token = body.get("FencingToken", 0)
        if token < self.token:
            return True
        self.token = token
        return False

    def _extend(self, deadline_ms):
        self.lease_until = max(self.lease_until, min(deadline_ms, self.clock_ms() + int(MAX_HOLD_S * 1000)))

    async def _start(self, body, host, sent_at, _):
        if self._fenced(body):
            return 409, {"Reason": "fence"}
        name = (body["Task"], body["Run"])
        if body["DeadlineMs"] < self.clock_ms():
            return 409, {"Reason": "late"}
        self._extend(body["DeadlineMs"])
        if name in self.runs:
            return 200, {}
        if name[1] <= self.highest.get(name[0], 0):
            return 409, {"Reason": "old"}
        if not self._may_run(body):
            self.checks.count("starts refused for their ticket")
            return 409, {"Reason": "ticket"}
        run = self.checks.started(*name, self.number, host, body.get("TaskSpec", ""), sent_at)
        job, _, step, _ = name[0].split(".")
        cpu = self.checks.jobs[job].steps[int(step)]["Cpu"] if job in self.checks.jobs else 0
        used = sum(each[3] for each in self.runs.values())
        if used + cpu > CAPACITY["Cpu"]:
            self.checks.report("LIMIT", f"{used} of {CAPACITY['Cpu']} in use: {run}")
        self.runs[name] = [run, time.monotonic() + self.durations.get(job, 1), "done", cpu]
        return 200, {}

    def _may_run(self, body):
        job, occurrence, step, _ = body["Task"].split(".")
        if self.tickets is None or job not in self.checks.jobs or self.checks.jobs[job].prefix != PREFIX:
            return True
        return self.tickets.is_valid(body.get("Ticket"), f"{job}.{occurrence}.{step}", self)

    async def _stop(self, body, host, *_):
        if self._fenced(body):
            return 409, {"Reason": "fence"}
        name = (body["Task"], body["Run"])
        if name in self.runs:
            self.runs[name][1:3] = [time.monotonic() + STOP_S, "stopped"]
        self.highest[name[0]] = max(self.highest.get(name[0], 0), name[1])
        return 200, {}

    async def _hold(self, body, host, sent_at, told):
        """`told` is the life of which its sender knew then, as far as the worker can tell."""
        if self._fenced(body):
            return 409, {"Reason": "fence"}
        seen = body.get("LastSeen", 0)
        for number, run in self.ends:
            if number <= seen:
                if told not in (None, self.born_ms):
                    age = time.monotonic() - sent_at
                    print(f"{self.checks.at():7.3f} w{self.number}: a hold up to end {seen} that h{host} sent for life "
                          f"{told} {age:.3f} s ago makes life {self.born_ms} forget end {number}, {run}: {run.how}",
                          flush=True)
                self.checks.acknowledged(run)
        self.ends = [end for end in self.ends if end[0] > seen]
        self._extend(body.get("DeadlineMs", 0))
        until = time.monotonic() + min(body.get("WaitMs", 0) / 1000, MAX_WAIT_S)
        this_life = self.born_ms
        while not self.ends and self.up and self.born_ms == this_life and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        running = [[*name, "", self._percent(run, ends_at), 0] for name, (run, ends_at, _, _) in self.runs.items()]
        finished = [[number, run.task, run.number, run.how, ""] for number, run in self.ends[:500]]
        return 200, {"Running": running, "Finished": finished, "born": self.born_ms}

    @staticmethod
    def _percent(run, ends_at):
        now = time.monotonic()
        return min(100, int(100 * (now - run.started_at) / max(0.01, ends_at - run.started_at)))

    def end_due_runs(self):
        now, lapsed = time.monotonic(), self.clock_ms() > self.lease_until
        due = [(name, "lapsed" if lapsed else state[2]) for name, state in self.runs.items()
               if lapsed or state[1] <= now]
        for name, how in due:
            run = self.runs.pop(name)[0]
            self.last_end += 1
            self.checks.ended(run, how)
            self.ends.append((self.last_end, run))
            self.highest[name[0]] = max(self.highest.get(name[0], 0), name[1])
        if lapsed:
            for _, run in self.ends:
                run.lapsed = True
        if due:
            self.changed.set()
            self.changed = asyncio.Event()


class Workers:
    def __init__(self, count, network, store, checks, tickets):
        self.durations = {}
        self.network, self.store, self.checks, self.tickets = network, store, checks, tickets
        self.all = []        # Also those that have left.
        self.next_slot = count
        self.callees = {}    # (worker, host) by address.
        self.limits = {}     # By address.
        for slot in range(count):
            self._add(slot)
        self.listeners = None

    def _add(self, slot):
        worker = Worker(len(self.all), slot, self.network, self.store, self.checks, self.durations, self.tickets)
        self.all.append(worker)
        for host, address in enumerate(self._addresses(worker)):
            self.callees[address] = (worker, host)
            self.limits[address] = HostConnections(worker.connections, host)
        return worker

    def _addresses(self, worker):
        return [self.network.worker(host, worker.slot) for host in range(len(worker.paths))]

    async def start(self):
        async def on_request(request, address):
            worker, host = self.callees[address]
            return await worker.serve(request, host)
        self.listeners = await server.listen(on_request, self.callees, WORKER_PORT, self.limits)
        asyncio.ensure_future(self._tick())

    async def crash(self, worker, seconds, entry_late):
        """It starts again under its id after that time; its entry in the store follows later."""
        for address in self._addresses(worker):
            self.listeners.close(address)
        worker.end_life()
        await asyncio.sleep(seconds)
        worker.begin_life()
        worker.entry_due_at = time.monotonic() + entry_late
        for address in self._addresses(worker):
            await self.listeners.open(address)
        if not entry_late:
            worker.write_entry()

    async def join(self, slot=None):
        """A worker starts under a new id, at a new address or one that is free again. None if there is no address."""
        if slot is None:
            if self.next_slot > LAST_SLOT:
                return None
            slot, self.next_slot = self.next_slot, self.next_slot + 1
        worker = self._add(slot)
        for address in self._addresses(worker):
            await self.listeners.open(address)
        worker.write_entry()
        return worker

    def leave(self, worker):
        for address in self._addresses(worker):
            self.listeners.close(address)
        worker.end_life()
        if not worker.cut_from_store:
            self.store.remove(f"servers/{worker.id}")

    @property
    def steady(self):
        """Those that are not about to crash or to leave."""
        return [worker for worker in self.all if worker.up and not worker.crash_near and not worker.late_s and
                not worker.leaving]

    def lose_power(self, host):
        """To be called before the host is killed, so that the ends of its connections are not taken note of."""
        for worker in self.all:
            worker.connections.lose_power(host)

    def check_connections(self):
        for worker in self.all:
            refused = [f"{count} of h{host}" for host, count in enumerate(worker.connections.refused) if count]
            if refused:
                self.checks.report("CONNECTIONS", f"w{worker.number} refused those over its {MAX_CONNECTIONS}, "
                                                  f"{worker.connections.left_open} of them left open by hosts that lost "
                                                  f"power: {', '.join(refused)}")

    def most_connections(self):
        return max(worker.connections.most for worker in self.all)

    async def _tick(self):
        next_entry = {worker: time.monotonic() + random.random() * HEARTBEAT_S for worker in self.all}
        for worker in self.all:
            worker.write_entry()
        while True:
            await asyncio.sleep(0.005)
            for worker in self.all:
                worker.end_due_runs()
                if time.monotonic() >= next_entry.setdefault(worker, time.monotonic() + HEARTBEAT_S):
                    next_entry[worker] += HEARTBEAT_S
                    worker.write_entry()
