"""The stages of all requests at one owner: who is admitted, and what runs when.

Load pattern: bursts ask two or three times what one stage pool can make, while a
request passes through several pools whose calls take a quarter of a second each.  The
owner of the pools knows every piece that is waiting and every piece that admitted
requests will still ask for.  So it tells at the door who can meet the objective, who
can still be served late in what the others leave over, and who is better refused.
"""

import itertools
import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import attrs

from cowsliphitch.core.deployment.models import StagePool
from cowsliphitch.core.servers.models import Server
from cowsliphitch.core.verdict import Reason, Refusal, not_run

from . import const
from .models import Call, Failed, Job, JobOutcome, Made, PieceOutcome
from .queue import StageQueue
from .requests import (
    Admission,
    Command,
    FreeResults,
    Run,
    StageRequest,
    StagesDone,
    StagesFailed,
)

Servers = Callable[[str], tuple[Server, ...]]


@attrs.define
class Diagnostics:
    """Counters of a planner, for metrics."""

    admitted: int = 0
    admitted_late: int = 0
    refused: int = 0
    done: int = 0
    failed: int = 0


class StagePlanner:
    """Decide for all stage pools of one owner.

    :param servers: returns the servers of a pool that take new work
    """

    def __init__(self, servers: Servers) -> None:
        """Start without pools and requests."""
        self._servers = servers
        self._queues: dict[str, StageQueue] = {}
        self._figures: dict[str, StagePool] = {}
        self._runs: dict[int, Run] = {}
        self._stage_of_job: dict[int, tuple[int, int]] = {}
        self._demand: dict[str, tuple[float, int]] = {}
        self._numbers = itertools.count(1)
        self.diagnostics = Diagnostics()

    @property
    def queues(self) -> Mapping[str, StageQueue]:
        """Return the queue of each pool."""
        return self._queues

    @property
    def active_requests(self) -> int:
        """Return the requests that are on their way."""
        return len(self._runs)

    def set_pools(self, pools: Mapping[str, StagePool]) -> None:
        """Take over the figures of the pools in force; old pools keep their work."""
        for service, figures in pools.items():
            if self._figures.get(service) == figures:
                continue
            self._figures[service] = figures
            if service in self._queues:
                self._queues[service].set_pool(figures)
            else:
                self._queues[service] = StageQueue(figures)

    def admit(self, request: StageRequest, now_ms: int) -> Admission | Refusal:
        """Take a request, or say at once why not."""
        unknown = [
            s.service
            for n, s in enumerate(request.stages)
            if request.count(n) and s.service not in self._queues
        ]
        if unknown:
            detail = f"{unknown[0]} is no stage pool in force"
            return not_run(Reason.NOT_CONFIGURED, detail, const.MIN_RETRY_AFTER_MS)
        done_ms = self.predicted_ms(request, now_ms, with_late=False)
        late = done_ms > request.objective_ms - now_ms
        self._note_demand(request, late, now_ms)
        if late:
            done_ms = self.predicted_ms(request, now_ms, with_late=True)
            refusal = self._check_late(request, done_ms, now_ms)
            if refusal is not None:
                self.diagnostics.refused += 1
                return refusal
            self.diagnostics.admitted_late += 1
        self.diagnostics.admitted += 1
        run = Run(next(self._numbers), request, late=late)
        self._runs[run.id] = run
        self._submit_ready(run, now_ms)
        return Admission(run.id, late, round(done_ms))

    def _check_late(
        self, request: StageRequest, done_ms: float, now_ms: int
    ) -> Refusal | None:
        """Refuse a late request unless what others leave over is likely to do."""
        left_ms = request.deadline_ms - now_ms
        if done_ms <= left_ms * const.LATE_ADMISSION_SHARE:
            return None
        detail = f"the stages would take {done_ms:.0f} ms of {left_ms} ms"
        wait_ms = done_ms - left_ms * const.LATE_ADMISSION_SHARE
        wait_ms = min(const.MAX_RETRY_AFTER_MS, max(const.MIN_RETRY_AFTER_MS, wait_ms))
        return not_run(Reason.DEADLINE_UNREACHABLE, detail, round(wait_ms))

    def predicted_ms(
        self, request: StageRequest, now_ms: int, with_late: bool
    ) -> float:
        """Return the expected time to the first token, for a request that comes now.

        :param with_late: behind the requests that miss their objective, too
        """
        ahead = self._pieces_ahead(with_late=False)
        behind = self._pieces_ahead(with_late=True) if with_late else ahead
        ready: dict[int, float] = {}
        for number, stage in enumerate(request.stages):
            arrives = max((ready[n] for n in stage.after), default=0.0)
            count = request.count(number)
            if count == 0:
                ready[number] = arrives
                continue
            queue = self._queues[stage.service]
            servers = self._servers(stage.service)
            first = ahead.get(stage.service, 0)
            free_ms = queue.clear_ms(first, servers, now_ms)
            if with_late:
                # Late pieces get what the newcomers leave over.
                rest = behind.get(stage.service, 0) - first + count
                rate = queue.rate(servers, now_ms)
                taken = self._demand_of(stage.service, now_ms)
                left_over = max(rate - taken, rate * const.LEAST_LEFT_OVER)
                free_ms += rest / max(left_over, const.LEAST_RATE)
            starts = max(arrives, free_ms)
            ready[number] = starts + queue.job_ms(count, servers, now_ms)
        last = max((ready[n] for n in request.final), default=0.0)
        return last + request.engine_ms

    def _note_demand(self, request: StageRequest, late: bool, now_ms: int) -> None:
        """Count what requests that can be on time ask of each pool."""
        if late:
            return
        for number, stage in enumerate(request.stages):
            count = request.count(number)
            if count:
                rate = self._demand_of(stage.service, now_ms)
                rate += count / const.DEMAND_WINDOW_MS
                self._demand[stage.service] = (rate, now_ms)

    def _demand_of(self, service: str, now_ms: int) -> float:
        """Return the pieces a ms that on-time requests ask, smoothed."""
        rate, as_of_ms = self._demand.get(service, (0.0, now_ms))
        return float(rate * math.exp((as_of_ms - now_ms) / const.DEMAND_WINDOW_MS))

    def _pieces_ahead(self, with_late: bool) -> dict[str, int]:
        """Return the pieces that admitted requests still need, by pool."""
        ahead: dict[str, int] = {}
        for run in self._runs.values():
            if run.late and not with_late:
                continue
            for number, stage in enumerate(run.request.stages):
                if run.waits(number):
                    count = run.request.count(number)
                    ahead[stage.service] = ahead.get(stage.service, 0) + count
        for service, queue in self._queues.items():
            waiting = queue.waiting(with_late)
            if waiting:
                ahead[service] = ahead.get(service, 0) + waiting
        return ahead

    def plan_calls(self, now_ms: int) -> list[Call]:
        """Start the calls that can start now."""
        for run in self._runs.values():
            self._submit_ready(run, now_ms)
        return [
            call
            for service, queue in self._queues.items()
            for call in queue.plan_calls(self._servers(service), now_ms)
        ]

    def complete_call(
        self, call: Call, outcomes: tuple[PieceOutcome, ...], now_ms: int
    ) -> list[Command]:
        """Take over the results of a call."""
        service = call.server.service
        ended, unwanted = self._queues[service].complete_call(call, outcomes, now_ms)
        commands = self._follow(ended, now_ms)
        if unwanted:
            commands.append(FreeResults(service, tuple(unwanted)))
        return commands

    def fail_call(self, call: Call, now_ms: int, reached: bool) -> list[Command]:
        """Take over that a call got no answer.

        :param reached: the call may have been worked on
        """
        ended = self._queues[call.server.service].fail_call(call, now_ms, reached)
        return self._follow(ended, now_ms)

    def cancel(self, run_id: int) -> list[Command]:
        """Give up a request that nobody waits for."""
        run = self._runs.pop(run_id, None)
        return self._drop(run) if run is not None else []

    def tick(self, now_ms: int) -> list[Command]:
        """Give up what can't be done in time, and free what was fetched."""
        ended = [
            failed
            for queue in self._queues.values()
            for failed in queue.drop_late(now_ms)
        ]
        commands = self._follow(ended, now_ms)
        for queue in self._queues.values():
            for job in queue.free_inputs(now_ms):
                run_id, stage = self._stage_of_job[job.id]
                run = self._runs[run_id]
                run.fetched.add(stage)
                commands.extend(self._free_inputs(run, stage))
        return commands

    def record_freed(self, service: str, handles: Iterable[str]) -> None:
        """Note that results were freed at their makers."""
        queue = self._queues.get(service)
        if queue is not None:
            for handle in handles:
                queue.record_freed(handle)

    def prune_servers(self, servers: Iterable[Server]) -> None:
        """Forget what is known of servers that are gone."""
        by_service: dict[str, list[Server]] = {name: [] for name in self._queues}
        for server in servers:
            by_service.setdefault(server.service, []).append(server)
        for service, queue in self._queues.items():
            queue.prune_servers(by_service[service])

    def _follow(self, ended: Iterable[JobOutcome], now_ms: int) -> list[Command]:
        """Go on with the requests whose jobs ended."""
        commands: list[Command] = []
        for outcome in ended:
            # A job of a request that ended in the same round is known no more.
            run_id, stage = self._stage_of_job.pop(outcome.job.id, (0, 0))
            run = self._runs.get(run_id)
            if run is None:
                commands.append(FreeResults(outcome.job.service, outcome.handles))
                continue
            del run.jobs[stage]
            match outcome:
                case Made(_, handles, domains):
                    run.handles[stage] = handles
                    run.domains[stage] = domains
                    commands.extend(self._advance(run, stage, now_ms))
                case Failed(_, refusal, handles) if self._may_restart(run, refusal):
                    run.handles[stage] = handles
                    commands.extend(self._drop(run))
                    run.restart()
                    self._submit_ready(run, now_ms)
                case Failed(_, refusal, handles):
                    run.handles[stage] = handles
                    del self._runs[run_id]
                    self.diagnostics.failed += 1
                    commands.append(StagesFailed(run_id, stage, refusal))
                    commands.extend(self._drop(run))
        return commands

    def _may_restart(self, run: Run, refusal: Refusal) -> bool:
        """Tell whether results that were lost are worth making again."""
        lost = refusal.reason is Reason.RESULT_LOST
        return lost and run.restarts < const.MAX_RESTARTS

    def _advance(self, run: Run, stage: int, now_ms: int) -> list[Command]:
        """Free what was read, and submit or end what is due after a stage."""
        stages = run.request.stages
        commands = self._free_inputs(run, stage)
        self._submit_ready(run, now_ms)
        if all(run.done(n) for n in range(len(stages))):
            del self._runs[run.id]
            self.diagnostics.done += 1
            results = tuple(
                (stages[n].service, run.handles.get(n, ())) for n in run.request.final
            )
            commands.append(StagesDone(run.id, results))
        return commands

    def _free_inputs(self, run: Run, stage: int) -> list[Command]:
        """Free the inputs of a stage that no other stage has to fetch."""
        commands: list[Command] = []
        stages = run.request.stages
        for before in stages[stage].after:
            readers = [n for n, s in enumerate(stages) if before in s.after]
            read = all(run.done(n) or n in run.fetched for n in readers)
            if read and run.handles.get(before):
                handles = run.handles[before]
                run.handles[before] = ()
                commands.append(FreeResults(stages[before].service, handles))
        return commands

    def _drop(self, run: Run) -> list[Command]:
        """Free everything that a request holds."""
        stages = run.request.stages
        freed: list[Command] = [
            FreeResults(stages[n].service, handles)
            for n, handles in run.handles.items()
            if handles
        ]
        for stage, job_id in run.jobs.items():
            self._stage_of_job.pop(job_id, None)
            service = stages[stage].service
            handles = self._queues[service].drop(job_id)
            if handles:
                freed.append(FreeResults(service, handles))
        return freed

    def _submit_ready(self, run: Run, now_ms: int) -> None:
        """Submit the stages whose inputs are there and whose time has come."""
        for number in range(len(run.request.stages)):
            if run.waits(number) and run.ready(number):
                if self._may_wait(run, number, now_ms):
                    continue
                self._submit(run, number, now_ms)

    def _may_wait(self, run: Run, number: int, now_ms: int) -> bool:
        """Tell whether a final stage is better begun later.

        Its results would lie in a server's scarce memory until a longer branch ends.
        """
        request = run.request
        stage = request.stages[number]
        if number not in request.final or len(request.final) == 1:
            return False
        others = [n for n in request.final if n != number and not run.done(n)]
        rest_ms = max((self._branch_ms(run, n, now_ms) for n in others), default=0.0)
        queue = self._queues[stage.service]
        servers = self._servers(stage.service)
        own_ms = queue.clear_ms(queue.waiting(run.late), servers, now_ms)
        own_ms += queue.job_ms(request.count(number), servers, now_ms)
        return own_ms * const.EARLY_START_FACTOR + const.EARLY_START_MS < rest_ms

    def _branch_ms(self, run: Run, number: int, now_ms: int) -> float:
        """Return the least time until a stage that is not done will be."""
        stage = run.request.stages[number]
        before = max(
            (self._branch_ms(run, n, now_ms) for n in stage.after if not run.done(n)),
            default=0.0,
        )
        queue = self._queues[stage.service]
        servers = self._servers(stage.service)
        return before + queue.job_ms(run.request.count(number), servers, now_ms)

    def _submit(self, run: Run, number: int, now_ms: int) -> None:
        request = run.request
        stage = request.stages[number]
        inputs = tuple(h for n in stage.after for h in run.handles.get(n, ()))
        job = Job(
            id=next(self._numbers),
            service=stage.service,
            request=request.request,
            stage=number,
            pieces=request.count(number),
            key=request.key,
            inputs=inputs,
            result_bytes=stage.result_bytes,
            deadline_ms=request.deadline_ms,
            objective_ms=request.objective_ms,
            rest_ms=round(self._rest_ms(run, number, now_ms)),
            rank=request.rank,
            team=request.team,
            near_domain=self._near_domain(run, number),
            far_bytes=self._far_bytes(run, number),
            queued_ms=now_ms,
            best_effort=run.late,
        )
        run.jobs[number] = job.id
        self._stage_of_job[job.id] = (run.id, number)
        self._queues[stage.service].add(job)

    def _near_domain(self, run: Run, number: int) -> str:
        """Return where most of a stage's inputs lie, or where its results are read."""
        found = Counter(
            domain
            for before in run.request.stages[number].after
            for domain in run.domains.get(before, ())
        )
        most = found.most_common(1)
        return most[0][0] if most else run.request.engine_domain

    def _far_bytes(self, run: Run, number: int) -> int:
        """Return what crosses domains for a piece made away from its near domain.

        Every piece reads all its inputs, and every result is read by every piece of
        the stages that follow.
        """
        request = run.request
        stage = request.stages[number]
        read = sum(
            request.stages[before].result_bytes * request.count(before)
            for before in stage.after
        )
        followers = [n for n, s in enumerate(request.stages) if number in s.after]
        readers = sum(request.count(n) for n in followers) if followers else 1
        return read + stage.result_bytes * readers

    def _rest_ms(self, run: Run, number: int, now_ms: int) -> float:
        """Return the least time of everything that follows a stage."""
        request = run.request
        rests = []
        for follower, stage in enumerate(request.stages):
            if number in stage.after:
                servers = self._servers(stage.service)
                queue = self._queues[stage.service]
                own_ms = queue.job_ms(request.count(follower), servers, now_ms)
                rests.append(own_ms + self._rest_ms(run, follower, now_ms))
        return max(rests, default=float(request.engine_ms))
