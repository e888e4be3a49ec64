"""HTTP server of a stand-in process."""

import signal
from types import FrameType

import anyio
from hypercorn.asyncio import serve as hypercorn_serve
from hypercorn.config import Config
from starlette.applications import Starlette

from .const import LOOPBACK


def run(app: Starlette, port: int) -> None:
    """Run an event loop that serves ``app`` until SIGTERM or SIGINT.

    :param port: port on the loopback address
    """
    anyio.run(serve, app, port)


async def serve(app: Starlette, port: int) -> None:
    """Serve ``app`` on the loopback address until SIGTERM or SIGINT.

    Install the handlers of these signals, so it must run in the main thread.
    """
    cfg = Config()
    cfg.bind = [f"{LOOPBACK}:{port}"]
    cfg.graceful_timeout = 1
    cfg.keep_alive_timeout = 60
    cfg.errorlog = None
    stop_event = anyio.Event()

    def on_signal(_signum: int, _frame: FrameType | None) -> None:
        stop_event.set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)

    async def wait_for_stop() -> None:
        while not stop_event.is_set():
            await anyio.sleep(0.05)

    await hypercorn_serve(app, cfg, shutdown_trigger=wait_for_stop)  # type: ignore[arg-type]
