"""Calls of plain services, with idempotency keys and at-most-once orders."""

from collections.abc import Awaitable, Callable

from result import Err, Ok, Result

from cowsliphitch.core.clock import Clock
from cowsliphitch.core.orders import const as orders
from cowsliphitch.core.orders.log import Done, Owned
from cowsliphitch.core.orders.models import (
    Answer,
    OrderKey,
    Record,
    State,
    parse_key,
)
from cowsliphitch.core.serving.models import (
    ServiceAnswer,
    ServiceRequest,
    estimate_work,
    fingerprint,
)
from cowsliphitch.core.settings.models import Orders, Repeat
from cowsliphitch.core.verdict import (
    Reason,
    Refusal,
    Verdict,
    not_run,
)
from cowsliphitch.state.orders.coordinator import OrderCoordinator
from cowsliphitch.upstreams.pool.coordinator import PoolCoordinator
from cowsliphitch.upstreams.pool.models import PoolRequest
from cowsliphitch.upstreams.services.client import call_service
from cowsliphitch.upstreams.transport.client import UpstreamClient
from cowsliphitch.upstreams.transport.models import Call, StageAnswer

from .attempts import Attempts

HTTP_OK = 200

ServiceResult = Result[ServiceAnswer, Refusal]


class ServiceRunner:
    """Calls plain services at the daemon's pools.

    :param on_suspicion: called after a crash to report the suspect request to peers
    """

    def __init__(
        self,
        pools: dict[str, PoolCoordinator],
        upstream_client: UpstreamClient,
        order_coordinator: OrderCoordinator,
        clock: Clock,
        on_suspicion: Callable[[], Awaitable[None]],
    ) -> None:
        """Initialize with the default settings of orders."""
        self._pools = pools
        self._upstream_client = upstream_client
        self._order_coordinator = order_coordinator
        self._clock = clock
        self._on_suspicion = on_suspicion
        self.order_settings = Orders()

    async def run(self, req: ServiceRequest) -> ServiceResult:
        """Call a service as often as its ``repeat`` setting allows."""
        match req.service.repeat:
            case Repeat.SAFE:
                return _to_service_result(await self._send(req, is_repeatable=True))
            case Repeat.KEYED:
                return await self._run_keyed(req)
            case Repeat.ONCE:
                return await self._run_once(req)

    async def _run_keyed(self, req: ServiceRequest) -> ServiceResult:
        """Retry freely, since the upstream deduplicates calls by their key."""
        if not req.key:
            return Err(_key_required_refusal())
        return _to_service_result(await self._send(req, is_repeatable=True))

    async def _run_once(self, req: ServiceRequest) -> ServiceResult:
        """Claim the order, and dispatch it only if this daemon owns the claim."""
        if not req.key:
            return Err(_key_required_refusal())
        wall_ms = self._clock.wall_ms()
        match parse_key(req.team, req.key, wall_ms, self.order_settings.retention):
            case Err(refusal):
                return Err(refusal)
            case Ok(key):
                return await self._claim_and_dispatch(req, key)

    async def _claim_and_dispatch(
        self, req: ServiceRequest, key: OrderKey
    ) -> ServiceResult:
        request_fingerprint = fingerprint(req.team, req.name, req.body)
        match await self._order_coordinator.claim(
            key, request_fingerprint, req.deadline_ms
        ):
            case Err(refusal):
                return Err(refusal)
            case Ok(Done(record)):
                return _replay_answer(record)
            case Ok(Owned(record)):
                return await self._dispatch(req, record)
            case _:
                detail = "the claim was not written"
                return Err(not_run(Reason.PLATFORM_UNAVAILABLE, detail))

    async def _dispatch(self, req: ServiceRequest, record: Record) -> ServiceResult:
        """Send an order that this daemon has claimed, and record its outcome.

        The outcome is unknown unless the upstream answered, or the refusal states that
        the order did not run.  A cancelled call has an unknown outcome too.
        """
        state, answer = State.UNKNOWN, None
        result: Result[StageAnswer, Refusal] | None = None
        try:
            result = await self._send(req, is_repeatable=False)
        finally:
            if isinstance(result, Ok):
                state, answer = State.RAN, _to_stored_answer(result.ok_value.output)
            elif result is not None and result.err_value.verdict is Verdict.NOT_RUN:
                state = State.RELEASED
            self._order_coordinator.schedule_outcome(record, state, answer)
        return _to_service_result(result)

    async def _send(
        self, req: ServiceRequest, is_repeatable: bool
    ) -> Result[StageAnswer, Refusal]:
        pool = self._pools[req.service.pool]
        refuses_before_running = pool.cfg.pool.refuses_before_running
        pool_request = PoolRequest(
            team=req.team,
            work=estimate_work(req.body),
            end_ms=req.deadline_ms,
            fingerprint=fingerprint(req.team, req.name, req.body),
        )
        pool.record_offered_load(req.team, pool_request.work)
        attempts = Attempts(
            pool=pool,
            clock=self._clock,
            request_id=req.id,
            pool_request=pool_request,
            is_repeatable=is_repeatable,
            on_suspicion=self._on_suspicion,
        )

        async def send(address: str, call: Call) -> Result[StageAnswer, Refusal]:
            return await call_service(
                self._upstream_client, address, req.body, call, refuses_before_running
            )

        return await attempts.run(send, req.key)


def _to_service_result(result: Result[StageAnswer, Refusal]) -> ServiceResult:
    return result.map(lambda answer: ServiceAnswer(answer.output))


def _to_stored_answer(output: str) -> Answer:
    """Return the answer for the order log, without a body that is too large."""
    is_storable = len(output.encode()) <= orders.MAX_STORED_ANSWER_BYTES
    return Answer(HTTP_OK, output if is_storable else None)


def _replay_answer(record: Record) -> ServiceResult:
    """Return the stored answer to a repeat of an order that has run."""
    if record.answer is not None and record.answer.body is not None:
        return Ok(ServiceAnswer(record.answer.body, replayed=True))
    detail = "an earlier request with this key ran; its answer was not kept"
    return Err(Refusal(Verdict.RAN, Reason.OUTCOME_UNKNOWN, detail))


def _key_required_refusal() -> Refusal:
    detail = "this service needs an Idempotency-Key header"
    return not_run(Reason.KEY_REQUIRED, detail)
