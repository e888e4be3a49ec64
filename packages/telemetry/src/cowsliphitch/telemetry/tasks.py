"""Background work of a process, whose unexpected errors are contained.

Fault: one request, call or message has a value that nobody expected.  It ends with its
error, and the process goes on for all others.
"""

import logging
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any, Final, TypeVarTuple, Unpack

import anyio
from anyio.abc import TaskGroup

from cowsliphitch.core.clock import Clock, seconds

_LOGGER = logging.getLogger(__name__)

Args = TypeVarTuple("Args")

# Pause before a loop that failed runs again.
RESTART_PAUSE_MS: Final = 500

# The traceback of a failure is logged once in this time for each name; all are counted.
TRACEBACK_INTERVAL_MS: Final = 1_000


class BackgroundTasks:
    """Start tasks in a task group that lives as long as the process.

    An unexpected error is logged with its traceback and counted.  Only the error of an
    essential part ends the process.

    :ivar failures: number of failures by the name of the task
    """

    def __init__(self, group: TaskGroup, clock: Clock) -> None:
        """Initialize without failures."""
        self._group = group
        self._clock = clock
        self._logged_ms: dict[str, int] = {}
        self.failures: Counter[str] = Counter()

    def start_soon(
        self, func: Callable[[Unpack[Args]], Awaitable[object]], *args: *Args
    ) -> None:
        """Start a task that ends with its first error."""
        self._group.start_soon(self._run, func, *args)

    def start_loop(self, func: Callable[[], Awaitable[object]]) -> None:
        """Start a task that begins again after each error."""
        self._group.start_soon(self._run_again, func)

    def start_essential(self, func: Callable[[], Coroutine[Any, Any, object]]) -> None:
        """Start a task without which the process is of no use: its error ends it."""
        self._group.start_soon(func)

    @contextmanager
    def contained(self, name: str) -> Iterator[None]:
        """Contain the errors of the enclosed code.

        :param name: names the code in logs and metrics; one of a bounded set
        """
        try:
            yield
        except Exception:
            self._record_failure(name)

    async def _run(
        self, func: Callable[[Unpack[Args]], Awaitable[object]], *args: *Args
    ) -> None:
        with self.contained(_name(func)):
            await func(*args)

    async def _run_again(self, func: Callable[[], Awaitable[object]]) -> None:
        while True:
            with self.contained(_name(func)):
                await func()
                return
            await anyio.sleep(seconds(RESTART_PAUSE_MS))

    def _record_failure(self, name: str) -> None:
        self.failures[name] += 1
        now = self._clock.now_ms()
        logged_ms = self._logged_ms.get(name)
        if logged_ms is None or now - logged_ms >= TRACEBACK_INTERVAL_MS:
            self._logged_ms[name] = now
            _LOGGER.exception(
                "task.failed", extra={"task": name, "failures": self.failures[name]}
            )


def _name(func: Callable[..., object]) -> str:
    return getattr(func, "__qualname__", type(func).__name__)
