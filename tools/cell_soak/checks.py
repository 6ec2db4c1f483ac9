"""Checks the platform's rules on what workers and callers see."""
import time

CANCEL_S = 3.0   # Bound of starts after an acknowledged cancel.
CONTACT_S = 4.0  # A host is in touch if nothing has disturbed it for this long.
CONFIG_APPLY_S = 2.5  # From the acknowledgement of a version until all hosts in touch handle requests by it.


class Run:
    def __init__(self, task, number, worker, host):
        self.task, self.number, self.worker, self.host = task, number, worker, host
        self.started_at = time.monotonic()
        self.ended_at = None
        self.how = None
        self.acknowledged = False
        self.lapsed = False  # Its worker's lease ran out between its end and the acknowledgement.

    def __str__(self):
        return f"{self.task} run {self.number} on w{self.worker} from h{self.host}"


class Job:
    def __init__(self, job, steps, prefix):
        self.id, self.steps, self.prefix = job, steps, prefix
        self.attempts = 0
        self.refusals = 0
        self.accepted_at = None
        self.cancel_sent = False
        self.cancelled_at = None  # When its cancelling was first acknowledged.


class Checks:
    def __init__(self):
        self.begin = time.monotonic()
        self.jobs = {}
        self.runs = {}  # By task.
        self.violations = []
        self.starts = 0
        self.counts = {}
        self.disturbed_until = {}  # By host; "store" for all.
        self.versions = []  # [acknowledged at, prefixes of its routes].

    def at(self):
        return time.monotonic() - self.begin

    def report(self, rule, text):
        self.violations.append(f"{self.at():7.3f} {rule}: {text}")
        print(self.violations[-1], flush=True)

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def disturb(self, what, seconds=0.0):
        until = time.monotonic() + seconds + CONTACT_S
        self.disturbed_until[what] = max(self.disturbed_until.get(what, 0), until)

    # --- Workers ---

    def started(self, task, number, worker, host, payload, sent_at):
        self.starts += 1
        run = Run(task, number, worker, host)
        job = self.jobs.get(task.split(".")[0])
        if job is None or payload != f"work {job.id}":
            self.report("UNASKED", f"no caller sent it: {run}")
            return run
        if job.attempts == job.refusals:
            self.report("REFUSED", f"each attempt was refused: {run}")
        for other in self.runs.setdefault(task, []):
            if other.ended_at is None:
                self.report("TWICE", f"two runs at once: {run} while {other}")
            elif other.how == "done" and other.acknowledged and not other.lapsed:
                self.report("TWICE", f"started after an acknowledged end: {run} after {other}")
        step = int(task.split(".")[2])
        for before in job.steps[step].get("After", []):
            for index in range(job.steps[before]["Count"]):
                earlier = self.runs.get(f"{job.id}.0.{before}.{index}", [])
                if not any(each.how == "done" for each in earlier):
                    self.report("ORDER", f"step {before} is not done: {run}")
        if job.cancelled_at is not None:
            late = sent_at - job.cancelled_at  # It may have been carried out later.
            if late <= CANCEL_S:
                self.count("starts soon after an acknowledged cancel")
            elif self.disturbed_until.get(host, 0) >= sent_at:
                self.count("late starts after an acknowledged cancel by hosts that are not in touch")
            else:
                self.report("UNASKED", f"{late:.1f} s after its cancelling was acknowledged: {run}")
        self.runs[task].append(run)
        return run

    def ended(self, run, how):
        run.ended_at, run.how = time.monotonic(), how

    def acknowledged(self, run):
        if run.acknowledged:
            return
        run.acknowledged = True
        if run.how != "done" or run.lapsed:
            return
        for other in self.runs[run.task]:
            if other is not run and other.started_at > run.ended_at:
                self.report("TWICE", f"an end is acknowledged after the task was started again: {run}, then {other}")

    # --- Callers ---

    def answered(self, job, method, host, status, sent_at):
        self.count(f"{method} {status}")
        self._check_route(job.prefix, method, host, status, sent_at)
        known = job.accepted_at is not None and job.accepted_at < sent_at
        if status == 410 and known:
            self.report("DENIED", f"{method} of accepted {job.id} by h{host} is answered 410, "
                                  f"disturbed {self.disturbed_until.get(host, 0) >= time.monotonic()}")
        if method == "DELETE" and known and status in (200, 410) and job.cancelled_at is None:
            job.cancelled_at = time.monotonic()

    def check_refusals(self):
        """No task of a job has started whose attempts were all refused, at whatever time."""
        started = {task.split(".")[0] for task in self.runs}
        for job in self.jobs.values():
            if job.id in started and job.attempts == job.refusals:
                self.report("REFUSED", f"all {job.attempts} attempts of {job.id} were refused, and it has started")

    # --- Configuration ---

    def configured(self, prefixes):
        self.versions.append((time.monotonic(), prefixes))

    def _check_route(self, prefix, method, host, status, sent_at):
        """The newest version that was acknowledged long before the request, or a later one, allows the answer."""
        applied = max((number for number, (acknowledged_at, _) in enumerate(self.versions)
                       if acknowledged_at + CONFIG_APPLY_S < sent_at), default=0)
        routed = {prefix in prefixes for _, prefixes in self.versions[applied:]}
        if status not in (200, 404):
            return
        in_touch = max(self.disturbed_until.get(what, 0) for what in (host, "store")) < sent_at
        if (status == 200) in routed:
            if in_touch and len(routed) == 1:
                self.count(f"checked answers for {prefix} by hosts in touch")
        elif not in_touch:
            self.count("answers by old versions of hosts that are not in touch")
        else:
            since = sent_at - self.versions[applied][0]
            self.report("CONFIG", f"{method} {prefix} sent to h{host} {since:.1f} s after a version "
                                  f"{'with' if status == 404 else 'without'} its route is answered {status}")
