"""Run load under random faults and judge the history: ``script/prove``."""

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
    judge_orders,
    judge_revisions,
    judge_streams,
)
from .load import Caller, attainment, new_http, reasons
from .scenario import TEAMS, settings_document, start_deployment

STAGES = ["encode", "retrieve", "rerank"]
TOKENS = 32
ORDER_DESKS = ("order-desk-1", "order-desk-2")
MAX_RESENDS = 3
THINK_MS = 60
SETTLE_MS = 6_000
OBSERVE_MS = 250


@attrs.define
class History:
    """What callers and observers saw."""

    orders: list[OrderCall] = attrs.Factory(list)
    streams: list[StreamCall] = attrs.Factory(list)
    revisions: list[tuple[str, int]] = attrs.Factory(list)
    faults: list[str] = attrs.Factory(list)


class Prover:
    """Load, faults and observers on one fleet.

    :param seed: decides every choice of faults and daemons
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        """Prepare; nothing is sent yet."""
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._clock = Clock()
        self._stopped = False
        self._generation = itertools.count()
        self.history = History()

    async def run(self, duration_ms: int, callers: int = 4) -> None:
        """Run load under faults, then heal and let everything settle."""
        async with new_http() as http, anyio.create_task_group() as group:
            for index in range(callers):
                group.start_soon(self._order_loop, http, index)
                group.start_soon(self._stream_loop, http, index)
            group.start_soon(self._observe)
            await self._fault_loop(self._clock.now_ms() + duration_ms)
            await anyio.sleep(seconds(SETTLE_MS))
            self._stopped = True

    def judge(self) -> list[Violation]:
        """Judge the history by the upstreams' records."""
        runs = [
            run["key"] for desk in ORDER_DESKS for run in self._fleet.fetch_runs(desk)
        ]
        return [
            *judge_orders(self.history.orders, runs),
            *judge_streams(self.history.streams),
            *judge_revisions(self.history.revisions),
        ]

    def _any_daemon(self) -> tuple[str, str]:
        name = self._rng.choice(sorted(self._fleet.daemons))
        return name, self._fleet.daemons[name].url

    async def _order_loop(self, http: httpx.AsyncClient, index: int) -> None:
        """Send orders; one that has no answer is sent again elsewhere."""
        caller = Caller(http, self._fleet.team_token("warehouse"))
        for number in itertools.count():
            if self._stopped:
                return
            key = ids.new_id(self._clock.wall_ms())
            body = f"order {index}.{number}"
            for _ in range(MAX_RESENDS):
                name, url = self._any_daemon()
                outcome = await caller.call(url, "part-order", body, key)
                self.history.orders.append(OrderCall(key, name, outcome))
                if outcome.whole and self._rng.random() < 0.7:
                    break
            await anyio.sleep(seconds(THINK_MS))

    async def _stream_loop(self, http: httpx.AsyncClient, index: int) -> None:
        team = sorted(TEAMS)[index % len(TEAMS)]
        caller = Caller(http, self._fleet.team_token(team))
        for number in itertools.count():
            if self._stopped:
                return
            name, url = self._any_daemon()
            text = f"diagnosis {index}.{number}"
            outcome = await caller.stream(url, "diagnosis", text, STAGES, TOKENS)
            self.history.streams.append(StreamCall(text, name, outcome))
            await anyio.sleep(seconds(THINK_MS))

    async def _observe(self) -> None:
        """Note the revision in force in each daemon process."""
        while not self._stopped:
            for name, daemon in list(self._fleet.daemons.items()):
                process = f"{name}/{daemon.popen.pid}"
                revision = await anyio.to_thread.run_sync(self._revision, name)
                if revision is not None:
                    self.history.revisions.append((process, revision))
            await anyio.sleep(seconds(OBSERVE_MS))

    def _revision(self, name: str) -> int | None:
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

    async def _fault_loop(self, end_ms: int) -> None:
        faults: list[Callable[[], Awaitable[str]]] = [
            self._kill_daemon,
            self._freeze_daemon,
            self._platform_outage,
            self._platform_slow,
            self._lose_answers,
            self._refusing_desk,
            self._slow_desk,
            self._change_settings,
            self._replace_daemon,
        ]
        while self._clock.now_ms() < end_ms:
            fault = self._rng.choice(faults)
            self.history.faults.append(await fault())
            await anyio.sleep(seconds(self._rng.randint(100, 800)))

    async def _pause(self, low_ms: int, high_ms: int) -> None:
        await anyio.sleep(seconds(self._rng.randint(low_ms, high_ms)))

    async def _kill_daemon(self) -> str:
        name, _ = self._any_daemon()
        self._fleet.daemons[name].kill()
        await self._pause(200, 1_500)
        self._fleet.restart_daemon(name)
        await self._pause(1_500, 2_500)
        return f"kill {name}"

    async def _replace_daemon(self) -> str:
        name, _ = self._any_daemon()
        stop = self._fleet.daemons[name].stop
        code = await anyio.to_thread.run_sync(stop)
        self._fleet.restart_daemon(name)
        await self._pause(1_500, 2_500)
        return f"replace {name}, exit {code}"

    async def _freeze_daemon(self) -> str:
        name, _ = self._any_daemon()
        self._fleet.daemons[name].signal(signal.SIGSTOP)
        await self._pause(500, 5_000)
        self._fleet.daemons[name].signal(signal.SIGCONT)
        return f"freeze {name}"

    async def _platform_outage(self) -> str:
        self._fleet.set_faults("kv", down=True)
        self._fleet.set_faults("vm-list", down=True)
        await self._pause(300, 4_000)
        self._fleet.set_faults("kv", down=False)
        self._fleet.set_faults("vm-list", down=False)
        return "platform outage"

    async def _platform_slow(self) -> str:
        self._fleet.set_faults("kv", delay_ms=self._rng.randint(100, 1_300))
        await self._pause(500, 3_000)
        self._fleet.set_faults("kv", delay_ms=0)
        return "platform slow"

    async def _lose_answers(self) -> str:
        count = self._rng.randint(1, 12)
        self._fleet.set_faults("kv", lose_answers=count)
        await self._pause(200, 1_000)
        return f"lose {count} answers"

    async def _refusing_desk(self) -> str:
        desk = self._rng.choice(ORDER_DESKS)
        self._fleet.set_faults(desk, refuse=True)
        await self._pause(300, 1_500)
        self._fleet.set_faults(desk, refuse=False)
        return f"{desk} refuses"

    async def _slow_desk(self) -> str:
        desk = self._rng.choice(ORDER_DESKS)
        self._fleet.set_faults(desk, slow_factor=400.0)
        await self._pause(300, 2_500)
        self._fleet.set_faults(desk, slow_factor=1.0)
        return f"{desk} slow"

    async def _change_settings(self) -> str:
        """Let two operators race for the same revision."""
        number = next(self._generation)
        document = settings_document(self._fleet)
        document["teams"]["technicians"]["share"] = 2 + number
        path = self._fleet.folder / f"change-{number}.yaml"
        path.write_text(json.dumps(document))
        names = self._rng.choices(sorted(self._fleet.daemons), k=2)
        async with anyio.create_task_group() as group:
            for name in names:
                store = partial(
                    self._fleet.cli, name, "config", "store", str(path), "--wait", "1s"
                )
                group.start_soon(anyio.to_thread.run_sync, store)
        return f"settings {number}"


def report(prover: Prover, violations: list[Violation], seed: int) -> None:
    """Print what was sent, what failed, and what was violated."""
    history = prover.history
    orders = [call.outcome for call in history.orders]
    streams = [call.outcome for call in history.streams]
    print(f"seed {seed}, faults {len(history.faults)}: {', '.join(history.faults)}")
    for name, found in (("orders", orders), ("streams", streams)):
        part = attainment(found)
        print(f"{name} {len(found)}, attainment {part:.3f}, {dict(reasons(found))}")
    print(f"revisions observed {len(history.revisions)}")
    for violation in violations:
        print(f"VIOLATION {violation.rule}: {violation.detail}")
    print(f"{len(violations)} violations")


def main() -> int:
    """Run for the wanted time; the exit code is 0 without violations."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--daemons", type=int, default=4)
    args = parser.parse_args()
    seed = (
        args.seed if args.seed is not None else random.SystemRandom().randrange(10**6)
    )
    print(f"seed {seed}", flush=True)
    with Fleet() as fleet:
        start_deployment(fleet, daemons=args.daemons)
        prover = Prover(fleet, seed)
        anyio.run(prover.run, int(args.minutes * 60_000))
        violations = prover.judge()
        report(prover, violations, seed)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
