"""A machine is stopped in order while clients read large answers slowly."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lab2"))

import parts  # noqa: E402

ANSWER_BYTES = 540_000
DEADLINE_MS = 4_160
READ_PER_S = 150_000
# One each 0.1 s, from 0.2 s before the SIGTERM to 2.9 s after it.
REQUESTS = 32


class Outcome:
    """What one client saw."""

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.sent_at = self.ended_at = 0.0
        self.status = 0
        self.declared = self.received = 0


async def client(daemon: parts.Daemon, outcome: Outcome, record: parts.Record) -> None:
    """Send one request on a new connection, and read its answer steadily, but slowly."""
    loop = asyncio.get_running_loop()
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
    connection.setblocking(False)
    await loop.sock_connect(connection, (parts.LOOPBACK, daemon.front))
    outcome.sent_at = time.monotonic()
    path = f"/archive/{outcome.request_id}"
    await loop.sock_sendall(connection, parts.head("GET", path, outcome.request_id, DEADLINE_MS))
    record(f"{outcome.request_id} sent to {daemon.name}")
    received, began = b"", 0.0
    try:
        while True:
            part = await loop.sock_recv(connection, 8_192)
            if not part:
                break
            received += part
            if not outcome.status and b"\r\n\r\n" in received:
                top, _, received = received.partition(b"\r\n\r\n")
                text = top.decode("latin-1").lower()
                outcome.status = int(text.split()[1])
                lengths = [one for one in text.split("\r\n") if one.startswith("content-length:")]
                outcome.declared = int(lengths[0].split(":")[1])
                began = time.monotonic()
            outcome.received = len(received)
            if outcome.status and outcome.received >= outcome.declared:
                break
            if outcome.status:
                ahead = outcome.received / READ_PER_S - (time.monotonic() - began)
                await asyncio.sleep(max(0.0, ahead))
    except OSError as error:
        record(f"{outcome.request_id}: {type(error).__name__}")
    outcome.ended_at = time.monotonic()
    connection.close()
    record(
        f"{outcome.request_id} ended after {outcome.ended_at - outcome.sent_at:.2f} s: status "
        f"{outcome.status}, {outcome.received} of {outcome.declared} bytes"
    )


async def end_of(machine: parts.Daemon) -> float:
    """Return when the process ended."""
    await machine.process.wait()
    return time.monotonic()


async def case() -> bool:
    deployment = parts.Deployment(FOLDER)
    record = deployment.record
    route = {"name": "archive", "path_prefix": "/archive/", "kind": "download", "service": "cellar",
             "timeout_s": 5.0}
    targets = [parts.Target(f"i-{n}", "cellar", zone, record) for n, zone in enumerate(parts.ZONES)]
    for target in targets:
        target.answer_bytes = ANSWER_BYTES
    try:
        await deployment.start(parts.configuration(1, [route], ["cellar"]), targets)
        machine = deployment.daemons[1]
        outcomes, tasks = [], []
        stopped_at = time.monotonic()
        for number in range(REQUESTS):
            outcome = Outcome(f"{number:016x}")
            outcomes.append(outcome)
            tasks.append(asyncio.create_task(client(machine, outcome, record)))
            await asyncio.sleep(0.1)
            if number == 2:
                stopped_at = time.monotonic()
                if parts.trouble():
                    machine.send(signal.SIGTERM)
                    record(f"SIGTERM to {machine.name}")
                    end = asyncio.create_task(end_of(machine))
        await asyncio.gather(*tasks)
        if parts.trouble():
            ended_at = await asyncio.wait_for(end, 10)
            record(f"{machine.name} ended {ended_at - stopped_at:.2f} s after its SIGTERM")
        broken = 0
        for outcome in outcomes:
            ran = any(run.how == "answered" for run in deployment.runs_of(outcome.request_id))
            in_time = outcome.ended_at - outcome.sent_at < DEADLINE_MS / 1000
            in_grace = outcome.ended_at - stopped_at < parts.BOUNDS["grace_s"] + 1
            if ran and outcome.received < outcome.declared and in_time and in_grace:
                broken += 1
                record(f"LOST: {outcome.request_id} was answered by its target and cut short")
        record(f"{broken} of {len(outcomes)} answers cut short")
        return broken > 0
    finally:
        await deployment.end()


parts.main(case)
