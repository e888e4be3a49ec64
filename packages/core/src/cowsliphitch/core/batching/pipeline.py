"""Admission control and scheduling of the stages of all requests at one owner.

Load pattern: bursts demand two or three times the throughput of one stage pool, while a
request passes through several pools whose calls take a quarter of a second each.  The
owner of the pools has a record of every queued piece and of every piece that admitted
requests still need.  Therefore it can decide at admission which requests can meet their
objective, which can only meet their deadline and are served as best effort with the
spare throughput, and which to refuse.
"""

import itertools
import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import attrs

from cowsliphitch.core.deployment.models import StagePool
from cowsliphitch.core.limits.models import NoRates, ServerRates
from cowsliphitch.core.servers.models import Server
from cowsliphitch.core.verdict import Reason, Refusal, not_run

from . import const, retention
from .admission import PriorityDemand
from .models import Call, Job, JobDone, JobFailed, JobOutcome, PieceOutcome
from .queue import StageQueue
from .requests import (
    Admission,
    Command,
    Execution,
    FreeResults,
    StageRequest,
    StagesDone,
    StagesFailed,
)

ServerLookup = Callable[[str], tuple[Server, ...]]


@attrs.define
class Diagnostics:
    """Counters of a planner, for metrics.

    :param admitted: admitted requests, best-effort ones included
    :param refused: requests that were refused because of their deadline, or for more
        urgent ones
    :param refused_for_priority: those of them that were refused for more urgent ones
    :param done: requests whose stages are all done
    """

    admitted: int = 0
    admitted_best_effort: int = 0
    refused: int = 0
    refused_for_priority: int = 0
    done: int = 0
    failed: int = 0


class StagePlanner:
    """Admit requests and plan the calls of all stage pools of one owner.

    The planner does no I/O.  Its caller sends the planned calls, reports their outcomes
    and carries out the returned commands.

    :param servers: returns the servers of a pool that accept new work
    :param rates: limits of the servers, ``None`` without any
    :param runs_apart: returns whether requests with a digest are kept apart from others
    :ivar refuses_late: late requests that delay more urgent ones are refused; only
        replays that compare with all of them admitted turn it off
    """

    def __init__(
        self,
        servers: ServerLookup,
        rates: ServerRates | None = None,
        runs_apart: Callable[[str], bool] = lambda _digest: False,
    ) -> None:
        """Initialize a planner without pools and requests."""
        self._rates = rates or NoRates()
        self._runs_apart = runs_apart
        self._servers = servers
        self._queues: dict[str, StageQueue] = {}
        self._pools: dict[str, StagePool] = {}
        self._executions: dict[int, Execution] = {}
        self._stage_of_job: dict[int, tuple[int, int]] = {}
        self._demand: dict[str, tuple[float, int]] = {}
        self._priorities = PriorityDemand()
        self._engine_wait_ms: dict[str, int] = {}
        # Pieces by best effort and priority, while a request is decided on.
        self._outstanding: dict[tuple[bool, int], Counter[str]] | None = None
        self._ids = itertools.count(1)
        self.diagnostics = Diagnostics()
        self.refuses_late = True

    @property
    def queues(self) -> Mapping[str, StageQueue]:
        """Return the queue of each pool by service."""
        return self._queues

    @property
    def active_requests(self) -> int:
        """Return the number of admitted requests that have not ended."""
        return len(self._executions)

    def set_pools(self, pools: Mapping[str, StagePool]) -> None:
        """Apply the settings of the pools in force.

        A pool that is no longer in force keeps its queue.
        """
        for service, pool in pools.items():
            if self._pools.get(service) == pool:
                continue
            self._pools[service] = pool
            if service in self._queues:
                self._queues[service].set_pool(pool)
            else:
                self._queues[service] = StageQueue(pool, self._rates, self._runs_apart)

    def admit(self, request: StageRequest, now_ms: int) -> Admission | Refusal:
        """Admit a request and queue its first stages, or refuse it.

        A request that is not expected to meet its objective is admitted as best effort
        if it is likely to meet its deadline.  A rerun keeps its place instead, as long
        as it can meet its deadline.
        """
        unknown = [
            s.service
            for n, s in enumerate(request.stages)
            if request.piece_count(n) and s.service not in self._queues
        ]
        if unknown:
            detail = f"{unknown[0]} is no stage pool in force"
            return not_run(Reason.NOT_CONFIGURED, detail, const.MIN_RETRY_AFTER_MS)
        decision = self._decide_once(request, now_ms)
        if isinstance(decision, Refusal):
            self.diagnostics.refused += 1
            return decision
        execution = Execution(
            next(self._ids),
            request,
            best_effort=decision.best_effort,
            is_reserved=decision.is_reserved,
        )
        self._executions[execution.id] = execution
        self._submit_ready(execution, now_ms)
        return attrs.evolve(decision, execution_id=execution.id)

    def set_engine_wait(self, service: str, wait_ms: int) -> None:
        """Set how long a service's engines need before they begin another request."""
        self._engine_wait_ms[service] = wait_ms

    def check_engine_only(self, request: StageRequest, now_ms: int) -> Refusal | None:
        """Return the refusal of a request without stages, by its engine's wait."""
        decision = self._decide_once(request, now_ms)
        if isinstance(decision, Refusal):
            self.diagnostics.refused += 1
            return decision
        return None

    def _decide_once(self, request: StageRequest, now_ms: int) -> Admission | Refusal:
        """Decide on a request, and count the outstanding pieces only once for that."""
        try:
            if any(request.piece_counts) and not request.is_rerun:
                self._outstanding = self._count_outstanding()
            return self._decide(request, now_ms)
        finally:
            self._outstanding = None

    def _decide(self, request: StageRequest, now_ms: int) -> Admission | Refusal:
        """Return how a request is admitted, or why it is refused, and count it."""
        if request.is_rerun:
            expected_ms = self._predicted_rerun_ms(request, now_ms)
            if any(request.piece_counts) and expected_ms > request.deadline_ms - now_ms:
                return _refuse_late(request, expected_ms, now_ms)
            self.diagnostics.admitted += 1
            return Admission(0, best_effort=False, expected_ms=round(expected_ms))
        self._priorities.record_arrival(request, now_ms)
        expected_ms = self.predicted_first_token_ms(
            request, now_ms, include_best_effort=False
        )
        best_effort = expected_ms > request.objective_ms - now_ms
        self._record_demand(request, best_effort, now_ms)
        refusal: Refusal | None = None
        if (
            self.refuses_late
            and self._has_more_urgent(request.priority, now_ms)
            and self._misses_objective(request, now_ms)
        ):
            refusal = self._check_overload(request, now_ms)
        if refusal is None and best_effort and any(request.piece_counts):
            expected_ms = self.predicted_first_token_ms(
                request, now_ms, include_best_effort=True
            )
            refusal = self._check_best_effort(request, expected_ms, now_ms)
        is_reserved = refusal is not None and self._may_reserve(request, now_ms)
        if refusal is not None and not is_reserved:
            self.diagnostics.refused_for_priority += refusal.reason is Reason.QUEUE_FULL
            self._priorities.record_refused(request)
            return refusal
        if is_reserved:
            best_effort = False
            expected_ms = self._predict_ms(request, now_ms, {})
        self._priorities.record_admitted(request, now_ms)
        self.diagnostics.admitted += 1
        self.diagnostics.admitted_best_effort += best_effort
        return Admission(0, best_effort, round(expected_ms), is_reserved)

    def _misses_objective(self, request: StageRequest, now_ms: int) -> bool:
        """Return whether a request misses its objective behind requests as urgent.

        Unlike the choice of best effort, this includes the wait for result memory, and
        leaves out less urgent requests, which would go ahead of it only by accident.
        """
        if not any(request.piece_counts):
            return request.engine_ms > request.objective_ms - now_ms
        ahead = self._outstanding_pieces(False, request.priority)
        expected_ms = self._predict_ms(request, now_ms, ahead, with_memory=True)
        return expected_ms > request.objective_ms - now_ms

    def _check_overload(self, request: StageRequest, now_ms: int) -> Refusal | None:
        """Return the refusal of a late request that would delay more urgent ones.

        A request is not refused where one of a less urgent class would be admitted.
        """
        if not self._delays_more_urgent(request, now_ms):
            return None
        if any(
            self._would_admit(sample, now_ms)
            for sample in self._priorities.less_urgent_samples(request.priority, now_ms)
        ):
            return None
        ahead = self._outstanding_pieces(False)
        expected_ms = self._predict_ms(request, now_ms, ahead, with_memory=True)
        idle_ms = self._predict_ms(request, now_ms, {}) - request.engine_wait_ms
        detail = (
            f"the first token would take {expected_ms:.0f} ms of "
            f"{request.objective_ms - now_ms} ms, and more urgent requests come first"
        )
        return not_run(
            Reason.QUEUE_FULL, detail, _bound_retry_after_ms(expected_ms - idle_ms)
        )

    def _may_reserve(self, request: StageRequest, now_ms: int) -> bool:
        """Return whether a request is admitted for the minimum share of its priority.

        It goes ahead of all others then, and has to meet its deadline so.
        """
        return (
            self.refuses_late
            and self._priorities.is_underserved(request.priority, now_ms)
            and self._predict_ms(request, now_ms, {}) <= request.deadline_ms - now_ms
        )

    def _would_admit(self, request: StageRequest, now_ms: int) -> bool:
        """Return whether a request that arrives now would be admitted."""
        return (
            not self._misses_objective(request, now_ms)
            or self._priorities.is_underserved(request.priority, now_ms)
            or not self._delays_more_urgent(request, now_ms)
        )

    def _delays_more_urgent(self, request: StageRequest, now_ms: int) -> bool:
        """Return whether more urgent requests need the servers of a late request.

        Many of their pieces wait at one of its pools, their demand takes up much of the
        pool, or engines are behind and some of them are expected during the wait.
        """
        priority = request.priority
        if not self._has_more_urgent(priority, now_ms):
            return False
        urgent_pieces = (
            self._outstanding_pieces(False, priority - 1)
            if any(request.piece_counts)
            else {}
        )
        for index, stage in enumerate(request.stages):
            if not request.piece_count(index):
                continue
            servers = self._servers(stage.service)
            full_calls = self._pools[stage.service].batch * len(servers)
            max_pieces = full_calls * const.MAX_URGENT_QUEUE_RATIO
            if urgent_pieces.get(stage.service, 0) > max_pieces:
                return True
            throughput_per_ms = self._queues[stage.service].throughput_per_ms(
                servers, now_ms
            )
            urgent_per_ms = self._priorities.urgent_pieces_per_ms(
                priority, stage.service, now_ms
            )
            if urgent_per_ms > throughput_per_ms * const.MIN_URGENT_DEMAND_RATIO:
                return True
        max_wait_ms = (request.objective_ms - now_ms) * const.MAX_ENGINE_WAIT_RATIO
        if request.engine_wait_ms <= max_wait_ms:
            return False
        urgent_requests_per_ms = self._priorities.urgent_requests_per_ms(
            priority, now_ms
        )
        urgent_arrivals = request.engine_wait_ms * urgent_requests_per_ms
        return urgent_arrivals >= const.MIN_URGENT_ARRIVALS

    def _has_more_urgent(self, priority: int, now_ms: int) -> bool:
        """Return whether more urgent requests arrived recently."""
        requests_per_ms = self._priorities.urgent_requests_per_ms(priority, now_ms)
        recent_requests = requests_per_ms * const.SHARE_TIME_CONSTANT_MS
        return recent_requests >= const.MIN_URGENT_ARRIVALS

    def _check_best_effort(
        self, request: StageRequest, expected_ms: float, now_ms: int
    ) -> Refusal | None:
        """Return the refusal of a request that is likely to miss its deadline.

        :param expected_ms: predicted time to its first token as best effort
        """
        remaining_ms = request.deadline_ms - now_ms
        if expected_ms <= remaining_ms * const.BEST_EFFORT_DEADLINE_RATIO:
            return None
        return _refuse_late(request, expected_ms, now_ms)

    def _predicted_rerun_ms(self, request: StageRequest, now_ms: int) -> float:
        """Return the expected time until the first token of a rerun, which goes first.

        A rerun that would miss its deadline although no piece is ahead of it isn't sent
        again.
        """
        return self._predict_ms(request, now_ms, {})

    def predicted_first_token_ms(
        self, request: StageRequest, now_ms: int, include_best_effort: bool
    ) -> float:
        """Return the expected time until the first token of a request that arrives now.

        :param include_best_effort: whether the request queues behind other
            best-effort requests too
        """
        if not any(request.piece_counts):
            return float(request.engine_ms)
        on_time_pieces = self._outstanding_pieces(include_best_effort=False)
        all_pieces = (
            self._outstanding_pieces(include_best_effort=True)
            if include_best_effort
            else None
        )
        return self._predict_ms(request, now_ms, on_time_pieces, all_pieces)

    def _predict_ms(
        self,
        request: StageRequest,
        now_ms: int,
        on_time_pieces: Mapping[str, int],
        all_pieces: Mapping[str, int] | None = None,
        with_memory: bool = False,
    ) -> float:
        """Return the expected time until the first token behind queued pieces.

        :param on_time_pieces: pieces of on-time requests that are ahead, by service
        :param all_pieces: these and the best-effort ones that are ahead, ``None`` if
            the request is on time itself
        :param with_memory: whether to include the wait for result memory
        """
        ready_ms: dict[int, float] = {}
        for index, stage in enumerate(request.stages):
            inputs_ready_ms = max((ready_ms[n] for n in stage.after), default=0.0)
            count = request.piece_count(index)
            if count == 0:
                ready_ms[index] = inputs_ready_ms
                continue
            queue = self._queues[stage.service]
            servers = self._servers(stage.service)
            pieces_ahead = on_time_pieces.get(stage.service, 0)
            delay_ms = queue.queueing_delay_ms(pieces_ahead, servers, now_ms)
            if all_pieces is not None:
                # Best-effort pieces get the throughput that on-time requests don't use.
                best_effort_pieces = (
                    all_pieces.get(stage.service, 0) - pieces_ahead + count
                )
                throughput_per_ms = queue.throughput_per_ms(servers, now_ms)
                demand_per_ms = self._demand_per_ms(stage.service, now_ms)
                spare_per_ms = max(
                    throughput_per_ms - demand_per_ms,
                    throughput_per_ms * const.MIN_SPARE_RATIO,
                )
                delay_ms += best_effort_pieces / max(
                    spare_per_ms, const.MIN_SPARE_PIECES_PER_MS
                )
            if with_memory:
                memory_ms = self._memory_delay_ms(request, index, servers, now_ms)
                delay_ms = max(delay_ms, memory_ms)
            start_ms = max(inputs_ready_ms, delay_ms)
            ready_ms[index] = start_ms + queue.job_duration_ms(count, servers, now_ms)
        stages_done_ms = max((ready_ms[n] for n in request.final_stages), default=0.0)
        return stages_done_ms + request.engine_ms

    def _memory_delay_ms(
        self,
        request: StageRequest,
        index: int,
        servers: tuple[Server, ...],
        now_ms: int,
    ) -> float:
        """Return how long a stage waits for result memory, 0 unless it is short."""
        stage = request.stages[index]
        queue = self._queues[stage.service]
        size_bytes = queue.waiting_bytes()
        size_bytes += stage.result_bytes * request.piece_count(index)
        hold_ms = queue.job_duration_ms(1, servers, now_ms) + request.engine_ms
        return queue.memory_delay_ms(size_bytes, hold_ms, servers, now_ms)

    def backlog_ms(self, now_ms: int) -> int:
        """Return how long the pool that is most behind needs for what is admitted."""
        if not self._executions:
            return 0
        pieces = self._outstanding_pieces(include_best_effort=True)
        delays_ms = (
            self._queues[service].queueing_delay_ms(
                count, self._servers(service), now_ms
            )
            for service, count in pieces.items()
        )
        return round(max(delays_ms, default=0.0))

    def _record_demand(
        self, request: StageRequest, best_effort: bool, now_ms: int
    ) -> None:
        """Add the pieces of an on-time request to the demand on each pool."""
        if best_effort:
            return
        for index, stage in enumerate(request.stages):
            count = request.piece_count(index)
            if count:
                demand_per_ms = self._demand_per_ms(stage.service, now_ms)
                demand_per_ms += count / const.DEMAND_TIME_CONSTANT_MS
                self._demand[stage.service] = (demand_per_ms, now_ms)

    def _demand_per_ms(self, service: str, now_ms: int) -> float:
        """Return the smoothed demand of on-time requests, in pieces per ms."""
        demand_per_ms, updated_ms = self._demand.get(service, (0.0, now_ms))
        return float(
            demand_per_ms
            * math.exp((updated_ms - now_ms) / const.DEMAND_TIME_CONSTANT_MS)
        )

    def _outstanding_pieces(
        self, include_best_effort: bool, max_priority: int | None = None
    ) -> dict[str, int]:
        """Return the number of pieces to run for admitted requests, by service.

        Pieces of calls in flight are not counted.

        :param max_priority: least urgent priority that is counted, ``None`` for all
        """
        counts = self._outstanding
        if counts is None:
            counts = self._count_outstanding()
        outstanding: Counter[str] = Counter()
        for (best_effort, priority), pieces in counts.items():
            if best_effort and not include_best_effort:
                continue
            if max_priority is None or priority <= max_priority:
                outstanding.update(pieces)
        return outstanding

    def _count_outstanding(self) -> dict[tuple[bool, int], Counter[str]]:
        """Return the pieces to run by service, by best effort and priority."""
        counts: dict[tuple[bool, int], Counter[str]] = {}
        for execution in self._executions.values():
            key = execution.best_effort, execution.priority
            pieces = counts.setdefault(key, Counter())
            for index, stage in enumerate(execution.request.stages):
                if execution.is_pending(index):
                    pieces[stage.service] += execution.request.piece_count(index)
        for service, queue in self._queues.items():
            for key, count in queue.waiting_by_priority().items():
                counts.setdefault(key, Counter())[service] += count
        return counts

    def plan_calls(self, now_ms: int) -> list[Call]:
        """Queue the stages that are ready and return the calls to send now.

        The caller reports each call by :meth:`complete_call` or :meth:`fail_call`.
        """
        for execution in self._executions.values():
            self._submit_ready(execution, now_ms)
        return [
            call
            for service, queue in self._queues.items()
            for call in queue.plan_calls(self._servers(service), now_ms)
        ]

    def complete_call(
        self, call: Call, outcomes: tuple[PieceOutcome, ...], now_ms: int
    ) -> list[Command]:
        """Record the answer to a call.

        :param outcomes: in the order of the call's pieces
        """
        service = call.server.service
        ended, unneeded = self._queues[service].complete_call(call, outcomes, now_ms)
        commands = self._apply_outcomes(ended, now_ms)
        if unneeded:
            commands.append(FreeResults(service, tuple(unneeded)))
        return commands

    def fail_call(self, call: Call, now_ms: int, may_have_run: bool) -> list[Command]:
        """Record that a call got no usable answer.

        :param may_have_run: whether the server may have started the call
        """
        ended = self._queues[call.server.service].fail_call(call, now_ms, may_have_run)
        return self._apply_outcomes(ended, now_ms)

    def cancel(self, execution_id: int) -> list[Command]:
        """Cancel a request; an identifier that is not active is ignored."""
        execution = self._executions.pop(execution_id, None)
        return self._discard_work(execution) if execution is not None else []

    def tick(self, now_ms: int) -> list[Command]:
        """Fail jobs that can't meet their deadline and free fetched inputs.

        Call this periodically.
        """
        ended = [
            failed
            for queue in self._queues.values()
            for failed in queue.expire_jobs(now_ms)
        ]
        commands = self._apply_outcomes(ended, now_ms)
        for queue in self._queues.values():
            for job in queue.mark_inputs_freed(now_ms):
                execution_id, stage = self._stage_of_job[job.id]
                execution = self._executions[execution_id]
                execution.inputs_fetched.add(stage)
                commands.extend(self._free_inputs(execution, stage))
        return commands

    def refuse_waiting(
        self, service: str, refusal: Refusal, now_ms: int
    ) -> list[Command]:
        """Refuse the requests that wait for a call of a service's servers."""
        queue = self._queues.get(service)
        ended = queue.refuse_waiting(refusal) if queue is not None else []
        return self._apply_outcomes(ended, now_ms)

    def retention_ms(
        self,
        results: tuple[tuple[str, tuple[str, ...]], ...],
        first_token_ms: float,
        own_prefill_ms: float,
        now_ms: int,
    ) -> int:
        """Return how long to keep a request's results for its engine.

        :param results: service and handles of each final stage
        :param first_token_ms: expected time to the first token at the chosen engine
        :param own_prefill_ms: part of it that the request's own prompt takes
        :returns: 0 for the usual time
        """
        stored = [
            (self._queues[service].memory, handle)
            for service, handles in results
            for handle in handles
        ]
        if not stored:
            return 0
        return retention.retention_ms(
            first_token_ms,
            own_prefill_ms,
            min(memory.lifetime_ms(handle, now_ms) for memory, handle in stored),
            min(memory.free_share(handle) for memory, handle in stored),
        )

    def record_freed(self, service: str, handles: Iterable[str]) -> None:
        """Record that results were freed at the servers that stored them."""
        queue = self._queues.get(service)
        if queue is not None:
            for handle in handles:
                queue.record_freed(handle)

    def prune_servers(self, servers: Iterable[Server]) -> None:
        """Discard the state of all servers but the given ones."""
        by_service: dict[str, list[Server]] = {name: [] for name in self._queues}
        for server in servers:
            by_service.setdefault(server.service, []).append(server)
        for service, queue in self._queues.items():
            queue.prune_servers(by_service[service])

    def _apply_outcomes(
        self, ended: Iterable[JobOutcome], now_ms: int
    ) -> list[Command]:
        """Advance, restart or fail the requests whose jobs ended."""
        commands: list[Command] = []
        for outcome in ended:
            # Another job in the same batch of outcomes may have ended the request; its
            # other jobs are then no longer registered.
            execution_id, stage = self._stage_of_job.pop(outcome.job.id, (0, 0))
            execution = self._executions.get(execution_id)
            if execution is None:
                commands.append(FreeResults(outcome.job.service, outcome.handles))
                continue
            del execution.job_ids[stage]
            match outcome:
                case JobDone(_, handles, domains):
                    execution.handles[stage] = handles
                    execution.domains[stage] = domains
                    commands.extend(self._complete_stage(execution, stage, now_ms))
                case JobFailed(_, refusal, handles) if self._can_restart(
                    execution, refusal
                ):
                    execution.handles[stage] = handles
                    commands.extend(self._discard_work(execution))
                    execution.restart()
                    self._submit_ready(execution, now_ms)
                case JobFailed(_, refusal, handles):
                    execution.handles[stage] = handles
                    del self._executions[execution_id]
                    self.diagnostics.failed += 1
                    self._priorities.record_failed(execution.request, now_ms)
                    commands.append(StagesFailed(execution_id, stage, refusal))
                    commands.extend(self._discard_work(execution))
        return commands

    def _can_restart(self, execution: Execution, refusal: Refusal) -> bool:
        """Return whether a request that failed because of lost results starts over."""
        is_lost = refusal.reason is Reason.RESULT_LOST
        return is_lost and execution.restarts < const.MAX_RESTARTS

    def _complete_stage(
        self, execution: Execution, stage: int, now_ms: int
    ) -> list[Command]:
        """Free a stage's inputs and queue the next stages, or end the request."""
        stages = execution.request.stages
        commands = self._free_inputs(execution, stage)
        self._submit_ready(execution, now_ms)
        if all(execution.is_done(n) for n in range(len(stages))):
            del self._executions[execution.id]
            self.diagnostics.done += 1
            results = tuple(
                (stages[n].service, execution.handles.get(n, ()))
                for n in execution.request.final_stages
            )
            commands.append(StagesDone(execution.id, results))
        return commands

    def _free_inputs(self, execution: Execution, stage: int) -> list[Command]:
        """Free the inputs of a stage that no stage has to fetch any more."""
        commands: list[Command] = []
        stages = execution.request.stages
        for source in stages[stage].after:
            readers = [n for n, s in enumerate(stages) if source in s.after]
            is_fetched = all(
                execution.is_done(n) or n in execution.inputs_fetched for n in readers
            )
            if is_fetched and execution.handles.get(source):
                handles = execution.handles[source]
                execution.handles[source] = ()
                commands.append(FreeResults(stages[source].service, handles))
        return commands

    def _discard_work(self, execution: Execution) -> list[Command]:
        """Remove a request's jobs and free all its results."""
        stages = execution.request.stages
        freed: list[Command] = [
            FreeResults(stages[n].service, handles)
            for n, handles in execution.handles.items()
            if handles
        ]
        for stage, job_id in execution.job_ids.items():
            self._stage_of_job.pop(job_id, None)
            service = stages[stage].service
            handles = self._queues[service].remove_job(job_id)
            if handles:
                freed.append(FreeResults(service, handles))
        return freed

    def _submit_ready(self, execution: Execution, now_ms: int) -> None:
        """Queue the pending stages whose inputs are ready, unless deferred."""
        for index in range(len(execution.request.stages)):
            if execution.is_pending(index) and execution.has_inputs(index):
                if self._should_defer(execution, index, now_ms):
                    continue
                self._submit_stage(execution, index, now_ms)

    def _should_defer(self, execution: Execution, index: int, now_ms: int) -> bool:
        """Return whether to defer a final stage.

        Its results would otherwise occupy a server's scarce memory until a longer
        branch ends, or be deleted before the engine begins.
        """
        request = execution.request
        stage = request.stages[index]
        if index not in request.final_stages:
            return False
        if self._outlasts_results(execution, index, now_ms):
            return True
        if len(request.final_stages) == 1:
            return False
        others = [
            n for n in request.final_stages if n != index and not execution.is_done(n)
        ]
        others_ms = max(
            (self._remaining_ms(execution, n, now_ms) for n in others), default=0.0
        )
        queue = self._queues[stage.service]
        servers = self._servers(stage.service)
        own_ms = queue.queueing_delay_ms(
            queue.count_waiting_pieces(execution.best_effort), servers, now_ms
        )
        own_ms += queue.job_duration_ms(request.piece_count(index), servers, now_ms)
        return own_ms * const.DEFER_FACTOR + const.DEFER_MARGIN_MS < others_ms

    def _outlasts_results(self, execution: Execution, index: int, now_ms: int) -> bool:
        """Return whether the engine's wait is longer than a final stage's results live.

        A request that has no time for this wait is not deferred, so that its stage ends
        by its deadline.
        """
        request = execution.request
        wait_ms = self._engine_wait_ms.get(request.engine_service, 0)
        service = request.stages[index].service
        lifetime_ms = self._pools[service].result_ttl_ms
        # The margin may be longer than the results live.
        max_wait_ms = max(lifetime_ms - const.EXPIRY_MARGIN_MS, lifetime_ms / 2)
        if wait_ms <= max_wait_ms:
            return False
        own_ms = self._queues[service].job_duration_ms(
            request.piece_count(index), self._servers(service), now_ms
        )
        idle_engine_ms = request.engine_ms - request.engine_wait_ms
        needed_ms = max(wait_ms, own_ms) + idle_engine_ms
        return (
            wait_ms > max_wait_ms + own_ms and now_ms + needed_ms < request.deadline_ms
        )

    def _remaining_ms(self, execution: Execution, index: int, now_ms: int) -> float:
        """Return the expected time until a pending stage is done, without queueing."""
        stage = execution.request.stages[index]
        inputs_ms = max(
            (
                self._remaining_ms(execution, n, now_ms)
                for n in stage.after
                if not execution.is_done(n)
            ),
            default=0.0,
        )
        queue = self._queues[stage.service]
        servers = self._servers(stage.service)
        return inputs_ms + queue.job_duration_ms(
            execution.request.piece_count(index), servers, now_ms
        )

    def _submit_stage(self, execution: Execution, index: int, now_ms: int) -> None:
        request = execution.request
        stage = request.stages[index]
        inputs = tuple(h for n in stage.after for h in execution.handles.get(n, ()))
        job = Job(
            id=next(self._ids),
            service=stage.service,
            request_id=request.request_id,
            stage=index,
            piece_count=request.piece_count(index),
            piece_key=request.piece_key,
            inputs=inputs,
            result_bytes=stage.result_bytes,
            deadline_ms=request.deadline_ms,
            objective_ms=request.objective_ms,
            downstream_ms=round(self._downstream_ms(execution, index, now_ms)),
            priority=execution.priority,
            team=request.team,
            preferred_domain=self._preferred_domain(execution, index),
            cross_domain_bytes=self._cross_domain_bytes(execution, index),
            queued_ms=now_ms,
            best_effort=execution.best_effort,
            digest=request.digest,
            keeps_place=request.is_rerun or execution.is_reserved,
        )
        execution.job_ids[index] = job.id
        self._stage_of_job[job.id] = (execution.id, index)
        self._queues[stage.service].add(job)

    def _preferred_domain(self, execution: Execution, index: int) -> str:
        """Return the failure domain that stores most inputs of a stage.

        A stage without inputs prefers the engine's domain.
        """
        counts = Counter(
            domain
            for source in execution.request.stages[index].after
            for domain in execution.domains.get(source, ())
        )
        most_common = counts.most_common(1)
        return most_common[0][0] if most_common else execution.request.engine_domain

    def _cross_domain_bytes(self, execution: Execution, index: int) -> int:
        """Return the bytes that cross domains if a piece leaves its preferred domain.

        Every piece reads all inputs of its stage, and every piece of the following
        stages reads every result.
        """
        request = execution.request
        stage = request.stages[index]
        input_bytes = sum(
            request.stages[source].result_bytes * request.piece_count(source)
            for source in stage.after
        )
        followers = [n for n, s in enumerate(request.stages) if index in s.after]
        readers = sum(request.piece_count(n) for n in followers) if followers else 1
        return input_bytes + stage.result_bytes * readers

    def _downstream_ms(self, execution: Execution, index: int, now_ms: int) -> float:
        """Return the expected duration from the end of a stage to the first token.

        Queueing at the following stages is not included.
        """
        request = execution.request
        durations_ms = []
        for follower, stage in enumerate(request.stages):
            if index not in stage.after:
                continue
            # The pool of a skipped stage may not be in force.
            own_ms = 0.0
            if pieces := request.piece_count(follower):
                own_ms = self._queues[stage.service].job_duration_ms(
                    pieces, self._servers(stage.service), now_ms
                )
            durations_ms.append(
                own_ms + self._downstream_ms(execution, follower, now_ms)
            )
        return max(durations_ms, default=float(request.engine_ms))


def _refuse_late(request: StageRequest, expected_ms: float, now_ms: int) -> Refusal:
    """Return the refusal of a request that is likely to miss its deadline."""
    remaining_ms = request.deadline_ms - now_ms
    detail = f"the stages would take {expected_ms:.0f} ms of {remaining_ms} ms"
    retry_after_ms = expected_ms - remaining_ms * const.BEST_EFFORT_DEADLINE_RATIO
    return not_run(
        Reason.DEADLINE_UNREACHABLE, detail, _bound_retry_after_ms(retry_after_ms)
    )


def _bound_retry_after_ms(retry_after_ms: float) -> int:
    bounded_ms = max(const.MIN_RETRY_AFTER_MS, retry_after_ms)
    return round(min(const.MAX_RETRY_AFTER_MS, bounded_ms))
