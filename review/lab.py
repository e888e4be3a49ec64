"""Stand-ins and processes for the cases of the review.

Only the standard library is used.  A case starts the project's daemons as separate
processes, with the command of the deploy file; the platform's store, the servers and
the clients run in the event loop of the case.  All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HOST_NAME = "a.example"
API_KEY = "key-red"
TEAM = "red"

HELD, BROKEN, NOT_RUN = 0, 1, 2

# Longest duration of a case, with its start and its end.
MAX_CASE_S = 115.0
READY_TIMEOUT_S = 20.0


class CaseError(Exception):
    """The case could not run, so it says nothing about the rule."""


class BadMessage(Exception):
    """Bytes arrived that are no HTTP message, or a channel ended inside one."""


def free_port() -> int:
    """Return a loopback port that nothing listens on."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        """Start an empty record."""
        self._file = path.open("w")
        self._start = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._start:8.3f}  {text}\n")
        self._file.flush()


@dataclass
class Message:
    """A request or an answer; header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def path(self) -> str:
        """Return the path of a request, without its query."""
        return self.start.split(" ")[1].partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Return the parameters of a request."""
        query = self.start.split(" ")[1].partition("?")[2]
        pairs = (pair.partition("=") for pair in query.split("&") if pair)
        return {name: _unquote(value) for name, _, value in pairs}

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start.split(" ")[1])


def _unquote(text: str) -> str:
    from urllib.parse import unquote_plus

    return unquote_plus(text)


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message, ``None`` if the channel ended before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise BadMessage("the channel ended inside a head") from exc
        return None
    except ConnectionError:
        return None
    start, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return Message(start, {k.strip().lower(): v.strip() for k, _, v in pairs})


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body to its end.

    :raises BadMessage: the channel ended before the body did
    """
    body = b""
    try:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as exc:
        raise BadMessage("the channel ended inside a chunked body") from exc
    return body


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a whole message, ``None`` if the channel ended before it."""
    message = await read_head(reader)
    if message is None:
        return None
    if "chunked" in message.headers.get("transfer-encoding", ""):
        message.body = await read_chunks(reader)
    elif length := int(message.headers.get("content-length", "0")):
        try:
            message.body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError) as exc:
            raise BadMessage("the channel ended inside a body") from exc
    return message


def encode_answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Listener:
    """A loopback listener whose channels can be closed at once."""

    def __init__(self, handler: Handler, port: int | None = None) -> None:
        """Initialize without a socket; :meth:`open` opens it."""
        self.port = port or free_port()
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._channels: dict[asyncio.StreamWriter, asyncio.Task[None]] = {}

    @property
    def address(self) -> str:
        """Return the address as ``host:port``."""
        return f"{HOST}:{self.port}"

    async def open(self, sock: socket.socket | None = None) -> None:
        """Listen.

        :param sock: bound socket to use, which is read in small pieces
        """
        if sock is not None:
            self._server = await asyncio.start_server(self._serve, sock=sock)
            return
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=2**24
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._channels[writer] = task
        try:
            await self._handler(reader, writer)
        except (
            ConnectionError,
            BadMessage,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._channels.pop(writer, None)
            writer.close()

    async def close(self) -> None:
        """Stop listening, and close all channels as a process does that ends."""
        if self._server is not None:
            self._server.close()
        for writer, task in list(self._channels.items()):
            writer.transport.abort()
            task.cancel()
        await asyncio.sleep(0)


@dataclass
class _Item:
    value: str
    revision: int
    created: int
    lease: int


class Store:
    """The platform's key-value store, as far as daemons and servers use it."""

    def __init__(self) -> None:
        """Initialize an empty store."""
        self.listener = Listener(self._serve)
        self.calls = 0
        self._items: dict[str, _Item] = {}
        self._revision = 10
        self._events: list[dict[str, Any]] = []
        self._changed = asyncio.Condition()
        self._leases: dict[int, tuple[float, int]] = {}
        self._next_lease = 1

    async def put(self, key: str, value: str, lease: int = 0) -> None:
        """Write a key, as the operator or a server does."""
        self._revision += 1
        encoded = base64.b64encode(value.encode()).decode()
        self._write(key, encoded, lease)
        await self._notify()

    async def delete(self, key: str) -> None:
        """Delete a key, as a server does that has left."""
        if key in self._items:
            self._revision += 1
            self._remove(key)
            await self._notify()

    def _write(self, key: str, encoded: str, lease: int) -> None:
        known = self._items.get(key)
        created = known.created if known else self._revision
        self._items[key] = _Item(encoded, self._revision, created, lease)
        self._events.append(self._row(key))

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            row = {"key": key, "mod_rev": self._revision, "deleted": True}
            self._events.append(row)

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def _row(self, key: str) -> dict[str, Any]:
        item = self._items[key]
        return {
            "key": key,
            "value": item.value,
            "mod_rev": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (message := await read_message(reader)) is not None:
            self.calls += 1
            await self._expire_leases()
            status, body = await self._call(message)
            headers = {"Content-Type": "application/json", "Store-Era": "1"}
            writer.write(encode_answer(status, headers, json.dumps(body).encode()))
            await writer.drain()

    async def _call(self, message: Message) -> tuple[int, dict[str, Any]]:
        query = message.query
        body = json.loads(message.body) if message.body else {}
        match message.path.split("/")[1:]:
            case ["kv-key"]:
                key = query["key"]
                return (200, self._row(key)) if key in self._items else (404, {})
            case ["kv-range"]:
                prefix, after = query.get("prefix", ""), query.get("after", "")
                keys = sorted(
                    k for k in self._items if k.startswith(prefix) and k > after
                )
                items = [self._row(key) for key in keys]
                return 200, {"items": items, "has_more": False, "at": self._revision}
            case ["kv-watch"]:
                return await self._watch(query)
            case ["kv-txn"]:
                return await self._transact(body)
            case ["kv-lease"]:
                lease, self._next_lease = self._next_lease, self._next_lease + 1
                ttl_ms = int(body["ttl_ms"])
                self._leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
                return 200, {"lease": lease, "ttl_ms": ttl_ms}
            case ["kv-keep", number]:
                known = self._leases.get(int(number))
                if known is None:
                    return 404, {}
                end = time.monotonic() + known[1] / 1000
                self._leases[int(number)] = (end, known[1])
                return 200, {"lease": int(number), "ttl_ms": known[1]}
            case ["kv-lease-end", number]:
                await self._end_lease(int(number))
                return 200, {}
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000

        def events() -> list[dict[str, Any]]:
            return [
                e
                for e in self._events
                if e["mod_rev"] > after and e["key"].startswith(prefix)
            ]

        async with self._changed:
            while not events() and (left := end - time.monotonic()) > 0:
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    break
        return 200, {"events": events(), "at": self._revision}

    async def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in body.get("expect_rev", []):
            item = self._items.get(row["key"])
            if row["mod_rev"] != (item.revision if item else 0):
                known = [
                    r["key"] for r in body["expect_rev"] if r["key"] in self._items
                ]
                return 412, {"items": [self._row(key) for key in known]}
        writes = body.get("writes", [])
        if any(w.get("lease") and w["lease"] not in self._leases for w in writes):
            return 404, {}
        self._revision += 1
        for write in writes:
            self._write(write["key"], write["value"], write.get("lease", 0))
        for key in body.get("remove", []):
            self._remove(key)
        await self._notify()
        return 200, {"mod_rev": self._revision}

    async def _expire_leases(self) -> None:
        now = time.monotonic()
        for lease in [k for k, (end, _) in self._leases.items() if end <= now]:
            await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [k for k, item in self._items.items() if lease and item.lease == lease]
        if keys:
            self._revision += 1
            for key in keys:
                self._remove(key)
            await self._notify()


SETTINGS = """name: "{name}"
failure_domain: "domain-a"
listen:
  callers: "{host}:{callers}"
  ready: "{host}:{ready}"
  peers: "{host}:{peers}"
  metrics: "{host}:{metrics}"
store:
  address: "{store}"
vm:
  max_descriptors: 4100
  cores: 2
  cpu_share: 0.537
  memory_mb: 300
retries:
  ratio: 0.2
  fixed: 58
  window: "10s"
shutdown:
  grace: "8s"
"""


class Daemon:
    """A daemon of the project as a separate process."""

    def __init__(self, name: str, store: str, directory: Path) -> None:
        """Write the settings file; :meth:`start` starts the process.

        :param store: address of the store
        """
        self.name = name
        self.ports = {n: free_port() for n in ("callers", "ready", "peers", "metrics")}
        self._directory = directory
        self._settings = directory / f"{name}.yaml"
        self._settings.write_text(
            SETTINGS.format(name=name, host=HOST, store=store, **self.ports)
        )
        self.process: asyncio.subprocess.Process | None = None

    @property
    def log_path(self) -> Path:
        """Return the path of the daemon's log."""
        return self._directory / f"{self.name}.log"

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["COWSLIPHITCH_CONFIG"] = str(self._settings)
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "cowsliphitch.gateway",
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self) -> None:
        """Wait until the daemon says that it is ready.

        :raises CaseError: it did not in time
        """
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CaseError(f"{self.name} is not ready: {self.tail()}")

    async def is_ready(self) -> bool:
        """Return whether the daemon answers its status check with 200."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ports["ready"])
        except OSError:
            return False
        try:
            writer.write(f"GET /readyz HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
            message = await asyncio.wait_for(read_message(reader), 1.0)
        except (OSError, TimeoutError, BadMessage):
            return False
        finally:
            writer.close()
        return message is not None and message.status == 200

    def tail(self) -> str:
        """Return the end of the daemon's log."""
        return self.log_path.read_text()[-2000:]

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


def server_entry(
    service: str, address: str, slots: int, born: int, **other: Any
) -> str:
    """Return a server's entry in the store."""
    entry = {
        "service": service,
        "address": address,
        "zone": "domain-a",
        "version": "1",
        "slots": slots,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
        "born": born,
    }
    return json.dumps(entry | other)


@dataclass
class Lab:
    """The store, the daemons and the listeners of one case."""

    record: Record
    directory: Path
    trouble: bool
    store: Store = field(default_factory=Store)
    daemons: list[Daemon] = field(default_factory=list)
    listeners: list[Listener] = field(default_factory=list)

    async def start_store(self, document: dict[str, Any]) -> None:
        """Start the store with the operator's document."""
        self.listeners.append(self.store.listener)
        await self.store.listener.open()
        await self.store.put("op/config", json.dumps(document))

    async def listen(self, listener: Listener) -> None:
        """Open a listener, which the end of the case closes."""
        self.listeners.append(listener)
        await listener.open()

    async def start_daemons(self, count: int, store: str | None = None) -> None:
        """Start daemons and wait until they are ready.

        :param store: address of the store for the daemons, its own by default
        """
        address = store or self.store.listener.address
        for number in range(count):
            name = f"vm-{number}"
            self.daemons.append(Daemon(name, address, self.directory))
        for daemon in self.daemons:
            await daemon.start()
        for daemon in self.daemons:
            await daemon.wait_until_ready()
        # The daemons have heard each other, and know all entries.
        await asyncio.sleep(1.5)

    async def close(self) -> None:
        """End all processes and close all listeners."""
        for daemon in self.daemons:
            await daemon.kill()
        for listener in self.listeners:
            await listener.close()


Case = Callable[[Lab], Awaitable[bool]]


def main(case: Case, directory: Path) -> None:
    """Run a case and exit with its result.

    :param case: returns whether the rule held
    :param directory: folder of the case, for ``record.txt``
    """
    record = Record(directory / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"TROUBLE={int(trouble)}")

    async def run() -> int:
        with tempfile.TemporaryDirectory() as name:
            lab = Lab(record, Path(name), trouble)
            try:
                async with asyncio.timeout(MAX_CASE_S):
                    held = await case(lab)
            except (CaseError, TimeoutError, OSError) as exc:
                record.write(f"the case could not run: {exc!r}")
                return NOT_RUN
            except Exception:
                record.write(f"the case could not run: {traceback.format_exc()}")
                return NOT_RUN
            finally:
                await lab.close()
                if keep := os.environ.get("KEEP_LOGS"):
                    for daemon in lab.daemons:
                        Path(keep, f"{daemon.name}.log").write_bytes(
                            daemon.log_path.read_bytes()
                        )
        record.write("the rule held" if held else "the rule was broken")
        return HELD if held else BROKEN

    async def run_and_exit() -> None:
        code = await run()
        # Channels that are silent on purpose would keep the event loop from ending.
        os._exit(code)

    asyncio.run(run_and_exit())
