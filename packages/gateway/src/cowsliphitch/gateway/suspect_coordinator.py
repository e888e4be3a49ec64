"""Writing of suspect prompt parts and requests to the store.

Fault: all daemons are lost between two crashes, and with them what heartbeats told.
Crashes are rare, so a daemon writes what it knows after each one that it detected.
"""

import logging

import anyio
from result import Err, Ok

from cowsliphitch.core.clock import seconds
from cowsliphitch.core.kv.models import Applied
from cowsliphitch.core.quarantine.prompt_parts import CRASH_RETENTION_MS
from cowsliphitch.platform.store.client import KeyValueClient
from cowsliphitch.telemetry.logs import event

from . import const, suspect_records
from .engine_quarantine import EngineQuarantine
from .state import GatewayState

_LOGGER = logging.getLogger(__name__)


class SuspectCoordinator:
    """Write what this daemon knows of suspects after each crash that it detected."""

    def __init__(
        self, state: GatewayState, kv: KeyValueClient, quarantine: EngineQuarantine
    ) -> None:
        """Initialize without anything to write."""
        self._state = state
        self._kv = kv
        self._crash = anyio.Event()
        quarantine.add_crash_listener(lambda: self._crash.set())

    async def run(self) -> None:
        """Write after crashes until cancelled; retry while the store is unavailable."""
        while True:
            await self._crash.wait()
            self._crash = anyio.Event()
            while not await self._write():
                await anyio.sleep(seconds(const.SUSPECT_WRITE_INTERVAL_MS))
            await anyio.sleep(seconds(const.SUSPECT_WRITE_INTERVAL_MS))

    async def _write(self) -> bool:
        """Write the worst suspects; return whether they are in the store."""
        now, limit = self._state.clock.now_ms(), const.MAX_STORED_SUSPECTS
        suspects = suspect_records.Suspects(
            self._state.prompt_parts.worst_reports(limit, now),
            self._state.suspect_requests.worst_reports(limit, now),
        )
        match await self._kv.grant_lease(CRASH_RETENTION_MS):
            case Ok(lease):
                key = const.SUSPECT_PREFIX + self._state.members.own.address
                value = suspect_records.encode(suspects)
                result = await self._kv.put(key, value, None, lease)
                is_written = isinstance(result, Applied)
            case Err():
                is_written = False
        event(
            _LOGGER,
            "suspects.written" if is_written else "suspects.not_written",
            parts=len(suspects.parts),
            requests=len(suspects.requests),
        )
        return is_written
