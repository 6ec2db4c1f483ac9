"""The hosts: processes of hibiscusd --mode=cell."""
import asyncio
import ctypes
import os
import signal
import subprocess

from tools.cell_soak.network import CALLER_PORT, METRICS_PORT, PEER_PORT, READY_PORT, STORE_PORT

GRACE_S = 6
PR_SET_PDEATHSIG = 1


def die_with_parent():
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class HostProcess:
    def __init__(self, number, network, program, directory):
        self.number, self.name = number, f"front-{number}"
        self.network, self.program = network, program
        self.log = os.path.join(directory, f"h{number}.log")
        self.process = None
        self.paused = False
        self.stopping = False

    def start(self):
        ip = self.network.host(self.number)
        flags = {"mode": "cell", "name": self.name, "data_centre": f"z{self.number % 3}", "http": f"{ip}:{CALLER_PORT}",
                 "ready": f"{ip}:{READY_PORT}", "peer": f"{ip}:{PEER_PORT}", "metrics": f"{ip}:{METRICS_PORT}",
                 "store": f"{self.network.store(self.number)}:{STORE_PORT}", "connections": 500,
                 "advice": f"{self.network.advice(self.number)}:{STORE_PORT}",
                 "processor_share": 0.25, "processor_speed": 1, "most_hold_ms": 6000, "state_kept_s": 120,
                 "shortest_lease_ms": 1000, "grace_s": GRACE_S}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([self.program] + [f"--{key}={value}" for key, value in flags.items()],
                                            stdout=log, stderr=log, preexec_fn=die_with_parent)
        self.paused = self.stopping = False

    @property
    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.running:
            self.process.send_signal(number)

    def pause(self):
        self.paused = True
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.paused = False
        self.signal(signal.SIGCONT)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def terminate(self):
        """SIGTERM, then SIGKILL after the grace period, as the platform does. False if it had to be killed."""
        self.stopping = True
        self.signal(signal.SIGTERM)
        for _ in range(int(GRACE_S / 0.05)):
            if not self.running:
                return True
            await asyncio.sleep(0.05)
        self.kill()
        return False
