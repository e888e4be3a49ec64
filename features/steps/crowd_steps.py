"""Steps on crowds of callers that hold connections, against either daemon.

One thread plays the crowd; meanwhile an ordinary caller opens a connection each second.
"""

import contextlib
import itertools
import os
import random
import socket
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import attrs
from behave import given, then, when
from platform_steps import Site

from cowsliphitch.standins.fleet import Fleet
from cowsliphitch.standins.processes import wait_for
from cowsliphitch.standins.scenario import start_deployment

MB: Final = 1_000_000
RECEIVE_WINDOW_BYTES: Final = 2_048
SENT_AT_ONCE_BYTES: Final = 65_536
READ_AT_ONCE_BYTES: Final = 64
# More than an answer to an ordinary request.
ANSWER_BYTES: Final = 4_096
ROUND_S: Final = 0.05

# A connection that the daemon closed is opened again after so many rounds.
ROUNDS_UNTIL_REOPENED: Final = 20

ORDINARY_INTERVAL_S: Final = 1.0

CROWD_HEAD_START_S: Final = 3.0

# Longer than the grace period of the daemon.
EXIT_TIMEOUT_S: Final = 10.0
ORDINARY_TIMEOUT_S: Final = 5.0

USUAL_HEADERS: Final = (
    "cowsliphitch-request-id: r\r\ncowsliphitch-credential: key-red\r\n"
    "cowsliphitch-deadline-ms: 1400\r\n"
)


def get(path: str, headers: str = "") -> bytes:
    return f"GET {path} HTTP/1.1\r\nhost: a.example\r\n{headers}\r\n".encode()


@attrs.frozen
class Behaviour:
    """What each connection of a crowd does.

    :param first: sent once, after it was opened
    :param endless: sent again and again, as long as the connection takes bytes
    :param reads: some bytes are read now and then
    :param repeats: what is sent first is sent again after each answer
    """

    first: bytes = b""
    endless: bytes = b""
    reads: bool = False
    repeats: bool = False


@attrs.define
class Target:
    """A daemon under test.

    :param pid: returns the identifier of its process, which a restart replaces
    :param requests: an ordinary request by address, which is answered 200
    :param peers: port of the peers' address, 0 if it has none without TLS
    :ivar descriptors: most descriptors that it had open
    :ivar peak_bytes: most resident memory of a process
    :ivar statuses: answers to the ordinary requests beside the crowd, 0 for none
    """

    pid: Callable[[], int]
    is_alive: Callable[[], bool]
    ports: dict[str, int]
    requests: dict[str, bytes]
    memory_mb: int
    max_descriptors: int
    peers: int = 0
    descriptors: int = 0
    peak_bytes: int = 0
    statuses: list[int] = attrs.Factory(list)

    def ask(self, name: str) -> int:
        """Send an ordinary request on a new connection; return its status or 0."""
        return self._send(self.ports[name], self.requests[name])

    def readiness(self) -> int:
        """Return the status of the readiness check, or 0."""
        port = self.ports.get("ready", self.ports["callers"])
        return self._send(port, get("/readyz"))

    def _send(self, port: int, request: bytes) -> int:
        answer = b""
        try:
            with socket.create_connection(
                ("127.0.0.1", port), timeout=ORDINARY_TIMEOUT_S
            ) as sock:
                sock.sendall(request)
                while b"\r\n" not in answer and (data := sock.recv(4_096)):
                    answer += data
        except OSError:
            return 0
        return int(answer.split()[1]) if answer else 0

    def observe(self) -> None:
        """Record the descriptors and the memory of the process."""
        folder = Path(f"/proc/{self.pid()}")
        with contextlib.suppress(OSError):
            open_now = len(os.listdir(folder / "fd"))
            self.descriptors = max(self.descriptors, open_now)
            peak = (folder / "status").read_text().partition("VmHWM:")[2].split()
            if peak:
                self.peak_bytes = max(self.peak_bytes, int(peak[0]) * 1_024)


class Crowd:
    """Connections that all behave in the same way until they are closed."""

    def __init__(self, port: int, count: int, behaviour: Behaviour) -> None:
        self._port = port
        self._behaviour = behaviour
        endless = behaviour.endless
        self._endless = endless and endless * (SENT_AT_ONCE_BYTES // len(endless) + 1)
        self._sent = [0] * count
        self._sockets: list[socket.socket | None] = [None] * count

    def run(self, has_ended: threading.Event) -> None:
        """Open the connections and use them until the event is set."""
        for number in itertools.count():
            for index, sock in enumerate(self._sockets):
                if has_ended.is_set():
                    return
                if sock is not None:
                    self._use(index, sock)
                elif (number + index) % ROUNDS_UNTIL_REOPENED == 0 or not number:
                    self._open(index)
            has_ended.wait(ROUND_S)

    def _open(self, index: int) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_WINDOW_BYTES)
        sock.settimeout(1)
        try:
            sock.connect(("127.0.0.1", self._port))
            sock.sendall(self._behaviour.first)
        except OSError:
            sock.close()
            return
        sock.setblocking(False)
        self._sent[index] = 0
        self._sockets[index] = sock

    def _use(self, index: int, sock: socket.socket) -> None:
        """Send as much as the connection takes, and notice when it is closed."""
        try:
            with contextlib.suppress(BlockingIOError):
                while self._endless:
                    offset = self._sent[index] % len(self._endless)
                    self._sent[index] += sock.send(memoryview(self._endless)[offset:])
            flags = 0 if self._behaviour.reads else socket.MSG_PEEK
            size = ANSWER_BYTES if self._behaviour.repeats else READ_AT_ONCE_BYTES
            with contextlib.suppress(BlockingIOError):
                if not sock.recv(size, flags):
                    raise ConnectionResetError
                if self._behaviour.repeats:
                    sock.send(self._behaviour.first)
        except OSError:
            sock.close()
            self._sockets[index] = None

    def close(self) -> None:
        for sock in self._sockets:
            if sock is not None:
                sock.close()


UNREAD: Final = {
    "requests without the usual headers": get("/lookup/1"),
    "requests for the readiness path": get("/readyz"),
    "requests that match no route": get("/nowhere/" + "x" * 500, USUAL_HEADERS),
}
BEHAVIOURS: Final = {
    "send nothing": Behaviour(),
    "send one byte": Behaviour(first=b"G"),
    "announce a body and do not send it": Behaviour(
        first=b"POST /lookup/1 HTTP/1.1\r\nhost: a.example\r\n"
        + USUAL_HEADERS.encode()
        + b"content-length: 1000\r\n\r\n"
    ),
    "send refused requests and read little": Behaviour(
        endless=get("/lookup/1"), reads=True
    ),
    "send a body in chunks of one byte": Behaviour(
        first=b"POST /lookup/1 HTTP/1.1\r\nhost: a.example\r\n"
        + USUAL_HEADERS.encode()
        + b"transfer-encoding: chunked\r\n\r\n",
        endless=b"1\r\nx\r\n",
    ),
    "send an answered request and nothing more": Behaviour(
        first=get("/lookup/1", USUAL_HEADERS), reads=True
    ),
    **{
        f"send {name} and read nothing": Behaviour(endless=request)
        for name, request in UNREAD.items()
    },
}

HTTP_2_PREFACE: Final = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
EMPTY_SETTINGS: Final = b"\0\0\0\4\0\0\0\0\0"
PING: Final = b"\0\0\x08\6\0\0\0\0\0" + b"12345678"
HTTP_2_BEHAVIOURS: Final = {
    "send HTTP/2 prefaces and read nothing": Behaviour(endless=HTTP_2_PREFACE),
    "send HTTP/2 pings and read nothing": Behaviour(
        first=HTTP_2_PREFACE + EMPTY_SETTINGS, endless=PING
    ),
}


def valid_behaviours(request: bytes) -> dict[str, Behaviour]:
    """Return the behaviours of callers whose requests are answered 200.

    :param request: such a request
    """
    return {
        "send valid requests and read nothing": Behaviour(endless=request),
        "send valid requests and read little": Behaviour(endless=request, reads=True),
        "send a valid request after each answer": Behaviour(
            first=request, reads=True, repeats=True
        ),
    }


@given("a daemon that has {mb:d} MB of memory and {count:d} descriptors")
def start_small_daemon(context: Any, mb: int, count: int) -> None:
    site = context.site = Site(False, ("v1",), daemon_count=1)
    context.add_cleanup(site.close)
    site.memory_mb, site.max_descriptors = mb, count
    site.start()
    daemon = site.daemons[0]
    ports = {name: daemon[name] for name in ("callers", "ready", "metrics")}
    requests = {
        "callers": get("/lookup/1", USUAL_HEADERS),
        "ready": get("/readyz"),
        "metrics": get("/metrics"),
    }
    context.target = Target(
        lambda: daemon["process"].pid,
        lambda: daemon["process"].poll() is None,
        ports,
        requests,
        mb,
        count,
        peers=daemon["peers"],
    )


@given(
    "a daemon of the own interface that has {mb:d} MB of memory and {count:d}"
    " descriptors"
)
def start_small_own_daemon(context: Any, mb: int, count: int) -> None:
    fleet = Fleet()
    context.add_cleanup(fleet.__exit__)
    start_deployment(
        fleet, 1, daemon_settings={"vm": {"memory_mb": mb, "max_descriptors": count}}
    )
    daemon = fleet.daemons["entry-1"]
    urls = {"callers": daemon.url, "operators": daemon.operators_url}
    ports = {name: int(url.rpartition(":")[2]) for name, url in urls.items()}
    context.daemon = daemon
    token = fleet.team_token("technicians")
    call = (
        "POST /v1/services/history HTTP/1.1\r\nhost: a.example\r\n"
        f"authorization: Bearer {token}\r\ncontent-length: 5\r\n\r\ninput"
    )
    requests = {"callers": call.encode(), "operators": get("/metrics")}
    context.target = Target(
        lambda: daemon.popen.pid, lambda: daemon.is_alive, ports, requests, mb, count
    )


@when("{count:d} callers {behaviour} at its {name} address for {s:d} s")
def play_crowd(context: Any, count: int, behaviour: str, name: str, s: int) -> None:
    target: Target = context.target
    port = target.peers if name == "peers" else target.ports[name]
    name = "callers" if name == "peers" else name
    valid = valid_behaviours(target.requests[name])
    crowd = Crowd(port, count, (BEHAVIOURS | HTTP_2_BEHAVIOURS | valid)[behaviour])
    has_ended = threading.Event()

    def watch() -> None:
        while not has_ended.wait(ROUND_S):
            target.observe()

    threads = [
        threading.Thread(target=watch, daemon=True),
        threading.Thread(target=crowd.run, args=(has_ended,), daemon=True),
    ]
    for thread in threads:
        thread.start()
    try:
        until_s = time.monotonic() + s
        while time.monotonic() < until_s:
            time.sleep(ORDINARY_INTERVAL_S)
            target.statuses.append(target.ask(name))
    finally:
        has_ended.set()
        for thread in threads:
            thread.join()
        crowd.close()
    print(f"answers beside the crowd: {target.statuses}")


@when("crowds of seed {seed:d} overlap for {s:d} s while the daemon restarts")
def soak(context: Any, seed: int, s: int) -> None:
    play_overlapping_crowds(context, seed, s, more={})


@when("crowds of seed {seed:d}, also with valid keys, overlap for {s:d} s")
def soak_with_valid_keys(context: Any, seed: int, s: int) -> None:
    valid = valid_behaviours(context.target.requests["callers"])
    play_overlapping_crowds(context, seed, s, valid)


def play_overlapping_crowds(
    context: Any, seed: int, s: int, more: dict[str, Behaviour]
) -> None:
    """Play random crowds, restart the daemon by SIGTERM, and ask it every second.

    :param more: behaviours beside the usual ones, at the callers' address
    """
    target: Target = context.target
    seed += int(context.config.userdata.get("seed_offset", "0"))
    rng = random.Random(seed)
    has_ended = threading.Event()
    crowds: list[Crowd] = []

    def play(crowd: Crowd, from_s: float, for_s: float) -> None:
        crowd_ended = threading.Event()
        if has_ended.wait(from_s):
            return
        timer = threading.Timer(for_s, crowd_ended.set)
        timer.start()
        crowd.run(crowd_ended)
        timer.cancel()
        crowd.close()

    def watch() -> None:
        while not has_ended.wait(ROUND_S):
            target.observe()

    threads = [threading.Thread(target=watch, daemon=True)]
    for _ in range(rng.randint(3, 5)):
        name = rng.choice(sorted(target.ports))
        behaviours = BEHAVIOURS | (more if name == "callers" else {})
        behaviour = rng.choice(sorted(behaviours))
        crowd = Crowd(target.ports[name], rng.randint(50, 200), behaviours[behaviour])
        crowds.append(crowd)
        from_s = rng.uniform(0, s / 2)
        arguments = (crowd, from_s, rng.uniform(s / 4, s - from_s))
        threads.append(threading.Thread(target=play, args=arguments, daemon=True))
    restarts_s = sorted(rng.uniform(1, s) for _ in range(rng.randint(0, 2)))
    started_s = time.monotonic()
    for thread in threads:
        thread.start()
    context.exit_statuses = []
    while (passed_s := time.monotonic() - started_s) < s:
        if restarts_s and passed_s >= restarts_s[0]:
            restarts_s.pop(0)
            context.exit_statuses.append(restart_by_signal(context.site))
        target.statuses.append(target.ask("callers"))
        time.sleep(ORDINARY_INTERVAL_S)
    has_ended.set()
    for thread in threads:
        thread.join()
    print(f"answers: {target.statuses}, exits: {context.exit_statuses}")


@when("{count:d} callers {behaviour} at its {name} address while it is stopped")
def stop_beside_crowd(context: Any, count: int, behaviour: str, name: str) -> None:
    target: Target = context.target
    has_ended = threading.Event()
    crowd = Crowd(target.ports[name], count, BEHAVIOURS[behaviour])
    thread = threading.Thread(target=crowd.run, args=(has_ended,), daemon=True)
    thread.start()
    time.sleep(CROWD_HEAD_START_S)
    target.observe()
    process = context.daemon.popen
    process.terminate()
    try:
        context.exit_statuses = [process.wait(EXIT_TIMEOUT_S)]
    finally:
        has_ended.set()
        thread.join()
        crowd.close()


def restart_by_signal(site: Site) -> int:
    """Stop the daemon by SIGTERM, start it again, and return its exit status."""
    process = site.daemons[0]["process"]
    process.terminate()
    status = int(process.wait(EXIT_TIMEOUT_S))
    site.restart_daemon(0)
    return status


@then("each stopped daemon exited with 0")
def check_exits(context: Any) -> None:
    assert not any(context.exit_statuses), context.exit_statuses


@then("an ordinary request was answered meanwhile")
def check_answered_meanwhile(context: Any) -> None:
    assert 200 in context.target.statuses, context.target.statuses


@then("the daemon is alive and used at most its memory and its descriptors")
def check_limits(context: Any) -> None:
    target: Target = context.target
    assert target.is_alive()
    target.observe()
    print(f"peak of {target.peak_bytes / MB:.0f} MB, {target.descriptors} descriptors")
    assert 0 < target.peak_bytes <= target.memory_mb * MB, target.peak_bytes
    assert 0 < target.descriptors <= target.max_descriptors


@then("an ordinary request is answered afterwards")
def check_answered_afterwards(context: Any) -> None:
    target: Target = context.target
    wait_for("the daemon is ready", lambda: target.readiness() == 200)
    statuses = {name: target.ask(name) for name in target.ports}
    assert set(statuses.values()) == {200}, statuses
