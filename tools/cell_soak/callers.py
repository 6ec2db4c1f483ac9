"""Callers: they submit, ask and cancel jobs over connections that stay open, and retry as the platform's clients do."""
import asyncio
import json
import random
import time

import aiohttp

from tools.cell_soak.checks import Job
from tools.cell_soak.network import CALLER_PORT

HOST_NAME = "a.example"
PREFIX = "/jobs/"
PASSING_PREFIX = "/passing/"  # Of a route that is added and removed again and again.
COUNT_INTERVAL_S = 0.3        # Between requests to each host for that route's count.
TIMEOUT_S = 3.0
RETRY_S = 0.3
MAX_ATTEMPTS = 8
TASK_S = [0.2, 0.2, 0.6, 0.6, 0.6, 1.5, 1.5, 4, 4, 14]  # Some outlast the leases of the workers.
REFUSALS = (400, 404, 408, 429, 503)  # The job was not accepted and never runs.
FINAL_STATES = ("completed", "failed", "cancelled")


class Callers:
    def __init__(self, network, hosts, checks, durations, longest_task):
        self.network, self.hosts, self.checks, self.durations = network, hosts, checks, durations
        self.task_seconds = [each for each in TASK_S if each <= longest_task]
        self.session = None
        self.over = False

    async def start(self):
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
                                             connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=60))

    async def call(self, host, method, job, body=None):
        """The status and body of the answer; 0 without one."""
        url = f"http://{self.network.host(host)}:{CALLER_PORT}{job.prefix}{job.id}"
        headers = {"Host": HOST_NAME, "X-Hibiscusstand-Deadline-Ms": str(int(TIMEOUT_S * 1000))}
        sent_at = time.monotonic()
        try:
            async with self.session.request(method, url, json=body, headers=headers) as answer:
                status, content = answer.status, await answer.json(content_type=None)
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError):
            status, content = 0, {}
        self.checks.answered(job, method, host, status, sent_at)
        return status, content or {}

    def any_host(self):
        return random.randrange(self.hosts)

    async def load(self, seconds, interval):
        until = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < until:
            tasks.append(asyncio.ensure_future(self.job()))
            await asyncio.sleep(random.uniform(0.2, 1.8) * interval)
        self.over = True
        await asyncio.gather(*tasks)

    async def use_passing_route(self, seconds):
        """Asks each host for the count of the route, whether it is there or not; submits jobs that nobody cancels."""
        until = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < until:
            count = Job("", [], PASSING_PREFIX)
            tasks += [asyncio.ensure_future(self.call(host, "GET", count)) for host in range(self.hosts)]
            if random.random() < 0.3:
                job = Job(f"{random.getrandbits(64):016x}",
                          [{"Count": 2, "Cpu": 300, "MemMb": 256, "EstimateMs": 800}], PASSING_PREFIX)
                self.checks.jobs[job.id] = job
                self.durations[job.id] = random.choice(self.task_seconds)
                tasks.append(asyncio.ensure_future(self.submit(job)))
            await asyncio.sleep(COUNT_INTERVAL_S)
        await asyncio.gather(*tasks)

    def new_job(self):
        steps = [{"Count": random.randint(1, 4), "Cpu": random.choice([300, 600, 1500]), "MemMb": 256,
                  "EstimateMs": 800}]
        if random.random() < 0.5:
            steps.append({**steps[0], "Count": 2, "After": [0]})
        job = Job(f"{random.getrandbits(64):016x}", steps, PREFIX)
        self.checks.jobs[job.id] = job
        self.durations[job.id] = random.choice(self.task_seconds)
        return job

    async def job(self):
        job = self.new_job()
        if not await self.submit(job):
            return
        choice = random.random()
        if choice < 0.35:
            await asyncio.sleep(random.choice([0, 0, 0.3, 1.2, 3]))
            await self.cancel(job, everywhere=random.random() < 0.4)
        elif choice < 0.7:
            for _ in range(3):
                await asyncio.sleep(random.uniform(0, 1.5))
                await asyncio.gather(*(self.call(host, "GET", job) for host in
                                       random.sample(range(self.hosts), random.choice([1, 1, self.hosts]))))

    async def submit(self, job):
        body = {"TaskSpec": f"work {job.id}", "Steps": job.steps}
        for _ in range(MAX_ATTEMPTS):
            job.attempts += 1
            status, _ = await self.call(self.any_host(), "POST", job, body)
            if status == 200:
                job.accepted_at = time.monotonic()
                return True
            if status in REFUSALS:
                job.refusals += 1
            await asyncio.sleep(RETRY_S if status else 0)
        return False

    async def connect(self, host):
        """A connection on which nothing was sent yet; None if it cannot be opened."""
        try:
            return await asyncio.open_connection(self.network.host(host), CALLER_PORT)
        except OSError:
            return None

    async def submit_once(self, host, connection):
        """Submits a job in one attempt over the connection, and leaves at the deadline. Returns the job."""
        job = self.new_job()
        reader, writer = connection
        body = json.dumps({"TaskSpec": f"work {job.id}", "Steps": job.steps})
        sent_at = time.monotonic()
        job.attempts += 1
        try:
            writer.write(f"POST {job.prefix}{job.id} HTTP/1.1\r\nHost: {HOST_NAME}\r\nContent-Type: application/json\r\n"
                         f"X-Hibiscusstand-Deadline-Ms: {int(TIMEOUT_S * 1000)}\r\nContent-Length: {len(body)}\r\n\r\n"
                         f"{body}".encode())
            head = await asyncio.wait_for(reader.readuntil(b"\r\n"), TIMEOUT_S)
            status = int(head.split()[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status = 0
        writer.close()
        self.checks.answered(job, "POST", host, status, sent_at)
        if status == 200:
            job.accepted_at = time.monotonic()
        if status in REFUSALS:
            job.refusals += 1
        return job

    async def cancel(self, job, everywhere):
        job.cancel_sent = True
        if everywhere:
            await asyncio.gather(*(self.call(host, "DELETE", job) for host in range(self.hosts)))
        while job.cancelled_at is None:
            status, _ = await self.call(self.any_host(), "DELETE", job)
            await asyncio.sleep(0 if status else RETRY_S)

    async def state(self, job):
        status, body = await self.call(self.any_host(), "GET", job)
        return body.get("State") if status == 200 else None

    async def wait_for_ends(self, seconds):
        """Reports each accepted job that has not ended in time."""
        until = time.monotonic() + seconds
        waiting = [job for job in self.checks.jobs.values() if job.accepted_at is not None]
        while waiting and time.monotonic() < until:
            states = await asyncio.gather(*(self.state(job) for job in waiting))
            waiting = [job for job, state in zip(waiting, states) if not self.ended(job, state)]
            await asyncio.sleep(0.5)
        for job in waiting:
            self.checks.report("LOST", f"{job.id} is {await self.state(job)}")

    def ended(self, job, state):
        if state == "failed" or (state == "cancelled" and not job.cancel_sent):
            self.checks.report("LOST", f"{job.id} is {state} without cause")
        return state in FINAL_STATES
