"""A request that crashes engines has a prompt of many parts."""

import asyncio
import itertools
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab2 import (
    BROKEN,
    HELD,
    KEY,
    SEAL,
    Channel,
    Lab,
    Listener,
    answer,
    entry,
    main,
    read_request,
)

CASE = "8"
DAEMONS = 7
ENGINES = 9
PARTS = int(os.environ.get("PARTS", "300"))
DEADLY = b"deadly"
PREFILL_S = 0.15
DOWN_S = 2.0

CONTACT_S = 3.0
CRASHES = 3
MAX_RETRIES = 3
COME_AGAIN_S = 3.5
LENGTH_S = 45.0
ORDINARY = 6


class Engine:
    """A model server that crashes before its first event on a deadly request."""

    def __init__(self, lab: Lab, number: int, crashes: list, arrivals: list) -> None:
        """Initialize without an open port."""
        self.lab = lab
        self.id, self.born = f"engine-{number}", 1
        self.listener = Listener(self.serve)
        self.crashes, self.arrivals = crashes, arrivals
        self.restarts: set[asyncio.Task] = set()

    def register(self) -> None:
        """Write the entry."""
        value = entry("engine", self.listener, "v1", 64, self.born)
        self.lab.store.put(f"servers/{self.id}", value)

    async def serve(self, reader, writer) -> None:
        """Answer the requests of one channel."""
        while True:
            request = await read_request(reader)
            name = request.get("cowsliphitch-request-id")
            echo = f"Cowsliphitch-Request-Id: {name}\r\n"
            if request.get("cowsliphitch-expect-instance") != self.id:
                writer.write(answer(421, b"", echo))
                continue
            is_deadly = request.body == DEADLY
            if is_deadly:
                self.arrivals.append(asyncio.get_running_loop().time())
                self.lab.record(f"{self.id}: deadly {name} arrives")
            await asyncio.sleep(PREFILL_S)
            if is_deadly and self.lab.has_trouble:
                self.crash()
                return
            head = (
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            writer.write(f"HTTP/1.1 200 OK\r\n{echo}{SEAL}{head}".encode())
            for number in range(8):
                event = b"id: %d\ndata: token\n\n" % number
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(0.05)
            writer.write(b"0\r\n\r\n")
            await writer.drain()

    def crash(self) -> None:
        """End the process; it starts again some seconds later."""
        self.crashes.append(asyncio.get_running_loop().time())
        self.lab.record(f"{self.id}: crash {len(self.crashes)}")
        self.listener.close()
        self.restarts.add(asyncio.create_task(self.restart()))

    async def restart(self) -> None:
        """Start again after a while, and write the entry."""
        await asyncio.sleep(DOWN_S)
        self.born += 5_000
        self.listener = Listener(self.serve, self.listener.port)
        await self.listener.open()
        self.register()
        self.lab.record(f"{self.id}: is back")


def document() -> dict:
    """Return the operator's document."""
    route = {
        "name": "generation",
        "hostname": "a.example",
        "prefix": "/generation/",
        "kind": "streaming",
        "timeout_ms": 10_000,
        "target_latency_ms": 1_500,
        "target_gap_ms": 300,
        "priority": 1,
        "service": "engine",
        "max_attempts": 1,
        "public": False,
    }
    return {
        "version": 3,
        "routes": [route],
        "services": [
            {
                "name": "engine",
                "max_connections": 370,
                "engine": {"slots": 64, "kv_tokens": 666_867},
            },
        ],
        "tenants": [{"name": "red", "api_keys": [KEY]}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304},
    }


async def run(lab: Lab) -> int:
    """Run the case; return its exit status."""
    crashes: list[float] = []
    arrivals: list[float] = []
    engines = [Engine(lab, n, crashes, arrivals) for n in range(ENGINES)]
    for engine in engines:
        await engine.listener.open()
        engine.register()
    await lab.start(document(), DAEMONS, memory_mb=300)
    # The daemons hear of each other within a second.
    await asyncio.sleep(2.0)
    start_s = asyncio.get_running_loop().time()
    counts = {"answered": 0, "other": 0, "cut": 0}

    def passed_s() -> float:
        return asyncio.get_running_loop().time() - start_s

    async def send(number: int, name: str, prompt: list[str], body: bytes) -> int:
        """Send a request at a daemon; return its status, 0 without a whole answer."""
        channel = Channel(lab.daemons[number % DAEMONS].callers)
        headers = {
            "Cowsliphitch-Request-Id": name,
            "Cowsliphitch-Credential": KEY,
            "Cowsliphitch-Deadline-Ms": "10000",
            "Cowsliphitch-Model": "m",
            "Cowsliphitch-Token-Usage": f"{10 * len(prompt)},80",
            "Cowsliphitch-Prompt-Prefix": ",".join(f"{part}:10" for part in prompt),
        }
        try:
            await channel.open()
            await channel.send("POST", "/generation/1", headers, body)
            status, _ = await channel.receive()
        except (asyncio.IncompleteReadError, OSError):
            status = 0
        channel.close()
        return status

    async def deadly() -> None:
        """The same request comes again and again, at the daemons in turn."""
        shared = [f"5c1e{n:04x}" for n in range(PARTS)]
        for number in itertools.count():
            if passed_s() > LENGTH_S:
                return
            name = f"dead{number:04x}"
            status = await send(number, name, [*shared, f"91bd{number:04x}"], DEADLY)
            lab.record(f"client: deadly {name} at vm-{number % DAEMONS}: {status}")
            await asyncio.sleep(COME_AGAIN_S)

    async def ordinary(client: int) -> None:
        for number in itertools.count():
            if passed_s() > LENGTH_S:
                return
            name = f"{client:04x}{number:04x}"
            body = name.encode()
            status = await send(client, name, [f"77aa{client:04x}", name], body)
            kind = "answered" if status == 200 else "other" if status else "cut"
            counts[kind] += 1
            await asyncio.sleep(0.1)

    await asyncio.gather(deadly(), *(ordinary(client) for client in range(ORDINARY)))
    lab.record(f"ordinary requests: {counts}")
    third_s = crashes[CRASHES - 1] if len(crashes) >= CRASHES else float("inf")
    late = [t - third_s for t in arrivals if t > third_s + CONTACT_S]
    lab.record(
        f"{len(crashes)} crashes, {len(arrivals)} arrivals of the deadly request,"
        f" {len(late)} of them over {CONTACT_S} s after the third crash:"
        f" {[round(t, 1) for t in late]}"
    )
    if counts["answered"] < ORDINARY * 10:
        raise RuntimeError("hardly any ordinary request was answered")
    return BROKEN if len(late) > MAX_RETRIES else HELD


main(CASE, run)
