"""The operator removes the last tenant, and requests with unknown keys run.

A first version of the desired state has one tenant with one key.  A second version has
no tenant left.  Before and after it, clients send requests with the tenant's key and
with keys that no version ever held.
"""

import asyncio
import itertools
import json
import os
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import lab  # noqa: E402

CHANGE_S, END_S = 4.0, 10.0
SEND_INTERVAL_S = 0.1
UNKNOWN_KEY = "key-of-nobody"


@dataclass
class Site:
    """What was sent and what ran.

    :param keys: key of each request
    :param ran: requests that a server ran, with the tenant that it was told
    """

    record: lab.Record
    keys: dict[str, str] = field(default_factory=dict)
    ran: dict[str, str | None] = field(default_factory=dict)
    answers: dict[tuple[str, int], int] = field(default_factory=dict)


class Server:
    """A plain server that answers at once."""

    def __init__(self, server_id: str, site: Site) -> None:
        """Initialize without requests."""
        self.id = server_id
        self.listener = lab.Listener(self.serve)
        self._site = site

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests on one channel."""
        while (message := await lab.read_message(reader)) is not None:
            request = message.headers["cowsliphitch-request-id"]
            headers = {"Cowsliphitch-Request-Id": request}
            if message.headers.get("cowsliphitch-expect-instance") != self.id:
                headers["Cowsliphitch-Not-Executed"] = "1"
                writer.write(lab.encode_answer(421, headers))
                await writer.drain()
                continue
            tenant = message.headers.get("cowsliphitch-tenant")
            self._site.ran[request] = tenant
            self._site.record.write(f"{self.id} runs {request} for tenant {tenant}")
            headers["Cowsliphitch-Response-Seal"] = "seal"
            writer.write(lab.encode_answer(200, headers, b"done"))
            await writer.drain()


def document(version: int, tenants: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a version of the desired state."""
    route = {
        "name": "order",
        "hostname": lab.HOST_NAME,
        "prefix": "/order/",
        "kind": "non_idempotent",
        "timeout_ms": 1_500,
        "target_latency_ms": 400,
        "priority": 0,
        "public": False,
        "service": "desk",
        "max_attempts": 1,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": "desk", "max_connections": 100}],
        "tenants": tenants,
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
    }


async def send(daemon: lab.Daemon, request: str, key: str, site: Site) -> None:
    """Send one order on a new channel."""
    site.keys[request] = key
    head = [
        "POST /order/x HTTP/1.1",
        f"Host: {lab.HOST_NAME}",
        f"Cowsliphitch-Request-Id: {request}",
        f"Cowsliphitch-Credential: {key}",
        "Cowsliphitch-Deadline-Ms: 1500",
        "Content-Length: 2",
    ]
    reader, writer = await asyncio.open_connection(lab.HOST, daemon.ports["callers"])
    writer.write(("\r\n".join(head) + "\r\n\r\n{}").encode())
    message = await asyncio.wait_for(lab.read_message(reader), 3.0)
    writer.close()
    status = message.status if message else 0
    site.answers[key, status] = site.answers.get((key, status), 0) + 1
    site.record.write(f"client: {request} with {key} is answered {status}")


async def run(stage: lab.Lab) -> bool:
    """Send orders with both keys while the desired state changes."""
    site = Site(stage.record)
    tenants = [{"name": lab.TEAM, "api_keys": [lab.API_KEY]}]
    servers = [Server(f"desk-{n}", site) for n in range(2)]
    born = int(time.time() * 1000)
    await stage.start_store(document(1, tenants))
    for server in servers:
        await stage.listen(server.listener)
        entry = lab.server_entry("desk", server.listener.address, 6, born)
        await stage.store.put(f"servers/{server.id}", entry)
    await stage.start_daemons(2)
    start, numbers, changed = time.monotonic(), itertools.count(1), False
    while (elapsed_s := time.monotonic() - start) < END_S:
        if not changed and elapsed_s > CHANGE_S:
            changed = True
            left = [] if stage.trouble else tenants
            await stage.store.put("op/config", json.dumps(document(2, left)))
            stage.record.write(f"version 2 is acknowledged, tenants: {left}")
        for key, daemon in itertools.product((lab.API_KEY, UNKNOWN_KEY), stage.daemons):
            await send(daemon, f"{next(numbers):016x}", key, site)
        await asyncio.sleep(SEND_INTERVAL_S)
    return check(site)


def check(site: Site) -> bool:
    """Return whether no request ran whose key no desired state ever held."""
    forged = [request for request in site.ran if site.keys[request] == UNKNOWN_KEY]
    site.record.write(
        f"answers by key and status: {site.answers}; {len(forged)} requests ran with a"
        " key that no desired state ever held"
    )
    if not site.ran:
        raise lab.CaseError("nothing ran")
    return not forged


if __name__ == "__main__":
    os.chdir(HERE)
    lab.main(run, HERE)
