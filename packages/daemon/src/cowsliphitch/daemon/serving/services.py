"""Call plain services, some of which must run at most once."""

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
    """Call plain services over the daemon's pools.

    :param on_suspicion: tells the peers about a request that crashed an upstream
    """

    def __init__(
        self,
        pools: dict[str, PoolCoordinator],
        client: UpstreamClient,
        claims: OrderCoordinator,
        clock: Clock,
        on_suspicion: Callable[[], Awaitable[None]],
    ) -> None:
        """Use the daemon's pools and order logs."""
        self._pools = pools
        self._client = client
        self._claims = claims
        self._clock = clock
        self._on_suspicion = on_suspicion
        self.orders = Orders()

    async def run(self, req: ServiceRequest) -> ServiceResult:
        """Call the service as its settings allow."""
        match req.service.repeat:
            case Repeat.SAFE:
                return _answer(await self._send(req, may_repeat=True))
            case Repeat.KEYED:
                return await self._run_keyed(req)
            case Repeat.ONCE:
                return await self._run_once(req)

    async def _run_keyed(self, req: ServiceRequest) -> ServiceResult:
        """Leave repeats to an upstream that recognises the key."""
        if not req.key:
            return Err(_key_required())
        return _answer(await self._send(req, may_repeat=True))

    async def _run_once(self, req: ServiceRequest) -> ServiceResult:
        """Claim the order, and dispatch it only if the claim is ours."""
        if not req.key:
            return Err(_key_required())
        wall_ms = self._clock.wall_ms()
        match parse_key(req.team, req.key, wall_ms, self.orders.retention):
            case Err(refusal):
                return Err(refusal)
            case Ok(key):
                return await self._claim(req, key)

    async def _claim(self, req: ServiceRequest, key: OrderKey) -> ServiceResult:
        digest = fingerprint(req.team, req.name, req.body)
        match await self._claims.claim(key, digest, req.deadline_ms):
            case Err(refusal):
                return Err(refusal)
            case Ok(Done(record)):
                return _replay(record)
            case Ok(Owned(record)):
                return await self._dispatch(req, record)
            case _:
                detail = "the claim was not written"
                return Err(not_run(Reason.PLATFORM_UNAVAILABLE, detail))

    async def _dispatch(self, req: ServiceRequest, record: Record) -> ServiceResult:
        """Send an order that this daemon claimed, and write what came of it."""
        state, answer = State.UNKNOWN, None
        result: Result[StageAnswer, Refusal] | None = None
        try:
            result = await self._send(req, may_repeat=False)
        finally:
            if isinstance(result, Ok):
                state, answer = State.RAN, _kept(result.ok_value.output)
            elif result is not None and result.err_value.verdict is Verdict.NOT_RUN:
                state = State.RELEASED
            self._claims.settle_soon(record, state, answer)
        return _answer(result)

    async def _send(
        self, req: ServiceRequest, may_repeat: bool
    ) -> Result[StageAnswer, Refusal]:
        pool = self._pools[req.service.pool]
        refuses = pool.cfg.pool.refuses_before_running
        pool_request = PoolRequest(
            team=req.team,
            work=estimate_work(req.body),
            end_ms=req.deadline_ms,
            fingerprint=fingerprint(req.team, req.name, req.body),
        )
        pool.note_offered(req.team, pool_request.work)
        attempts = Attempts(
            pool=pool,
            clock=self._clock,
            request=req.id,
            req=pool_request,
            may_repeat=may_repeat,
            on_suspicion=self._on_suspicion,
        )

        async def send(address: str, call: Call) -> Result[StageAnswer, Refusal]:
            return await call_service(self._client, address, req.body, call, refuses)

        return await attempts.run(send, req.key)


def _answer(result: Result[StageAnswer, Refusal]) -> ServiceResult:
    return result.map(lambda answer: ServiceAnswer(answer.output))


def _kept(output: str) -> Answer:
    """Return the answer as the log keeps it; long bodies are not kept."""
    short = len(output.encode()) <= orders.MAX_STORED_ANSWER_BYTES
    return Answer(HTTP_OK, output if short else None)


def _replay(record: Record) -> ServiceResult:
    """Return the first answer to a repeat of an order that ran."""
    if record.answer is not None and record.answer.body is not None:
        return Ok(ServiceAnswer(record.answer.body, replayed=True))
    detail = "an earlier request with this key ran; its answer was not kept"
    return Err(Refusal(Verdict.RAN, Reason.OUTCOME_UNKNOWN, detail))


def _key_required() -> Refusal:
    detail = "this service needs an Idempotency-Key header"
    return not_run(Reason.KEY_REQUIRED, detail)
