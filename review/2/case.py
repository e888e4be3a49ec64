"""A model server spoils and breaks off a stream that may be resumed.

The spoilt event has a zero byte in its id.  The requests have bodies of 17,000 bytes,
and clients keep their channels.  The platform starts daemons again that have ended.
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

DURATION_S = 25.0
CLIENTS = 60
PREFILL_S = 0.5
# The clients begin one after the other.
STAGGER_S = 0.025
EVENTS = 13
DEADLINE_MS = 8_000
BODY = b"x" * 17_000

# One stream in 50 is spoilt, 0.02, in five seconds of each six.
STREAMS_PER_FAULT = 50
FAULT_S, FAULT_PERIOD_S = 5.0, 6.0
SPOILT_EVENT = 5

# More than three requests that are passed on to a sound server and get no answer on
# their kept channel break the rule.
MAX_LOST = 3

RESTART_DELAY_S = 1.0
FAULTY = "llm-0"


class ChannelEnded(Exception):
    """A channel ended, before or within an answer."""

    def __init__(self, has_begun: bool) -> None:
        """Initialize with whether the answer had begun."""
        super().__init__()
        self.has_begun = has_begun


@dataclass
class Site:
    """What the servers and clients have seen.

    :param passed_on: the server that a request was passed on to last
    :param lost: requests on kept channels without an answer, by server
    """

    record: lab.Record
    trouble: bool
    passed_on: dict[str, str] = field(default_factory=dict)
    spoilt: int = 0
    answered: int = 0
    lost: list[tuple[str, str]] = field(default_factory=list)
    ends: int = 0


class ModelServer:
    """A model server whose streams may be resumed."""

    def __init__(self, server_id: str, site: Site, is_faulty: bool) -> None:
        """Initialize without requests."""
        self.id = server_id
        self.listener = lab.Listener(self.serve)
        self._site = site
        self._is_faulty = is_faulty
        self._streams = itertools.count(1)

    def _is_next_spoilt(self) -> bool:
        """Return whether this stream is the one in ``STREAMS_PER_FAULT``."""
        if time.monotonic() % FAULT_PERIOD_S >= FAULT_S:
            return False
        return next(self._streams) % STREAMS_PER_FAULT == 0

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
            self._site.passed_on[request] = self.id
            after = int(message.headers.get("last-event-id", "0"))
            self._site.record.write(f"{self.id} runs {request} after event {after}")
            await asyncio.sleep(PREFILL_S)
            spoils = self._is_faulty and self._site.trouble and self._is_next_spoilt()
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


class Client:
    """A client that keeps its channel to one daemon."""

    def __init__(self, daemon: lab.Daemon, site: Site) -> None:
        """Initialize without a channel."""
        self._daemon = daemon
        self._site = site
        self._channel: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._answers = 0

    async def send(self, request: str) -> None:
        """Send one request and read its answer."""
        port = self._daemon.ports["callers"]
        is_kept = self._answers > 0
        try:
            if self._channel is None:
                self._channel = await asyncio.open_connection(lab.HOST, port)
            status = await self._exchange(request, *self._channel)
        except OSError as exc:
            self._close()
            self._site.record.write(f"client: no channel: {type(exc).__name__}")
            await asyncio.sleep(0.2)
        except ChannelEnded as exc:
            self._close()
            server = self._site.passed_on.get(request, "no server")
            state = "within an answer" if exc.has_begun else "without an answer"
            self._site.record.write(
                f"client: the channel of {request}, passed on to {server}, ends {state}"
            )
            if is_kept and not exc.has_begun and request in self._site.passed_on:
                self._site.lost.append((request, server))
            await asyncio.sleep(0.2)
        else:
            self._answers += 1
            self._site.answered += 1
            self._site.record.write(f"client: {request} is answered {status}")

    def _close(self) -> None:
        if self._channel is not None:
            self._channel[1].close()
        self._channel, self._answers = None, 0

    async def _exchange(
        self, request: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> int:
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
        # No two requests are alike.
        body = request.encode() + BODY[len(request) :]
        try:
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
            message = await lab.read_head(reader)
        except (OSError, lab.BadMessage) as exc:
            raise ChannelEnded(has_begun=False) from exc
        if message is None:
            raise ChannelEnded(has_begun=False)
        try:
            if "chunked" in message.headers.get("transfer-encoding", ""):
                await lab.read_chunks(reader)
        except (OSError, lab.BadMessage) as exc:
            raise ChannelEnded(has_begun=True) from exc
        if message.headers.get("connection") == "close":
            self._close()
        return message.status


async def restart_ended(stage: lab.Lab, site: Site) -> None:
    """Start daemons again that have ended, as the platform does."""
    while True:
        await asyncio.sleep(0.1)
        for daemon in stage.daemons:
            if daemon.process is None or daemon.process.returncode is None:
                continue
            site.ends += 1
            cause = daemon.tail().strip().splitlines()[-2:]
            code = daemon.process.returncode
            site.record.write(f"{daemon.name} ended by itself with {code}: {cause}")
            await asyncio.sleep(RESTART_DELAY_S)
            await daemon.start()


async def run(stage: lab.Lab) -> bool:
    """Send requests, and count those that get no answer."""
    site = Site(stage.record, stage.trouble)
    born = int(time.time() * 1000)
    models = [ModelServer(f"llm-{n}", site, f"llm-{n}" == FAULTY) for n in range(2)]
    await stage.start_store(DOCUMENT)
    for server in models:
        await stage.listen(server.listener)
        entry = lab.server_entry("llm", server.listener.address, 64, born)
        await stage.store.put(f"servers/{server.id}", entry)
    await stage.start_daemons(2)
    platform = asyncio.create_task(restart_ended(stage, site))
    end, numbers = time.monotonic() + DURATION_S, itertools.count(1)

    async def use(number: int, client: Client) -> None:
        await asyncio.sleep(number * STAGGER_S)
        while time.monotonic() < end:
            await client.send(f"{next(numbers):016x}")

    clients = [Client(stage.daemons[n % 2], site) for n in range(CLIENTS)]
    await asyncio.gather(*(use(n, c) for n, c in enumerate(clients)))
    platform.cancel()
    return check(site)


def check(site: Site) -> bool:
    """Return whether at most three requests at sound servers were lost."""
    lost = [request for request, server in site.lost if server != FAULTY]
    site.record.write(
        f"{site.answered} requests were answered, {site.spoilt} streams were spoilt,"
        f" daemons ended by themselves {site.ends} times; {len(lost)} requests on kept"
        " channels were passed on to the sound server and got no answer"
    )
    if not site.answered or (site.trouble and not site.spoilt):
        raise lab.CaseError("nothing was answered, or no stream was spoilt")
    return len(lost) <= MAX_LOST


if __name__ == "__main__":
    os.chdir(HERE)
    lab.main(run, HERE)
