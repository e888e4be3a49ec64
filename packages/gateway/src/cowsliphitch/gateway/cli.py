"""Start of a daemon on the platform: settings check, garbage collector, signals."""

import gc
import signal
import sys
import time

import anyio
from result import Err, Ok

from cowsliphitch.core.clock import Clock
from cowsliphitch.telemetry.logs import set_up_logs

from .app import Gateway
from .settings import GatewaySettings, load_gateway_settings

EXIT_BAD_SETTINGS = 2

# Objects created at startup are never freed, so they are excluded from garbage
# collection.  The threshold is high since requests leave few reference cycles.
GC_THRESHOLD = 50_000


def boot_clock() -> Clock:
    """Return a clock that keeps running while the machine is suspended."""
    return Clock(monotonic_ns=lambda: time.clock_gettime_ns(time.CLOCK_BOOTTIME))


def run(path: str, check: bool) -> None:
    """Load the settings file and serve until SIGTERM.

    Exits with ``EXIT_BAD_SETTINGS`` if the settings are not valid.

    :param path: path of the settings file
    :param check: only validate the file
    """
    match load_gateway_settings(path):
        case Err(problems):
            for problem in problems:
                print(f"{path}: {problem}", file=sys.stderr)
            sys.exit(EXIT_BAD_SETTINGS)
        case Ok(cfg):
            pass
    if check:
        print(f"{path}: valid")
        return
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    anyio.run(_serve, cfg)


async def _serve(cfg: GatewaySettings) -> None:
    clock = boot_clock()
    logs = set_up_logs(cfg.name, clock)
    gateway = Gateway(cfg, clock, logs)
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(_wait_for_signal, stop)
        await gateway.run(stop)
        group.cancel_scope.cancel()


async def _wait_for_signal(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
        async for number in signals:
            if number == signal.SIGTERM:
                stop.set()
