"""One pool: its upstreams, its queue, and the slots that this daemon may use."""

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
    """Grant slots in fair order and choose the upstream for each.

    Teams that want more than their part of the pool are held to a cap, which the
    division among daemons sets.
    """

    def __init__(
        self,
        name: str,
        cfg: PoolConfig,
        failure_domain: str,
        clock: Clock,
        suspects: SuspectRegistry,
    ) -> None:
        """Start without upstreams."""
        self.name = name
        self.cfg = cfg
        self._failure_domain = failure_domain
        self._clock = clock
        self._suspects = suspects
        self._queue = make_queue(cfg.policy.queueing)
        self._queue.set_shares(cfg.shares)
        self._chooser = UpstreamSelector(cfg.policy.routing, random.Random(0))
        self._numbers = itertools.count()
        self._granted: dict[int, anyio.Event] = {}
        self._running: dict[str, int] = {}
        self._offered = OfferedLoad()
        self.upstreams: dict[str, UpstreamState] = {}
        self.latency = StageLatency()
        self.budget = TokenBucketRetryBudget(cfg.policy.retry_ratio)
        self.counts = StageCounts()
        self.caps: dict[str, int] = {}

    @property
    def capacity(self) -> int:
        """Return the slots of all upstreams that may get work."""
        return sum(u.slots for u in self.upstreams.values() if not u.leaving)

    @property
    def running(self) -> int:
        """Return the slots in use by this daemon."""
        return sum(self._running.values())

    @property
    def queue_length(self) -> int:
        """Return how many requests wait."""
        return len(self._queue)

    def waiting_work(self, team: str) -> int:
        """Return the work that waits for a team, in tokens."""
        return self._queue.waiting_work().get(team, 0)

    def note_offered(self, team: str, work: int) -> None:
        """Count work that a team offers, whether it is admitted or not."""
        self._offered.record(team, work, self._clock.now_ms())

    def demand(self) -> dict[str, float]:
        """Return what each team offered lately, in slots."""
        rates = self._offered.rates(self._clock.now_ms())
        ms_per_unit = self.latency.service_ms_per_unit
        return {team: rate * ms_per_unit for team, rate in rates.items()}

    def apply(self, cfg: PoolConfig) -> None:
        """Use new settings from now on; waiting requests keep their place."""
        old = self.cfg.policy
        if cfg.policy.routing is not old.routing:
            self._chooser = UpstreamSelector(cfg.policy.routing, random.Random(0))
        if cfg.policy.queueing is not old.queueing and not len(self._queue):
            self._queue = make_queue(cfg.policy.queueing)
        self.cfg = cfg
        self.budget.ratio = cfg.policy.retry_ratio
        self._queue.set_shares(cfg.shares)
        for upstream in self.upstreams.values():
            upstream.slots = cfg.pool.slots
        self.serve_queue()

    def set_upstreams(self, listed: Iterable[UpstreamState]) -> None:
        """Take over the pool's members; what is known of a member is kept."""
        fresh = {upstream.name: upstream for upstream in listed}
        for name, upstream in fresh.items():
            known = self.upstreams.get(name)
            if known is not None and known.address == upstream.address:
                known.leaving = upstream.leaving
                fresh[name] = known
        self.upstreams = fresh
        self.serve_queue()

    def forecast(self, team: str, work: int) -> StageForecast:
        """Return what one call of a team is expected to take in this pool."""
        waiting = self._queue.waiting_work()
        cap = self.caps.get(team)
        if cap is not None:
            return StageForecast(self.latency, work, cap, waiting.get(team, 0))
        total = sum(waiting.values())
        return StageForecast(self.latency, work, self.capacity, total)

    async def acquire(
        self, req: PoolRequest, avoid: frozenset[str] = frozenset()
    ) -> Result[Slot, Refusal]:
        """Wait for a fair turn, then take a slot at an upstream.

        :param avoid: upstreams that this request tried already
        """
        if len(self._queue) >= self.cfg.max_queue:
            detail = f"too many requests wait for {self.name}"
            return Err(not_run(Reason.QUEUE_FULL, detail, const.RETRY_AFTER_MS))
        ticket = QueuedRequest(req.team, req.work, req.end_ms, next(self._numbers))
        if not await self._turn(ticket):
            detail = f"the deadline passed in the queue of {self.name}"
            return Err(not_run(Reason.DEADLINE_EXCEEDED, detail))
        try:
            return await self._place(req, avoid)
        except BaseException:
            self._finish(req.team)
            raise

    async def _turn(self, ticket: QueuedRequest) -> bool:
        """Wait until the ticket is granted; ``False`` if its deadline passes."""
        event = anyio.Event()
        self._granted[ticket.sequence] = event
        self._queue.push(ticket)
        self.serve_queue()
        try:
            left_ms = ticket.deadline_ms - self._clock.now_ms()
            with anyio.move_on_after(seconds(left_ms)):
                await event.wait()
        except BaseException:
            self._give_up(ticket, event)
            raise
        return self._give_up(ticket, event) if not event.is_set() else True

    def _give_up(self, ticket: QueuedRequest, event: anyio.Event) -> bool:
        """Leave the queue, or hand back the turn that came too late."""
        if event.is_set():
            self._finish(ticket.team)
        elif self._granted.pop(ticket.sequence, None) is not None:
            self._queue.remove(ticket)
        return False

    def serve_queue(self) -> None:
        """Grant turns while slots are free, except to teams at their cap."""
        while len(self._queue) and self.running < self.capacity:
            ticket = self._queue.pop(self._clock.now_ms(), self._teams_at_cap())
            if ticket is None:
                return
            self._running[ticket.team] = self._running.get(ticket.team, 0) + 1
            self._granted.pop(ticket.sequence).set()

    def _teams_at_cap(self) -> frozenset[str]:
        return frozenset(
            team for team, cap in self.caps.items() if self._running.get(team, 0) >= cap
        )

    async def _place(
        self, req: PoolRequest, avoid: frozenset[str]
    ) -> Result[Slot, Refusal]:
        """Choose an upstream, waiting for a usable one until the deadline."""
        standing = self._suspects.status(req.fingerprint, self._clock.wall_ms())
        if standing is QuarantineStatus.QUARANTINED:
            self._finish(req.team)
            detail = "requests like this one crashed upstreams"
            return Err(not_run(Reason.QUARANTINED, detail))
        alone = standing is QuarantineStatus.SUSPECT
        wanted = CallConstraints(self._failure_domain, req.prefix, alone, avoid)
        chosen = await self._wait_for_upstream(wanted, req.end_ms)
        if chosen is not None:
            return Ok(self._take(chosen, req, alone))
        self._finish(req.team)
        detail = f"no upstream of {self.name} is usable"
        return Err(not_run(Reason.NO_UPSTREAM, detail, const.RETRY_AFTER_MS))

    async def _wait_for_upstream(
        self, wanted: CallConstraints, end_ms: int
    ) -> UpstreamState | None:
        """Choose an upstream; a lone call may first have to empty one."""
        reserved: UpstreamState | None = None
        try:
            while True:
                now = self._clock.now_ms()
                if reserved is not None and not reserved.outstanding:
                    return reserved
                if reserved is None:
                    states = list(self.upstreams.values())
                    chosen = self._chooser.choose(states, wanted, now)
                    if chosen is not None:
                        return chosen
                if now + const.CHOICE_RETRY_MS >= end_ms:
                    return None
                if not self._any_left(wanted.excluded):
                    return None
                if wanted.exclusive and reserved is None:
                    reserved = self._reserve(wanted, now)
                await anyio.sleep(seconds(const.CHOICE_RETRY_MS))
        finally:
            if reserved is not None:
                reserved.exclusive = False

    def _reserve(self, wanted: CallConstraints, now: int) -> UpstreamState | None:
        """Keep new calls from one upstream, so that it empties for a lone call.

        At most half of the upstreams are reserved or used by lone calls.
        """
        states = list(self.upstreams.values())
        taken = sum(1 for state in states if state.exclusive)
        if taken >= max(1, len(states) // 2):
            return None
        shared = attrs.evolve(wanted, exclusive=False)
        ready = [state for state in states if is_usable(state, shared, now)]
        if not ready:
            return None
        emptiest = min(ready, key=lambda state: state.outstanding)
        emptiest.exclusive = True
        return emptiest

    def _any_left(self, avoid: frozenset[str]) -> bool:
        return any(
            not upstream.leaving and name not in avoid
            for name, upstream in self.upstreams.items()
        )

    def _take(self, upstream: UpstreamState, req: PoolRequest, alone: bool) -> Slot:
        now = self._clock.now_ms()
        upstream.outstanding += 1
        upstream.exclusive = alone
        if req.prefix and req.prefix in upstream.prefixes:
            self.counts.prefix_hits += 1
        record_prefix(upstream, req.prefix)
        self.counts.calls += 1
        return Slot(upstream, req.fingerprint, alone, now)

    def release(
        self, slot: Slot, req: PoolRequest, failure: Refusal | None, done_work: int
    ) -> None:
        """Give a slot back and learn from what happened.

        :param done_work: tokens that the upstream worked on
        """
        now = self._clock.now_ms()
        upstream = slot.upstream
        upstream.outstanding -= 1
        if slot.alone:
            upstream.exclusive = False
        latency_ms = now - slot.started_ms
        self.counts.busy_ms += latency_ms
        self._learn(upstream, failure, latency_ms, req.work)
        if failure is None:
            self.latency.record(latency_ms, req.work)
            self.counts.work += done_work
            self._suspects.record_success(req.fingerprint)
        else:
            self.counts.failures += 1
            self.counts.wasted += done_work
        self._queue.charge(req.team, done_work - req.work)
        self._finish(req.team)

    def _learn(
        self, upstream: UpstreamState, failure: Refusal | None, ms: int, work: int
    ) -> None:
        """Judge an upstream by one call.

        A deadline that passes soon after the call began is not the upstream's fault.
        """
        now = self._clock.now_ms()
        match failure.reason if failure is not None else None:
            case None:
                breaker.record_success(upstream, now, ms)
            case Reason.CONNECT_FAILED:
                breaker.record_unreachable(upstream, now)
            case Reason.UPSTREAM_REFUSED:
                breaker.record_refusal(upstream, now)
            case Reason.DEADLINE_EXCEEDED if ms < self._patience_ms(work):
                pass
            case _:
                breaker.record_failure(upstream, now)

    def _patience_ms(self, work: int) -> float:
        """Return how long a call may take before its upstream is held for stuck."""
        expected_ms = const.PATIENCE_FACTOR * self.latency.estimate_ms(work)
        return max(const.LEAST_PATIENCE_MS, expected_ms)

    def note_crash(self, slot: Slot) -> None:
        """Put a request under suspicion whose upstream crashed."""
        wall_ms = self._clock.wall_ms()
        self._suspects.record_crash(slot.fingerprint, slot.alone, wall_ms)

    def _finish(self, team: str) -> None:
        self._running[team] -= 1
        if not self._running[team]:
            del self._running[team]
        self.serve_queue()
