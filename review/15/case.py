"""A tenant spends its burst, and the store that leads freezes before a request was refused. The tenant
sends on."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))

import fleet as f

HOST = "desk.example"
PREFIX = "/desk/"
KEY = "rjvz48wuakn2ftimaj3n"
TENANT = "huka270"
RATE, BURST = 10, 700
# Bounds of the sheet of the deployment with tenants.
QUOTA = {"quota_window_s": 5, "quota_overage": 0.1, "quota_slack": 20, "strict_revoke": False,
         "revoke_ms": 5000}
# Requests that are sent before the freeze, in FIRST_S: fewer than the burst.
FIRST, FIRST_S = 700, 1.4
# How long the tenant sends on, at the same rate, and how long the store stands still.
ON_S, FROZEN_S = 3.0, 3.2


def manifest():
    return {
        "version": 3,
        "routes": [{"name": "r-desk", "host": HOST, "path_prefix": PREFIX, "type": "safe",
                    "timeout_ms": 4000, "target_latency_ms": 250, "priority": 0, "service": "desk",
                    "max_attempts": 2, "public": False}],
        "services": [{"name": "desk", "health_path": "/healthz", "max_connections": 370,
                      "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1, "rate_per_s": RATE, "burst": BURST}],
    }


async def send(fleet, entry, channels, sent):
    """One request, on a kept channel of this entry if one is free."""
    channel = channels.pop() if channels else f.Channel(entry.front)
    request = f.new_id()
    sent[request] = fleet.record.now()
    fields = {"Host": HOST, "Request-Id": request, "Deadline-Ms": "4000", "Authorization": f"Token {KEY}"}
    status = None
    try:
        answer = await channel.send("POST", f"{PREFIX}{request}", fields, b"{}")
        status = answer.status
        channels.append(channel)
    except (OSError, asyncio.TimeoutError, EOFError, ValueError, IndexError):
        pass
    fleet.record.note("answered", request=request, by=entry.name, status=status)
    return status


async def case(record, trouble):
    with f.Fleet(record, stores=3, entries=4, bounds=QUOTA,
                 contracts=["tenants", "quota", "pressure"]) as fleet:
        workers = [f.Worker(fleet, f"i-desk-{n}", "desk", zone, work_s=0.002)
                   for n, zone in enumerate(list(f.ZONES) * 2)]
        for worker in workers:
            await worker.start()
        await fleet.put_manifest(manifest())
        await fleet.wait_ready()
        # A new leader's bucket fills at the tenant's rate.
        await asyncio.sleep(fleet.bounds["contact_ms"] / 1000 + BURST / RATE)
        leader = fleet.leader()
        sent, tasks = {}, []
        channels = {entry.name: [] for entry in fleet.entries}
        pace = FIRST / FIRST_S
        total = int(pace * (FIRST_S + ON_S))
        begun = record.now()
        for number in range(total):
            if number == FIRST:
                statuses = [task.result() if task.done() else None for task in tasks]
                record.note("first requests sent", count=len(tasks),
                            refused=sum(1 for status in statuses if status not in (200, None)))
                if trouble:
                    leader.signal(signal.SIGSTOP)
                    record.note("frozen", machine=leader.name)
            entry = fleet.entries[number % len(fleet.entries)]
            tasks.append(asyncio.create_task(send(fleet, entry, channels[entry.name], sent)))
            await asyncio.sleep(max(0, begun + (number + 1) / pace - record.now()))
        await asyncio.sleep(max(0, begun + FIRST_S + FROZEN_S - record.now()))
        leader.signal(signal.SIGCONT)
        record.note("goes on", machine=leader.name)
        statuses = await asyncio.gather(*tasks)
        await asyncio.sleep(1)

        window = QUOTA["quota_window_s"]
        most = (RATE * window + BURST) * (1 + QUOTA["quota_overage"]) + QUOTA["quota_slack"]
        runs = []
        for worker in workers:
            for at, request, headers in worker.runs:
                if headers.get("tenant") != TENANT:
                    raise f.CannotRun("a run without the tenant's name")
                runs.append((at, sent[request]))
        runs.sort()
        highest = 0
        # Sent and run in the window, which may begin at any run or sending.
        for start in sorted({at for run in runs for at in run}):
            inside = sum(1 for at, sent_at in runs if start <= sent_at and at <= start + window)
            highest = max(highest, inside)
        counts = {status: statuses.count(status) for status in set(statuses)}
        record.note("total", sent=len(sent), answers=counts, run=len(runs), highest_in_window=highest,
                    allowed=most)
        print("highest in a window", highest, "allowed", most, counts)
        if len(runs) < FIRST * 0.9:
            raise f.CannotRun("too few requests were run")
        return highest > most


f.run_case(FOLDER, case)
