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
    :param refused: requests that were refused because of their deadline
    :param done: requests whose stages are all done
    """

    admitted: int = 0
    admitted_best_effort: int = 0
    refused: int = 0
    done: int = 0
    failed: int = 0


class StagePlanner:
    """Admit requests and plan the calls of all stage pools of one owner.

    The planner does no I/O.  Its caller sends the planned calls, reports their outcomes
    and carries out the returned commands.

    :param servers: returns the servers of a pool that accept new work
    :param rates: limits of the servers, ``None`` without any
    :param runs_apart: returns whether requests with a digest are kept apart from others
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
        self._ids = itertools.count(1)
        self.diagnostics = Diagnostics()

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
        expected_ms = self.predicted_first_token_ms(
            request, now_ms, include_best_effort=False
        )
        best_effort = (
            not request.is_rerun and expected_ms > request.objective_ms - now_ms
        )
        self._record_demand(request, best_effort, now_ms)
        if request.is_rerun:
            expected_ms = self._predicted_rerun_ms(request, now_ms)
            if expected_ms > request.deadline_ms - now_ms:
                self.diagnostics.refused += 1
                return _refuse_late(request, expected_ms, now_ms)
        if best_effort:
            expected_ms = self.predicted_first_token_ms(
                request, now_ms, include_best_effort=True
            )
            refusal = self._check_best_effort(request, expected_ms, now_ms)
            if refusal is not None:
                self.diagnostics.refused += 1
                return refusal
            self.diagnostics.admitted_best_effort += 1
        self.diagnostics.admitted += 1
        execution = Execution(next(self._ids), request, best_effort=best_effort)
        self._executions[execution.id] = execution
        self._submit_ready(execution, now_ms)
        return Admission(execution.id, best_effort, round(expected_ms))

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
    ) -> float:
        """Return the expected time until the first token behind queued pieces.

        :param on_time_pieces: pieces of on-time requests that are ahead, by service
        :param all_pieces: these and the best-effort ones that are ahead, ``None`` if
            the request is on time itself
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
            start_ms = max(inputs_ready_ms, delay_ms)
            ready_ms[index] = start_ms + queue.job_duration_ms(count, servers, now_ms)
        stages_done_ms = max((ready_ms[n] for n in request.final_stages), default=0.0)
        return stages_done_ms + request.engine_ms

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

    def _outstanding_pieces(self, include_best_effort: bool) -> dict[str, int]:
        """Return the number of pieces to run for admitted requests, by service.

        Pieces of calls in flight are not counted.
        """
        outstanding: dict[str, int] = {}
        for execution in self._executions.values():
            if execution.best_effort and not include_best_effort:
                continue
            for index, stage in enumerate(execution.request.stages):
                if execution.is_pending(index):
                    count = execution.request.piece_count(index)
                    outstanding[stage.service] = (
                        outstanding.get(stage.service, 0) + count
                    )
        for service, queue in self._queues.items():
            waiting = queue.count_waiting_pieces(include_best_effort)
            if waiting:
                outstanding[service] = outstanding.get(service, 0) + waiting
        return outstanding

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
        """Return whether to defer a final stage that is shorter than another branch.

        Its results would otherwise occupy a server's scarce memory until the longer
        branch ends.
        """
        request = execution.request
        stage = request.stages[index]
        if index not in request.final_stages or len(request.final_stages) == 1:
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
            priority=request.priority,
            team=request.team,
            preferred_domain=self._preferred_domain(execution, index),
            cross_domain_bytes=self._cross_domain_bytes(execution, index),
            queued_ms=now_ms,
            best_effort=execution.best_effort,
            digest=request.digest,
            is_rerun=request.is_rerun,
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
    retry_after_ms = min(
        const.MAX_RETRY_AFTER_MS, max(const.MIN_RETRY_AFTER_MS, retry_after_ms)
    )
    return not_run(Reason.DEADLINE_UNREACHABLE, detail, round(retry_after_ms))
