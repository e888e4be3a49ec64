"""The ``cowsliphitchd`` command: run one daemon on an entry VM."""

import argparse
import asyncio
import functools
import gc
import sys

import anyio
from result import Err, Ok

from cowsliphitch.core.clock import Clock
from cowsliphitch.gateway.cli import run as run_gateway
from cowsliphitch.gateway.signals import StopSignals

from .app import Daemon
from .logs import configure_logging
from .settings import DaemonSettings, load_daemon_settings

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
# Net allocations of container objects that start a garbage collection.  It is far above
# the interpreter's default, so that collections interrupt requests less often.
GC_THRESHOLD = 50_000


def main(signals: StopSignals) -> None:
    """Load the settings and serve until a signal stops the daemon."""
    parser = argparse.ArgumentParser(prog="cowsliphitchd", description=__doc__)
    parser.add_argument("--settings", required=True, help="YAML file of this daemon")
    parser.add_argument("--check", action="store_true", help="check the file and exit")
    parser.add_argument(
        "--platform", action="store_true", help="serve callers on the platform"
    )
    args = parser.parse_args()
    if args.platform:
        run_gateway(args.settings, args.check, signals)
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
    anyio.run(_run, cfg, signals)


async def _run(cfg: DaemonSettings, signals: StopSignals) -> None:
    stop = anyio.Event()
    loop = asyncio.get_running_loop()
    with signals.notify(functools.partial(loop.call_soon_threadsafe, stop.set)):
        await Daemon(cfg, Clock()).run(stop)
