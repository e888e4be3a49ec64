"""Steps on callers that pipeline requests and read no answers."""

import contextlib
import itertools
import os
import socket
import threading
import time
from pathlib import Path
from typing import Any, Final

from behave import given, then, when
from platform_steps import Site

from cowsliphitch.standins.processes import wait_for

MB: Final = 1_000_000
RECEIVE_WINDOW_BYTES: Final = 2_048
SENT_AT_ONCE_BYTES: Final = 65_536
ROUND_S: Final = 0.05

# A connection that the daemon closed is opened again after so many rounds.
ROUNDS_UNTIL_REOPENED: Final = 20

USUAL_HEADERS: Final = (
    "cowsliphitch-request-id: r\r\ncowsliphitch-credential: key-red\r\n"
    "cowsliphitch-deadline-ms: 1400\r\n"
)
REQUESTS: Final = {
    "requests without the usual headers": ("/lookup/1", ""),
    "requests for the readiness path": ("/readyz", ""),
    "requests that match no route": ("/nowhere/" + "x" * 500, USUAL_HEADERS),
}


class Crowd:
    """Connections that send requests without end and never read."""

    def __init__(self, port: int, count: int, request: bytes) -> None:
        self._port = port
        self._data = request * (SENT_AT_ONCE_BYTES // len(request) + 1)
        self._sent = [0] * count
        self._sockets: list[socket.socket | None] = [None] * count

    def run(self, s: float) -> None:
        until_s = time.monotonic() + s
        for number in itertools.count():
            if time.monotonic() >= until_s:
                return
            for index, sock in enumerate(self._sockets):
                if sock is not None:
                    self._send(index, sock)
                elif (number + index) % ROUNDS_UNTIL_REOPENED == 0 or not number:
                    self._open(index)
            time.sleep(ROUND_S)

    def _open(self, index: int) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_WINDOW_BYTES)
        sock.settimeout(1)
        try:
            sock.connect(("127.0.0.1", self._port))
        except OSError:
            sock.close()
            return
        sock.setblocking(False)
        self._sent[index] = 0
        self._sockets[index] = sock

    def _send(self, index: int, sock: socket.socket) -> None:
        """Send until the connection takes no more."""
        try:
            while True:
                offset = self._sent[index] % len(self._data)
                self._sent[index] += sock.send(memoryview(self._data)[offset:])
        except BlockingIOError:
            return
        except OSError:
            sock.close()
            self._sockets[index] = None

    def close(self) -> None:
        for sock in self._sockets:
            if sock is not None:
                sock.close()


@given("a daemon that has {mb:d} MB of memory and {count:d} descriptors")
def start_small_daemon(context: Any, mb: int, count: int) -> None:
    site = context.site = Site(False, ("v1",), daemon_count=1)
    context.add_cleanup(site.close)
    site.memory_mb, site.max_descriptors = mb, count
    site.start()


@when(
    "{count:d} callers send {requests} to its {name} address for {s:d} s and read"
    " nothing"
)
def send_unread(context: Any, count: int, requests: str, name: str, s: int) -> None:
    daemon = context.site.daemons[0]
    path, headers = REQUESTS[requests]
    request = f"GET {path} HTTP/1.1\r\nhost: a.example\r\n{headers}\r\n"
    crowd = Crowd(daemon[name], count, request.encode())
    context.descriptors = 0
    has_ended = threading.Event()

    def watch_descriptors() -> None:
        folder = f"/proc/{daemon['process'].pid}/fd"
        while not has_ended.wait(ROUND_S):
            with contextlib.suppress(OSError):
                context.descriptors = max(context.descriptors, len(os.listdir(folder)))

    watcher = threading.Thread(target=watch_descriptors, daemon=True)
    watcher.start()
    try:
        crowd.run(s)
    finally:
        has_ended.set()
        watcher.join()
        crowd.close()


@then("the daemon is alive and used at most its memory and its descriptors")
def check_daemon(context: Any) -> None:
    process = context.site.daemons[0]["process"]
    assert process.poll() is None, process.poll()
    status = Path(f"/proc/{process.pid}/status").read_text()
    peak_bytes = int(status.partition("VmHWM:")[2].split()[0]) * 1_024
    print(f"peak of {peak_bytes / MB:.0f} MB, {context.descriptors} descriptors")
    assert peak_bytes <= context.site.memory_mb * MB, peak_bytes
    assert 0 < context.descriptors <= context.site.max_descriptors


@then("an ordinary request is answered afterwards")
def check_ordinary(context: Any) -> None:
    site = context.site
    wait_for("the daemon is ready", lambda: site.status(site.daemons[0]) == 200)
    assert site.call("/lookup/1").status_code == 200
