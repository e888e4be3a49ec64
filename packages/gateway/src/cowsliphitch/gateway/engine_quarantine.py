"""Detection of crashes of servers, and refusal of the requests that cause them.

Fault: a request crashes each server that begins to answer it.  When a connection to a
server is lost, the server is probed: a refused connection means that it crashed.  A
timeout or a success doesn't, since a network fault must not make a request suspect.
A machine that falls silent loses no connection and refuses none.  Its crash is known
once its entry shows a later start.

The prompt parts of a request are suspect if it was lost before its first event, and the
request itself, which comes again with the same content, whenever it was lost.
"""

import heapq
import logging
import zlib
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager

import anyio
import attrs

from cowsliphitch.core.clock import seconds
from cowsliphitch.core.quarantine.exposures import Exposure
from cowsliphitch.core.quarantine.prompt_parts import PartReport, QuarantineChange
from cowsliphitch.core.quarantine.trials import (
    CRASHES_TO_SEPARATE,
    TRIAL_RETRY_AFTER_MS,
)
from cowsliphitch.core.requests.models import CallerRequest
from cowsliphitch.core.servers.models import Server
from cowsliphitch.core.servers.registry import STORE_SOURCE
from cowsliphitch.core.verdict import Reason, Refusal, not_run
from cowsliphitch.telemetry.logs import event
from cowsliphitch.telemetry.tasks import BackgroundTasks
from cowsliphitch.upstreams.http1.connection import connect
from cowsliphitch.upstreams.http1.models import UpstreamError
from cowsliphitch.upstreams.transport.probe import refuses_connections

from . import const
from .state import GatewayState

_LOGGER = logging.getLogger(__name__)

# Failures that a crash of the engine may cause.
CRASH_REASONS = frozenset({Reason.CONNECTION_LOST, Reason.STREAM_CUT})


# Engines whose last crash is remembered.
MAX_CRASHED_ENGINES = 512

# Parts or digests in one line of the log.
MAX_LOGGED = 64


@attrs.frozen
class _LastCrash:
    """Last known crash of an engine.

    :param number: counts the engine's crashes with the same start time, from 0
    :param time_ms: monotonic time at which it was detected
    """

    number: int
    time_ms: int


@attrs.frozen
class _Probe:
    """A probe of a server that lost requests.

    :param lost_requests: requests that were lost until it ends
    :param done: set when the server is judged
    """

    lost_requests: list[Exposure] = attrs.Factory(list)
    done: anyio.Event = attrs.Factory(anyio.Event)


class EngineQuarantine:
    """Record crashes with the requests that were lost, and apply the quarantine."""

    def __init__(self, state: GatewayState, tasks: BackgroundTasks) -> None:
        """Initialize without a suspicion.

        :param tasks: run the probes
        """
        self._state = state
        self._tasks = tasks
        self._probes: dict[Server, _Probe] = {}
        self._last_crashes: OrderedDict[tuple[str, int], _LastCrash] = OrderedDict()
        self._listeners: list[Callable[[], None]] = []
        self._crash_listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Have a function called when the quarantine of a part begins."""
        self._listeners.append(listener)

    def add_crash_listener(self, listener: Callable[[], None]) -> None:
        """Have a function called when this daemon has detected a crash."""
        self._crash_listeners.append(listener)

    def refusal_of(self, request: CallerRequest) -> Refusal | None:
        """Return the refusal of a quarantined request, or one with such a part."""
        now = self._state.clock.now_ms()
        part = self._state.prompt_parts.quarantined_part(request.shared_part_ids, now)
        if part is not None:
            detail = f"requests with the prompt part {part} crash engines"
            return not_run(Reason.QUARANTINED, detail)
        requests = self._state.suspect_requests
        if requests.quarantined and requests.quarantined_part((request.digest,), now):
            detail = f"requests with the digest {request.digest} crash servers"
            return not_run(Reason.QUARANTINED, detail)
        return None

    def is_suspect(self, request: CallerRequest) -> bool:
        """Return whether a request may have crashed a server, so that it is tried."""
        requests = self._state.suspect_requests
        return requests.has_records and requests.is_suspect((request.digest,), 1)

    def check_sendable(self, request: CallerRequest, is_trial: bool) -> None:
        """Check that a request may be sent to a server at this moment.

        It may have become suspect since its server was chosen.

        :param is_trial: no other copy of the request is at a server
        :raises UpstreamError: the request is quarantined, or suspect and no trial
        """
        refusal = self.refusal_of(request)
        if refusal is not None:
            raise UpstreamError(refusal)
        if not is_trial and self.is_suspect(request):
            detail = f"a copy with the digest {request.digest} crashed a server"
            raise UpstreamError(not_run(Reason.SUSPECT, detail, TRIAL_RETRY_AFTER_MS))

    def may_retry(self, request: CallerRequest) -> bool:
        """Return whether a request may be sent to a server after another lost it."""
        requests = self._state.suspect_requests
        return not (
            self._state.prompt_parts.is_suspect(request.shared_part_ids)
            or (requests.has_records and requests.is_suspect((request.digest,)))
        )

    def record_answer(self, request: CallerRequest) -> None:
        """Record that a server answered a request completely."""
        now, requests = self._state.clock.now_ms(), self._state.suspect_requests
        if request.shared_part_ids:
            change = self._state.prompt_parts.record_answer(
                request.shared_part_ids, now
            )
            self._apply(change, "answer")
        self._apply(requests.record_answer((request.digest,), now), "answer")

    @contextmanager
    def observe(self, sent: Sequence[Exposure]) -> Iterator[None]:
        """Observe the enclosed exchange with a server.

        If it ends without an answer, what was sent may have crashed the server.

        :param sent: the requests in the exchange, filled once they are sent
        """
        exposures, clock = self._state.exposures, self._state.clock
        try:
            yield
        except UpstreamError as exc:
            for exposure in sent:
                if exc.refusal.reason in CRASH_REASONS:
                    exposures.give_up(exposure, clock.now_ms(), is_silent=False)
                    self._record_lost(exposure)
                else:
                    exposures.resolve(exposure)
            raise
        except BaseException:
            # The caller has left, or the time for the exchange is over.
            for exposure in sent:
                exposures.give_up(exposure, clock.now_ms(), is_silent=True)
            raise
        for exposure in sent:
            exposures.resolve(exposure)

    def expose(
        self,
        digest: str,
        parts: tuple[str, ...],
        server: Server,
        connected_ms: int,
    ) -> Exposure:
        """Record that a request is sent to a server.

        :param parts: its prompt parts that may crash the server
        :param connected_ms: monotonic time at which its connection was opened
        """
        now = self._state.clock.now_ms()
        return self._state.exposures.begin(digest, parts, server, connected_ms, now)

    def runs_apart(self, digest: str) -> bool:
        """Return whether a request is kept apart from others, as it may crash servers.

        Sound requests would be lost beside it once more.
        """
        requests = self._state.suspect_requests
        return requests.has_records and requests.is_suspect(
            (digest,), CRASHES_TO_SEPARATE
        )

    def _record_lost(self, exposure: Exposure) -> None:
        """Probe the server that lost a request, unless its crash is known already."""
        if exposure.is_resolved:
            return
        server = exposure.server
        probe = self._probes.get(server)
        if probe is None:
            probe = self._probes[server] = _Probe()
            self._tasks.start_soon(self._probe, server, probe)
        probe.lost_requests.append(exposure)

    def observe_servers(self) -> None:
        """Record the crashes of servers that have started again since."""
        now = self._state.clock.now_ms()
        for lost in self._state.exposures.take_lost(
            self._state.servers, now, self._crashed_ms_of
        ):
            server = lost.server
            event(
                _LOGGER,
                "engine.restarted",
                server=server.id,
                started_ms=server.started_ms,
                lost_requests=len(lost.exposures),
                given_up=sum(e.given_up_ms is not None for e in lost.exposures),
                digests=_first(e.digest for e in lost.exposures),
            )
            key = server.id, server.started_ms
            last = self._last_crashes.get(key)
            first = 0 if last is None else last.number
            for number, exposures in enumerate(lost.crashes, first):
                if exposures:
                    crash = self._remember_crash(key, _LastCrash(number, now))
                    self._record_crash(crash, exposures)

    def _crashed_ms_of(self, server: Server) -> int | None:
        last = self._last_crashes.get((server.id, server.started_ms))
        return None if last is None else last.time_ms

    async def wait_until_resolved(self, exposure: Exposure) -> None:
        """Wait until it is known whether a request that was given up was lost.

        A server that accepts connections has either outlived the request, or writes a
        later start into its entry soon.  One that stays silent is not waited for longer
        than ``MAX_TRIAL_SILENCE_MS``.
        """
        clock, server = self._state.clock, exposure.server
        end_ms = clock.now_ms() + const.MAX_TRIAL_SILENCE_MS
        while not exposure.is_resolved and clock.now_ms() < end_ms:
            try:
                connection = await connect(
                    server.address, b"", clock, const.CRASH_PROBE_TIMEOUT_MS
                )
            except UpstreamError:
                await anyio.sleep(seconds(const.CRASH_PROBE_TIMEOUT_MS))
                continue
            await connection.close()
            end_ms = min(end_ms, clock.now_ms() + const.RESTART_ENTRY_MS)
            while not exposure.is_resolved and clock.now_ms() < end_ms:
                await anyio.sleep(seconds(const.RESTART_POLL_MS))

    async def wait_until_judged(self, server: Server) -> None:
        """Wait until it is known whether a server that lost requests has crashed.

        Nothing is waited for at a server whose failure domain is cut off, since a
        probe learns nothing there.
        """
        probe = self._probes.get(server)
        if probe is not None and not self._state.servers.is_cut_off(server):
            await probe.done.wait()

    def merge(
        self,
        parts: Iterable[PartReport],
        requests: Iterable[PartReport],
        source: str,
    ) -> None:
        """Add what a peer, or the store, knows of suspect parts and requests.

        :param source: name of the peer, or ``STORE_SOURCE``
        """
        now, is_past = self._state.clock.now_ms(), source == STORE_SOURCE
        for registry, reports in (
            (self._state.prompt_parts, parts),
            (self._state.suspect_requests, requests),
        ):
            self._apply(registry.merge(reports, now, is_past), source)

    def expire(self) -> None:
        """End quarantines whose time is over."""
        now = self._state.clock.now_ms()
        for registry in (self._state.prompt_parts, self._state.suspect_requests):
            self._apply(registry.expire(now), "expiry")

    async def _probe(self, server: Server, probe: _Probe) -> None:
        try:
            has_crashed = await refuses_connections(
                f"http://{server.address}", const.CRASH_PROBE_TIMEOUT_MS
            )
            self._judge(server, probe, has_crashed)
        finally:
            del self._probes[server]
            probe.done.set()

    def _judge(self, server: Server, probe: _Probe, has_crashed: bool) -> None:
        """Record the crash of a server with the requests that it lost, if it has."""
        requests = probe.lost_requests
        event(
            _LOGGER,
            "engine.crashed" if has_crashed else "engine.still_listens",
            server=server.id,
            lost_requests=len(requests),
            parts=_first(part for lost in requests for part in lost.suspect_parts),
            digests=_first(lost.digest for lost in requests),
        )
        if has_crashed:
            for exposure in requests:
                self._state.exposures.resolve(exposure)
            for crash, lost in self._divide_by_crash(server, requests).items():
                self._record_crash(crash, lost)

    def _record_crash(self, crash: int, requests: Iterable[Exposure]) -> None:
        """Record a crash with the requests that were at the server."""
        now, requests = self._state.clock.now_ms(), tuple(requests)
        for registry, groups in (
            (self._state.prompt_parts, [lost.suspect_parts for lost in requests]),
            (self._state.suspect_requests, [(lost.digest,) for lost in requests]),
        ):
            change = registry.record_lost_requests(crash, groups, now)
            self._apply(change, "own requests")
        for listener in self._crash_listeners:
            listener()

    def _divide_by_crash(
        self, server: Server, requests: Iterable[Exposure]
    ) -> dict[int, list[Exposure]]:
        """Return lost requests by the identifier of the crash that lost them.

        The daemons agree on identifiers without exchanging them.  A connection that was
        opened after the last crash was detected shows that the server has restarted, so
        its loss is another crash even if the server's new entry has not been read yet.
        One that is older ended with the last crash, however late its loss is noticed.
        """
        key, now = (server.id, server.started_ms), self._state.clock.now_ms()
        last = self._last_crashes.get(key)
        if last is None:
            return {self._remember_crash(key, _LastCrash(0, now)): list(requests)}
        same = [lost for lost in requests if lost.connected_ms <= last.time_ms]
        later = [lost for lost in requests if lost.connected_ms > last.time_ms]
        groups = (last, same), (_LastCrash(last.number + 1, now), later)
        return {
            self._remember_crash(key, crash): lost for crash, lost in groups if lost
        }

    def _remember_crash(self, key: tuple[str, int], crash: _LastCrash) -> int:
        self._last_crashes.pop(key, None)
        self._last_crashes[key] = crash
        if len(self._last_crashes) > MAX_CRASHED_ENGINES:
            self._last_crashes.popitem(last=False)
        server_id, started_ms = key
        return zlib.crc32(f"{server_id}/{started_ms}/{crash.number}".encode())

    def _apply(self, change: QuarantineChange, source: str) -> None:
        """Log a change of the quarantine and end the requests that it covers."""
        if change.crashed:
            logged = change.crashed[:MAX_LOGGED]
            event(
                _LOGGER,
                "suspects.crashed",
                count=len(change.crashed),
                parts=[row.part for row in logged],
                known=[row.known for row in logged],
                counted=[row.counted for row in logged],
                source=source,
            )
        for part in change.quarantined:
            event(
                _LOGGER, "part.quarantined", logging.WARNING, part=part, source=source
            )
        for part in change.released:
            event(_LOGGER, "part.released", part=part, source=source)
        if change.quarantined:
            for listener in self._listeners:
                listener()


def _first(texts: Iterable[str]) -> list[str]:
    """Return the texts that sort first, as many as are logged."""
    return heapq.nsmallest(MAX_LOGGED, set(texts))
