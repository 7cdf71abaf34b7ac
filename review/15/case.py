"""A worker deregisters and is acknowledged. All stores and one entry are killed at the same moment and
come back. A check-in that the worker had sent before it left arrives late."""

import asyncio
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))

import fleet as f

HOST = "desk.example"
PREFIX = "/desk/"
# How late the check-in arrives, counted from the acknowledgement of the departure.
LATE_S = 4.0
# How long the worker serves on after that acknowledgement.
SERVES_ON_S = 14.0
# Between a machine's kill and its start.
DOWN_S = 0.5


def manifest():
    return {
        "version": 3,
        "routes": [{"name": "r-desk", "host": HOST, "path_prefix": PREFIX, "type": "safe",
                    "timeout_ms": 4000, "target_latency_ms": 250, "priority": 0, "service": "desk",
                    "max_attempts": 2}],
        "services": [{"name": "desk", "health_path": "/healthz", "max_connections": 110,
                      "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    }


async def client(fleet, entry, sent):
    """A client of one entry: a request each 50 ms."""
    channel = f.Channel(entry.front)
    while True:
        request = f.new_id()
        sent[request] = (fleet.record.now(), entry)
        fields = {"Host": HOST, "Request-Id": request, "Deadline-Ms": "4000"}
        try:
            answer = await channel.send("POST", f"{PREFIX}{request}", fields, b"{}")
            fleet.record.note("answered", request=request, by=entry.name, status=answer.status)
        except (OSError, asyncio.TimeoutError, EOFError, ValueError, IndexError):
            fleet.record.note("no answer", request=request, by=entry.name)
        await asyncio.sleep(0.05)


async def case(record, trouble):
    with f.Fleet(record, stores=3, entries=5) as fleet:
        leaver = f.Worker(fleet, "i-leaver", "desk", "brno-a")
        others = [f.Worker(fleet, f"i-other-{n}", "desk", zone) for n, zone in enumerate(f.ZONES)]
        workers = [leaver, *others]
        for worker in workers:
            await worker.start()
        await fleet.put_manifest(manifest())
        await fleet.wait_ready()
        sent = {}
        clients = [asyncio.create_task(client(fleet, entry, sent)) for entry in fleet.entries]
        contact_s = fleet.bounds["contact_ms"] / 1000
        drain_s = fleet.bounds["drain_ms"] / 1000
        await asyncio.sleep(contact_s + 2)
        if not leaver.runs:
            raise f.CannotRun("the worker that is to leave got no request")

        # Its last check-in but one is on its way for long. It had no answer within a second, so that the
        # worker called the next daemon.
        leaver.stop_beats()
        late = leaver.statement()
        record.note("check-in sent that will be late", sequence=late["sequence"])
        await asyncio.sleep(1.0)
        if not await leaver.beat():
            raise f.CannotRun("a check-in was not acknowledged")
        await asyncio.sleep(0.2)
        # The killed entry is in the zone of the worker.
        witness, late_at, killed = fleet.entries[0], fleet.entries[1], fleet.entries[3]
        departure = {"service": "desk", "address": leaver.address, "born": leaver.born}
        path = f"/Instances.Deregister/{leaver.name}"
        if not await leaver.say(path, departure, witness):
            raise f.CannotRun("the departure was not acknowledged")
        acked_at = record.now()
        record.note("departure acknowledged", worker=leaver.name, by=witness.name)
        await asyncio.sleep(0.3)

        if trouble:
            down = [*fleet.stores, killed]
            record.note("killed", machines=",".join(machine.name for machine in down))
            for machine in down:
                machine.signal(signal.SIGKILL)
            for machine in down:
                machine.process.wait()
            await asyncio.sleep(DOWN_S)
            for machine in down:
                machine.start()
            record.note("started again")
        started_at = record.now()
        await asyncio.sleep(max(0, acked_at + LATE_S - record.now()))
        acked = await leaver.say(f"/Instances.Heartbeat/{leaver.name}", late, late_at)
        record.note("late check-in arrived", sequence=late["sequence"], acknowledged=acked)
        await asyncio.sleep(acked_at + SERVES_ON_S - record.now())
        for task in clients:
            task.cancel()
        leaver.server.close()

        # All machines have been in touch again from here on.
        in_touch_at = max(started_at + contact_s + 0.5, acked_at + drain_s)
        wrong = []
        for at, request, _ in leaver.runs:
            sent_at, entry = sent[request]
            if sent_at > in_touch_at and at > acked_at + drain_s:
                wrong.append(request)
                record.note("reached the worker that had left", request=request, sent_by=entry.name,
                            after_ack_s=f"{at - acked_at:.3f}", in_touch_since=f"{in_touch_at:.3f}")
        served = sum(1 for worker in others for at, *_ in worker.runs if at > in_touch_at)
        record.note("total", wrong=len(wrong), at_other_workers=served)
        if served < 50:
            raise f.CannotRun("the other workers got too few requests")
        return bool(wrong)


f.run_case(FOLDER, case)
