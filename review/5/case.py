"""Requests with one prompt part crash worker after worker, each after the first event of its answer."""
import asyncio
import json
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import CannotRun, TROUBLE, BOUNDS, manifest, route, run, send

PREFIX = "/lohu930/"
DEADLY, FIRST = "d00d", "5c1e07a2"
BACK_AFTER_S = 3.0
# Letter: poison, how = "deadly", share = 0.03 of the sheet's 38.5 requests a second, for_s = 20.0.
SOUND_GAP_S, DEADLY_GAP_S = 0.026, 0.87
DEADLY_S, LAST_S = 20.0, 28.0


async def answer(worker, rid, path, headers, body, after, head, writer):
    fleet = worker.fleet
    head("200 OK", {"Response-Signature": "s." + rid, "Content-Type": "text/event-stream",
                    "Transfer-Encoding": "chunked"})
    deadly = f",{DEADLY}:" in headers.get("prompt-prefix", "")
    if deadly:
        fleet.deadly_at.append((fleet.record.now(), rid, worker.name))
    for number in range(after + 1, 21):
        await asyncio.sleep(0.03)
        event = f"id: {number}\ndata: {rid}-{number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        if deadly and TROUBLE:
            await asyncio.sleep(0.01)
            if worker.down:
                return False
            fleet.crashes.append(fleet.record.now())
            fleet.record(f"worker {worker.name} crashes as it writes an answer to {rid} (crash {len(fleet.crashes)})")
            asyncio.get_running_loop().create_task(crash(worker))
            return False
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


async def crash(worker):
    """All channels are reset and nobody listens; the worker is back after some seconds, as another one."""
    if worker.down:
        return
    worker.down = True
    await worker.stop()
    await worker.server.wait_closed()
    await asyncio.sleep(BACK_AFTER_S)
    worker.name = "i-%08x" % random.getrandbits(32)
    worker.born, worker.sequence, worker.running, worker.tasks = int(time.time() * 1000), 0, 0, []
    worker.down = False
    await worker.start()


async def ask(fleet, parts, count):
    rid = "%016x" % random.getrandbits(64)
    fields = {"Request-Id": rid, "Deadline-Ms": "5000", "Model": "m", "Token-Usage": "1460,80",
              "Prompt-Prefix": parts + f",{rid[:8]}:250"}
    try:
        reply = await send(random.choice(fleet.entries).front, "POST", PREFIX + rid[:4], fields, rid.encode(), 6.0)
        count[reply.status] = count.get(reply.status, 0) + 1
    except (OSError, EOFError, TimeoutError, asyncio.TimeoutError):
        count["cut"] = count.get("cut", 0) + 1


async def case(fleet):
    record = fleet.record
    fleet.deadly_at, fleet.crashes = [], []
    online = route("r-online", PREFIX, "streaming", "huvo11a", resumable=True, gap_target_ms=250, sticky=True)
    for at in range(9):
        worker = await fleet.add_worker("huvo11a", ("brno-a", "praha-a", "jihlava-b")[at % 3])
        worker.quiet, worker.answer, worker.down = True, answer, False
    await fleet.put_manifest(manifest(3, [online]))
    await fleet.wait_ready()
    await asyncio.sleep(2)
    sound, deadly, tasks = {}, {}, []
    begin = time.monotonic()
    end, next_deadly = begin + LAST_S, begin + 3
    while time.monotonic() < end:
        tasks.append(asyncio.create_task(ask(fleet, f"{FIRST}:800", sound)))
        if next_deadly <= time.monotonic() < begin + 3 + DEADLY_S:
            next_deadly += DEADLY_GAP_S
            tasks.append(asyncio.create_task(ask(fleet, f"{FIRST}:800,{DEADLY}:410", deadly)))
        await asyncio.sleep(SOUND_GAP_S)
    await asyncio.wait(tasks)
    record(f"sound requests: {sound}; requests with the part: {deadly}; {len(fleet.crashes)} crashes")
    if len(fleet.crashes) < 5:
        return True
    from_s = fleet.crashes[4] + BOUNDS["contact_ms"] / 1000
    late = [entry for entry in fleet.deadly_at if entry[0] > from_s]
    record(f"the fifth crash was at {fleet.crashes[4]:.2f} s; {len(late)} requests with the part reached workers more "
           f"than {BOUNDS['contact_ms']} ms after it; 3 are allowed")
    return len(late) <= 3


run(pathlib.Path(__file__).resolve().parent, case)
