"""Start of a daemon on the platform: settings check, garbage collector, signals."""

import asyncio
import functools
import gc
import logging
import os
import sys
import time
import traceback

import anyio
from result import Err, Ok

from cowsliphitch.core.clock import Clock
from cowsliphitch.core.serving.shutdown import ShutdownPlan
from cowsliphitch.telemetry.logs import event, set_up_logs

from .app import Gateway
from .settings import GatewaySettings, load_gateway_settings
from .signals import StopSignals

_LOGGER = logging.getLogger(__name__)

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2

# Objects created at startup are never freed, so they are excluded from garbage
# collection.  The threshold is high since requests leave few reference cycles.
GC_THRESHOLD = 50_000


def boot_clock() -> Clock:
    """Return a clock that keeps running while the machine is suspended."""
    return Clock(monotonic_ns=lambda: time.clock_gettime_ns(time.CLOCK_BOOTTIME))


def run(path: str, check: bool, signals: StopSignals) -> None:
    """Load the settings file and serve until a signal stops the daemon.

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
    anyio.run(_serve, cfg, signals)


async def _serve(cfg: GatewaySettings, signals: StopSignals) -> None:
    clock = boot_clock()
    log_handler = set_up_logs(cfg.name, clock)
    gateway = Gateway(cfg, clock, log_handler)
    stop = anyio.Event()
    loop = asyncio.get_running_loop()

    def end_late() -> None:
        # The event loop of a slow machine is late, but the shutdown is complete.
        if gateway.has_refused_unanswered:
            gateway.log_stopped()
            log_handler.write_pending()
            os._exit(EXIT_OK)
        event(
            _LOGGER,
            "daemon.exit_forced",
            logging.ERROR,
            grace_ms=cfg.shutdown.grace,
            tasks=len(asyncio.all_tasks(loop)),
        )
        log_handler.write_pending()

    plan = ShutdownPlan(cfg.shutdown.grace)
    signals.limit_exit(plan.forced_exit_ms, end_late)
    # Cancelling the tasks takes time for each request, and the end of the event loop
    # would wait without a limit for calls of peers that read nothing, and for threads
    # that look up names.  The system closes the sockets.
    try:
        with signals.notify(functools.partial(loop.call_soon_threadsafe, stop.set)):
            await gateway.run(
                stop, lambda: signals.received_ms, lambda: os._exit(EXIT_OK)
            )
    except Exception:
        try:
            _LOGGER.critical("daemon.failed", exc_info=True)
            log_handler.write_pending()
            traceback.print_exc()
        finally:
            os._exit(EXIT_FAILED)
