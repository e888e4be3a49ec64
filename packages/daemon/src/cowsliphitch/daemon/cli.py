"""The ``cowsliphitchd`` command: run one daemon on an entry VM."""

import argparse
import gc
import signal
import sys

import anyio
from result import Err, Ok

from cowsliphitch.core.clock import Clock
from cowsliphitch.gateway.cli import run as run_gateway

from .app import Daemon
from .logs import configure_logging
from .settings import DaemonSettings, load_daemon_settings

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
GC_THRESHOLD = 50_000


def main() -> None:
    """Load the settings and serve until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="cowsliphitchd", description=__doc__)
    parser.add_argument("--settings", required=True, help="YAML file of this daemon")
    parser.add_argument("--check", action="store_true", help="check the file and exit")
    parser.add_argument(
        "--platform", action="store_true", help="serve callers on the platform"
    )
    args = parser.parse_args()
    if args.platform:
        run_gateway(args.settings, args.check)
        return
    match load_daemon_settings(args.settings):
        case Err(problems):
            for problem in problems:
                print(f"{args.settings}: {problem}", file=sys.stderr)
            sys.exit(EXIT_BAD_SETTINGS)
        case Ok(cfg):
            pass
    if args.check:
        print(f"{args.settings}: valid")
        sys.exit(EXIT_OK)
    configure_logging(cfg.log_format, cfg.name)
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    anyio.run(_run, cfg)


async def _run(cfg: DaemonSettings) -> None:
    stop = anyio.Event()
    daemon = Daemon(cfg, Clock())
    async with anyio.create_task_group() as group:
        group.start_soon(_wait_for_signal, stop)
        await daemon.run(stop)
        group.cancel_scope.cancel()


async def _wait_for_signal(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stop.set()
