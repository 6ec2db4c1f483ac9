"""Stand-in of the operator: writes the configuration, and adds and removes a route again and again."""
import asyncio
import json
import random

from tools.cell_soak.callers import HOST_NAME, PASSING_PREFIX, PREFIX

VERSION_STEPS = [1, 1, 2, 5, 40]
PAUSES_S = [0.3, 1, 2, 4, 4, 6]  # Between versions; hosts may take 2.5 s to apply one.


class Operator:
    def __init__(self, store, checks, advice):
        """`advice` is that of the route that stays, or None."""
        self.store, self.checks, self.advice = store, checks, advice
        self.version = 7
        self.write([PREFIX])

    def write(self, prefixes):
        routes = [{"Name": prefix.strip("/"), "Host": HOST_NAME, "Prefix": prefix, "Kind": "unsafe", "TimeoutMs": 3000,
                   "TargetLatencyMs": 1200, "Priority": 1, "Service": "pool", "MaxAttempts": 4, "Stretch": 2.2}
                  for prefix in prefixes]
        if self.advice:
            routes[0]["Advice"] = self.advice
        service = {"Name": "pool", "HealthPath": "/health", "EnforcesCapacity": False}
        configuration = {"Version": self.version, "Routes": routes, "Services": [service],
                         "Limits": {"MaxBodyBytes": 262144}}
        self.store.put("op/config", json.dumps(configuration).encode())
        self.checks.configured(prefixes)

    async def change(self, seconds):
        """The last version has all routes, so that callers can ask for the jobs of each."""
        until = self.checks.at() + seconds
        passing = False
        while (left := until - self.checks.at()) > 0 or not passing:
            await asyncio.sleep(min(random.choice(PAUSES_S), max(left, 0)))
            passing = not passing
            self.version += random.choice(VERSION_STEPS)
            self.write([PREFIX, PASSING_PREFIX] if passing else [PREFIX])
            print(f"{self.checks.at():7.3f} version {self.version}: {PASSING_PREFIX} is "
                  f"{'added' if passing else 'removed'}", flush=True)
