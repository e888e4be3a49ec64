"""State that all upstream stand-ins have: fault switches, slots and a record of runs.

The record of runs shows what really ran, independent of what daemons report.
"""

import os
from typing import Any

import anyio
import attrs
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from cowsliphitch.core.clock import Clock, seconds

from .faults import Faults
from .slots import PrioritySlots

ATTEMPT_HEADER = "x-attempt-id"
KEY_HEADER = "idempotency-key"
CRASH_EXIT_CODE = 70


@attrs.frozen
class Run:
    """One execution in the record of an upstream.

    :param attempt: identifier of the daemon's attempt
    :param key: idempotency key; empty without one
    :param started_ms: wall time
    :param body_chars: length of the request body
    """

    attempt: str
    key: str
    started_ms: int
    body_chars: int


class Upstream:
    """State and simulated work of one upstream stand-in.

    :ivar active_count: requests that hold a slot
    :ivar waiting_count: requests in the queue for a slot
    """

    def __init__(self, name: str, clock: Clock, slots: int, work_ms: int) -> None:
        """Initialize an idle upstream without faults.

        :param slots: requests that run at a time
        :param work_ms: time that one request takes
        """
        self.name = name
        self.clock = clock
        self.work_ms = work_ms
        self.faults = Faults()
        self.runs: list[Run] = []
        self.is_leaving = False
        self.slots = PrioritySlots(slots)
        self.active_count = 0
        self.waiting_count = 0

    def routes(self) -> list[Route]:
        """Return the routes for fault switches, the record of runs and leaving."""
        return [
            self.faults.route(),
            Route("/record", self._list_runs, methods=["GET"]),
            Route("/leave", self._leave, methods=["POST"]),
        ]

    async def admit(self, req: Request, body: str) -> Response | None:
        """Apply the faults that take effect before anything runs.

        :returns: a refusal with HTTP 503, or ``None`` if the request may run
        """
        if self.faults.hang:
            await anyio.sleep_forever()
        if self.faults.delay_ms:
            await anyio.sleep(seconds(self.faults.delay_ms))
        if self.faults.down or self.faults.refuse or self.is_leaving:
            return JSONResponse({"error": "not accepting"}, status_code=503)
        return None

    def record_run(self, req: Request, body: str) -> None:
        """Record an execution; end the process if the body contains the crash marker.

        :param body: body of the request
        """
        attempt = req.headers.get(ATTEMPT_HEADER, "")
        key = req.headers.get(KEY_HEADER, "")
        self.runs.append(Run(attempt, key, self.clock.wall_ms(), len(body)))
        if self.faults.crash_marker and self.faults.crash_marker in body:
            os._exit(CRASH_EXIT_CODE)

    async def simulate_work(self, factor: float = 1.0) -> None:
        """Wait for a slot and hold it for the duration of one request.

        :param factor: multiplier of the duration
        """
        self.waiting_count += 1
        async with self.slots.acquire():
            self.waiting_count -= 1
            self.active_count += 1
            try:
                ms = self.work_ms * self.faults.slow_factor * factor
                await anyio.sleep(seconds(ms))
            finally:
                self.active_count -= 1

    def response_attempt(self, req: Request) -> str:
        """Return the attempt identifier to answer with.

        :returns: the request's own, or a fixed other one under ``wrong_attempt``
        """
        if self.faults.wrong_attempt:
            return "00000000-0000-7000-8000-000000000000"
        return req.headers.get(ATTEMPT_HEADER, "")

    async def _list_runs(self, _req: Request) -> Response:
        runs: list[dict[str, Any]] = [attrs.asdict(run) for run in self.runs]
        return JSONResponse({"runs": runs})

    async def _leave(self, _req: Request) -> Response:
        self.is_leaving = True
        return JSONResponse({})
