"""Processes of a fleet, the ports they use, and waiting for them."""

import contextlib
import itertools
import os
import signal
import socket
import subprocess
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs

from cowsliphitch.core.clock import Clock, seconds

from .const import LOOPBACK

START_TIMEOUT_MS = 20_000
STOP_TIMEOUT_MS = 15_000
POLL_MS = 30

FIRST_PORT = 12_000
LAST_PORT = 32_000
_PORT_SPAN = range(FIRST_PORT, LAST_PORT)
_PORTS = itertools.islice(
    itertools.cycle(_PORT_SPAN), os.getpid() * 97 % len(_PORT_SPAN), None
)


@attrs.define
class Process:
    """A process of the fleet.

    :param url: base URL of its HTTP interface
    """

    name: str
    url: str
    popen: "subprocess.Popen[bytes]"

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.popen.kill()
        self.popen.wait()

    def stop(self) -> int:
        """Let the process finish and return its exit code."""
        self.popen.terminate()
        try:
            return self.popen.wait(seconds(STOP_TIMEOUT_MS))
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL

    @property
    def is_alive(self) -> bool:
        """Tell whether the process runs."""
        return self.popen.poll() is None


@attrs.frozen
class UpstreamSpec:
    """How an upstream stand-in is started.

    :param options: command line options of the stand-in
    """

    name: str
    kind: str
    pool: str
    failure_domain: str
    options: tuple[str, ...] = ()


@attrs.define
class DaemonProcess(Process):
    """A daemon and its interfaces."""

    operators_url: str
    peers_address: str
    failure_domain: str
    settings: Path


def free_port() -> int:
    """Return a port that is free, and that no outgoing connection will take.

    Ports that the system hands out by itself could be taken as the source of another
    connection before the process that is meant to listen there has started.
    """
    for port in _PORTS:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with contextlib.suppress(OSError):
                sock.bind((LOOPBACK, port))
                return port
    raise AssertionError("the ports never end")


def wait_for(what: str, condition: Any, timeout_ms: int = START_TIMEOUT_MS) -> None:
    """Wait until a condition holds.

    :raises TimeoutError: if it does not hold within ``timeout_ms``
    """
    for _ in _until(Clock(), timeout_ms):
        if condition():
            return
    raise TimeoutError(f"not within {timeout_ms} ms: {what}")


def _until(clock: Clock, timeout_ms: int) -> Iterator[None]:
    end_ms = clock.now_ms() + timeout_ms
    while clock.now_ms() < end_ms:
        yield
        time.sleep(seconds(POLL_MS))
