"""Measure one idle daemon of the platform in fleets of simulated peers.

The daemon and the store are processes.  The peers are sockets of this process, each on
a loopback address of its own: they answer probes, probe the daemon now and then, and
some of them hold duties and read the store, as daemons of a fleet do.
"""

import base64
import contextlib
import itertools
import json
import random
import socket
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path

import anyio
import httpx

from cowsliphitch.core.clock import MS_PER_SECOND, Clock, seconds
from cowsliphitch.core.fleet.detector import PROBE_INTERVAL_MS
from cowsliphitch.core.fleet.following import BEACON_INTERVAL_MS
from cowsliphitch.core.fleet.heartbeat_schedule import HOLDER_ROUNDS, PROBED_INTERVAL_MS
from cowsliphitch.core.fleet.members import HEARTBEAT_INTERVAL_MS
from cowsliphitch.core.revisions import Revision
from cowsliphitch.peers.fleet import convert
from cowsliphitch.peers.fleet.models import Exchange, Heartbeat, StoreNews
from cowsliphitch.platform.store.const import ERA_HEADER

from ..processes import free_port, wait_for
from ..site import SiteServer, document
from . import process
from .report import Report

PEER_COUNTS = (30, 100, 195, 400)
SERVERS_PER_DAEMON = 1.2
DOMAIN_COUNT = 5
SETTLING_MS = 6_000
WINDOW_MS = 10_000
TARGET_CPU_CORES = 0.014
TARGET_BYTES_PER_S = 3_000
TARGET_MEMORY_MB = 64
PEER_PORT = 7_740
FIRST_VERSION = 1
ENTRIES_PER_WRITE = 32


class _Peers:
    """Peers of one daemon, which answer it and send what daemons send in calm."""

    def __init__(self, count: int, target: str) -> None:
        self._target = target.partition(":")[0], int(target.partition(":")[2])
        self._rng = random.Random(count)
        self.addresses = [f"127.1.{n // 250}.{1 + n % 250}" for n in range(count)]
        self._sockets = [self._open(address) for address in self.addresses]
        self._numbers = itertools.count(1)
        self.received = self.sent = self.received_bytes = self.sent_bytes = 0
        self.at = Revision(0, 0)

    def _open(self, address: str) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((address, PEER_PORT))
        sock.setblocking(False)
        return sock

    def close(self) -> None:
        for sock in self._sockets:
            sock.close()

    def member(self, index: int) -> dict[str, object]:
        return {
            "name": f"vm-{index}",
            "failure_domain": f"domain-{index % DOMAIN_COUNT}",
            "lifetime": 1,
            "capacity": 2.0,
        }

    def _heartbeat(self, index: int, is_holder: bool, exchange: Exchange) -> bytes:
        interval_ms = HOLDER_ROUNDS * HEARTBEAT_INTERVAL_MS
        return convert.heartbeat_to_wire(
            Heartbeat(
                name=f"vm-{index}",
                address="",
                started_ms=1,
                sequence_number=next(self._numbers),
                failure_domain=f"domain-{index % DOMAIN_COUNT}",
                settings_version=FIRST_VERSION,
                leaving=False,
                leaving_servers=(),
                servers={},
                duties={index: 2} if is_holder else {},
                interval_ms=interval_ms if is_holder else PROBED_INTERVAL_MS,
                capacity=2.0,
                view_age_ms=400,
                is_probed=not is_holder,
                exchange=exchange,
            )
        )

    def send(
        self, index: int, exchange: Exchange, is_holder: bool | None = None
    ) -> None:
        """Send a heartbeat of a peer; the first of each domain holds a duty."""
        if is_holder is None:
            is_holder = index < DOMAIN_COUNT
        content = self._heartbeat(index, is_holder, exchange)
        self._sockets[index].sendto(content, self._target)
        self.sent += 1
        self.sent_bytes += len(content)

    async def answer(self, index: int) -> None:
        """Answer the probes of the daemon until cancelled."""
        sock = self._sockets[index]
        while True:
            await anyio.wait_readable(sock)
            with contextlib.suppress(BlockingIOError):
                while True:
                    content = sock.recv(8_192)
                    self.received += 1
                    self.received_bytes += len(content)
                    exchange = convert.exchange_from_wire(content)
                    if exchange.probe:
                        self.send(index, Exchange(answer=exchange.probe))

    async def send_as_in_calm(self) -> None:
        """Send the duty holders' heartbeats, a reader's beacons, and probes."""
        ticks = itertools.count()
        while True:
            await anyio.sleep(seconds(HEARTBEAT_INTERVAL_MS))
            tick = next(ticks)
            if tick % HOLDER_ROUNDS == 0:
                for index in range(DOMAIN_COUNT):
                    self.send(index, Exchange())
            if tick % (PROBE_INTERVAL_MS // HEARTBEAT_INTERVAL_MS) == 0:
                index = self._rng.randrange(len(self._sockets))
                self.send(index, Exchange(probe=next(self._numbers)))
            if tick % (BEACON_INTERVAL_MS // HEARTBEAT_INTERVAL_MS) == 0:
                # The daemon is of the first domain; its reader is any member of it.
                news = StoreNews(self.at, self.at, (), 400)
                self.send(DOMAIN_COUNT, Exchange(store_news=news))


def measure_idle() -> Report:
    """Measure an idle daemon by the number of its peers."""
    rows: list[tuple[str, ...]] = []
    is_target_met = True
    for count in PEER_COUNTS:
        cores, mb, peers, calls_per_s = anyio.run(_measure, count)
        bytes_per_s = (peers.received_bytes + peers.sent_bytes) / seconds(WINDOW_MS)
        is_target_met &= (
            cores <= TARGET_CPU_CORES
            and bytes_per_s <= TARGET_BYTES_PER_S
            and mb <= TARGET_MEMORY_MB
        )
        rows.append(
            (
                str(count),
                f"{cores:.2%}",
                f"{peers.received / seconds(WINDOW_MS):.1f}",
                f"{peers.sent / seconds(WINDOW_MS):.1f}",
                f"{bytes_per_s:.0f}",
                f"{calls_per_s:.2f}",
                f"{mb:.0f}",
            )
        )
    return Report(
        "idle",
        "One idle daemon of the platform, by its peers",
        (
            "peers",
            "core",
            "datagrams sent/s",
            "datagrams received/s",
            "bytes/s",
            "calls to the store/s",
            "memory MB",
        ),
        tuple(rows),
        f"{TARGET_BYTES_PER_S} bytes/s, {TARGET_CPU_CORES:.1%} of a core and "
        f"{TARGET_MEMORY_MB} MB for control in a daemon",
        is_target_met,
        f"The peers are simulated, {DOMAIN_COUNT} of them hold duties and one reads the"
        f" store for the daemon; {SERVERS_PER_DAEMON} servers for each peer; no"
        f" requests; over {WINDOW_MS // 1_000} s.  Bytes are of datagrams, both ways.",
    )


async def _measure(count: int) -> tuple[float, float, _Peers, float]:
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as stack:
        store_port = free_port()
        store = f"http://127.0.0.1:{store_port}"
        _start(stack, ["cowsliphitch.standins", "kv", "--port", str(store_port)])
        wait_for("the store is up", lambda: _is_up(f"{store}/stats"))
        ports = {name: free_port() for name in ("callers", "ready", "peers", "metrics")}
        peers = _Peers(count, f"127.0.0.1:{ports['peers']}")
        stack.callback(peers.close)
        _fill_store(store, peers, count)
        settings = Path(folder) / "daemon.yaml"
        listen = "".join(f'  {n}: "127.0.0.1:{p}"\n' for n, p in ports.items())
        settings.write_text(
            f'name: "own"\nfailure_domain: "domain-0"\nlisten:\n{listen}'
            f'store:\n  address: "127.0.0.1:{store_port}"\n'
        )
        daemon = _start(stack, ["cowsliphitch.gateway"], str(settings))
        async with anyio.create_task_group() as group:
            for index in range(count):
                group.start_soon(peers.answer, index)
            await anyio.sleep(seconds(SETTLING_MS // 2))
            peers.at = _revision(store)
            group.start_soon(peers.send_as_in_calm)
            await anyio.sleep(seconds(SETTLING_MS // 2))
            peers.received = peers.sent = 0
            peers.received_bytes = peers.sent_bytes = 0
            calls = _calls(store)
            before_ms = process.cpu_ms(daemon.pid)
            started_ms = Clock().now_ms()
            await anyio.sleep(seconds(WINDOW_MS))
            took_ms = Clock().now_ms() - started_ms
            cores = (process.cpu_ms(daemon.pid) - before_ms) / took_ms
            calls_per_s = (_calls(store) - calls) / took_ms * MS_PER_SECOND
            mb = process.resident_mb(daemon.pid)
            group.cancel_scope.cancel()
        return cores, mb, peers, calls_per_s


def _start(
    stack: contextlib.ExitStack, arguments: list[str], settings: str = ""
) -> "subprocess.Popen[bytes]":
    popen = subprocess.Popen(
        [sys.executable, "-m", *arguments],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        env={"COWSLIPHITCH_CONFIG": settings, "PATH": "/usr/bin:/bin"},
    )
    stack.callback(popen.wait)
    stack.callback(popen.kill)
    return popen


def _fill_store(store: str, peers: _Peers, count: int) -> None:
    entries = {"op/config": document(FIRST_VERSION, {"key": "red"})}
    entries |= {
        f"members/{address}:{PEER_PORT}": json.dumps(peers.member(index))
        for index, address in enumerate(peers.addresses)
    }
    services = itertools.cycle(("engine", "encode", "rerank", "desk"))
    for number in range(round(count * SERVERS_PER_DAEMON)):
        domain = f"domain-{number % DOMAIN_COUNT}"
        server = SiteServer(f"s-{number}", next(services), domain, port=10_000 + number)
        entries[f"servers/{server.id}"] = server.entry()
    with httpx.Client() as client:
        for rows in _batches(entries):
            body = {"expect_rev": [], "remove": [], "writes": list(map(_write, rows))}
            client.post(f"{store}/kv-txn", json=body).raise_for_status()


def _batches(entries: dict[str, str]) -> Iterator[list[tuple[str, str]]]:
    rows = iter(entries.items())
    while batch := list(itertools.islice(rows, ENTRIES_PER_WRITE)):
        yield batch


def _write(entry: tuple[str, str]) -> dict[str, object]:
    key, value = entry
    return {"key": key, "value": base64.b64encode(value.encode()).decode(), "lease": 0}


def _is_up(url: str) -> bool:
    try:
        return httpx.get(url).is_success
    except httpx.HTTPError:
        return False


def _calls(store: str) -> int:
    counts = httpx.get(f"{store}/stats").json()
    return int(counts["reads"] + counts["writes"] + counts["watches"])


def _revision(store: str) -> Revision:
    """Return the store's revision."""
    answer = httpx.get(f"{store}/kv-range", params={"prefix": "none/"})
    return Revision(int(answer.headers[ERA_HEADER]), answer.json()["at"])
