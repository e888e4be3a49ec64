"""Estimated state of one model engine: cache, slots, memory and queue.

Load pattern: an engine's memory holds the tokens of running requests and cached prompt
parts, and a burst of long prompts fills it before its slots.  Requests then wait at the
engine, more urgent ones in front.  Fault: the ends of most requests are not reported,
and some reports are lost.
"""

import bisect
import heapq
import sys
from typing import Final

import attrs

from cowsliphitch.core.deployment.models import EnginePool
from cowsliphitch.core.requests.models import Generation

from . import const
from .memory import Demand, EngineMemory, HeldMemory
from .speed import PrefillSpeed

# Priority of a request that is admitted after all others.
_LEAST_URGENT: Final = sys.maxsize


@attrs.frozen
class Estimate:
    """What a request can expect at an engine.

    :param first_token_ms: time to its first token
    :param wait_ms: part of that time in which it waits for other requests
    :param admission_ms: part of the wait for a slot or for memory
    :param cached_tokens: length of the prompt prefix that is cached
    :param prefill_ms: prefill time of the rest of the prompt
    :param saved_ms: prefill time that the cached prefix saves
    :param delayed_requests: other requests that its prefill delays
    """

    first_token_ms: float
    wait_ms: float
    admission_ms: float
    cached_tokens: int
    prefill_ms: float
    saved_ms: float
    delayed_requests: int


@attrs.define(eq=False)
class Dispatch:
    """A request that was dispatched to an engine and has not ended.

    :param demand: memory that it needs while it runs
    :param prefill_tokens: prompt tokens that the engine has to prefill
    :param sent_ms: monotonic time at which the request is sent to the engine
    :param decode_ms: expected time from the first token to the end
    :param expected_first_token_ms: expected time from sending to the first token
    :param end_ms: monotonic time after which the request counts as ended
    :param admitted: it has a slot and memory
    :param waited: it was not admitted at once
    :param began: it has produced its first token
    """

    engine: "EngineState"
    priority: int
    demand: Demand
    prefill_tokens: int
    sent_ms: int
    decode_ms: float
    expected_first_token_ms: float
    end_ms: float
    admitted: bool
    waited: bool
    began: bool = False

    @property
    def expected_ms(self) -> float:
        """Return the monotonic time of the expected first token."""
        return self.sent_ms + self.expected_first_token_ms

    def expected_end_ms(self, now_ms: int) -> float:
        """Return the monotonic time of the expected end."""
        if self.began:
            return max(now_ms, self.end_ms)
        return max(now_ms, self.expected_ms) + self.decode_ms


@attrs.define
class _Admissions:
    """Expected admissions of waiting requests at an engine, one after the other.

    :ivar held: memory of the requests that run after the latest admission
    :ivar ends: heap of the expected ends of these requests
    :ivar admitted_ms: monotonic time of the latest admission
    """

    pool: EnginePool
    held: HeldMemory
    ends: list[tuple[float, int, Demand]]
    admitted_ms: float

    def admit(self, demand: Demand, duration_ms: float) -> None:
        """Admit a request as soon as enough of the running ones have ended."""
        while self.ends and not self._fits(demand):
            self._end_next()
        self.held.hold(demand)
        end_ms = self.admitted_ms + duration_ms
        heapq.heappush(self.ends, (end_ms, id(demand), demand))

    def free_slot(self) -> None:
        """End running requests until a slot is free, as every further one needs it."""
        while len(self.ends) >= self.pool.slots:
            self._end_next()

    def next_ms(self, demand: Demand) -> float:
        """Return when a further request is admitted, without admitting it."""
        after = _Admissions(
            self.pool, self.held.copy(), self.ends.copy(), self.admitted_ms
        )
        after.admit(demand, 0.0)
        return after.admitted_ms

    def _end_next(self) -> None:
        self.admitted_ms, _, ended = heapq.heappop(self.ends)
        self.held.release(ended)

    def _fits(self, demand: Demand) -> bool:
        tokens = self.held.tokens + self.held.missing_tokens(demand)
        return len(self.ends) < self.pool.slots and tokens <= self.pool.kv_tokens


@attrs.frozen
class _Queue:
    """What a new request of one priority finds at an engine.

    :param ahead: waiting requests that are admitted before it
    :param followed: those of them that are in ``admissions``
    :param behind: waiting requests that are admitted after it
    :param behind_tokens: prompt tokens of these
    :param estimated_ms: monotonic time at which the ends were estimated
    """

    ahead: int
    followed: int
    behind: int
    behind_tokens: int
    admissions: _Admissions | None
    estimated_ms: int


_NO_QUEUE: Final = _Queue(0, 0, 0, 0, None, 0)


@attrs.define(eq=False)
class EngineState:
    """Estimated state of one engine.

    :param started_ms: Unix time of the engine's start; a later one means that it has
        restarted with an empty cache
    :param pool: slots and memory, ``None`` if they do not limit it
    :param memory: parts of admitted requests and cached parts
    :param dispatches: requests in flight, the oldest first
    :param waiting: requests without a slot or memory in the order of admission
    :param waiting_tokens: prompt tokens that are not prefilled yet
    :param slowdown: moving average of measured over nominal time to first token, used
        without a pool
    :param backoff_until_ms: monotonic time until which other engines are preferred
    :param max_cached_parts: number of cached parts that are remembered
    """

    started_ms: int
    pool: EnginePool | None = None
    memory: EngineMemory = attrs.Factory(EngineMemory)
    dispatches: list[Dispatch] = attrs.Factory(list)
    waiting: list[Dispatch] = attrs.Factory(list)
    waiting_tokens: int = 0
    admitted: int = 0
    running: int = 0
    slowdown: float = 1.0
    speed: PrefillSpeed = attrs.Factory(PrefillSpeed)
    backoff_until_ms: int = 0
    max_cached_parts: int = const.MAX_CACHED_PARTS
    # Queues by priority, until a request is added, begins or ends.
    _queues: dict[int, _Queue] = attrs.Factory(dict)

    @property
    def free_slots(self) -> int | None:
        """Return the number of free slots, ``None`` if they are not limited."""
        return None if self.pool is None else max(0, self.pool.slots - self.admitted)

    @property
    def free_tokens(self) -> int | None:
        """Return the memory that no running request needs, ``None`` if unlimited."""
        if self.pool is None:
            return None
        return max(0, self.pool.kv_tokens - self.memory.held.tokens)

    @property
    def tokens_per_ms(self) -> float:
        """Return the expected prefill speed."""
        if self.pool is None:
            return const.PREFILL_TOKENS_PER_MS / self.slowdown
        return self.speed.tokens_per_ms

    def estimate(self, generation: Generation, priority: int, now_ms: int) -> Estimate:
        """Return what a request can expect that is sent now."""
        cached = self.cached_prefix_tokens(generation)
        uncached = generation.prompt_tokens - cached
        steps_ms = self.running * const.STEP_MS_PER_RUNNING_REQUEST
        if self.pool is None:
            token_ms = self.slowdown / const.PREFILL_TOKENS_PER_MS
            prefill_ms = (self.waiting_tokens + uncached) / const.PREFILL_TOKENS_PER_MS
            return Estimate(
                (const.FIRST_STEP_MS + prefill_ms + steps_ms) * self.slowdown,
                self.waiting_tokens * token_ms,
                0.0,
                cached,
                uncached * token_ms,
                cached * token_ms,
                self.running,
            )
        token_ms = self.speed.token_ms
        demand = Demand.of(generation)
        queue = self._queue(demand, priority, now_ms)
        admission_ms = self._admission_ms(demand, queue, now_ms)
        tokens_ahead = self.waiting_tokens - queue.behind_tokens
        wait_ms = max(admission_ms, tokens_ahead * token_ms)
        return Estimate(
            self.speed.first_step_ms + wait_ms + uncached * token_ms + steps_ms,
            wait_ms,
            admission_ms,
            cached,
            uncached * token_ms,
            cached * token_ms,
            self.admitted + queue.behind,
        )

    def queue_ms(self, now_ms: int) -> float:
        """Return how long the least urgent request waits for the others."""
        queue_ms = self.waiting_tokens / self.tokens_per_ms
        if self.pool is None:
            return queue_ms
        demand = Demand()
        queue = self._queue(demand, _LEAST_URGENT, now_ms)
        return max(queue_ms, self._admission_ms(demand, queue, now_ms))

    def add(
        self, generation: Generation, priority: int, sent_ms: int, now_ms: int
    ) -> Dispatch:
        """Record that a request is sent to the engine, and return its record."""
        expected = self.estimate(generation, priority, now_ms)
        decode_ms = self._decode_ms(generation)
        end_ms: float = sent_ms + round(expected.first_token_ms + decode_ms)
        if self.pool is not None:
            end_ms += expected.first_token_ms + const.LOST_REQUEST_MS
        demand = Demand.of(generation)
        fits = self._fits(demand) and not self._count_ahead(priority)
        dispatch = Dispatch(
            self,
            priority,
            demand,
            generation.prompt_tokens - expected.cached_tokens,
            sent_ms,
            decode_ms,
            expected.first_token_ms,
            end_ms,
            admitted=fits,
            waited=not fits,
        )
        self._queues.clear()
        self.dispatches.append(dispatch)
        self.waiting_tokens += dispatch.prefill_tokens
        if fits:
            self._hold(dispatch)
        else:
            bisect.insort(self.waiting, dispatch, key=lambda d: d.priority)
        self.memory.cache(generation.prompt)
        self._evict()
        return dispatch

    def begin(self, dispatch: Dispatch, now_ms: int) -> None:
        """Record a request's first token, and learn the engine's speed from it."""
        if self.pool is None:
            self._learn_slowdown(dispatch, now_ms)
            self._set_begun(dispatch)
            return
        other_ms = self.running * const.STEP_MS_PER_RUNNING_REQUEST
        self.speed.record_first_token(
            dispatch.prefill_tokens,
            dispatch.sent_ms,
            now_ms,
            other_ms,
            measures=not dispatch.waited,
        )
        overdue = [
            d
            for d in self.dispatches
            if not d.began
            and d.sent_ms < dispatch.sent_ms
            and d.priority <= dispatch.priority
            and d.expected_ms + const.LOST_REPORT_MS < now_ms
        ]
        self._release_slot(dispatch, now_ms)
        for begun in (*overdue, dispatch):
            self._set_begun(begun)
            begun.end_ms = now_ms + begun.decode_ms

    def end(self, dispatch: Dispatch) -> None:
        """Record that a request is no longer in flight."""
        self._queues.clear()
        self.dispatches.remove(dispatch)
        if dispatch.began:
            self.running -= 1
        else:
            self.waiting_tokens -= dispatch.prefill_tokens
        if dispatch.admitted:
            self.admitted -= 1
            self.memory.release(dispatch.demand)
            self._evict()
        else:
            self.waiting.remove(dispatch)
        self._admit_waiting()

    def clear_cache(self) -> None:
        """Assume that nothing is cached."""
        self.memory.clear_cache()

    def cached_prefix_tokens(self, generation: Generation) -> int:
        """Return the length of the prompt prefix that is cached."""
        tokens = 0
        for part in generation.shared_parts:
            if part.id not in self.memory.cached_parts:
                break
            tokens += part.tokens
        return min(tokens, generation.prompt_tokens)

    def _learn_slowdown(self, dispatch: Dispatch, now_ms: int) -> None:
        sample = (
            (now_ms - dispatch.sent_ms)
            * self.slowdown
            / max(1.0, dispatch.expected_first_token_ms)
        )
        sample = min(const.MAX_SLOWDOWN, max(const.MIN_SLOWDOWN, sample))
        self.slowdown += const.SLOWDOWN_EWMA_WEIGHT * (sample - self.slowdown)

    def _release_slot(self, dispatch: Dispatch, now_ms: int) -> None:
        """Count a running request as ended if one begins while no slot seems free.

        Most ends are not reported, and answers may be shorter than expected.
        """
        if self.pool is None or dispatch.admitted or self.admitted < self.pool.slots:
            return
        running = (d for d in self.dispatches if d.began and d.end_ms > now_ms)
        ended = min(running, key=lambda d: d.end_ms, default=None)
        if ended is not None:
            ended.end_ms = now_ms

    def _set_begun(self, dispatch: Dispatch) -> None:
        self._queues.clear()
        dispatch.began = True
        self.running += 1
        self.waiting_tokens -= dispatch.prefill_tokens
        if not dispatch.admitted:
            self.waiting.remove(dispatch)
            self._hold(dispatch)

    def _hold(self, dispatch: Dispatch) -> None:
        dispatch.admitted = True
        self.admitted += 1
        self.memory.hold(dispatch.demand)
        self._evict()

    def _admit_waiting(self) -> None:
        """Admit waiting requests; the first one that does not fit holds the others."""
        while self.waiting and self._fits(self.waiting[0].demand):
            self._hold(self.waiting.pop(0))

    def _fits(self, demand: Demand) -> bool:
        """Return whether a request is admitted at once if no other one waits."""
        if self.pool is None or not self.admitted:
            return True
        held = self.memory.held
        has_memory = held.tokens + held.missing_tokens(demand) <= self.pool.kv_tokens
        return self.admitted < self.pool.slots and has_memory

    def _count_ahead(self, priority: int) -> int:
        """Return the number of waiting requests that are admitted before a new one."""
        return bisect.bisect_right(self.waiting, priority, key=lambda d: d.priority)

    def _queue(self, demand: Demand, priority: int, now_ms: int) -> _Queue:
        """Return what a new request finds, from the last estimate if it is recent."""
        if not self.waiting and self._fits(demand):
            return _NO_QUEUE
        queue = self._queues.get(priority)
        if queue is None or now_ms - queue.estimated_ms >= const.QUEUE_VALID_MS:
            queue = self._queues[priority] = self._make_queue(priority, now_ms)
        return queue

    def _make_queue(self, priority: int, now_ms: int) -> _Queue:
        count = self._count_ahead(priority)
        ahead, behind = self.waiting[:count], self.waiting[count:]
        followed = ahead[: const.MAX_FOLLOWED_ADMISSIONS]
        behind_tokens = sum(d.prefill_tokens for d in behind)
        admissions = self._admissions(followed, now_ms)
        return _Queue(
            len(ahead), len(followed), len(behind), behind_tokens, admissions, now_ms
        )

    def _admissions(self, followed: list[Dispatch], now_ms: int) -> _Admissions | None:
        """Return the admissions of waiting requests.

        Running requests free their slots and memory at their expected ends.
        """
        if self.pool is None:
            return None
        ends = [
            (d.expected_end_ms(now_ms), id(d.demand), d.demand)
            for d in self.dispatches
            if d.admitted
        ]
        heapq.heapify(ends)
        admissions = _Admissions(
            self.pool, self.memory.held.copy(), ends, float(now_ms)
        )
        for d in followed:
            prefill_ms = d.prefill_tokens * self.speed.token_ms
            admissions.admit(d.demand, prefill_ms + d.decode_ms)
        admissions.free_slot()
        return admissions

    def _admission_ms(self, demand: Demand, queue: _Queue, now_ms: int) -> float:
        """Return the wait of a new request for a slot and memory.

        Those that wait with an equal or more urgent priority take them first.
        """
        if queue.admissions is None or (not queue.ahead and self._fits(demand)):
            return 0.0
        wait_ms = max(0.0, queue.admissions.next_ms(demand) - now_ms)
        return wait_ms * (queue.ahead + 1) / (queue.followed + 1)

    def _decode_ms(self, generation: Generation) -> float:
        """Return the expected time from a request's first token to its end."""
        if self.pool is None:
            return generation.output_tokens * const.INTER_TOKEN_MS
        step_ms = const.STEP_MS + self.admitted * const.BATCH_STEP_MS_PER_REQUEST
        return expected_output_tokens(generation) * step_ms * self.speed.ratio

    def _evict(self) -> None:
        """Evict cached parts for which running requests leave no room."""
        memory_tokens = None if self.pool is None else self.pool.kv_tokens
        self.memory.evict(memory_tokens, self.max_cached_parts)


def expected_output_tokens(generation: Generation) -> float:
    """Return the number of output tokens that a request is expected to produce."""
    return generation.output_tokens * const.EXPECTED_OUTPUT_SHARE
