"""Items that no worker can hold keep all workers from the items of other jobs, for good."""
import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import CannotRun, TROUBLE, BOUNDS, job, manifest, route, run, send

PREFIX = "/pule252/"
KV_CAPACITY = 101_495
TOO_LARGE_TOKENS = 102_000
ITEMS, TOKENS = 10, 940
# The sheet has 0.515 jobs a second; for 3 s they come six times as often (`burst`, x = 6, for_s = 3), and of these
# items at most 5 in 100 can never be done (`poison`, share = 0.05, for_s = 3). Both come five times.
BURSTS, BURST_S = 5, 6.0
# The day ends some seconds after the last burst; no batch jobs come in these.
TAIL_S = 6.0
BURST_JOBS, BURST_GAP_S = 9, 0.33
TOO_LARGE = {0, 2, 4, 6}


async def answer(worker, rid, path, headers, body, after, head, writer):
    """A sound engine. A request that is larger than its memory is rejected as if the engine were full."""
    if sum(int(part) for part in headers["token-usage"].split(",")) > KV_CAPACITY:
        worker.runs.pop()
        worker.rejected += 1
        head("503 Service Unavailable", {"Not-Executed": "1", "Content-Length": "0"})
        return True
    worker.fleet.started.setdefault(rid, worker.fleet.record.now())
    head("200 OK", {"Response-Signature": "s." + rid, "Content-Type": "text/event-stream",
                    "Transfer-Encoding": "chunked"})
    for number in range(after + 1, worker.events + 1):
        await asyncio.sleep(worker.pause)
        event = f"id: {number}\ndata: {rid}-{number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


async def submit(fleet, entry, name, items):
    body = json.dumps({"items": items}).encode()
    fields = {"Request-Id": name, "Content-Type": "application/json", "Deadline-Ms": "4000"}
    reply = await send(entry.front, "POST", f"{PREFIX}{name[:6]}", fields, body, 4.0)
    fleet.record(f"job {name}: {len(items)} items, {sum(i['tokens'] for i in items)} tokens, answered {reply.status} "
                 f"by {entry.name}")
    return reply.status


async def listed(fleet, name):
    results, after = {}, 0
    for turn in range(50):
        entry = fleet.entries[turn % len(fleet.entries)]
        reply = await send(entry.front, "GET", f"/lots/{name}?after={after}", {"Wait-Ms": "0"})
        if reply.status != 200:
            await asyncio.sleep(0.2)
            continue
        page = json.loads(reply.body)
        for result in page["results"]:
            results[result["id"]] = result["state"]
        if not page["results"]:
            return results
        after = page["next"]
    raise CannotRun("results could not be read")


async def case(fleet):
    record = fleet.record
    fleet.started = {}
    batch = route("r-batch", PREFIX, "batch", "huvo11a", target_latency_ms=400, completion_target_ms=18000,
                  item_ttl_s=60, cap=2_400_000, max_attempts=3, resumable=True)
    for zone in ("brno-a", "praha-a", "jihlava-b"):
        worker = await fleet.add_worker("huvo11a", zone, slots=8, events=20, pause=0.065)
        worker.rejected, worker.answer, worker.quiet = 0, answer, True
    await fleet.put_manifest(manifest(3, [batch]))
    await fleet.wait_ready()
    await asyncio.sleep(2)
    jobs, too_large, handed_in = {}, 0, 0
    for _ in range(BURSTS):
        burst_at = time.monotonic()
        for at in range(BURST_JOBS):
            name = "%016x" % (0xC00 + handed_in)
            items = job(PREFIX, ITEMS, TOKENS)
            sound = items
            if TROUBLE and at in TOO_LARGE:
                items[0:1] = job(PREFIX, 1, TOO_LARGE_TOKENS)
                sound = items[1:]
            if await submit(fleet, fleet.entries[handed_in % len(fleet.entries)], name, items) == 202:
                jobs[name] = [item["id"] for item in sound]
                too_large += len(items) - len(sound)
            handed_in += 1
            await asyncio.sleep(BURST_GAP_S)
        await asyncio.sleep(max(0.0, burst_at + BURST_S - time.monotonic()))
    if not jobs:
        raise CannotRun("no job was accepted")
    await asyncio.sleep(TAIL_S)
    total = sum(len(ids) for ids in jobs.values())
    record(f"the traffic ends; {total} sound items and {too_large} that are too large were accepted")
    # The time after the traffic in which batch jobs are still worked on.
    end_at = time.monotonic() + BOUNDS["finish_s"]
    last, changed_at = -1, 0.0
    while time.monotonic() < end_at:
        await asyncio.sleep(1)
        unlisted = {name: set(ids) - set(await listed(fleet, name)) for name, ids in jobs.items()}
        done = total - sum(len(ids) for ids in unlisted.values())
        if done != last:
            last, changed_at = done, record.now()
            record(f"{done} of {total} items are listed, {sum(w.running for w in fleet.workers)} run, "
                   f"{sum(w.rejected for w in fleet.workers)} rejections of items that are too large")
        if done == total:
            return True
    missing = [rid for ids in jobs.values() for rid in ids if rid not in fleet.started]
    running = sum(worker.running for worker in fleet.workers)
    now = record.now()
    latest = max((run_at for worker in fleet.workers for run_at, *_ in worker.runs), default=0.0)
    record(f"{total - last} items of {TOKENS} tokens are neither completed nor errored, {len(missing)} of them "
           f"never reached a worker; {running} run now in {sum(w.slots for w in fleet.workers)} slots; the last run "
           f"began {now - latest:.1f} s ago, the last item was listed {now - changed_at:.1f} s ago; "
           f"{sum(w.rejected for w in fleet.workers)} rejections")
    return not (missing and running < 4 * len(fleet.workers) and now - latest > 5 + 3 and now - changed_at > 5)


run(pathlib.Path(__file__).resolve().parent, case)
