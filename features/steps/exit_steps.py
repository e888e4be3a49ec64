"""Steps on daemons that are told to stop while something holds them."""

import asyncio
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from typing import Any

from behave import then, when
from grpclib.client import Channel
from grpclib.config import Configuration
from platform_steps import PROMPT_HEADERS, has_begun_imports, wait_for

from cowsliphitch.core.clock import MS_PER_SECOND, seconds
from cowsliphitch.peers.wire import fleet_pb2 as pb
from cowsliphitch.peers.wire.fleet_grpc import FleetStub

LARGE_WINDOW = 2**31 - 1


def callers_read_nothing(context: Any) -> None:
    """Send requests on 50 connections until no more fit, and read no answer."""
    port = context.site.daemons[0]["callers"]
    request = b"GET /lookup/1 HTTP/1.1\r\nhost: a.example\r\n\r\n"
    for _ in range(50):
        sock = socket.socket()
        context.add_cleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.connect(("127.0.0.1", port))
        sock.setblocking(False)
        sock.send(request * 2_000)


def engine_is_silent(context: Any) -> None:
    """Have generations wait at engines that send nothing for a minute."""
    engines = [s for s in context.site.servers.values() if s.service == "engine"]
    for server in engines:
        server.prefill_ms = 60_000
    headers = PROMPT_HEADERS | {"cowsliphitch-pieces": "1,1"}
    headers["cowsliphitch-deadline-ms"] = "6000"
    context.caller = threading.Thread(
        target=context.site.call, args=("/generation/1", headers), daemon=True
    )
    context.caller.start()
    wait_for("a generation waits", lambda: any(s.executed for s in engines))


def requests_wait(context: Any) -> None:
    """Have generations wait on 600 connections, with a quarter of the processor."""
    site, daemon = context.site, context.site.daemons[0]
    for server in site.servers.values():
        server.prefill_ms = 60_000
    headers = PROMPT_HEADERS | {
        "cowsliphitch-pieces": "1,1",
        "cowsliphitch-deadline-ms": "6000",
        "cowsliphitch-credential": "key-red",
        "host": "a.example",
        "content-length": "0",
    }
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())

    def throttle() -> None:
        while daemon["process"].poll() is None:
            daemon["process"].send_signal(signal.SIGSTOP)
            time.sleep(0.03)
            daemon["process"].send_signal(signal.SIGCONT)
            time.sleep(0.01)

    threading.Thread(target=throttle, daemon=True).start()
    for number in range(600):
        sock = socket.create_connection(("127.0.0.1", daemon["callers"]))
        context.add_cleanup(sock.close)
        name = f"cowsliphitch-request-id: waiting-{number}\r\n"
        sock.sendall(f"POST /generation/1 HTTP/1.1\r\n{name}{head}\r\n".encode())
    time.sleep(1.0)


def suspend(context: Any, process: Any) -> None:
    process.send_signal(signal.SIGSTOP)
    context.add_cleanup(process.send_signal, signal.SIGCONT)


def peer_reads_nothing(context: Any) -> None:
    """Ask for documents until the daemon can send no more, and read no answer."""
    config = Configuration(
        http2_connection_window_size=LARGE_WINDOW, http2_stream_window_size=LARGE_WINDOW
    )

    async def ask() -> None:
        channel = Channel("127.0.0.1", context.site.daemons[0]["peers"], config=config)
        stub = FleetStub(channel)
        await stub.FetchDocument(pb.DocumentRequest(above_version=0))
        channel._protocol.connection._transport.pause_reading()
        calls = [
            asyncio.create_task(stub.FetchDocument(pb.DocumentRequest()))
            for _ in range(4_000)
        ]
        await asyncio.wait(calls, timeout=2)
        asked.set()
        await asyncio.sleep(8)

    asked = threading.Event()
    threading.Thread(target=asyncio.run, args=(ask(),), daemon=True).start()
    assert asked.wait(10)


def daemon_starts(context: Any) -> None:
    daemon = context.site.daemons[0]
    daemon["process"].kill()
    daemon["process"].wait()
    daemon["process"] = context.site._start(
        ["cowsliphitch.gateway"], COWSLIPHITCH_CONFIG=str(daemon["path"])
    )
    wait_for("it starts", lambda: has_begun_imports(daemon["process"].pid))


HINDRANCES: dict[str, Callable[[Any], None]] = {
    "callers read nothing": callers_read_nothing,
    "an engine is silent": engine_is_silent,
    "600 requests wait on a slow machine": requests_wait,
    "the store is silent": lambda ctx: suspend(ctx, ctx.site.processes[0]),
    "the other daemon is silent": lambda ctx: suspend(
        ctx, ctx.site.daemons[1]["process"]
    ),
    "a peer reads nothing of its answers": peer_reads_nothing,
    "it starts": daemon_starts,
}


@when("a daemon receives SIGTERM while {hindrance}")
def stop_while(context: Any, hindrance: str) -> None:
    HINDRANCES[hindrance](context)
    context.process = context.site.daemons[0]["process"]
    context.process.send_signal(signal.SIGTERM)
    context.stopped_s = time.monotonic()


@then("it has exited with 0 before the end of its grace period")
def has_exited(context: Any) -> None:
    status = context.process.wait(10)
    took_s = time.monotonic() - context.stopped_s
    assert took_s < float(context.site.grace.removesuffix("s")), took_s
    assert status == 0, status


BUSY_PROGRAM = """
import signal, sys
from cowsliphitch.gateway.signals import StopSignals
signals = StopSignals([signal.SIGTERM])
signals.limit_exit(int(sys.argv[1]), lambda: print("ended", flush=True))
print("busy", flush=True)
while True:
    pass
"""


FAILING_PROGRAM = """
import asyncio, signal, time
from types import SimpleNamespace
import anyio
from cowsliphitch.gateway import cli
from cowsliphitch.gateway.signals import StopSignals

class FailingGateway:
    def __init__(self, *_):
        pass

    async def run(self, *_):
        asyncio.get_running_loop().run_in_executor(None, time.sleep, 30)
        raise RuntimeError("injected error")

cli.Gateway = FailingGateway
cfg = SimpleNamespace(name="failing", shutdown=SimpleNamespace(grace=2_000))
anyio.run(cli._serve, cfg, StopSignals([signal.SIGTERM]))
"""


@when("a daemon fails while a thread of it waits for 30 s")
def fail_with_thread(context: Any) -> None:
    context.process = subprocess.Popen(
        [sys.executable, "-c", FAILING_PROGRAM],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    context.add_cleanup(context.process.kill)


@then("it logs why, and exits with {status:d} within {limit_s:d} s")
def has_failed(context: Any, status: int, limit_s: int) -> None:
    output, _ = context.process.communicate(timeout=limit_s)
    assert b"daemon.failed" in output and b"injected error" in output, output
    assert context.process.returncode == status, context.process.returncode


@when("a process that may take {ms:d} ms to stop receives SIGTERM in an endless loop")
def stop_busy(context: Any, ms: int) -> None:
    context.process = subprocess.Popen(
        [sys.executable, "-c", BUSY_PROGRAM, str(ms - 100)], stdout=subprocess.PIPE
    )
    context.add_cleanup(context.process.kill)
    context.grace_ms = ms
    assert context.process.stdout.readline() == b"busy\n"
    context.process.send_signal(signal.SIGTERM)
    context.stopped_s = time.monotonic()


@then(
    "it has logged that it was ended before the end of its grace period, and exits"
    " with {status:d}"
)
def was_ended(context: Any, status: int) -> None:
    output, _ = context.process.communicate(timeout=10)
    took_s = time.monotonic() - context.stopped_s
    assert took_s < seconds(context.grace_ms), took_s * MS_PER_SECOND
    assert (output, context.process.returncode) == (b"ended\n", status), output
