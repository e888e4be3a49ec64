"""Handles of the processes of a fleet, port allocation and polling."""

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

WAIT_TIMEOUT_MS = 20_000
STOP_TIMEOUT_MS = 15_000
POLL_INTERVAL_MS = 30

# Below 32768, where Linux starts its ephemeral ports.
FIRST_PORT = 12_000
LAST_PORT = 32_000
_PORT_RANGE = range(FIRST_PORT, LAST_PORT)
# Start at an offset that depends on the process id, so that fleets of processes that
# run at the same time use different ports.
_CANDIDATE_PORTS = itertools.islice(
    itertools.cycle(_PORT_RANGE), os.getpid() * 97 % len(_PORT_RANGE), None
)


@attrs.define
class Process:
    """Process of the fleet.

    :param url: base URL of its HTTP interface
    """

    name: str
    url: str
    popen: "subprocess.Popen[bytes]"

    def signal(self, signum: int) -> None:
        """Send a signal to the process."""
        self.popen.send_signal(signum)

    def kill(self) -> None:
        """Send SIGKILL and wait until the process has ended."""
        self.popen.kill()
        self.popen.wait()

    def stop(self) -> int:
        """Send SIGTERM, wait for the process and return its exit code.

        A process that does not end in ``STOP_TIMEOUT_MS`` is killed.
        """
        self.popen.terminate()
        try:
            return self.popen.wait(seconds(STOP_TIMEOUT_MS))
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL

    @property
    def is_alive(self) -> bool:
        """Return whether the process is running."""
        return self.popen.poll() is None


@attrs.frozen
class UpstreamSpec:
    """Start parameters of an upstream stand-in, and its entry in the VM list.

    :param kind: kind of stand-in: ``engine``, ``stage`` or ``service``
    :param options: command line options of the stand-in
    """

    name: str
    kind: str
    pool: str
    failure_domain: str
    options: tuple[str, ...] = ()


@attrs.define
class DaemonProcess(Process):
    """Daemon process and the addresses of its interfaces.

    :param url: base URL of the interface for callers
    :param operators_url: base URL of the interface for operators
    :param peers_address: ``host:port`` at which peers reach it
    :param settings: path of its settings file
    """

    operators_url: str
    peers_address: str
    failure_domain: str
    settings: Path


def free_port() -> int:
    """Return a free port below the range of ephemeral ports.

    The kernel could assign an ephemeral port as the source port of an outgoing
    connection before the process that is to listen on it has started.
    """
    for port in _CANDIDATE_PORTS:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with contextlib.suppress(OSError):
                sock.bind((LOOPBACK, port))
                return port
    raise AssertionError("unreachable: the sequence of ports is endless")


def wait_for(
    description: str, condition: Any, timeout_ms: int = WAIT_TIMEOUT_MS
) -> None:
    """Poll until a condition holds.

    :param description: description of the condition, for the error message
    :param condition: callable that returns whether the condition holds
    :raises TimeoutError: if the condition does not hold within ``timeout_ms``
    """
    for _ in _poll_until(Clock(), timeout_ms):
        if condition():
            return
    raise TimeoutError(f"condition not met within {timeout_ms} ms: {description}")


def _poll_until(clock: Clock, timeout_ms: int) -> Iterator[None]:
    deadline_ms = clock.now_ms() + timeout_ms
    while clock.now_ms() < deadline_ms:
        yield
        time.sleep(seconds(POLL_INTERVAL_MS))
