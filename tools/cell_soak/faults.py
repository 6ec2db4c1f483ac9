"""The disruptions of a soak, drawn from its seed."""
import asyncio
import random

from tools.cell_soak.workers import LATE_S, RECEIVED_LATE_S

OWNER_SHARE = 0.6  # Of the disruptions of a host: that they meet the owner.
POWER_OFF_S = 3.0
POWER_BACK_S = 1.0  # Before the next loss of a series.
# In a run. A host may leave 4 connections at a worker; 8 more are for the owner and its successor, 8 for hosts that
# stand still or are cut off.
MAX_POWER_LOSSES = 12
REMOVED_SHARE = 0.35    # Of the hosts, at most.
DRAIN_S = 2.5           # That a worker serves on, at least, once it drains.
BURST_CALLERS = 32      # That send at the same time.
BURST_S = 0.02            # As long as the owner collects a batch.
SILENT_STORE_S = 4.2    # As long as the platform's store may be.
ADDRESS_REUSE_S = 2.0   # Before another worker has the address of one that has left.


class Faults:
    def __init__(self, hosts, links, store, workers, callers, checks):
        self.hosts, self.links, self.store, self.workers, self.checks = hosts, links, store, workers, checks
        self.callers = callers
        self.kinds = [self.pause, self.pause, self.kill, self.terminate, self.cut_off, self.cut_off, self.cut_store,
                      self.cut_peers, self.cut_workers, self.store_down, self.store_unsure, self.silent_watches,
                      self.cut_worker, self.power, self.crash_workers]
        # Only with --kinds: the draws of a seed stay the same without.
        self.named_kinds = [self.silence_connections, self.late_orders, self.split_peers, self.silence_peers,
                            self.received_orders, self.release, self.join_host, self.remove_host,
                            self.stop_beside_silence]
        self.not_joined = []  # Hosts that have not started yet.
        self.removed = set()  # Hosts that are gone for good.
        self.until = 0
        self.power_losses = 0

    def only(self, names):
        self.kinds += self.named_kinds
        if names == ["all"]:
            return
        unknown = set(names) - {kind.__name__ for kind in self.kinds}
        if unknown:
            raise SystemExit(f"no such disruptions: {', '.join(sorted(unknown))}")
        self.kinds = [kind for kind in self.kinds if kind.__name__ in names]

    def note(self, text):
        print(f"{self.checks.at():7.3f} {text}", flush=True)

    def any_host(self):
        return self.store.last_writer if random.random() < OWNER_SHARE else random.randrange(len(self.hosts))

    async def run(self, seconds, interval):
        self.until = self.checks.at() + seconds
        running = []
        while self.checks.at() < self.until:
            running.append(asyncio.ensure_future(random.choice(self.kinds)()))
            await asyncio.sleep(random.uniform(0.2, 1.8) * interval)
        await asyncio.gather(*running)

    # --- Processes ---

    async def pause(self):
        host, seconds = self.any_host(), random.choice([0.3, 0.7, 1.5, 3, 6])
        if not self.hosts[host].running or self.hosts[host].paused:
            return
        self.note(f"h{host} stands still for {seconds} s")
        self.checks.disturb(host, seconds)
        self.hosts[host].pause()
        await asyncio.sleep(seconds)
        self.hosts[host].resume()

    async def kill(self):
        host = self.any_host()
        self.note(f"h{host} is killed")
        self.checks.disturb(host, 3)
        self.hosts[host].kill()
        await asyncio.sleep(random.uniform(0.2, 2))
        self.restart(host)

    async def terminate(self):
        host = self.any_host()
        if self.hosts[host].paused or self.hosts[host].stopping or not self.hosts[host].running:
            return
        self.note(f"h{host} is stopped")
        self.checks.disturb(host, 9)
        await self.hosts[host].terminate()
        self.restart(host)

    async def stop_beside_silence(self):
        """Hosts are stopped in turn while the store falls silent. Callers have connected before the balancer noticed, and
        send what the host cannot have stored before it exits."""
        for _ in range(random.randint(1, 3)):
            running = [host for host, process in enumerate(self.hosts)
                       if process.running and not process.paused and not process.stopping]
            host = random.choice([each for each in running if each != self.store.last_writer] or running or [None])
            if self.checks.at() >= self.until or host is None:
                return
            self.note(f"h{host} is stopped; the store will be silent")
            self.checks.disturb(host, 9)
            stop = asyncio.ensure_future(self.hosts[host].terminate())
            await asyncio.sleep(random.uniform(1.75, 1.9))
            connections = await asyncio.gather(*(self.callers.connect(host) for _ in range(BURST_CALLERS)))
            await asyncio.sleep(random.uniform(0.5, 0.7))
            faults = [path.faults for path in self.store.paths]
            self.checks.disturb("store", SILENT_STORE_S)
            # Some requests are in a batch when the silence begins: their owner cannot know what becomes of them.
            attempts = asyncio.gather(*(self.callers.submit_once(host, each) for each in connections if each))
            await asyncio.sleep(random.uniform(0.3, 1) * BURST_S)
            for each in faults:
                each.silent = True
            await asyncio.sleep(SILENT_STORE_S)
            for each in faults:
                each.clear()
            await asyncio.gather(stop, attempts)
            self.restart(host)
            await asyncio.sleep(random.uniform(0.5, 2))

    async def power(self):
        """The owner loses power, a few times in series; the workers do not learn that its connections have ended."""
        for _ in range(random.randint(3, 6)):
            host = self.store.last_writer
            if self.checks.at() >= self.until or self.power_losses >= MAX_POWER_LOSSES:
                return
            if self.hosts[host].running and not self.hosts[host].paused:
                self.power_losses += 1
                self.note(f"h{host} loses power")
                self.checks.disturb(host, POWER_OFF_S)
                self.workers.lose_power(host)
                self.hosts[host].kill()
            await asyncio.sleep(POWER_OFF_S)
            self.restart(host)
            await asyncio.sleep(POWER_BACK_S)

    async def join_host(self):
        if self.not_joined:
            host = self.not_joined.pop(0)
            self.note(f"h{host} joins")
            self.checks.disturb(host, 0)
            self.hosts[host].start()

    async def remove_host(self):
        """With or without a notice."""
        host, planned = self.any_host(), random.random() < 0.5
        gone = len(self.removed) + 1 > REMOVED_SHARE * len(self.hosts)
        if gone or host in self.removed or not self.hosts[host].running or self.hosts[host].stopping:
            return
        self.note(f"h{host} is removed for good, planned {planned}")
        self.removed.add(host)
        self.checks.disturb(host, 9)
        if planned and not self.hosts[host].paused:
            await self.hosts[host].terminate()
        self.hosts[host].kill()

    def restart(self, host):
        absent = host in self.removed or host in self.not_joined
        if not absent and not self.hosts[host].running:
            self.hosts[host].start()

    # --- Paths ---

    def faults_of(self, host, workers):
        return [self.workers.all[worker].paths[host].faults for worker in workers]

    async def spoil(self, faults, seconds, one_way):
        for each in faults:
            each.silent, each.no_answers = not one_way, one_way
        await asyncio.sleep(seconds)
        for each in faults:
            each.clear()

    async def cut_links(self, host, seconds, directions):
        links = [link for link in self.links if (link.source == host and "out" in directions) or
                 (link.target == host and "in" in directions)]
        for link in links:
            link.cut(True)
        await asyncio.sleep(seconds)
        for link in links:
            link.cut(False)

    async def cut_off(self):
        """A host, alone or with some workers, and all else no longer reach each other."""
        host, seconds = self.any_host(), random.choice([1.5, 3, 6, 10, 14])
        share = random.choice([0, 0, 0.25, 0.6])
        kept = [worker for worker in self.workers.all if random.random() < share]
        lost = [worker.number for worker in self.workers.all if worker not in kept]
        self.note(f"h{host} is cut off with {len(kept)} workers for {seconds:.1f} s")
        self.checks.disturb(host, seconds)
        cut = [self.store.paths[host].faults] + self.faults_of(host, lost)
        for worker in kept:
            worker.cut_from_store = True
            cut += [path.faults for number, path in enumerate(worker.paths) if number != host]
        await asyncio.gather(self.spoil(cut, seconds, False), self.cut_links(host, seconds, ("in", "out")))
        for worker in kept:
            worker.cut_from_store = False

    async def cut_store(self):
        host, seconds, one_way = self.any_host(), random.uniform(1, 8), random.random() < 0.4
        self.note(f"h{host} loses the store for {seconds:.1f} s, one way {one_way}")
        self.checks.disturb(host, seconds)
        await self.spoil([self.store.paths[host].faults], seconds, one_way)

    async def cut_peers(self):
        host, seconds = self.any_host(), random.uniform(1, 6)
        directions = random.choice([("in",), ("out",), ("in", "out")])
        self.note(f"h{host} loses the other hosts for {seconds:.1f} s, {directions}")
        self.checks.disturb(host, seconds)
        await self.cut_links(host, seconds, directions)

    async def cut_workers(self):
        host, seconds, one_way = self.any_host(), random.uniform(1, 7), random.random() < 0.4
        workers = [worker.number for worker in self.workers.all if random.random() < 0.5]
        self.note(f"h{host} loses {len(workers)} workers for {seconds:.1f} s, one way {one_way}")
        self.checks.disturb(host, seconds)
        await self.spoil(self.faults_of(host, workers), seconds, one_way)

    async def cut_worker(self):
        worker, seconds = random.choice(self.workers.all), random.uniform(1, 7)
        self.note(f"w{worker.number} is cut off for {seconds:.1f} s")
        await self.spoil([path.faults for path in worker.paths], seconds, random.random() < 0.4)

    async def silence_connections(self):
        """Open connections to the store, and of a host to workers, carry no answer any more; new ones do."""
        share = random.choice([0.3, 0.7, 1])
        hosts = [host for host in range(len(self.hosts)) if random.random() < 0.7]
        host, workers = self.any_host(), [worker for worker in self.workers.all if random.random() < 0.5]
        silent = sum(self.store.paths[each].silence_connections(share) for each in hosts)
        orders = sum(worker.paths[host].silence_connections(share) for worker in workers)
        self.note(f"{silent} connections of {hosts} to the store, {orders} of h{host} to workers are silent for good")
        for each in {*hosts, host}:
            self.checks.disturb(each, 0)
        self.checks.disturb("store", 0)

    async def split_peers(self):
        """Paths between two groups of hosts are silent, a few times in series; a host may be killed meanwhile."""
        for _ in range(random.randint(1, 4)):
            if self.checks.at() >= self.until:
                return
            share = random.choice([0.2, 0.5])
            one = [host for host in range(len(self.hosts)) if random.random() < share]
            seconds, one_way = random.uniform(0.5, 4), random.random() < 0.5
            links = [link for link in self.links if link.source in one and link.target not in one or
                     not one_way and link.source not in one and link.target in one]
            self.note(f"{one} lose the other hosts for {seconds:.1f} s, one way {one_way}")
            for host in range(len(self.hosts)):
                self.checks.disturb(host, seconds)
            for link in links:
                link.cut(True, holds_closes=True)
            kill = self.kill() if random.random() < 0.5 else asyncio.sleep(0)
            await asyncio.gather(asyncio.sleep(seconds), self.after(random.uniform(0, seconds), kill))
            for link in links:
                link.cut(False)
            await asyncio.sleep(random.uniform(0, 1))

    async def silence_peers(self):
        """Open connections between hosts carry nothing any more; new ones do. A few times in series, beside kills."""
        for _ in range(random.randint(1, 3)):
            if self.checks.at() >= self.until:
                return
            share, host = random.choice([0.3, 0.7, 1]), self.any_host()
            links = random.choice([self.links, [link for link in self.links if host in (link.source, link.target)]])
            silent = sum(link.silence_connections(share) for link in links)
            self.note(f"{silent} connections between hosts are silent for good, of {len(links)} paths")
            for each in range(len(self.hosts)):
                self.checks.disturb(each, 0)
            if random.random() < 0.4:
                await self.after(random.uniform(0, 1), self.kill())
            await asyncio.sleep(random.uniform(0.3, 3))

    @staticmethod
    async def after(seconds, disruption):
        await asyncio.sleep(seconds)
        await disruption

    # --- Workers ---

    async def late_orders(self):
        """Orders to several workers get no answer and arrive late; each starts again under its id meanwhile."""
        await self.delay_orders(LATE_S)

    async def received_orders(self):
        """The same with orders that are carried out much later, whether their process still runs or its next life."""
        await self.delay_orders(RECEIVED_LATE_S)

    async def delay_orders(self, late_s):
        steady = self.workers.steady
        workers = [worker for worker in random.sample(self.workers.all, min(random.randint(3, 8), len(self.workers.all)))
                   if worker in steady]
        self.note(f"orders to {len(workers)} workers are late, {late_s} s")
        await asyncio.gather(*(self.restart_with_late_orders(worker, late_s) for worker in workers))

    async def restart_with_late_orders(self, worker, late_s):
        worker.late_s = late_s
        worker.start_late.clear()
        await asyncio.wait([asyncio.ensure_future(worker.start_late.wait())], timeout=3)
        await asyncio.sleep(random.uniform(0.4, 1.2))  # The start is found not to run, or repeated.
        down, entry_late = 0.1, random.choice([0, 0.5, 2])
        if worker.up and not worker.crash_near and not worker.leaving:
            self.note(f"w{worker.number} starts again after {down} s, its entry comes {entry_late} s later")
            await self.workers.crash(worker, down, entry_late)
        await asyncio.sleep(random.uniform(0.3, 2))
        worker.late_s = None

    async def release(self):
        """Workers are replaced in turn: the new one starts first, the old one drains and leaves."""
        replaced = []
        for worker in random.sample(self.workers.steady, random.randint(1, max(1, len(self.workers.steady) // 2))):
            replaced.append(asyncio.ensure_future(self.replace(worker)))
            await asyncio.sleep(random.uniform(0.2, 1))
        await asyncio.gather(*replaced)

    async def replace(self, worker):
        successor = await self.workers.join() if worker in self.workers.steady else None
        if successor is None:
            return
        worker.leaving = True
        await asyncio.sleep(random.uniform(0.2, 1))
        seconds, cut_off, reused = DRAIN_S + random.choice([0.5, 2, 6]), random.random() < 0.3, random.random() < 0.4
        self.note(f"w{worker.number} drains for {seconds} s, cut off {cut_off}, w{successor.number} has come")
        worker.state = "draining"
        worker.write_entry()
        worker.cut_from_store = cut_off
        await self.spoil([path.faults for path in worker.paths] if cut_off else [], seconds, False)
        self.workers.leave(worker)
        if reused:
            await asyncio.sleep(ADDRESS_REUSE_S)
            again = await self.workers.join(worker.slot)
            self.note(f"w{again.number} has the address of w{worker.number}")

    async def crash_workers(self):
        """Workers crash and start again under their ids, a few in series; orders in transit may reach the next life."""
        for _ in range(random.randint(1, 4)):
            worker = random.choice(self.workers.all)
            if self.checks.at() >= self.until:
                return
            if worker.up and not worker.crash_near and not worker.leaving:
                down, entry_late = random.choice([0.1, 0.1, 0.1, 0.3, 1, 3]), random.choice([0, 0.5, 2, 5])
                worker.crash_near = True
                await asyncio.wait([asyncio.ensure_future(worker.ends_named.wait())], timeout=random.uniform(0.05, 0.6))
                self.note(f"w{worker.number} crashes for {down} s, its entry comes {entry_late} s later")
                worker.crash_near = False
                await self.workers.crash(worker, down, entry_late)
            await asyncio.sleep(random.uniform(0, 1))

    # --- The store ---

    async def store_down(self):
        seconds, share = random.uniform(0.5, 5), random.choice([1, 1, 0.5])
        faults = [path.faults for path in self.store.paths if random.random() < share]
        silent, self.store.leases_paused = random.random() < 0.5, random.random() < 0.5
        self.note(f"the store is {'silent' if silent else 'down'} for {len(faults)} hosts, {seconds:.1f} s")
        self.checks.disturb("store", seconds)
        for each in faults:
            each.silent, each.refuse_share = silent, 0 if silent else 1
        await asyncio.sleep(seconds)
        self.store.leases_paused = False
        for each in faults:
            each.clear()

    async def store_unsure(self):
        seconds = random.uniform(1, 5)
        what = random.choice(["lost_share", "late_share", "delay_s"])
        self.note(f"the store: {what} for {seconds:.1f} s")
        self.checks.disturb("store", seconds)
        for path in self.store.paths:
            setattr(path.faults, what, 0.2 if what == "delay_s" else 0.35)
        await asyncio.sleep(seconds)
        for path in self.store.paths:
            path.faults.clear()

    async def silent_watches(self):
        """The watches hear nothing, then the history is lost; a few times in series."""
        for _ in range(random.choice([1, 2, 3])):
            hosts = [host for host in range(len(self.hosts)) if random.random() < 0.8]
            seconds = random.uniform(0.5, 3)
            self.note(f"the watches of {hosts} are silent for {seconds:.1f} s, then the history is lost")
            self.checks.disturb("store", seconds)
            for host in hosts:
                self.store.silence_watches(host, True)
            await asyncio.sleep(seconds)
            self.store.forget_history()
            for host in hosts:
                self.store.silence_watches(host, False)
            await asyncio.sleep(random.uniform(1, 6))

    def heal(self):
        self.store.leases_paused = False
        for host, process in enumerate(self.hosts):
            self.store.paths[host].faults.clear()
            self.store.silence_watches(host, False)
            process.resume()
            self.restart(host)
        for worker in self.workers.all:
            worker.cut_from_store = False
            worker.late_s = None
            for path in worker.paths:
                path.faults.clear()
        for link in self.links:
            link.cut(False)
