"""Run load under random faults and check the recorded history.

Callers send orders and streams to a small fleet while daemons, the platform and
upstreams fail. Afterwards the recorded history is searched for violated guarantees.
One seed feeds all random choices; timing still differs between runs with one seed.
"""

import argparse
import itertools
import json
import random
import signal
import sys
from collections.abc import Awaitable, Callable
from functools import partial

import anyio
import attrs
import httpx

from cowsliphitch.core import ids
from cowsliphitch.core.clock import Clock, seconds

from .fleet import Fleet
from .history import (
    OrderCall,
    StreamCall,
    Violation,
    check_final_revisions,
    check_orders,
    check_revisions,
    check_streams,
)
from .load import Caller, attainment, count_outcomes, new_http_client
from .scenario import TEAMS, settings_document, start_deployment

STAGES = ["encode", "retrieve", "rerank"]
ANSWER_TOKENS = 32  # max_tokens of the scenario's generate stage
ORDER_DESKS = ("order-desk-1", "order-desk-2")
MAX_ATTEMPTS = 3
MIN_COPY_AGE_MS, MAX_COPY_AGE_MS = 100, 3_000
MIN_DRILL_PAUSE_MS, MAX_DRILL_PAUSE_MS = 300, 4_000
# Longest outages in series of drills; those of one series come back to the same copy.
DRILL_SERIES_MS = ((0,), (1_500,), (0, 0))
THINK_TIME_MS = 60
SETTLE_TIME_MS = 6_000
OBSERVE_INTERVAL_MS = 250
FINAL_REVISION_CALLS = 12


@attrs.define
class History:
    """Record of a run, for the checks and the report.

    :param orders: calls of orders, repeats included
    :param streams: streamed requests
    :param revisions: daemon process and the revision that it reported, in order of time
    :param final_revisions: revision of each daemon at the end of the run
    :param faults: descriptions of the injected faults, in order of time
    """

    orders: list[OrderCall] = attrs.Factory(list)
    streams: list[StreamCall] = attrs.Factory(list)
    revisions: list[tuple[str, int]] = attrs.Factory(list)
    final_revisions: dict[str, int] = attrs.Factory(dict)
    faults: list[str] = attrs.Factory(list)


class FaultInjectionTest:
    """A run of load under random faults on one fleet.

    :param seed: seeds every random choice of faults and daemons
    :param has_drills: whether the key-value store comes back from copies of itself,
        also during other faults
    """

    def __init__(self, fleet: Fleet, seed: int, *, has_drills: bool = False) -> None:
        """Initialize an empty history; ``run`` starts load and faults."""
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._drill_rng = random.Random(f"drills {seed}")
        self._has_drills = has_drills
        self._clock = Clock()
        self._is_stopped = False
        self._change_numbers = itertools.count()
        self.history = History()

    async def run(self, duration_ms: int, callers: int = 4) -> None:
        """Run load under faults, then for ``SETTLE_TIME_MS`` without faults.

        :param duration_ms: time during which faults are injected
        :param callers: number of callers of each kind of request
        """
        async with new_http_client() as http, anyio.create_task_group() as group:
            for index in range(callers):
                group.start_soon(self._send_orders, http, index)
                group.start_soon(self._send_streams, http, index)
            group.start_soon(self._observe_revisions)
            end_ms = self._clock.now_ms() + duration_ms
            if self._has_drills:
                group.start_soon(self._run_drills, end_ms)
            await self._inject_faults(end_ms)
            await anyio.sleep(seconds(SETTLE_TIME_MS))
            self._is_stopped = True
        self.history.final_revisions = {
            name: await self._fetch_final_revision(name) for name in self._fleet.daemons
        }

    def check_history(self) -> list[Violation]:
        """Return the violations in the history and in the upstreams' records."""
        runs = [
            run["key"] for desk in ORDER_DESKS for run in self._fleet.fetch_runs(desk)
        ]
        return [
            *check_orders(self.history.orders, runs),
            *check_streams(self.history.streams),
            *check_revisions(self.history.revisions),
            *check_final_revisions(
                self.history.revisions, self.history.final_revisions
            ),
        ]

    def _choose_daemon(self) -> tuple[str, str]:
        name = self._rng.choice(sorted(self._fleet.daemons))
        return name, self._fleet.daemons[name].url

    async def _send_orders(self, http: httpx.AsyncClient, index: int) -> None:
        """Send orders, and repeat an order at a random daemon with the same key.

        An order without a correct answer is sent up to ``MAX_ATTEMPTS`` times. 30 % of
        correct answers are followed by a repeat too, which must not run again.
        """
        caller = Caller(http, self._fleet.team_token("warehouse"))
        for number in itertools.count():
            if self._is_stopped:
                return
            key = ids.new_id(self._clock.wall_ms())
            body = f"order {index}.{number}"
            for _ in range(MAX_ATTEMPTS):
                name, url = self._choose_daemon()
                outcome = await caller.call(url, "part-order", body, key)
                self.history.orders.append(OrderCall(key, name, outcome))
                if outcome.is_correct and self._rng.random() < 0.7:
                    break
            await anyio.sleep(seconds(THINK_TIME_MS))

    async def _send_streams(self, http: httpx.AsyncClient, index: int) -> None:
        team = sorted(TEAMS)[index % len(TEAMS)]
        caller = Caller(http, self._fleet.team_token(team))
        for number in itertools.count():
            if self._is_stopped:
                return
            name, url = self._choose_daemon()
            text = f"diagnosis {index}.{number}"
            outcome = await caller.stream(url, "diagnosis", text, STAGES, ANSWER_TOKENS)
            self.history.streams.append(StreamCall(text, name, outcome))
            await anyio.sleep(seconds(THINK_TIME_MS))

    async def _observe_revisions(self) -> None:
        """Record the configuration revision of each daemon process.

        A restarted daemon counts as another process: only a running one must never
        return to an earlier revision.
        """
        while not self._is_stopped:
            for name, daemon in list(self._fleet.daemons.items()):
                process = f"{name}/{daemon.popen.pid}"
                revision = await anyio.to_thread.run_sync(self._fetch_revision, name)
                if revision is not None:
                    self.history.revisions.append((process, revision))
            await anyio.sleep(seconds(OBSERVE_INTERVAL_MS))

    async def _fetch_final_revision(self, name: str) -> int:
        """Return the revision of a daemon, 0 if it gives no answer in several calls."""
        for _ in range(FINAL_REVISION_CALLS):
            revision = await anyio.to_thread.run_sync(self._fetch_revision, name)
            if revision is not None:
                return revision
            await anyio.sleep(seconds(OBSERVE_INTERVAL_MS))
        return 0

    def _fetch_revision(self, name: str) -> int | None:
        url = f"{self._fleet.daemons[name].operators_url}/v1/config"
        headers = {"authorization": f"Bearer {self._fleet.operator_token}"}
        try:
            resp = httpx.get(url, headers=headers, timeout=0.5)
        except httpx.HTTPError:
            return None
        if resp.status_code != httpx.codes.OK:
            return None
        revision: int = resp.json()["manifest"]["revision"]
        return revision

    async def _inject_faults(self, end_ms: int) -> None:
        faults: list[Callable[[], Awaitable[str]]] = [
            self._kill_daemon,
            self._freeze_daemon,
            self._interrupt_platform,
            self._slow_platform,
            self._lose_kv_answers,
            self._refuse_at_desk,
            self._slow_desk,
            self._change_settings,
            self._replace_daemon,
        ]
        while self._clock.now_ms() < end_ms:
            fault = self._rng.choice(faults)
            self.history.faults.append(await fault())
            await anyio.sleep(seconds(self._rng.randint(100, 800)))

    async def _run_drills(self, end_ms: int) -> None:
        """Have the store come back from copies, at once or after an outage."""
        rng = self._drill_rng
        while self._clock.now_ms() < end_ms:
            self._fleet.copy_store()
            await anyio.sleep(seconds(rng.randint(MIN_COPY_AGE_MS, MAX_COPY_AGE_MS)))
            for max_outage_ms in rng.choice(DRILL_SERIES_MS):
                self._fleet.set_faults("kv", down=True)
                await anyio.sleep(seconds(rng.randint(0, max_outage_ms)))
                self._fleet.restore_store()
                self._fleet.set_faults("kv", down=False)
                self.history.faults.append("drill")
                pause_ms = rng.randint(MIN_DRILL_PAUSE_MS, MAX_DRILL_PAUSE_MS)
                await anyio.sleep(seconds(pause_ms))

    async def _sleep_random(self, low_ms: int, high_ms: int) -> None:
        await anyio.sleep(seconds(self._rng.randint(low_ms, high_ms)))

    async def _kill_daemon(self) -> str:
        name, _ = self._choose_daemon()
        self._fleet.daemons[name].kill()
        await self._sleep_random(200, 1_500)
        self._fleet.restart_daemon(name)
        await self._sleep_random(1_500, 2_500)
        return f"kill {name}"

    async def _replace_daemon(self) -> str:
        name, _ = self._choose_daemon()
        stop = self._fleet.daemons[name].stop
        code = await anyio.to_thread.run_sync(stop)
        self._fleet.restart_daemon(name)
        await self._sleep_random(1_500, 2_500)
        return f"replace {name}, exit {code}"

    async def _freeze_daemon(self) -> str:
        name, _ = self._choose_daemon()
        self._fleet.daemons[name].signal(signal.SIGSTOP)
        await self._sleep_random(500, 5_000)
        self._fleet.daemons[name].signal(signal.SIGCONT)
        return f"freeze {name}"

    async def _interrupt_platform(self) -> str:
        self._fleet.set_faults("kv", down=True)
        self._fleet.set_faults("vm-list", down=True)
        await self._sleep_random(300, 4_000)
        self._fleet.set_faults("kv", down=False)
        self._fleet.set_faults("vm-list", down=False)
        return "platform outage"

    async def _slow_platform(self) -> str:
        self._fleet.set_faults("kv", delay_ms=self._rng.randint(100, 1_300))
        await self._sleep_random(500, 3_000)
        self._fleet.set_faults("kv", delay_ms=0)
        return "platform slow"

    async def _lose_kv_answers(self) -> str:
        count = self._rng.randint(1, 12)
        self._fleet.set_faults("kv", lose_answers=count)
        await self._sleep_random(200, 1_000)
        return f"lose {count} key-value answers"

    async def _refuse_at_desk(self) -> str:
        desk = self._rng.choice(ORDER_DESKS)
        self._fleet.set_faults(desk, refuse=True)
        await self._sleep_random(300, 1_500)
        self._fleet.set_faults(desk, refuse=False)
        return f"{desk} refuses"

    async def _slow_desk(self) -> str:
        desk = self._rng.choice(ORDER_DESKS)
        self._fleet.set_faults(desk, slow_factor=400.0)
        await self._sleep_random(300, 2_500)
        self._fleet.set_faults(desk, slow_factor=1.0)
        return f"{desk} slow"

    async def _change_settings(self) -> str:
        """Store a change through two random daemons at once, so that writes race."""
        number = next(self._change_numbers)
        document = settings_document(self._fleet)
        document["teams"]["technicians"]["share"] = 2 + number
        path = self._fleet.folder / f"change-{number}.yaml"
        path.write_text(json.dumps(document))
        names = self._rng.choices(sorted(self._fleet.daemons), k=2)
        async with anyio.create_task_group() as group:
            for name in names:
                store_settings = partial(
                    self._fleet.cli, name, "config", "store", str(path), "--wait", "1s"
                )
                group.start_soon(anyio.to_thread.run_sync, store_settings)
        return f"settings change {number}"


def print_report(
    test: FaultInjectionTest, violations: list[Violation], seed: int
) -> None:
    """Print the injected faults, the outcomes of requests and the violations."""
    history = test.history
    orders = [call.outcome for call in history.orders]
    streams = [call.outcome for call in history.streams]
    print(f"seed {seed}, faults {len(history.faults)}: {', '.join(history.faults)}")
    for name, outcomes in (("orders", orders), ("streams", streams)):
        attained = attainment(outcomes)
        print(
            f"{name} {len(outcomes)}, attainment {attained:.3f}, "
            f"{dict(count_outcomes(outcomes))}"
        )
    print(f"revisions observed {len(history.revisions)}")
    for violation in violations:
        print(f"VIOLATION {violation.rule}: {violation.detail}")
    print(f"{len(violations)} violations")


def main() -> int:
    """Run for the requested time; return exit code 0 without violations, else 1."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--daemons", type=int, default=4)
    parser.add_argument("--drills", action="store_true")
    args = parser.parse_args()
    seed = (
        args.seed if args.seed is not None else random.SystemRandom().randrange(10**6)
    )
    print(f"seed {seed}", flush=True)
    with Fleet() as fleet:
        start_deployment(fleet, daemons=args.daemons)
        test = FaultInjectionTest(fleet, seed, has_drills=args.drills)
        anyio.run(test.run, int(args.minutes * 60_000))
        violations = test.check_history()
        print_report(test, violations, seed)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
