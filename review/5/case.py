"""A request makes each model server that runs it fall silent, and comes again.

Model servers run streams.  One request of a tenant, always with the same path, caller
and body, crashes each server that begins to run it: the server's machine goes dark and
is back three seconds later, under its identifier.
"""

import asyncio
import itertools
import os
import socket
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import lab  # noqa: E402

LOAD_S = 45.0
SERVERS = 6
CLIENTS = 12
EVENTS = 20
EVENT_S = 0.05
HEARTBEAT_S = 1.2
DARK_S = 3.0
DEADLINE_MS = 10_000

# The request that crashes servers comes this often, as one in 33 of a class that sends
# nine requests a second.
DEADLY_INTERVAL_S = 3.7
# A client of a stream leaves after a silence of four objectives.
SILENCE_S = 4.0

# More than three retries that are sent later than ``contact_ms`` after the third crash
# break the rule.
CONTACT_S = 3.0
CRASHES, MAX_RETRIES = 3, 3

DEADLY = "the prompt that crashes servers"


@dataclass
class Site:
    """What the servers and clients have seen.

    :param crashes_s: times at which the request had crashed a server
    :param arrivals_s: times at which it had reached a server
    :param lost: other requests that a crash broke off, by number of crashes until then
    """

    record: lab.Record
    crashes_s: list[float] = field(default_factory=list)
    arrivals_s: list[float] = field(default_factory=list)
    running: dict[str, set[str]] = field(default_factory=dict)
    lost: list[tuple[str, int]] = field(default_factory=list)
    whole: int = 0


class ModelServer:
    """A model server on a machine that can go dark."""

    def __init__(self, server_id: str, site: Site, stage: lab.Lab) -> None:
        """Initialize a server that does not listen yet."""
        self.id = server_id
        self.port = lab.free_port()
        self._site = site
        self._stage = stage
        self._born = int(time.time() * 1000)
        self._seq = 0
        self._lit = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._fillers: list[socket.socket] = []
        site.running[server_id] = set()
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind((lab.HOST, self.port))
        # With a full queue of this length, further connections get no answer.
        self._sock.listen(0)
        self._sock.setblocking(False)

    async def run(self) -> None:
        """Accept channels while the machine has power."""
        self._lit.set()
        loop = asyncio.get_running_loop()
        while True:
            await self._lit.wait()
            sock, _ = await loop.sock_accept(self._sock)
            if not self._lit.is_set() or sock.getpeername()[1] in self._filler_ports():
                self._fillers.append(sock)
                continue
            reader, writer = await asyncio.open_connection(sock=sock)
            self._tasks.append(asyncio.create_task(self._serve(reader, writer)))

    def _filler_ports(self) -> set[int]:
        return {s.getsockname()[1] for s in self._fillers if s.fileno() >= 0}

    async def check_in(self) -> None:
        """Write the entry at each heartbeat while the machine has power."""
        while True:
            await self._lit.wait()
            self._seq += 1
            entry = lab.server_entry(
                "llm",
                f"{lab.HOST}:{self.port}",
                64,
                self._born,
                seq=self._seq,
            )
            await self._stage.store.put(f"servers/{self.id}", entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def crash(self) -> None:
        """Go dark, and come back: channels fall silent, nothing is accepted."""
        site, now = self._site, time.monotonic()
        site.crashes_s.append(now)
        site.record.write(f"{self.id} goes dark, crash {len(site.crashes_s)}")
        for request in site.running[self.id]:
            site.lost.append((request, len(site.crashes_s)))
            site.record.write(f"{request} is lost with {self.id}")
        site.running[self.id].clear()
        self._lit.clear()
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            if task is not asyncio.current_task():
                task.cancel()
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((lab.HOST, self.port))
            self._fillers.append(filler)
        await asyncio.sleep(DARK_S)
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._born, self._seq = int(time.time() * 1000), 0
        self._lit.set()
        site.record.write(f"{self.id} is back")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (message := await lab.read_message(reader)) is not None:
                await self._answer(message, writer)
        except asyncio.CancelledError:
            # The machine is dark: the channel stays open and silent.
            KEPT_CHANNELS.append(writer)
            raise
        except (ConnectionError, lab.BadMessage, asyncio.IncompleteReadError):
            pass
        writer.close()

    async def _answer(self, message: lab.Message, writer: asyncio.StreamWriter) -> None:
        request = message.headers["cowsliphitch-request-id"]
        if message.headers.get("cowsliphitch-expect-instance") != self.id:
            headers = {
                "Cowsliphitch-Request-Id": request,
                "Cowsliphitch-Not-Executed": "1",
            }
            writer.write(lab.encode_answer(421, headers))
            await writer.drain()
            return
        self._site.record.write(f"{self.id} runs {request}")
        if message.body == DEADLY.encode():
            self._site.arrivals_s.append(time.monotonic())
            if self._stage.trouble:
                KEPT_CHANNELS.append(writer)
                await asyncio.shield(asyncio.create_task(self.crash()))
                await asyncio.Event().wait()
        running = self._site.running[self.id]
        running.add(request)
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\nCowsliphitch-Response-Seal: seal\r\n"
            + f"Cowsliphitch-Request-Id: {request}\r\n\r\n".encode()
        )
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: text\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        running.discard(request)


# Channels of dark machines, which nobody closes.
KEPT_CHANNELS: list[asyncio.StreamWriter] = []

DOCUMENT = {
    "version": 1,
    "routes": [
        {
            "name": "diagnosis",
            "hostname": lab.HOST_NAME,
            "prefix": "/diagnosis/",
            "kind": "streaming",
            "timeout_ms": 10_000,
            "target_latency_ms": 1_000,
            "target_gap_ms": 300,
            "priority": 0,
            "public": False,
            "service": "llm",
            "max_attempts": 1,
            "resumable": False,
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


async def send(
    daemon: lab.Daemon, request: str, body: str, part: str, site: Site
) -> None:
    """Send one request; leave when nothing comes for ``SILENCE_S``."""
    head = [
        "POST /diagnosis/x HTTP/1.1",
        f"Host: {lab.HOST_NAME}",
        f"Cowsliphitch-Request-Id: {request}",
        f"Cowsliphitch-Credential: {lab.API_KEY}",
        f"Cowsliphitch-Deadline-Ms: {DEADLINE_MS}",
        "Cowsliphitch-Model: m",
        "Cowsliphitch-Token-Usage: 1000,80",
        f"Cowsliphitch-Prompt-Prefix: aa:700,{part}:300",
        f"Content-Length: {len(body)}",
    ]
    outcome = "leaves"
    reader, writer = await asyncio.open_connection(lab.HOST, daemon.ports["callers"])
    try:
        writer.write(("\r\n".join(head) + "\r\n\r\n" + body).encode())
        message = await asyncio.wait_for(lab.read_head(reader), SILENCE_S)
        outcome = f"is answered {message.status}" if message else "gets no answer"
        if message and "chunked" in message.headers.get("transfer-encoding", ""):
            outcome = "is broken off"
            await asyncio.wait_for(lab.read_chunks(reader), SILENCE_S)
            outcome = "is whole"
            site.whole += 1
    except (OSError, TimeoutError, lab.BadMessage):
        pass
    finally:
        writer.close()
    site.record.write(f"client: {request} {outcome}")
    if outcome != "is whole":
        await asyncio.sleep(0.25)


async def run(stage: lab.Lab) -> bool:
    """Send streams, and the request that crashes servers again and again."""
    site = Site(stage.record)
    servers = [ModelServer(f"llm-{n}", site, stage) for n in range(SERVERS)]
    await stage.start_store(DOCUMENT)
    tasks = [asyncio.create_task(s.run()) for s in servers]
    tasks += [asyncio.create_task(s.check_in()) for s in servers]
    await stage.start_daemons(3)
    start, numbers = time.monotonic(), itertools.count(1)

    async def client(number: int) -> None:
        await asyncio.sleep(number * 0.09)
        while time.monotonic() < start + LOAD_S:
            request = f"{next(numbers):016x}"
            daemon = stage.daemons[number % 3]
            await send(daemon, request, f"prompt {request}", request, site)

    async def deadly() -> None:
        clients = []
        for number in itertools.count():
            if time.monotonic() >= start + LOAD_S - DEADLY_INTERVAL_S:
                break
            request = f"{next(numbers):016x}"
            daemon = stage.daemons[number % 3]
            sending = send(daemon, request, DEADLY, "dead", site)
            clients.append(asyncio.create_task(sending))
            await asyncio.sleep(DEADLY_INTERVAL_S)
        await asyncio.gather(*clients)

    await asyncio.gather(deadly(), *(client(n) for n in range(CLIENTS)))
    for task in tasks:
        task.cancel()
    return check(site)


def check(site: Site) -> bool:
    """Return whether at most three retries came too late."""
    late = 0
    if len(site.crashes_s) >= CRASHES:
        bound_s = site.crashes_s[CRASHES - 1] + CONTACT_S
        late = sum(arrival_s > bound_s for arrival_s in site.arrivals_s)
    lost = sum(crashes > CRASHES for _, crashes in site.lost)
    site.record.write(
        f"{site.whole} streams were whole; the request reached servers"
        f" {len(site.arrivals_s)} times and crashed {len(site.crashes_s)}, {late} times"
        f" later than {CONTACT_S} s after the third crash; {lost} other streams were"
        " lost with the servers that crashed after the third"
    )
    if not site.whole or not site.arrivals_s:
        raise lab.CaseError("nothing was whole, or the request reached no server")
    return late <= MAX_RETRIES


if __name__ == "__main__":
    os.chdir(HERE)
    lab.main(run, HERE)
