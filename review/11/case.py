"""Clients hand in batch jobs at the same moment. Later a store loses its disk, and another one after the time
from which on the next loss has to be borne."""

import asyncio
import base64
import json
import os
import random
import shutil
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))

import fleet as f

HOST = "llm.example"
PREFIX = "/batch/"
# Zones of the sheet. Two stores are in the first region, and the third one is in the other.
ZONES = {"taipei-a": "north-tw", "hsinchu-a": "north-tw", "kaohsiung-a": "south-tw"}
NEAR = "north-tw"
# Bytes of the one item of a job: with it, a submission is half of max_body_bytes.
LARGE = 1_600_000
# Clients, each with one job, at the entries of the region of two stores: no more than a burst of the sheet brings.
CLIENTS = 18
# The sheet: 30 Mbit/s each way between two regions, 20 ms one way.
LINK_BYTES_PER_S, LINK_DELAY_S = 30e6 / 8, 0.02
# Time for all stores to have the jobs, and for a machine that lost its disk to be back.
SETTLE_S, DOWN_S = 15, 1.0
# Beyond catch_up_s until the second loss.
MARGIN_S = 0.1
RECOVER_S, READ_S = 20, 15


def manifest():
    return {
        "version": 3,
        "routes": [{"name": "r-batch", "host": HOST, "path_prefix": PREFIX, "type": "batch",
                    "timeout_ms": 15000, "target_latency_ms": 400, "priority": 2, "service": "llm",
                    "max_attempts": 3, "resumable": True, "gap_target_ms": 250,
                    "completion_target_ms": 18000, "item_ttl_s": 120, "cap": 0}],
        "services": [{"name": "llm", "health_path": "/healthz", "max_connections": 250,
                      "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    }


def prepare():
    """A job: its id, its item's id, and the body of its submission."""
    job, item = f.new_id(), f.new_id()
    data = {"items": [{"id": item, "path": f"{PREFIX}3/{item[:4]}",
                       "headers": {"Model": "m", "Token-Usage": "90000,400"},
                       "body": base64.b64encode(random.randbytes(LARGE)).decode(), "tokens": 90400}]}
    return job, item, json.dumps(data).encode()


async def submit(fleet, number, prepared, accepted):
    """Sends a job, and again to the next daemon until it is accepted, three times at most."""
    job, item, body = prepared
    near = [entry for entry in fleet.entries if fleet.zones[entry.zone] == NEAR]
    fields = {"Host": HOST, "Request-Id": job, "Content-Type": "application/json", "Deadline-Ms": "4000"}
    for attempt in range(3):
        entry = near[(number + attempt) % len(near)]
        try:
            answer = await f.call(entry.front, "POST", f"{PREFIX}{job[:6]}", fields, body, timeout=8)
            status = answer.status
        except (OSError, asyncio.TimeoutError, EOFError, ValueError, IndexError):
            status = "none"
        fleet.record.note("submitted", job=job, by=entry.name, status=status)
        if status == 202:
            accepted.append((job, item))
            return
        # About what `Retry-After` says.
        await asyncio.sleep(2)


async def read(fleet, job, end):
    status = None
    number = random.randrange(len(fleet.entries))
    while fleet.record.now() < end:
        number += 1
        entry = fleet.entries[number % len(fleet.entries)]
        try:
            fields = {"Host": HOST, "Request-Id": f.new_id()}
            answer = await f.call(entry.front, "GET", f"/lots/{job}?after=0", fields, timeout=5)
            status = answer.status
            if status == 200:
                return json.loads(answer.body).get("total") == 1
        except (OSError, asyncio.TimeoutError, EOFError, ValueError, IndexError):
            status = "none"
        fleet.record.note("read", job=job, by=entry.name, status=status)
        await asyncio.sleep(0.5)
    fleet.record.note("job not readable", job=job, last=status)
    return False


async def lose_disk(fleet, store):
    store.kill()
    shutil.rmtree(os.path.join(fleet.folder, f"{store.name}.data"))
    fleet.record.note("disk lost", machine=store.name)
    await asyncio.sleep(DOWN_S)
    store.start()
    fleet.record.note("back with an empty disk", machine=store.name)


async def case(record, trouble):
    fleet = f.Fleet(record, stores=3, entries=9, zones=ZONES)
    relays = f.Relays(fleet, LINK_BYTES_PER_S, LINK_DELAY_S)
    await relays.start()
    with fleet:
        await fleet.put_manifest(manifest())
        await fleet.wait_ready()
        await asyncio.sleep(fleet.bounds["contact_ms"] / 1000 + 4)
        accepted = []
        jobs = [prepare() for _ in range(CLIENTS)]
        await asyncio.gather(*[submit(fleet, number, job, accepted) for number, job in enumerate(jobs)])
        if not accepted:
            raise f.CannotRun("no job was accepted")
        record.note("accepted", jobs=len(accepted), bytes=LARGE * len(accepted), leader=fleet.leader().name)
        await asyncio.sleep(SETTLE_S)
        far = [store for store in fleet.stores if fleet.zones[store.zone] != NEAR]
        lead = fleet.leader()
        second = next(store for store in fleet.stores if store is not lead and store not in far)
        if trouble:
            await lose_disk(fleet, far[0])
            await asyncio.sleep(fleet.bounds["catch_up_s"] + MARGIN_S)
            await lose_disk(fleet, second)
        await asyncio.sleep(RECOVER_S)
        record.note("reads begin")
        end = record.now() + READ_S
        readable = await asyncio.gather(*[read(fleet, job, end) for job, *_ in accepted])
        record.note("total", accepted=len(accepted), unread=readable.count(False))
        print("accepted", len(accepted), "unread", readable.count(False))
        return readable.count(False) > 0


f.run_case(FOLDER, case)
