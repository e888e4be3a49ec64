"""Run a pipeline: one stage after another under one deadline."""

from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import aclosing

import attrs
from result import Err, Ok, Result

from cowsliphitch.core.clock import Clock
from cowsliphitch.core.forecast.model import StageForecast, can_finish
from cowsliphitch.core.serving.models import (
    PREFIX_CHARS,
    Finished,
    PipelineEvent,
    PipelineRequest,
    Refused,
    TokenLines,
    estimate_work,
    fingerprint,
)
from cowsliphitch.core.settings.models import Policy, PoolKind, Stage
from cowsliphitch.core.verdict import Reason, Refusal, Verdict, not_run
from cowsliphitch.upstreams.engines.client import Chunk, End, Failed, generate
from cowsliphitch.upstreams.engines.models import GenerateBody
from cowsliphitch.upstreams.pool.coordinator import PoolCoordinator
from cowsliphitch.upstreams.pool.models import PoolRequest, Slot
from cowsliphitch.upstreams.stages.client import StageBody, run_stage
from cowsliphitch.upstreams.transport.client import UpstreamClient
from cowsliphitch.upstreams.transport.models import Call, StageAnswer

from .attempts import CANCELLED, Attempts

RETRY_AFTER_MS = 1_000


class PipelineRunner:
    """Run pipelines over the daemon's pools.

    :param on_suspicion: tells the peers about a request that crashed an upstream
    """

    def __init__(
        self,
        pools: dict[str, PoolCoordinator],
        client: UpstreamClient,
        clock: Clock,
        on_suspicion: Callable[[], Awaitable[None]],
    ) -> None:
        """Use the daemon's pools."""
        self._pools = pools
        self._client = client
        self._clock = clock
        self._on_suspicion = on_suspicion
        self.policy = Policy()

    async def run(self, req: PipelineRequest) -> AsyncGenerator[PipelineEvent, None]:
        """Run all stages; the last event is Finished or Refused."""
        text = req.input
        for stage in req.pipeline.stages:
            work = estimate_work(text, stage.max_tokens)
            self._pools[stage.pool].note_offered(req.team, work)
        for index, stage in enumerate(req.pipeline.stages):
            if not self._can_finish(req, index, text):
                yield Refused(_late(stage, ran=index > 0))
                return
            pool = self._pools[stage.pool]
            if pool.cfg.pool.kind is PoolKind.ENGINE:
                async for event in self._generate(req, stage, text, ran=index > 0):
                    yield event
                return
            match await self._run_stage(req, stage, text):
                case Err(refusal):
                    yield Refused(_placed(refusal, stage, ran=index > 0))
                    return
                case Ok(answer):
                    text = answer.output
        yield Finished(text)

    def _can_finish(self, req: PipelineRequest, index: int, text: str) -> bool:
        """Tell whether the remaining stages fit the deadline, by forecast."""
        left_ms = req.deadline_ms - self._clock.now_ms()
        if left_ms <= 0:
            return False
        if not self.policy.forecast:
            return True
        return can_finish(self._forecasts(req, index, text), left_ms)

    def _forecasts(
        self, req: PipelineRequest, index: int, text: str
    ) -> list[StageForecast]:
        return [
            self._pools[stage.pool].forecast(
                req.team, estimate_work(text, stage.max_tokens)
            )
            for stage in req.pipeline.stages[index:]
        ]

    def _attempts(self, req: PipelineRequest, stage: Stage, text: str) -> Attempts:
        pool_request = PoolRequest(
            team=req.team,
            work=estimate_work(text, stage.max_tokens),
            end_ms=req.deadline_ms,
            fingerprint=fingerprint(req.team, req.name, req.input),
            prefix=fingerprint(text[:PREFIX_CHARS]) if stage.max_tokens else "",
        )
        return Attempts(
            pool=self._pools[stage.pool],
            clock=self._clock,
            request=req.id,
            req=pool_request,
            may_repeat=True,
            on_suspicion=self._on_suspicion,
        )

    async def _run_stage(
        self, req: PipelineRequest, stage: Stage, text: str
    ) -> Result[StageAnswer, Refusal]:
        body = StageBody(stage.name, text)
        refuses = self._pools[stage.pool].cfg.pool.refuses_before_running

        async def send(address: str, call: Call) -> Result[StageAnswer, Refusal]:
            return await run_stage(self._client, address, body, call, refuses)

        return await self._attempts(req, stage, text).run(send)

    async def _generate(
        self, req: PipelineRequest, stage: Stage, text: str, ran: bool
    ) -> AsyncGenerator[PipelineEvent, None]:
        """Stream tokens; a cut stream is resumed at another engine."""
        attempts = self._attempts(req, stage, text)
        attempts.pool.budget.record_first_attempt()
        done = 0
        while True:
            match await attempts.acquire():
                case Err(refusal):
                    whole = attempts.whole(refusal)
                    yield Refused(_placed(whole, stage, ran or done > 0))
                    return
                case Ok(slot):
                    pass
            failed: Failed | None = None
            stream = self._stream(attempts, slot, stage, text, done)
            async with aclosing(stream) as events:
                async for event in events:
                    match event:
                        case Chunk(lines, next_index):
                            done = next_index
                            yield TokenLines(lines)
                        case End(tokens):
                            yield Finished("", tokens)
                            return
                        case Failed():
                            failed = event
            assert failed is not None, "a stream ends with End or Failed"
            await attempts.note_failure(slot, failed.refusal)
            if not attempts.may_retry(failed.refusal):
                whole = attempts.whole(failed.refusal)
                yield Refused(_placed(whole, stage, ran or done > 0))
                return

    async def _stream(
        self, attempts: Attempts, slot: Slot, stage: Stage, text: str, done: int
    ) -> AsyncGenerator[Chunk | End | Failed, None]:
        """Stream from one engine and give its slot back."""
        left_ms = max(0, attempts.req.end_ms - self._clock.now_ms())
        body = GenerateBody(text, stage.max_tokens, done, priority=left_ms)
        refuses = attempts.pool.cfg.pool.refuses_before_running
        failure: Refusal | None = CANCELLED
        next_index = done
        call = attempts.new_call()
        address = slot.upstream.address
        try:
            events = generate(self._client, self._clock, address, body, call, refuses)
            async with aclosing(events):
                async for event in events:
                    match event:
                        case Failed(refusal):
                            failure = refusal
                        case End():
                            failure = None
                        case Chunk():
                            next_index = event.next_index
                    yield event
        finally:
            work = estimate_work(text) + next_index - done
            attempts.release(slot, failure, work)


def _late(stage: Stage, ran: bool) -> Refusal:
    detail = "the remaining stages are not expected to fit the deadline"
    refusal = not_run(Reason.DEADLINE_UNREACHABLE, detail, RETRY_AFTER_MS)
    return _placed(refusal, stage, ran)


def _placed(refusal: Refusal, stage: Stage, ran: bool) -> Refusal:
    """Name the stage; once an earlier stage ran, the request did run."""
    verdict = Verdict.RAN if ran else refusal.verdict
    return attrs.evolve(refusal, stage=str(stage.name), verdict=verdict)
