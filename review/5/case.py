"""A frozen entry that wakes accepts a job by the quota of a manifest that was replaced while it was frozen."""
import asyncio
import json
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import CannotRun, TROUBLE, BOUNDS, job, manifest, route, run, send

PREFIX = "/pule252/"
TOKENS = 900
ITEMS = 10
FREEZE_S = 4.2
OLD_CAP, NEW_CAP = 100_000, 5_000


def config(version, cap):
    batch = route("r-batch", PREFIX, "batch", "huvo11a", target_latency_ms=400, completion_target_ms=18000,
                  item_ttl_s=60, cap=cap, max_attempts=3, resumable=True)
    return manifest(version, [batch])


async def submit(fleet, entry, name, items, timeout):
    body = json.dumps({"items": items}).encode()
    fields = {"Request-Id": name, "Content-Type": "application/json", "Deadline-Ms": str(int(timeout * 1000))}
    fleet.record(f"job {name}: {len(items)} items, {sum(i['tokens'] for i in items)} tokens, sent to {entry.name}")
    try:
        reply = await send(entry.front, "POST", f"{PREFIX}{name[:6]}", fields, body, timeout)
    except (OSError, EOFError, TimeoutError, asyncio.TimeoutError) as error:
        fleet.record(f"job {name}: no answer, {type(error).__name__}")
        return None
    fleet.record(f"job {name}: answered {reply.status} by {entry.name}")
    return reply.status


async def case(fleet):
    record = fleet.record
    # One sound worker whose items take long, so that none is finished while the test runs.
    await fleet.add_worker("huvo11a", "brno-a", events=400, pause=0.25)
    await fleet.put_manifest(config(3, OLD_CAP))
    await fleet.wait_ready()
    first, last = fleet.entries[0], fleet.entries[-1]
    waiting = 0
    if await submit(fleet, last, "%016x" % 0xA1, job(PREFIX, ITEMS, TOKENS), 4.0) == 202:
        waiting += ITEMS * TOKENS
    if not waiting:
        raise CannotRun("the first job was not accepted")
    await asyncio.sleep(3)
    if TROUBLE:
        record(f"{first.name} freezes")
        first.signal(signal.SIGSTOP)
    frozen_at = time.monotonic()
    acked_at = await fleet.put_manifest(config(8, NEW_CAP), to=last)
    # The platform's balancer still sends new channels to a frozen entry until it has missed two questions.
    await asyncio.sleep(max(0.0, frozen_at + 1.3 - time.monotonic()))
    sent = asyncio.create_task(submit(fleet, first, "%016x" % 0xB2, job(PREFIX, ITEMS, TOKENS), 4.0))
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
    if TROUBLE:
        first.signal(signal.SIGCONT)
        record(f"{first.name} wakes after {time.monotonic() - frozen_at:.2f} s")
    status = await sent
    answered_at = time.monotonic()
    if status != 202:
        record(f"the second job was not accepted: {status}")
        return True
    late = answered_at - acked_at
    # No worker has finished an item: each takes 100 s.
    waiting += ITEMS * TOKENS
    bound = NEW_CAP * (1 + BOUNDS["quota_overage"])
    if TROUBLE and late * 1000 <= BOUNDS["config_apply_ms"]:
        record(f"the 202 came {late:.2f} s after the ack of the new cap: no break")
        return True
    record(f"at the 202, {late:.2f} s after the ack of cap {NEW_CAP}, {waiting} tokens wait; allowed are {bound:.0f}")
    return waiting <= bound


run(pathlib.Path(__file__).resolve().parent, case)
