"""A store is gone for good, and an empty one at another address takes its place. After the time from which on the
next loss has to be borne, another store loses its disk."""

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
# Jobs, one after the other, and bytes of the one item of each: all are accepted.
JOBS, BYTES = 4, 2_300_000
# The sheet: 30 Mbit/s each way between two regions, 20 ms one way.
LINK_BYTES_PER_S, LINK_DELAY_S = 30e6 / 8, 0.02
# Time for all stores to have the jobs; until the new store starts; until another one that lost its disk is back.
SETTLE_S, NEW_AFTER_S, DOWN_S = 15, 1.0, 1.0
# Beyond catch_up_s, counted from the start of the new store, until the second loss.
MARGIN_S = 0.3
# A client reads the body of an item so often.
READ_EVERY_S = 2.0
RECOVER_S, READ_S = 20, 15


def manifest():
    return {
        "version": 3,
        "routes": [{"name": "r-batch", "host": HOST, "path_prefix": PREFIX, "type": "batch",
                    "timeout_ms": 15000, "target_latency_ms": 400, "priority": 2, "service": "llm",
                    "max_attempts": 3, "resumable": True, "gap_target_ms": 250,
                    "completion_target_ms": 18000, "item_ttl_s": 120, "cap": 2400000}],
        "services": [{"name": "llm", "health_path": "/healthz", "max_connections": 250,
                      "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    }


async def submit(fleet, entry, accepted):
    job, item, body = f.new_id(), f.new_id(), random.randbytes(BYTES)
    data = {"items": [{"id": item, "path": f"{PREFIX}3/{item[:4]}",
                       "headers": {"Model": "m", "Token-Usage": "90000,400"},
                       "body": base64.b64encode(body).decode(), "tokens": 90400}]}
    fields = {"Host": HOST, "Request-Id": job, "Content-Type": "application/json", "Deadline-Ms": "4000"}
    try:
        answer = await f.call(entry.front, "POST", f"{PREFIX}{job[:6]}", fields, json.dumps(data).encode(),
                              timeout=8)
        status = answer.status
    except (OSError, asyncio.TimeoutError, EOFError, ValueError, IndexError):
        status = "none"
    fleet.record.note("submitted", job=job, by=entry.name, status=status)
    if status == 202:
        accepted.append((job, item))


async def read_bodies(fleet, entry, job, item):
    """A client that reads the body of its item now and then."""
    while not fleet.is_over:
        try:
            fields = {"Host": HOST, "Request-Id": f.new_id()}
            answer = await f.call(entry.front, "GET", f"/items/{job}?id={item}", fields, timeout=5)
            status = answer.status
        except (OSError, asyncio.TimeoutError, EOFError, ValueError, IndexError):
            status = "none"
        fleet.record.note("body read", job=job, by=entry.name, status=status)
        await asyncio.sleep(READ_EVERY_S)


async def read(fleet, job, end):
    """Reads a job's first page, from the entries in turn, until one answers for sure."""
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


async def case(record, trouble):
    fleet = f.Fleet(record, stores=3, entries=9)
    far = next(store for store in fleet.stores if fleet.zones[store.zone] == "cechy")
    new = f.Machine(fleet, f"storage-{far.zone}-2", "storage", far.zone, far.ip.rsplit(".", 1)[0] + ".9")
    fleet.spares.append(new)
    relays = f.Relays(fleet, LINK_BYTES_PER_S, LINK_DELAY_S)
    await relays.start()
    with fleet:
        await fleet.put_manifest(manifest())
        await fleet.wait_ready()
        await asyncio.sleep(fleet.bounds["contact_ms"] / 1000 + 4)
        accepted = []
        clients = [entry for entry in fleet.entries if entry.zone == far.zone]
        for number in range(JOBS):
            await submit(fleet, clients[number % len(clients)], accepted)
            await asyncio.sleep(1)
        if len(accepted) < JOBS:
            raise f.CannotRun("a job was not accepted")
        reading = asyncio.create_task(read_bodies(fleet, clients[0], *accepted[0]))
        await asyncio.sleep(SETTLE_S)
        lead = fleet.leader()
        if lead is far:
            raise f.CannotRun("the store of the other region leads")
        second = next(store for store in fleet.stores if store not in (lead, far))
        if trouble:
            far.kill()
            record.note("gone for good", machine=far.name)
            await asyncio.sleep(NEW_AFTER_S)
            new.start()
            record.note("new and empty", machine=new.name)
            await asyncio.sleep(fleet.bounds["catch_up_s"] + MARGIN_S)
            second.kill()
            shutil.rmtree(os.path.join(fleet.folder, f"{second.name}.data"))
            record.note("disk lost", machine=second.name)
            await asyncio.sleep(DOWN_S)
            second.start()
            record.note("back with an empty disk", machine=second.name)
        await asyncio.sleep(RECOVER_S)
        record.note("reads begin")
        end = record.now() + READ_S
        readable = await asyncio.gather(*[read(fleet, job, end) for job, _ in accepted])
        reading.cancel()
        record.note("total", accepted=len(accepted), unread=readable.count(False))
        print("accepted", len(accepted), "unread", readable.count(False))
        return readable.count(False) > 0


f.run_case(FOLDER, case)
