"""Streams and the software versions that began them.

Fault: engines of another version are in service when a stream breaks off, and the
daemon that began it, or all daemons, may be gone when the caller takes it up again.
Own streams are announced to the peers and written to the store while a service has
several versions, or lately had.
"""

import logging
from collections.abc import Awaitable, Callable

import anyio
import attrs
from result import Err, Ok

from cowsliphitch.core.clock import seconds
from cowsliphitch.core.kv.models import Applied
from cowsliphitch.core.requests.models import CallerRequest
from cowsliphitch.core.revisions import LeaseRef
from cowsliphitch.core.streams.models import (
    KnownOrigin,
    OriginLookup,
    UnknownOrigin,
)
from cowsliphitch.core.streams.registry import RECORD_TTL_MS
from cowsliphitch.core.verdict import Reason, Refusal, not_run
from cowsliphitch.platform.store.client import KeyValueClient
from cowsliphitch.telemetry.logs import event

from . import const, stream_records
from .forwarding import RequestContext
from .metrics import RequestMetrics
from .state import GatewayState

_LOGGER = logging.getLogger(__name__)


@attrs.define
class _Key:
    """Key of the store that holds own streams.

    :param began_ms: monotonic time at which it was first written
    :param since_ms: monotonic time since which its streams were recorded
    :param content: what was last written, empty before that
    """

    name: str
    lease: LeaseRef
    began_ms: int
    since_ms: int
    content: str = ""


class StreamCoordinator:
    """Bind resumed streams to their version, and write own streams to the store."""

    def __init__(
        self,
        state: GatewayState,
        kv: KeyValueClient,
        metrics: RequestMetrics,
        refresh_view: Callable[[], Awaitable[None]],
    ) -> None:
        """Initialize without anything written.

        :param metrics: counts the streams that are taken up again
        :param refresh_view: asks peers what the store told them
        """
        self._refresh_view = refresh_view
        self._state = state
        self._kv = kv
        self._metrics = metrics
        self._key: _Key | None = None
        self._key_count = 0
        # Streams that were recorded before this time are in the store.
        self._written_until_ms = 0

    async def bind(self, ctx: RequestContext) -> Refusal | None:
        """Bind a stream that is taken up again to the version that began it.

        :returns: the refusal if the version is unknown or has no ready server
        """
        request = ctx.request
        match await self._find(request, ctx.service):
            case UnknownOrigin(versions, is_current):
                detail = (
                    f"no record of the stream {request.resumed_id}, and"
                    f" {len(versions)} versions of {ctx.service} were in service"
                )
                if not is_current:
                    detail += " when this daemon last heard of the fleet"
                return self._refuse(ctx, Reason.UNKNOWN_STREAM, detail)
            case KnownOrigin(origin, source, age_ms):
                pass
        is_target = any(
            target.service == origin.service and target.weight > 0
            for target in ctx.route.targets
        )
        servers = self._state.servers.ready(origin.service)
        if not is_target or all(s.version != origin.version for s in servers):
            detail = (
                f"version {origin.version} of {origin.service}, which began the"
                " stream, has no ready server"
            )
            return self._refuse(ctx, Reason.VERSION_GONE, detail)
        ctx.service, ctx.version = origin.service, origin.version
        self._metrics.record_take_up("bound")
        event(
            _LOGGER,
            "stream.bound",
            request=request.id,
            resumes=request.resumed_id,
            service=origin.service,
            version=origin.version,
            source=source,
            age_ms=age_ms,
        )
        return None

    def _refuse(self, ctx: RequestContext, reason: Reason, detail: str) -> Refusal:
        self._metrics.record_take_up(reason.value)
        event(
            _LOGGER,
            "stream.refused",
            request=ctx.request.id,
            resumes=ctx.request.resumed_id,
            reason=reason.value,
            cause=detail,
        )
        return not_run(reason, detail, const.STREAM_RECORD_WAIT_MS)

    async def _find(self, request: CallerRequest, service: str) -> OriginLookup:
        """Return the origin of a stream; wait a moment for its record."""
        clock = self._state.clock
        if not self._state.is_current():
            await self._refresh_view()
        end_ms = clock.now_ms() + const.STREAM_RECORD_WAIT_MS
        while True:
            now = clock.now_ms()
            lookup = self._state.streams.find(
                request.resumed_id, service, now, self._state.is_current()
            )
            if isinstance(lookup, KnownOrigin) or now >= end_ms:
                return lookup
            if request.resumed_id is None:
                return lookup
            await anyio.sleep(seconds(const.STREAM_RECORD_POLL_MS))

    async def run(self) -> None:
        """Write new own streams to the store until cancelled."""
        while True:
            daemon_count = 1 + len(self._state.members.peers())
            interval_ms = max(
                const.STREAM_WRITE_INTERVAL_MS,
                daemon_count * const.STREAM_WRITE_INTERVAL_PER_DAEMON_MS,
            )
            await anyio.sleep(seconds(interval_ms))
            now = self._state.clock.now_ms()
            if self._state.streams.exporting_services(now):
                await self._write(now)
            else:
                self._key, self._written_until_ms = None, 0

    async def _write(self, now_ms: int) -> None:
        """Write the own streams that earlier keys lack, if there is news."""
        if self._key is None or now_ms - self._key.began_ms >= const.STREAM_KEY_MS:
            self._key = await self._begin_key(now_ms)
        key, streams = self._key, self._state.streams
        if key is None:
            return
        content = stream_records.encode(
            stream_records.StreamContent(
                streams.recent_origins(), streams.own_since(key.since_ms, now_ms)
            )
        )
        if content == key.content:
            return
        result = await self._kv.put(key.name, content, None, key.lease)
        if not isinstance(result, Applied):
            event(_LOGGER, "streams.not_written", key=key.name, result=str(result))
            self._key = None
            return
        key.content, self._written_until_ms = content, now_ms

    async def _begin_key(self, now_ms: int) -> _Key | None:
        """Return a new key, whose lease deletes it when its streams are over."""
        match await self._kv.grant_lease(RECORD_TTL_MS):
            case Ok(lease):
                pass
            case Err(unavailable):
                event(_LOGGER, "streams.not_written", result=unavailable.detail)
                return None
        self._key_count += 1
        own = self._state.members.own
        name = f"{const.STREAM_PREFIX}{own.address}-{own.started_ms}/{self._key_count}"
        return _Key(name, lease, now_ms, self._written_until_ms)
