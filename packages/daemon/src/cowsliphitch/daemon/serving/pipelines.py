"""Execution of pipelines: stages run in sequence under one deadline."""

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
    """Runs the stages of pipelines at the daemon's pools.

    :param on_suspicion: called after a crash to report the suspect request to peers
    """

    def __init__(
        self,
        pools: dict[str, PoolCoordinator],
        upstream_client: UpstreamClient,
        clock: Clock,
        on_suspicion: Callable[[], Awaitable[None]],
    ) -> None:
        """Initialize with the default policy."""
        self._pools = pools
        self._upstream_client = upstream_client
        self._clock = clock
        self._on_suspicion = on_suspicion
        self.policy = Policy()

    async def run(self, req: PipelineRequest) -> AsyncGenerator[PipelineEvent, None]:
        """Run all stages, and stream the tokens of an engine stage.

        :returns: events, of which the last is Finished or Refused
        """
        text = req.input
        for stage in req.pipeline.stages:
            work = estimate_work(text, stage.max_tokens)
            self._pools[stage.pool].record_offered_load(req.team, work)
        for index, stage in enumerate(req.pipeline.stages):
            if not self._can_finish(req, index, text):
                yield Refused(_deadline_unreachable(stage, has_run=index > 0))
                return
            pool = self._pools[stage.pool]
            if pool.cfg.pool.kind is PoolKind.ENGINE:
                async for event in self._generate(req, stage, text, has_run=index > 0):
                    yield event
                return
            match await self._run_stage(req, stage, text):
                case Err(refusal):
                    yield Refused(_with_stage(refusal, stage, has_run=index > 0))
                    return
                case Ok(answer):
                    text = answer.output
        yield Finished(text)

    def _can_finish(self, req: PipelineRequest, index: int, text: str) -> bool:
        """Return whether the remaining stages are expected to meet the deadline."""
        remaining_ms = req.deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            return False
        if not self.policy.forecast:
            return True
        return can_finish(self._forecasts(req, index, text), remaining_ms)

    def _forecasts(
        self, req: PipelineRequest, index: int, text: str
    ) -> list[StageForecast]:
        return [
            self._pools[stage.pool].forecast(
                req.team, estimate_work(text, stage.max_tokens)
            )
            for stage in req.pipeline.stages[index:]
        ]

    def _new_attempts(self, req: PipelineRequest, stage: Stage, text: str) -> Attempts:
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
            request_id=req.id,
            pool_request=pool_request,
            is_repeatable=True,
            on_suspicion=self._on_suspicion,
        )

    async def _run_stage(
        self, req: PipelineRequest, stage: Stage, text: str
    ) -> Result[StageAnswer, Refusal]:
        body = StageBody(stage.name, text)
        refuses_before_running = self._pools[stage.pool].cfg.pool.refuses_before_running

        async def send(address: str, call: Call) -> Result[StageAnswer, Refusal]:
            return await run_stage(
                self._upstream_client, address, body, call, refuses_before_running
            )

        return await self._new_attempts(req, stage, text).run(send)

    async def _generate(
        self, req: PipelineRequest, stage: Stage, text: str, has_run: bool
    ) -> AsyncGenerator[PipelineEvent, None]:
        """Stream tokens from an engine; resume a broken stream at another engine."""
        attempts = self._new_attempts(req, stage, text)
        attempts.pool.budget.record_first_attempt()
        next_token_index = 0
        while True:
            match await attempts.acquire():
                case Err(refusal):
                    combined = attempts.combine_refusals(refusal)
                    yield Refused(
                        _with_stage(combined, stage, has_run or next_token_index > 0)
                    )
                    return
                case Ok(slot):
                    pass
            failed: Failed | None = None
            stream = self._stream(attempts, slot, stage, text, next_token_index)
            async with aclosing(stream) as events:
                async for event in events:
                    match event:
                        case Chunk(lines, next_index):
                            next_token_index = next_index
                            yield TokenLines(lines)
                        case End(tokens):
                            yield Finished("", tokens)
                            return
                        case Failed():
                            failed = event
            assert failed is not None, "a stream ends with End or Failed"
            await attempts.record_failure(slot, failed.refusal)
            if not attempts.acquire_retry(failed.refusal):
                combined = attempts.combine_refusals(failed.refusal)
                yield Refused(
                    _with_stage(combined, stage, has_run or next_token_index > 0)
                )
                return

    async def _stream(
        self,
        attempts: Attempts,
        slot: Slot,
        stage: Stage,
        text: str,
        resume_from: int,
    ) -> AsyncGenerator[Chunk | End | Failed, None]:
        """Stream tokens from one engine, then release its slot.

        :param resume_from: index of the first token to stream
        """
        remaining_ms = max(0, attempts.pool_request.end_ms - self._clock.now_ms())
        body = GenerateBody(text, stage.max_tokens, resume_from, priority=remaining_ms)
        refuses_before_running = attempts.pool.cfg.pool.refuses_before_running
        failure: Refusal | None = CANCELLED
        next_index = resume_from
        call = attempts.new_call()
        address = slot.upstream.address
        try:
            events = generate(
                self._upstream_client,
                self._clock,
                address,
                body,
                call,
                refuses_before_running,
            )
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
            work = estimate_work(text) + next_index - resume_from
            attempts.release(slot, failure, work)


def _deadline_unreachable(stage: Stage, has_run: bool) -> Refusal:
    detail = "the remaining stages are not expected to fit the deadline"
    refusal = not_run(Reason.DEADLINE_UNREACHABLE, detail, RETRY_AFTER_MS)
    return _with_stage(refusal, stage, has_run)


def _with_stage(refusal: Refusal, stage: Stage, has_run: bool) -> Refusal:
    """Add the stage to a refusal, with verdict RAN if an earlier stage has run."""
    verdict = Verdict.RAN if has_run else refusal.verdict
    return attrs.evolve(refusal, stage=str(stage.name), verdict=verdict)
