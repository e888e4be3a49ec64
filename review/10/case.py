"""A version of the desired state has an empty list of tenants."""

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab2 import (
    BROKEN,
    HELD,
    KEY,
    SEAL,
    Lab,
    Listener,
    answer,
    call,
    entry,
    main,
    read_request,
)

CASE = "10"
DAEMONS = 2
UNKNOWN_KEY = "key-that-no-version-holds"
CONFIG_APPLY_S = 2.0
REQUESTS = 20


def document(version: int, tenants: list[dict]) -> dict:
    """Return the operator's document."""
    route = {
        "name": "lookup",
        "hostname": "a.example",
        "prefix": "/lookup/",
        "kind": "idempotent",
        "timeout_ms": 1_500,
        "target_latency_ms": 400,
        "priority": 1,
        "service": "desk",
        "max_attempts": 2,
        "public": False,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": "desk", "max_connections": 110}],
        "tenants": tenants,
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304},
    }


async def run(lab: Lab) -> int:
    """Run the case; return its exit status."""
    ran: list[str] = []

    async def serve(reader, writer) -> None:
        while True:
            request = await read_request(reader)
            name = request.get("cowsliphitch-request-id")
            ran.append(name)
            lab.record(f"desk: runs {name}")
            headers = f"Cowsliphitch-Request-Id: {name}\r\n{SEAL}"
            writer.write(answer(200, b"an order of red", headers))
            await writer.drain()

    desk = Listener(serve)
    await desk.open()
    lab.store.put("servers/desk-1", entry("desk", desk, slots=6))
    tenant = {"name": "red", "api_keys": [KEY]}
    await lab.start(document(3, [tenant]), DAEMONS, memory_mb=300)
    numbers = itertools.count()

    async def look_up(key: str) -> tuple[str, int]:
        """Send a lookup with a key; return its name and status."""
        number = next(numbers)
        name = f"{key}-{number}"
        headers = {
            "Cowsliphitch-Request-Id": name,
            "Cowsliphitch-Credential": key,
            "Cowsliphitch-Deadline-Ms": "1500",
        }
        port = lab.daemons[number % DAEMONS].callers
        status, _ = await call(port, "GET", f"/lookup/{number}", headers)
        lab.record(f"client: {name} {status}")
        return name, status

    before = [await look_up(UNKNOWN_KEY) for _ in range(REQUESTS)]
    if any(status != 401 for _, status in before) or (await look_up(KEY))[1] != 200:
        raise RuntimeError("the first version is not in force")
    # The tenant leaves; without the disruption it stays and loses its key.
    last = [] if lab.has_trouble else [tenant | {"api_keys": []}]
    lab.store.put("op/config", document(5, last))
    lab.record(f"operator: version 5 has the tenants {last}")
    await asyncio.sleep(2 * CONFIG_APPLY_S)
    await look_up(KEY)
    after = [await look_up(UNKNOWN_KEY) for _ in range(REQUESTS)]
    served = [name for name, _ in after if name in ran]
    lab.record(f"{len(served)} of {REQUESTS} requests with an unknown key ran")
    return BROKEN if served else HELD


main(CASE, run)
