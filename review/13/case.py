"""Clients hand in many batch jobs with large bodies of legal size at once. The platform kills a process
that uses more memory than its machine has, and starts it again."""

import asyncio
import base64
import json
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))

import fleet as f

HOST = "llm.example"
PREFIX = "/batch/"
# Bytes of an item's body: with it, a job is just inside max_body_bytes.
LARGE, SMALL = 3_000_000, 15_000
# Zones of one region: the links between the stores are those of the machines, 600 Mbit/s on the sheet. The
# accepted bodies together are less than such a link carries in `catch_up_s`.
ONE_REGION = {zone: "morava" for zone in f.ZONES}
# Accepted jobs after which the crowd stops, and when it does at the latest. It is one client an entry.
JOBS, FLOOD_S = 60, 25
# Time for the deployment to come to rest, and for the reads.
REST_S, READ_S = 20, 20


def manifest():
    return {
        "version": 3,
        "routes": [{"name": "r-batch", "host": HOST, "path_prefix": PREFIX, "type": "batch",
                    "timeout_ms": 15000, "target_latency_ms": 400, "priority": 2, "service": "llm",
                    "max_attempts": 3, "resumable": True, "gap_target_ms": 250,
                    "completion_target_ms": 18000, "item_ttl_s": 60, "cap": 0}],
        "services": [{"name": "llm", "health_path": "/healthz", "max_connections": 250,
                      "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    }


class Crowd:
    def __init__(self, fleet, size):
        self.fleet, self.size = fleet, size
        self.is_over = False
        self.answers = {}
        # Job and item ids, and the item's body.
        self.accepted = []

    async def client(self, entry):
        while len(self.accepted) < JOBS and not self.is_over:
            job, item, body = f.new_id(), f.new_id(), random.randbytes(self.size)
            data = {"items": [{"id": item, "path": f"{PREFIX}3/{item[:4]}",
                               "headers": {"Model": "m", "Token-Usage": "540,400"},
                               "body": base64.b64encode(body).decode(), "tokens": 940}]}
            fields = {"Host": HOST, "Request-Id": job, "Content-Type": "application/json",
                      "Deadline-Ms": "4000"}
            try:
                answer = await f.call(entry.front, "POST", f"{PREFIX}{job[:6]}", fields,
                                      json.dumps(data).encode(), timeout=6)
                status = answer.status
            except (OSError, asyncio.TimeoutError, EOFError, ValueError, IndexError):
                status = "none"
            self.answers[status] = self.answers.get(status, 0) + 1
            self.fleet.record.note("submitted", job=job, bytes=self.size, by=entry.name, status=status)
            if status == 202:
                self.accepted.append((job, item, body))
            else:
                # About what `Retry-After` says.
                await asyncio.sleep(1)


async def read(fleet, path, end):
    """Reads from entries in turn until one answers for sure."""
    last = None
    number = random.randrange(len(fleet.entries))
    while fleet.record.now() < end:
        number += 1
        entry = fleet.entries[number % len(fleet.entries)]
        try:
            last = await f.call(entry.front, "GET", path, {"Host": HOST, "Request-Id": f.new_id()}, timeout=3)
            if last.status in (200, 404, 410):
                return last
        except (OSError, asyncio.TimeoutError, EOFError, ValueError, IndexError):
            pass
        await asyncio.sleep(0.3)
    return last


async def case(record, trouble):
    with f.Fleet(record, stores=3, entries=9, zones=ONE_REGION) as fleet:
        await fleet.put_manifest(manifest())
        await fleet.wait_ready()
        await asyncio.sleep(fleet.bounds["contact_ms"] / 1000 + 1)
        memory = f.Memory(fleet)
        watching = asyncio.create_task(memory.watch())
        crowd = Crowd(fleet, LARGE if trouble else SMALL)
        clients = [asyncio.create_task(crowd.client(entry)) for entry in fleet.entries]
        await asyncio.wait(clients, timeout=FLOOD_S)
        # Calls in progress end by themselves.
        crowd.is_over = True
        record.note("the crowd has stopped", answers=crowd.answers, accepted=len(crowd.accepted),
                    ends=memory.ends)
        await asyncio.sleep(REST_S)
        record.note("reads begin", ends=len(memory.ends))

        unread = []
        end = record.now() + READ_S

        async def check(job, item, body):
            page = await read(fleet, f"/lots/{job}?after=0", end)
            ok = page is not None and page.status == 200 and json.loads(page.body).get("total") == 1
            if ok:
                stored = await read(fleet, f"/items/{job}?id={item}", end)
                ok = stored is not None and stored.status == 200 and stored.body == body
                page = stored
            if not ok:
                unread.append(job)
                record.note("job not readable", job=job, status=page.status if page else None)

        await asyncio.gather(*[check(*job) for job in crowd.accepted])
        watching.cancel()
        record.note("total", accepted=len(crowd.accepted), unread=len(unread), ends=len(memory.ends),
                    machines=",".join(sorted(set(memory.ends))), answers=crowd.answers)
        memory.note()
        print("accepted", len(crowd.accepted), "unread", len(unread), "ends", len(memory.ends))
        if not crowd.accepted:
            raise f.CannotRun("no job was accepted")
        return bool(unread) or memory.is_fault()


f.run_case(FOLDER, case)
