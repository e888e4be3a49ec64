"""Admission and routing of one pool: its queue, its slots and its upstreams.

A request waits in the pool's queue until a slot is free, and then gets an upstream.
"""

import itertools
import random
from collections.abc import Iterable

import anyio
import attrs
from result import Err, Ok, Result

from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.forecast.model import StageForecast, StageLatency
from cowsliphitch.core.quarantine.registry import QuarantineStatus, SuspectRegistry
from cowsliphitch.core.retries.token_bucket import TokenBucketRetryBudget
from cowsliphitch.core.routing import breaker
from cowsliphitch.core.routing.models import UpstreamState
from cowsliphitch.core.routing.selector import (
    CallConstraints,
    UpstreamSelector,
    is_usable,
    record_prefix,
)
from cowsliphitch.core.scheduling.models import QueuedRequest
from cowsliphitch.core.scheduling.offered_load import OfferedLoad
from cowsliphitch.core.scheduling.queue import make_queue
from cowsliphitch.core.verdict import Reason, Refusal, not_run

from . import const
from .models import PoolConfig, PoolRequest, Slot, StageCounts


class PoolCoordinator:
    """Grant slots in the order of the queue policy and select an upstream for each.

    Teams whose demand exceeds their fair share are limited to a cap, which the division
    of the pool among daemons sets.

    :ivar latency: latency estimate from this daemon's successful calls
    :ivar budget: retry budget of the pool
    :ivar caps: maximum slots in use by team, for the teams that are capped
    """

    def __init__(
        self,
        name: str,
        cfg: PoolConfig,
        failure_domain: str,
        clock: Clock,
        suspects: SuspectRegistry,
    ) -> None:
        """Initialize the pool without upstreams.

        :param failure_domain: failure domain of this daemon
        :param suspects: quarantine, shared by all pools of this daemon
        """
        self.name = name
        self.cfg = cfg
        self._failure_domain = failure_domain
        self._clock = clock
        self._suspects = suspects
        self._queue = make_queue(cfg.policy.queueing)
        self._queue.set_shares(cfg.shares)
        self._selector = UpstreamSelector(cfg.policy.routing, random.Random(0))
        self._sequence = itertools.count()
        self._grant_events: dict[int, anyio.Event] = {}
        self._running: dict[str, int] = {}
        self._offered_load = OfferedLoad()
        self.upstreams: dict[str, UpstreamState] = {}
        self.latency = StageLatency()
        self.budget = TokenBucketRetryBudget(cfg.policy.retry_ratio)
        self.counts = StageCounts()
        self.caps: dict[str, int] = {}

    @property
    def capacity(self) -> int:
        """Return the number of slots of all upstreams that are not leaving."""
        return sum(u.slots for u in self.upstreams.values() if not u.leaving)

    @property
    def running(self) -> int:
        """Return the number of slots that this daemon has granted."""
        return sum(self._running.values())

    @property
    def queue_length(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    def waiting_work(self, team: str) -> int:
        """Return the estimated work of a team's queued requests, in tokens."""
        return self._queue.waiting_work().get(team, 0)

    def record_offered_load(self, team: str, work: int) -> None:
        """Record work in tokens that a team offers, whether or not it is admitted."""
        self._offered_load.record(team, work, self._clock.now_ms())

    def demand(self) -> dict[str, float]:
        """Return the number of slots that each team's recent load needs."""
        rates = self._offered_load.rates(self._clock.now_ms())
        ms_per_unit = self.latency.service_ms_per_unit
        return {team: rate * ms_per_unit for team, rate in rates.items()}

    def apply(self, cfg: PoolConfig) -> None:
        """Apply new settings; queued requests keep their position.

        A new queue policy is applied only while the queue is empty.
        """
        old = self.cfg.policy
        if cfg.policy.routing is not old.routing:
            self._selector = UpstreamSelector(cfg.policy.routing, random.Random(0))
        if cfg.policy.queueing is not old.queueing and not len(self._queue):
            self._queue = make_queue(cfg.policy.queueing)
        self.cfg = cfg
        self.budget.ratio = cfg.policy.retry_ratio
        self._queue.set_shares(cfg.shares)
        for upstream in self.upstreams.values():
            upstream.slots = cfg.pool.slots
        self.serve_queue()

    def set_upstreams(self, listed: Iterable[UpstreamState]) -> None:
        """Replace the pool's upstreams.

        The state of an upstream whose name and address are unchanged is kept.
        """
        updated = {upstream.name: upstream for upstream in listed}
        for name, upstream in updated.items():
            current = self.upstreams.get(name)
            if current is not None and current.address == upstream.address:
                current.leaving = upstream.leaving
                updated[name] = current
        self.upstreams = updated
        self.serve_queue()

    def forecast(self, team: str, work: int) -> StageForecast:
        """Return the forecast for a call of a team.

        A capped team waits only for its own queued requests, on as many slots as its
        cap.

        :param work: estimated work of the call, in tokens
        """
        waiting = self._queue.waiting_work()
        cap = self.caps.get(team)
        if cap is not None:
            return StageForecast(self.latency, work, cap, waiting.get(team, 0))
        total = sum(waiting.values())
        return StageForecast(self.latency, work, self.capacity, total)

    async def acquire(
        self, req: PoolRequest, excluded: frozenset[str] = frozenset()
    ) -> Result[Slot, Refusal]:
        """Wait in the queue for a slot, then assign it to an upstream.

        A returned slot must be given back by :meth:`release`.

        :param excluded: names of upstreams that this request tried already
        """
        if len(self._queue) >= self.cfg.max_queue:
            detail = f"too many requests wait for {self.name}"
            return Err(not_run(Reason.QUEUE_FULL, detail, const.RETRY_AFTER_MS))
        queued = QueuedRequest(req.team, req.work, req.end_ms, next(self._sequence))
        if not await self._wait_for_grant(queued):
            detail = f"the deadline passed in the queue of {self.name}"
            return Err(not_run(Reason.DEADLINE_EXCEEDED, detail))
        try:
            return await self._assign_upstream(req, excluded)
        except BaseException:
            self._release_grant(req.team)
            raise

    async def _wait_for_grant(self, queued: QueuedRequest) -> bool:
        """Queue a request and wait for its slot.

        :returns: ``False`` if the deadline passed first
        """
        granted = anyio.Event()
        self._grant_events[queued.sequence] = granted
        self._queue.push(queued)
        self.serve_queue()
        try:
            remaining_ms = queued.deadline_ms - self._clock.now_ms()
            with anyio.move_on_after(seconds(remaining_ms)):
                await granted.wait()
        except BaseException:
            self._withdraw(queued, granted)
            raise
        return self._withdraw(queued, granted) if not granted.is_set() else True

    def _withdraw(self, queued: QueuedRequest, granted: anyio.Event) -> bool:
        """Remove a request from the queue, or release a slot that was granted late.

        :returns: always ``False``
        """
        if granted.is_set():
            self._release_grant(queued.team)
        elif self._grant_events.pop(queued.sequence, None) is not None:
            self._queue.remove(queued)
        return False

    def serve_queue(self) -> None:
        """Grant free slots to queued requests of teams below their cap."""
        while len(self._queue) and self.running < self.capacity:
            queued = self._queue.pop(self._clock.now_ms(), self._teams_at_cap())
            if queued is None:
                return
            self._running[queued.team] = self._running.get(queued.team, 0) + 1
            self._grant_events.pop(queued.sequence).set()

    def _teams_at_cap(self) -> frozenset[str]:
        return frozenset(
            team for team, cap in self.caps.items() if self._running.get(team, 0) >= cap
        )

    async def _assign_upstream(
        self, req: PoolRequest, excluded: frozenset[str]
    ) -> Result[Slot, Refusal]:
        """Assign a granted slot to an upstream.

        Waits for a usable upstream until the deadline.  A quarantined request is
        refused.
        """
        status = self._suspects.status(req.fingerprint, self._clock.wall_ms())
        if status is QuarantineStatus.QUARANTINED:
            self._release_grant(req.team)
            detail = "requests like this one crashed upstreams"
            return Err(not_run(Reason.QUARANTINED, detail))
        exclusive = status is QuarantineStatus.SUSPECT
        constraints = CallConstraints(
            self._failure_domain, req.prefix, exclusive, excluded
        )
        upstream = await self._wait_for_upstream(constraints, req.end_ms)
        if upstream is not None:
            return Ok(self._occupy(upstream, req, exclusive))
        self._release_grant(req.team)
        detail = f"no upstream of {self.name} is usable"
        return Err(not_run(Reason.NO_UPSTREAM, detail, const.RETRY_AFTER_MS))

    async def _wait_for_upstream(
        self, constraints: CallConstraints, end_ms: int
    ) -> UpstreamState | None:
        """Select an upstream; return ``None`` if none is usable before the deadline.

        An exclusive call that finds no idle upstream reserves one and waits until the
        calls in flight there have ended.
        """
        reserved: UpstreamState | None = None
        try:
            while True:
                now = self._clock.now_ms()
                if reserved is not None and not reserved.outstanding:
                    return reserved
                if reserved is None:
                    states = list(self.upstreams.values())
                    upstream = self._selector.choose(states, constraints, now)
                    if upstream is not None:
                        return upstream
                if now + const.SELECTION_RETRY_INTERVAL_MS >= end_ms:
                    return None
                if not self._has_candidates(constraints.excluded):
                    return None
                if constraints.exclusive and reserved is None:
                    reserved = self._reserve(constraints, now)
                await anyio.sleep(seconds(const.SELECTION_RETRY_INTERVAL_MS))
        finally:
            if reserved is not None:
                reserved.exclusive = False

    def _reserve(self, constraints: CallConstraints, now: int) -> UpstreamState | None:
        """Reserve the least busy usable upstream for an exclusive call.

        It gets no new calls until the reservation ends.  At most half of the upstreams,
        but at least one, are reserved or run exclusive calls.
        """
        states = list(self.upstreams.values())
        exclusive_count = sum(1 for state in states if state.exclusive)
        if exclusive_count >= max(1, len(states) // 2):
            return None
        shared = attrs.evolve(constraints, exclusive=False)
        candidates = [state for state in states if is_usable(state, shared, now)]
        if not candidates:
            return None
        least_busy = min(candidates, key=lambda state: state.outstanding)
        least_busy.exclusive = True
        return least_busy

    def _has_candidates(self, excluded: frozenset[str]) -> bool:
        return any(
            not upstream.leaving and name not in excluded
            for name, upstream in self.upstreams.items()
        )

    def _occupy(
        self, upstream: UpstreamState, req: PoolRequest, exclusive: bool
    ) -> Slot:
        now = self._clock.now_ms()
        upstream.outstanding += 1
        upstream.exclusive = exclusive
        if req.prefix and req.prefix in upstream.prefixes:
            self.counts.prefix_hits += 1
        record_prefix(upstream, req.prefix)
        self.counts.calls += 1
        return Slot(upstream, req.fingerprint, exclusive, now)

    def release(
        self, slot: Slot, req: PoolRequest, failure: Refusal | None, done_work: int
    ) -> None:
        """Release a slot and record the result of its call.

        :param failure: refusal of a failed call, ``None`` after a success
        :param done_work: tokens that the upstream processed
        """
        now = self._clock.now_ms()
        upstream = slot.upstream
        upstream.outstanding -= 1
        if slot.alone:
            upstream.exclusive = False
        latency_ms = now - slot.started_ms
        self.counts.busy_ms += latency_ms
        self._record_result(upstream, failure, latency_ms, req.work)
        if failure is None:
            self.latency.record(latency_ms, req.work)
            self.counts.work += done_work
            self._suspects.record_success(req.fingerprint)
        else:
            self.counts.failures += 1
            self.counts.wasted += done_work
        self._queue.charge(req.team, done_work - req.work)
        self._release_grant(req.team)

    def _record_result(
        self,
        upstream: UpstreamState,
        failure: Refusal | None,
        duration_ms: int,
        work: int,
    ) -> None:
        """Update an upstream's circuit breaker with the result of one call.

        A call that reached its deadline before the stall timeout is ignored, since it
        started too late to blame the upstream.

        :param duration_ms: duration of the call
        :param work: estimated work of the call, in tokens
        """
        now = self._clock.now_ms()
        match failure.reason if failure is not None else None:
            case None:
                breaker.record_success(upstream, now, duration_ms)
            case Reason.CONNECT_FAILED:
                breaker.record_unreachable(upstream, now)
            case Reason.UPSTREAM_REFUSED:
                breaker.record_refusal(upstream, now)
            case Reason.DEADLINE_EXCEEDED if duration_ms < self._stall_timeout_ms(work):
                pass
            case _:
                breaker.record_failure(upstream, now)

    def _stall_timeout_ms(self, work: int) -> float:
        """Return the duration from which a call without an answer counts as stalled."""
        expected_ms = const.STALL_LATENCY_FACTOR * self.latency.estimate_ms(work)
        return max(const.MIN_STALL_TIMEOUT_MS, expected_ms)

    def record_crash(self, slot: Slot) -> None:
        """Record in the quarantine that an upstream crashed while it ran a request."""
        wall_ms = self._clock.wall_ms()
        self._suspects.record_crash(slot.fingerprint, slot.alone, wall_ms)

    def _release_grant(self, team: str) -> None:
        self._running[team] -= 1
        if not self._running[team]:
            del self._running[team]
        self.serve_queue()
