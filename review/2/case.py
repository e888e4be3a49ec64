"""A model server spoils and breaks off a stream that may be resumed.

The spoilt event has a zero byte in its id.  The request has a body of 17,000 bytes.
"""

import asyncio
import itertools
import os
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import lab  # noqa: E402

DURATION_S = 20.0
CLIENTS = 10
EVENTS = 13
DEADLINE_MS = 8_000
BODY = b"x" * 17_000

# One stream in 34 is spoilt: 0.03 at most.
STREAMS_PER_FAULT = 34
SPOILT_EVENT = 5


@dataclass
class Site:
    """What the servers and clients have seen."""

    record: lab.Record
    trouble: bool
    runs: int = 0
    spoilt: int = 0
    statuses: list[int] = field(default_factory=list)
    lost: int = 0


class ModelServer:
    """A model server whose streams may be resumed."""

    def __init__(self, server_id: str, site: Site, is_faulty: bool) -> None:
        """Initialize without requests."""
        self.id = server_id
        self.listener = lab.Listener(self.serve)
        self._site = site
        self._is_faulty = is_faulty
        self._streams = itertools.count(1)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests on one channel."""
        while (message := await lab.read_message(reader)) is not None:
            request = message.headers["cowsliphitch-request-id"]
            if message.headers.get("cowsliphitch-expect-instance") != self.id:
                headers = {
                    "Cowsliphitch-Request-Id": request,
                    "Cowsliphitch-Not-Executed": "1",
                }
                writer.write(lab.encode_answer(421, headers))
                await writer.drain()
                continue
            self._site.runs += 1
            after = int(message.headers.get("last-event-id", "0"))
            self._site.record.write(f"{self.id} runs {request} after event {after}")
            number = next(self._streams)
            spoils = self._is_faulty and self._site.trouble
            spoils = spoils and number % STREAMS_PER_FAULT == 0 and not after
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                b"Transfer-Encoding: chunked\r\nCowsliphitch-Response-Seal: seal\r\n"
                + f"Cowsliphitch-Request-Id: {request}\r\n\r\n".encode()
            )
            for event_id in range(after + 1, EVENTS + 1):
                event = f"id: {event_id}\ndata: {request} text\n\n".encode()
                if spoils and event_id == SPOILT_EVENT:
                    event = event.replace(b"id: 5", b"id: 5\0")
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(0.02)
                if spoils and event_id == SPOILT_EVENT:
                    self._site.spoilt += 1
                    self._site.record.write(
                        f"{self.id} spoils and breaks off {request}"
                    )
                    return
            writer.write(b"0\r\n\r\n")
            await writer.drain()


DOCUMENT = {
    "version": 1,
    "routes": [
        {
            "name": "summary",
            "hostname": lab.HOST_NAME,
            "prefix": "/summary/",
            "kind": "streaming",
            "timeout_ms": 8_000,
            "target_latency_ms": 1_700,
            "target_gap_ms": 300,
            "priority": 0,
            "public": False,
            "service": "llm",
            "max_attempts": 2,
            "resumable": True,
            "session_affinity": True,
        }
    ],
    "services": [
        {
            "name": "llm",
            "max_connections": 370,
            "engine": {"slots": 64, "kv_tokens": 600_000},
        },
    ],
    "tenants": [{"name": lab.TEAM, "api_keys": [lab.API_KEY]}],
    "limits": {
        "max_header_bytes": 16_384,
        "max_body_bytes": 100_000,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    },
}


async def send(daemon: lab.Daemon, request: str, site: Site) -> None:
    """Send one request and read its answer."""
    head = [
        "POST /summary/x HTTP/1.1",
        f"Host: {lab.HOST_NAME}",
        f"Cowsliphitch-Request-Id: {request}",
        f"Cowsliphitch-Credential: {lab.API_KEY}",
        f"Cowsliphitch-Deadline-Ms: {DEADLINE_MS}",
        "Cowsliphitch-Model: m",
        "Cowsliphitch-Token-Usage: 1000,13",
        f"Cowsliphitch-Prompt-Prefix: aa:700,{request}:300",
        f"Content-Length: {len(BODY)}",
    ]
    status = 0
    try:
        reader, writer = await asyncio.open_connection(
            lab.HOST, daemon.ports["callers"]
        )
    except OSError as exc:
        site.record.write(f"client: {request} can't be sent: {type(exc).__name__}")
        await asyncio.sleep(0.2)
        return
    try:
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + BODY)
        message = await asyncio.wait_for(lab.read_message(reader), DEADLINE_MS / 1000)
        status = message.status if message else 0
    except (OSError, TimeoutError, lab.BadMessage):
        pass
    finally:
        writer.close()
    if not status:
        site.lost += 1
    site.statuses.append(status)
    site.record.write(
        f"client: {request} is answered {status or 'by a closed channel'}"
    )


async def run(stage: lab.Lab) -> bool:
    """Send requests, and watch whether a daemon ends by itself."""
    site = Site(stage.record, stage.trouble)
    born = int(time.time() * 1000)
    models = [ModelServer(f"llm-{n}", site, n == 0) for n in range(2)]
    await stage.start_store(DOCUMENT)
    for server in models:
        await stage.listen(server.listener)
        entry = lab.server_entry("llm", server.listener.address, 64, born)
        await stage.store.put(f"servers/{server.id}", entry)
    await stage.start_daemons(2)
    end, numbers = time.monotonic() + DURATION_S, itertools.count(1)

    async def client(number: int) -> None:
        while time.monotonic() < end:
            daemon = stage.daemons[number % 2]
            await send(daemon, f"{next(numbers):016x}", site)

    await asyncio.gather(*(client(n) for n in range(CLIENTS)))
    return check(stage, site)


def check(stage: lab.Lab, site: Site) -> bool:
    """Return whether no daemon ended by itself."""
    ended = [d for d in stage.daemons if d.process and d.process.returncode is not None]
    for daemon in ended:
        assert daemon.process is not None
        site.record.write(
            f"{daemon.name} ended by itself with {daemon.process.returncode}:"
            f" {daemon.tail()[-300:]!r}"
        )
    site.record.write(
        f"{site.runs} runs, {site.spoilt} streams spoilt, {len(ended)} of"
        f" {len(stage.daemons)} daemons ended by themselves, {site.lost} requests were"
        " answered by a closed channel"
    )
    if not site.runs or (site.trouble and not site.spoilt):
        raise lab.CaseError("nothing ran, or no stream was spoilt")
    return not ended


if __name__ == "__main__":
    os.chdir(HERE)
    lab.main(run, HERE)
