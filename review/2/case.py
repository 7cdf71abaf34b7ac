"""Bytes that are no answer, from a worker that then breaks off, become part of a completed result."""
import asyncio
import json
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import CannotRun, TROUBLE, job, manifest, route, run, send

PREFIX = "/pule252/"
ONLINE_PREFIX = "/lohu930/"
ITEMS, TOKENS = 10, 940
EVENTS = 20
# The site file's `garble`: share = 0.35 of the workers spoil x = 0.02 of their answers for 5.5 s; and its `burst` of
# batch jobs: six times 0.515 a second for 3 s. Both may come more than once.
SHARE, SPOIL_EVERY, SPOIL_S = 0.35, 50, 5.5
ROUNDS, ROUND_S = 3, 10.0
BURST_JOBS, BURST_GAP_S = 9, 0.33
ONLINE_GAP_S = 0.05


async def answer(worker, rid, path, headers, body, after, head, writer):
    """A worker that spoils some of its answers: bytes that are no event of a stream, and then a reset."""
    fleet = worker.fleet
    head("200 OK", {"Response-Signature": "s." + rid, "Content-Type": "text/event-stream",
                    "Transfer-Encoding": "chunked"})

    async def chunk(data):
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await writer.drain()

    if worker.faulty and fleet.spoiling:
        # Every 50th answer to items, and every 50th to streams.
        kind = path.startswith(PREFIX)
        fleet.answers[kind] += 1
        if fleet.answers[kind] % SPOIL_EVERY == 0:
            noise = "noise-%016x" % random.getrandbits(64)
            fleet.spoiled.append((rid, noise))
            fleet.record(f"worker {worker.name} spoils its answer to {rid}: {noise}, and resets the channel")
            # An event of a stream has an id; this has none.
            await chunk(f"data: {noise}\n\n".encode())
            await asyncio.sleep(0.05)
            writer.transport.abort()
            return False
    for number in range(after + 1, EVENTS + 1):
        await asyncio.sleep(0.05)
        await chunk(f"id: {number}\ndata: {rid}-{number}\n\n".encode())
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


async def submit(fleet, entry, name, items):
    body = json.dumps({"items": items}).encode()
    fields = {"Request-Id": name, "Content-Type": "application/json", "Deadline-Ms": "4000"}
    reply = await send(entry.front, "POST", f"{PREFIX}{name[:6]}", fields, body, 4.0)
    fleet.record(f"job {name}: {len(items)} items, answered {reply.status} by {entry.name}")
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
            results[result["id"]] = result
        if not page["results"]:
            return results
        after = page["next"]
    raise CannotRun("results could not be read")


def whole_stream(rid):
    return "".join(f"id: {number}\ndata: {rid}-{number}\n\n" for number in range(1, EVENTS + 1))


async def ask(fleet, answers):
    """A client's stream. Only complete successes with a receipt are kept."""
    rid = "%016x" % random.getrandbits(64)
    fields = {"Request-Id": rid, "Deadline-Ms": "5000", "Model": "m", "Token-Usage": "840,100",
              "Prompt-Prefix": f"{rid[:8]}:840"}
    entry = random.choice(fleet.entries)
    try:
        reply = await send(entry.front, "POST", ONLINE_PREFIX + rid[:4], fields, b"text", 6.0)
    except (OSError, EOFError, TimeoutError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return
    if reply.status == 200 and "response-signature" in reply.headers:
        answers[rid] = reply.body.decode()


async def ask_all_the_time(fleet, answers):
    tasks = []
    while True:
        tasks.append(asyncio.create_task(ask(fleet, answers)))
        await asyncio.sleep(ONLINE_GAP_S)


async def case(fleet):
    record = fleet.record
    fleet.spoiling, fleet.answers, fleet.spoiled = False, {True: 0, False: 0}, []
    batch = route("r-batch", PREFIX, "batch", "huvo11a", target_latency_ms=400, completion_target_ms=18000,
                  item_ttl_s=60, cap=2_400_000, max_attempts=3, resumable=True)
    for at in range(9):
        zone = ("brno-a", "praha-a", "jihlava-b")[at % 3]
        worker = await fleet.add_worker("huvo11a", zone)
        worker.quiet, worker.answer, worker.faulty = True, answer, at < int(9 * SHARE)
    online = route("r-online", ONLINE_PREFIX, "streaming", "huvo11a", resumable=True, gap_target_ms=250, sticky=True)
    await fleet.put_manifest(manifest(3, [batch, online]))
    await fleet.wait_ready()
    await asyncio.sleep(2)
    jobs, answers = {}, {}
    asking = asyncio.create_task(ask_all_the_time(fleet, answers))
    for _ in range(ROUNDS):
        round_at = time.monotonic()
        fleet.spoiling = TROUBLE
        for _ in range(BURST_JOBS):
            name = "%016x" % (0xD00 + len(jobs))
            items = job(PREFIX, ITEMS, TOKENS)
            if await submit(fleet, fleet.entries[len(jobs) % len(fleet.entries)], name, items) == 202:
                jobs[name] = [item["id"] for item in items]
            await asyncio.sleep(BURST_GAP_S)
        await asyncio.sleep(max(0.0, round_at + SPOIL_S - time.monotonic()))
        fleet.spoiling = False
        await asyncio.sleep(max(0.0, round_at + ROUND_S - time.monotonic()))
    asking.cancel()
    total = len(jobs) * ITEMS
    until = time.monotonic() + 18
    results = {}
    while len(results) < total and time.monotonic() < until:
        await asyncio.sleep(1)
        results = {}
        for name in jobs:
            results.update(await listed(fleet, name))
    record(f"{len(results)} of {total} items are listed; {len(fleet.spoiled)} of {sum(fleet.answers.values())} answers of "
           f"{int(9 * SHARE)} workers were spoiled")
    if TROUBLE and not fleet.spoiled:
        raise CannotRun("no answer was spoiled")
    wrong = 0
    for rid, result in results.items():
        whole = "\n".join(f"{rid}-{number}" for number in range(1, EVENTS + 1))
        if result["state"] == "completed" and result["text"] != whole:
            wrong += 1
            lines = result["text"].split("\n")
            record(f"item {rid} is completed with {len(lines)} events, the first is {lines[0]!r}; its output has "
                   f"{EVENTS}")
    record(f"{wrong} results are completed and not the whole output of their items")
    joined = 0
    for rid, body in answers.items():
        if body != whole_stream(rid):
            joined += 1
            record(f"stream {rid} is a complete success that begins with {body[:45]!r}")
    record(f"{joined} of {len(answers)} complete streams are not the whole answer of a worker")
    return wrong == 0 and joined == 0


run(pathlib.Path(__file__).resolve().parent, case)
