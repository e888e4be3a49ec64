"""Estimated state of one model engine: cache, slots, memory and queue.

Load pattern: an engine's memory holds the tokens of running requests and cached prompt
parts, and a burst of long prompts fills it before its slots.  Requests then wait at the
engine, more urgent ones in front.  Fault: the ends of most requests are not reported,
and some reports are lost.
"""

import heapq
from collections import OrderedDict

import attrs

from cowsliphitch.core.deployment.models import EnginePool
from cowsliphitch.core.requests.models import Generation

from . import const
from .speed import PrefillSpeed


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

    :param held_tokens: memory that it needs while it runs
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
    held_tokens: int
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


@attrs.define(eq=False)
class EngineState:
    """Estimated state of one engine.

    :param started_ms: Unix time of the engine's start; a later one means that it has
        restarted with an empty cache
    :param pool: slots and memory, ``None`` if they do not limit it
    :param cached_parts: tokens by prompt part, the least recently used first
    :param dispatches: requests in flight, the oldest first
    :param waiting_tokens: prompt tokens that are not prefilled yet
    :param held_tokens: memory of admitted requests
    :param slowdown: moving average of measured over nominal time to first token, used
        without a pool
    :param backoff_until_ms: monotonic time until which other engines are preferred
    """

    started_ms: int
    pool: EnginePool | None = None
    cached_parts: OrderedDict[str, int] = attrs.Factory(OrderedDict)
    cached_tokens: int = 0
    dispatches: list[Dispatch] = attrs.Factory(list)
    waiting_tokens: int = 0
    held_tokens: int = 0
    admitted: int = 0
    running: int = 0
    slowdown: float = 1.0
    speed: PrefillSpeed = attrs.Factory(PrefillSpeed)
    backoff_until_ms: int = 0

    @property
    def free_slots(self) -> int | None:
        """Return the number of free slots, ``None`` if they are not limited."""
        return None if self.pool is None else self.pool.slots - self.admitted

    @property
    def free_tokens(self) -> int | None:
        """Return the memory that no running request needs, ``None`` if unlimited."""
        return None if self.pool is None else self.pool.kv_tokens - self.held_tokens

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
        admission_ms = self._admission_ms(held_tokens(generation), priority, now_ms)
        wait_ms = max(admission_ms, self._tokens_ahead(priority) * token_ms)
        behind = sum(d.priority > priority for d in self._waiting())
        return Estimate(
            self.speed.first_step_ms + wait_ms + uncached * token_ms + steps_ms,
            wait_ms,
            admission_ms,
            cached,
            uncached * token_ms,
            cached * token_ms,
            self.admitted + behind,
        )

    def queue_ms(self, now_ms: int) -> float:
        """Return how long the least urgent request waits for the others."""
        queue_ms = self.waiting_tokens / self.tokens_per_ms
        if self.pool is None:
            return queue_ms
        priority = max((d.priority for d in self.dispatches), default=0)
        return max(queue_ms, self._admission_ms(0, priority, now_ms))

    def add(
        self, generation: Generation, priority: int, sent_ms: int, now_ms: int
    ) -> Dispatch:
        """Record that a request is sent to the engine, and return its record."""
        expected = self.estimate(generation, priority, now_ms)
        decode_ms = self._decode_ms(generation)
        end_ms: float = sent_ms + round(expected.first_token_ms + decode_ms)
        if self.pool is not None:
            end_ms += expected.first_token_ms + const.LOST_REQUEST_MS
        fits = expected.admission_ms == 0.0
        dispatch = Dispatch(
            self,
            priority,
            held_tokens(generation),
            generation.prompt_tokens - expected.cached_tokens,
            sent_ms,
            decode_ms,
            expected.first_token_ms,
            end_ms,
            admitted=fits,
            waited=not fits,
        )
        self.dispatches.append(dispatch)
        self.waiting_tokens += dispatch.prefill_tokens
        if fits:
            self._hold(dispatch)
        self._cache_prompt(generation)
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
        for begun in (*overdue, dispatch):
            self._set_begun(begun)
            begun.end_ms = now_ms + begun.decode_ms

    def end(self, dispatch: Dispatch) -> None:
        """Record that a request is no longer in flight."""
        self.dispatches.remove(dispatch)
        if dispatch.began:
            self.running -= 1
        else:
            self.waiting_tokens -= dispatch.prefill_tokens
        if dispatch.admitted:
            self.admitted -= 1
            self.held_tokens -= dispatch.held_tokens
        self._admit_waiting()

    def clear_cache(self) -> None:
        """Assume that nothing is cached."""
        self.cached_parts.clear()
        self.cached_tokens = 0

    def cached_prefix_tokens(self, generation: Generation) -> int:
        """Return the length of the prompt prefix that is cached."""
        tokens = 0
        for part in generation.shared_parts:
            if part.id not in self.cached_parts:
                break
            tokens += part.tokens
        return tokens

    def _learn_slowdown(self, dispatch: Dispatch, now_ms: int) -> None:
        sample = (
            (now_ms - dispatch.sent_ms)
            * self.slowdown
            / max(1.0, dispatch.expected_first_token_ms)
        )
        sample = min(const.MAX_SLOWDOWN, max(const.MIN_SLOWDOWN, sample))
        self.slowdown += const.SLOWDOWN_EWMA_WEIGHT * (sample - self.slowdown)

    def _set_begun(self, dispatch: Dispatch) -> None:
        dispatch.began = True
        self.running += 1
        self.waiting_tokens -= dispatch.prefill_tokens
        if not dispatch.admitted:
            self._hold(dispatch)

    def _hold(self, dispatch: Dispatch) -> None:
        dispatch.admitted = True
        self.admitted += 1
        self.held_tokens += dispatch.held_tokens
        self._evict()

    def _waiting(self) -> list[Dispatch]:
        """Return requests without a slot or memory in the order of admission."""
        if self.admitted == len(self.dispatches):
            return []
        waiting = (d for d in self.dispatches if not d.admitted)
        return sorted(waiting, key=lambda d: d.priority)

    def _admit_waiting(self) -> None:
        """Admit waiting requests; the first one that does not fit holds the others."""
        for dispatch in self._waiting():
            if not self._fits(dispatch.held_tokens):
                return
            self._hold(dispatch)

    def _fits(self, tokens: int) -> bool:
        """Return whether a request that needs so much memory is admitted at once."""
        if self.pool is None or not self.admitted:
            return True
        has_memory = self.held_tokens + tokens <= self.pool.kv_tokens
        return self.admitted < self.pool.slots and has_memory

    def _tokens_ahead(self, priority: int) -> int:
        """Return the prompt tokens that are prefilled before those of a new request."""
        behind = (d for d in self._waiting() if d.priority > priority)
        return self.waiting_tokens - sum(d.prefill_tokens for d in behind)

    def _admission_ms(self, tokens: int, priority: int, now_ms: int) -> float:
        """Return the wait of a new request for a slot and memory.

        Running requests free theirs at their expected ends, and those that wait with an
        equal or more urgent priority take them first.
        """
        ahead = [d for d in self._waiting() if d.priority <= priority]
        if self.pool is None or (not ahead and self._fits(tokens)):
            return 0.0
        free_slots = self.pool.slots - self.admitted
        free_tokens = self.pool.kv_tokens - self.held_tokens
        ends = [
            (self._expected_end_ms(d, now_ms), d.held_tokens)
            for d in self.dispatches
            if d.admitted
        ]
        heapq.heapify(ends)
        admitted_ms = float(now_ms)
        demands = [
            (d.held_tokens, d.prefill_tokens * self.speed.token_ms + d.decode_ms)
            for d in ahead[: const.MAX_FOLLOWED_ADMISSIONS]
        ]
        for needed_tokens, duration_ms in (*demands, (tokens, 0.0)):
            while ends and (free_slots < 1 or free_tokens < needed_tokens):
                admitted_ms, freed_tokens = heapq.heappop(ends)
                free_slots += 1
                free_tokens += freed_tokens
            free_slots -= 1
            free_tokens -= needed_tokens
            heapq.heappush(ends, (admitted_ms + duration_ms, needed_tokens))
        return (admitted_ms - now_ms) * (len(ahead) + 1) / (len(demands) + 1)

    def _expected_end_ms(self, dispatch: Dispatch, now_ms: int) -> float:
        if dispatch.began:
            return max(now_ms, dispatch.end_ms)
        return max(now_ms, dispatch.expected_ms) + dispatch.decode_ms

    def _decode_ms(self, generation: Generation) -> float:
        """Return the expected time from a request's first token to its end."""
        if self.pool is None:
            return generation.output_tokens * const.INTER_TOKEN_MS
        step_ms = const.STEP_MS + self.admitted * const.BATCH_STEP_MS_PER_REQUEST
        return expected_output_tokens(generation) * step_ms * self.speed.ratio

    def _cache_prompt(self, generation: Generation) -> None:
        for part in generation.prompt:
            self.cached_tokens -= self.cached_parts.pop(part.id, 0)
            self.cached_parts[part.id] = part.tokens
            self.cached_tokens += part.tokens
        self._evict()

    def _evict(self) -> None:
        """Evict the least recently used parts that running requests leave no room."""
        if self.pool is None:
            room = const.MAX_CACHED_TOKENS
        else:
            room = self.pool.kv_tokens - self.held_tokens
        while self.cached_tokens > room and self.cached_parts:
            _, tokens = self.cached_parts.popitem(last=False)
            self.cached_tokens -= tokens


def expected_output_tokens(generation: Generation) -> float:
    """Return the number of output tokens that a request is expected to produce."""
    return generation.output_tokens * const.EXPECTED_OUTPUT_SHARE


def held_tokens(generation: Generation) -> int:
    """Return the memory in tokens that a request needs while it runs."""
    return generation.prompt_tokens + round(expected_output_tokens(generation))
