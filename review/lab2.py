"""Stand-ins and helpers of the scripts in ``review/6`` to ``review/10``.

Only the standard library is used.  The daemons are separate processes, started with the
command of the deploy file; the store, the servers and the clients are tasks of the
script.  All addresses are loopback addresses.
"""

import asyncio
import base64
import ctypes
import itertools
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
SEAL = "Cowsliphitch-Response-Seal: seal\r\n"
KEY = "key-red"
MIB = 1_048_576
RESTART_DELAY_S = 0.3
_PR_SET_PDEATHSIG = 1


# Ports below those that the system gives to outgoing connections.
_PORTS = itertools.cycle(range(12_000, 32_000))
for _ in range(os.getpid() * 97 % 20_000):
    next(_PORTS)


def free_port() -> int:
    """Return a port that was free a moment ago, and that no other call returned."""
    for port in _PORTS:
        with socket.socket() as sock, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                sock.bind((HOST, port))
                udp.bind((HOST, port))
            except OSError:
                continue
            return port
    raise RuntimeError("no port is free")


class Record:
    """Lines about what was sent, answered and run, written to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        """Begin a new record in a folder."""
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write a line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._started_s:8.3f} s  {text}\n")
        self._file.flush()


class Request:
    """A request that a stand-in received; header names are in lower case."""

    def __init__(self, head: bytes, body: bytes) -> None:
        """Decode a head."""
        first, *lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = first.split(" ", 2)
        pairs = (line.partition(":") for line in lines if line)
        self.headers = {name.lower(): value.strip() for name, _, value in pairs}
        self.path, _, query = self.target.partition("?")
        rows = (row.partition("=") for row in query.split("&") if row)
        self.query = {name: _unquote(value) for name, _, value in rows}
        self.body = body

    def get(self, name: str) -> str:
        """Return a header, empty if it is absent."""
        return self.headers.get(name, "")


def _unquote(value: str) -> str:
    value = value.replace("+", " ")
    return re.sub("%([0-9A-Fa-f]{2})", lambda m: chr(int(m[1], 16)), value)


async def read_head(reader: asyncio.StreamReader) -> bytes:
    """Return a head without the empty line at its end."""
    return (await reader.readuntil(b"\r\n\r\n"))[:-4]


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read a request with its body."""
    head = await read_head(reader)
    request = Request(head, b"")
    request.body = await reader.readexactly(int(request.get("content-length") or 0))
    return request


def answer(status: int, body: bytes = b"", headers: str = "") -> bytes:
    """Return an answer with a length."""
    head = f"HTTP/1.1 {status} X\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def json_answer(status: int, body: object, headers: str = "") -> bytes:
    """Return an answer with a JSON body."""
    content = json.dumps(body).encode()
    return answer(status, content, f"Content-Type: application/json\r\n{headers}")


Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Listener:
    """Accepts connections on a loopback address until it is closed."""

    def __init__(
        self, handler: Handler, port: int | None = None, limit: int = 8 * MIB
    ) -> None:
        """Initialize without a socket.

        :param limit: bytes that are read ahead of the handler
        """
        self._limit = limit
        self.port = port or free_port()
        self.address = f"{HOST}:{self.port}"
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=self._limit, backlog=2_048
        )

    def close(self) -> None:
        """Stop listening, and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._handler(reader, writer)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass  # The other side has left, or the case is over.
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's metadata store.

    :ivar is_down: it accepts connections and answers nothing
    """

    def __init__(self) -> None:
        """Initialize an empty store."""
        self.is_down = False
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[int, float]] = {}
        self._lease_ids = itertools.count(7_001)
        self._revision = 10
        self._changed = asyncio.Event()
        self.listener = Listener(self._serve)

    def put(self, key: str, value: object, lease: int = 0) -> None:
        """Write a key, as the operator or a server does."""
        self._write(key, base64.b64encode(json.dumps(value).encode()).decode(), lease)

    def _write(self, key: str, value: str, lease: int) -> None:
        self._revision += 1
        created = self._items.get(key, {}).get("created", self._revision)
        self._items[key] = {
            "key": key,
            "value": value,
            "mod_rev": self._revision,
            "created": created,
            "lease": lease,
        }
        self._notify(self._items[key])

    def remove(self, key: str) -> None:
        """Delete a key."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._notify({"key": key, "mod_rev": self._revision, "deleted": True})

    def _notify(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_leases(self) -> None:
        now = time.monotonic()
        for lease in [n for n, (_, end_s) in self._leases.items() if end_s < now]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        if self._leases.pop(lease, None) is not None:
            for key in [k for k, i in self._items.items() if i["lease"] == lease]:
                self.remove(key)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            request = await read_request(reader)
            content = await self._answer(request)
            if self.is_down:
                await asyncio.sleep(3_600)
            writer.write(content)
            await writer.drain()

    async def _answer(self, request: Request) -> bytes:
        self._end_leases()
        match request.method, request.path.split("/")[1:]:
            case "GET", ["kv-key"]:
                item = self._items.get(request.query["key"])
                if item is None:
                    return answer(404)
                return json_answer(200, item | {"at": self._revision})
            case "GET", ["kv-range"]:
                prefix = request.query.get("prefix", "")
                after = request.query.get("after", "")
                keys = sorted(k for k in self._items if k.startswith(prefix))
                items = [self._items[k] for k in keys if k > after]
                body = {"items": items, "has_more": False, "at": self._revision}
                return json_answer(200, body)
            case "GET", ["kv-watch"]:
                return await self._watch(request)
            case "POST", ["kv-txn"]:
                return self._transact(json.loads(request.body))
            case "POST", ["kv-lease"]:
                ttl_ms = json.loads(request.body)["ttl_ms"]
                lease = next(self._lease_ids)
                self._leases[lease] = ttl_ms, time.monotonic() + ttl_ms / 1_000
                return json_answer(200, {"lease": lease, "ttl_ms": ttl_ms})
            case "POST", ["kv-keep", lease]:
                if int(lease) not in self._leases:
                    return answer(404)
                ttl_ms, _ = self._leases[int(lease)]
                self._leases[int(lease)] = ttl_ms, time.monotonic() + ttl_ms / 1_000
                return json_answer(200, {"ttl_ms": ttl_ms})
            case "DELETE", ["kv-lease-end", lease]:
                self._end_lease(int(lease))
                return json_answer(200, {})
        return answer(404)

    async def _watch(self, request: Request) -> bytes:
        prefix, after = request.query.get("prefix", ""), int(request.query["after"])
        end_s = time.monotonic() + int(request.query["wait_ms"]) / 1_000

        def events() -> list[dict[str, Any]]:
            found = (e for e in self._events if e["mod_rev"] > after)
            return [e for e in found if e["key"].startswith(prefix)]

        while not events() and time.monotonic() < end_s:
            try:
                await asyncio.wait_for(self._changed.wait(), end_s - time.monotonic())
            except TimeoutError:
                break
        return json_answer(200, {"events": events(), "at": self._revision})

    def _transact(self, body: dict[str, Any]) -> bytes:
        rows = body.get("expect_rev", ())
        found = [
            {
                "key": r["key"],
                "mod_rev": self._items.get(r["key"], {}).get("mod_rev", 0),
            }
            for r in rows
        ]
        if any(r["mod_rev"] != f["mod_rev"] for r, f in zip(rows, found, strict=True)):
            return json_answer(412, {"items": found})
        leases = {w.get("lease") or 0 for w in body.get("writes", ())} - {0}
        if not leases <= self._leases.keys():
            return answer(404)
        for write in body.get("writes", ()):
            self._write(write["key"], write["value"], write.get("lease") or 0)
        for key in body.get("remove", ()):
            self.remove(key)
        return json_answer(200, {"mod_rev": self._revision})


def _end_with_parent() -> None:
    """Have the system end this process if the script is ended."""
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Daemon:
    """A daemon of the system, as the platform runs it."""

    def __init__(
        self, number: int, store: Store, folder: Path, record: Record, memory_mb: int
    ) -> None:
        """Write the settings file, with the fields of ``deploy/settings.yaml``."""
        self.name = f"vm-{number}"
        self.memory_mb = memory_mb
        self.peak_mb = 0.0
        self.ends = 0
        self._record = record
        self._folder = folder
        self._port = {n: free_port() for n in ("callers", "ready", "peers", "metrics")}
        self.callers = self._port["callers"]
        listen = "".join(f'  {n}: "{HOST}:{p}"\n' for n, p in self._port.items())
        self._config = folder / f"{self.name}.yaml"
        self._config.write_text(
            f'name: "{self.name}"\nfailure_domain: "domain-a"\nlisten:\n{listen}'
            f'store:\n  address: "{store.listener.address}"\n'
            f"vm:\n  max_descriptors: 4100\n  cores: 2\n  cpu_share: 0.537\n"
            f"  memory_mb: {memory_mb}\n"
            'retries:\n  ratio: 0.2\n  fixed: 58\n  window: "10s"\n'
            'shutdown:\n  grace: "8s"\n',
            encoding="utf-8",
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        words = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        env = words | {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "COWSLIPHITCH_CONFIG": str(self._config),
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "cowsliphitch.gateway"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=_end_with_parent,
            )

    async def wait_ready(self) -> None:
        """Wait until the readiness check succeeds."""
        for _ in range(400):
            try:
                status, _ = await call(self._port["ready"], "GET", "/readyz", {})
            except OSError:
                status = 0
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} does not become ready")

    @property
    def memory_used_mb(self) -> float:
        """Return the memory of the process, in MiB."""
        if self.process is None or self.process.poll() is not None:
            return 0.0
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found[1]) / 1_024 if found else 0.0

    async def watch_memory(self) -> None:
        """Kill the process above its memory limit, and start it again, until cancelled.

        The platform counts bytes in sockets too; here they are left out.
        """
        while True:
            used_mb = self.memory_used_mb
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > self.memory_mb:
                self._record(
                    f"{self.name} takes {used_mb:.0f} MiB, more than memory_mb ="
                    f" {self.memory_mb}: the platform kills it"
                )
                self.stop()
                self.ends += 1
                await asyncio.sleep(RESTART_DELAY_S)
                self.start()
            await asyncio.sleep(0.02)

    def stop(self) -> None:
        """Kill the process, and wait for its end."""
        if self.process is not None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Channel:
    """A client's kept channel to a daemon."""

    def __init__(self, port: int) -> None:
        """Initialize without a connection."""
        self._port = port

    async def open(self) -> None:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection(
            HOST, self._port, limit=8 * MIB
        )

    def close(self) -> None:
        """Close the connection."""
        self.writer.transport.abort()

    async def send(
        self, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> None:
        """Send a request."""
        lines = {"Host": "a.example", "Content-Length": str(len(body))} | headers
        head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        self.writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
        await self.writer.drain()

    async def receive(self) -> tuple[int, bytes]:
        """Read an answer; return its status and its whole body.

        :raises asyncio.IncompleteReadError: the channel ended before the answer did
        """
        first, _, lines = (await read_head(self.reader)).partition(b"\r\n")
        status = int(first.split(b" ")[1])
        head = Request(b"GET / X\r\n" + lines, b"")
        if head.get("transfer-encoding") == "chunked":
            body = b""
            while size := int(await self.reader.readuntil(b"\r\n"), 16):
                body += (await self.reader.readexactly(size + 2))[:-2]
            await self.reader.readuntil(b"\r\n")
            return status, body
        length = int(head.get("content-length") or 0)
        return status, await self.reader.readexactly(length)


async def call(
    port: int, method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> tuple[int, bytes]:
    """Send a request on a new channel; return the status and body of its answer.

    :raises OSError: the channel ended before the answer did
    """
    channel = Channel(port)
    await channel.open()
    try:
        await channel.send(method, path, headers, body)
        return await channel.receive()
    except asyncio.IncompleteReadError as exc:
        raise ConnectionError("the channel ended") from exc
    finally:
        channel.close()


class Lab:
    """A small deployment: store, servers, daemons, and a temporary folder."""

    def __init__(self, case: str) -> None:
        """Initialize with an empty store."""
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(ROOT / "review" / case)
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.daemons: list[Daemon] = []

    async def start(
        self, document: dict[str, Any], daemon_count: int, memory_mb: int
    ) -> None:
        """Start the store with the operator's document, then the daemons."""
        await self.store.listener.open()
        self.store.put("op/config", document)
        for number in range(daemon_count):
            daemon = Daemon(number, self.store, self.folder, self.record, memory_mb)
            self.daemons.append(daemon)
            daemon.start()
        for daemon in self.daemons:
            await daemon.wait_ready()

    def close(self) -> None:
        """End all processes that were started, and remove the folder."""
        for daemon in self.daemons:
            daemon.stop()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def entry(
    service: str, listener: Listener, version: str = "v1", slots: int = 4, born: int = 1
) -> dict[str, Any]:
    """Return the entry of a server in the store."""
    return {
        "service": service,
        "address": listener.address,
        "zone": "domain-a",
        "version": version,
        "slots": slots,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
        "born": 1_700_000_000_000 + born,
    }


def main(case: str, run: Callable[[Lab], Awaitable[int]], limit_s: float = 100) -> None:
    """Run a case and exit with its result."""

    async def run_case() -> int:
        lab = Lab(case)
        try:
            return await asyncio.wait_for(run(lab), limit_s)
        except Exception as exc:
            lab.record(f"the case could not run: {exc!r}")
            return NOT_RUN
        finally:
            lab.close()

    sys.exit(asyncio.run(run_case()))
