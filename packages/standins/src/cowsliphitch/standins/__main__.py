"""Start one stand-in: ``python -m cowsliphitch.standins KIND --port N``."""

import argparse

import anyio
from starlette.applications import Starlette

from cowsliphitch.core.clock import Clock

from .const import TOKEN_INTERVAL_MS
from .engine import Engine
from .kv import KeyValueService
from .relay import Relay
from .server import run
from .stage import service_app, stage_app
from .upstream import Upstream
from .vm_list import VmList

KINDS = ("kv", "vm-list", "engine", "stage", "service", "relay")


def parse_args() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", choices=KINDS)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--name", default="standin")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--work-ms", type=int, default=10)
    parser.add_argument("--token-ms", type=float, default=TOKEN_INTERVAL_MS)
    parser.add_argument("--honours-keys", action="store_true")
    parser.add_argument("--checks-fencing", action="store_true")
    parser.add_argument("--listen", type=int, help="port of a relay")
    parser.add_argument("--target", help="host:port that a relay passes on to")
    return parser.parse_args()


def build_app(args: argparse.Namespace) -> Starlette:
    """Build the ASGI application of a stand-in.

    :param args: parsed command line; ``kind`` is any kind except ``relay``
    """
    clock = Clock()
    upstream = Upstream(args.name, clock, args.slots, args.work_ms)
    match args.kind:
        case "kv":
            return KeyValueService(clock).app()
        case "vm-list":
            return VmList(clock).app()
        case "engine":
            engine = Engine(
                upstream, checks_fencing=args.checks_fencing, token_ms=args.token_ms
            )
            return engine.app()
        case "service":
            return service_app(upstream, honours_keys=args.honours_keys)
        case _:
            return stage_app(upstream)


if __name__ == "__main__":
    arguments = parse_args()
    if arguments.kind == "relay":
        anyio.run(Relay(arguments.listen, arguments.target).run, arguments.port)
    else:
        run(build_app(arguments), arguments.port)
