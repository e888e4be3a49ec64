"""What all upstream stand-ins share: faults, crashes and a record of what ran."""

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
EXIT_CRASHED = 70


@attrs.frozen
class Run:
    """One execution, as the upstream's own record shows it."""

    attempt: str
    key: str
    started_ms: int
    body_chars: int


class Upstream:
    """State and helpers of one upstream stand-in."""

    def __init__(self, name: str, clock: Clock, slots: int, work_ms: int) -> None:
        """Remember its name and how much it can do at a time."""
        self.name = name
        self.clock = clock
        self.work_ms = work_ms
        self.faults = Faults()
        self.runs: list[Run] = []
        self.leaving = False
        self.slots = PrioritySlots(slots)
        self.active = 0
        self.waiting = 0

    def routes(self) -> list[Route]:
        """Return the routes that every upstream has."""
        return [
            self.faults.route(),
            Route("/record", self._record, methods=["GET"]),
            Route("/leave", self._leave, methods=["POST"]),
        ]

    async def admit(self, req: Request, body: str) -> Response | None:
        """Apply the faults that strike before anything runs."""
        if self.faults.hang:
            await anyio.sleep_forever()
        if self.faults.delay_ms:
            await anyio.sleep(seconds(self.faults.delay_ms))
        if self.faults.down or self.faults.refuse or self.leaving:
            return JSONResponse({"error": "not accepting"}, status_code=503)
        return None

    def start(self, req: Request, body: str) -> None:
        """Note an execution in the record; crash if the request is marked."""
        attempt = req.headers.get(ATTEMPT_HEADER, "")
        key = req.headers.get(KEY_HEADER, "")
        self.runs.append(Run(attempt, key, self.clock.wall_ms(), len(body)))
        if self.faults.crash_marker and self.faults.crash_marker in body:
            os._exit(EXIT_CRASHED)

    async def work(self, factor: float = 1.0) -> None:
        """Take the time that one request takes, within the slots."""
        self.waiting += 1
        async with self.slots.acquire():
            self.waiting -= 1
            self.active += 1
            try:
                ms = self.work_ms * self.faults.slow_factor * factor
                await anyio.sleep(seconds(ms))
            finally:
                self.active -= 1

    def attempt_of(self, req: Request) -> str:
        """Return the attempt to answer with."""
        if self.faults.wrong_attempt:
            return "00000000-0000-7000-8000-000000000000"
        return req.headers.get(ATTEMPT_HEADER, "")

    async def _record(self, _req: Request) -> Response:
        runs: list[dict[str, Any]] = [attrs.asdict(run) for run in self.runs]
        return JSONResponse({"runs": runs})

    async def _leave(self, _req: Request) -> Response:
        self.leaving = True
        return JSONResponse({})
