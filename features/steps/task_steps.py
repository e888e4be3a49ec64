"""Steps on background tasks and the containment of their errors."""

import logging
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

import anyio
from behave import given, then, when

from cowsliphitch.core.clock import Clock
from cowsliphitch.telemetry import tasks as tasks_module
from cowsliphitch.telemetry.tasks import BackgroundTasks


class RecordingHandler(logging.Handler):
    def __init__(self) -> None:
        super().__init__()
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.records.append(record)


def run_tasks(
    context: Any, action: Callable[[BackgroundTasks], Awaitable[None]]
) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            context.tasks = BackgroundTasks(group, Clock())
            await action(context.tasks)
            group.cancel_scope.cancel()

    logger = logging.getLogger(tasks_module.__name__)
    logger.addHandler(context.log)
    try:
        with mock.patch.object(tasks_module, "RESTART_PAUSE_MS", 10):
            anyio.run(main)
    except ExceptionGroup as exc:
        context.error = exc
    finally:
        logger.removeHandler(context.log)


async def fail() -> None:
    raise KeyError("unexpected")


@given("background tasks")
def given_tasks(context: Any) -> None:
    context.log, context.error, context.rounds = RecordingHandler(), None, 0


@when("a task fails beside one that takes {ms:d} ms")
def fails_beside(context: Any, ms: int) -> None:
    ended = anyio.Event()

    async def take_time() -> None:
        await anyio.sleep(ms / 1_000)
        ended.set()

    async def action(tasks: BackgroundTasks) -> None:
        tasks.start_soon(take_time)
        tasks.start_soon(fail)
        with anyio.move_on_after(5):
            await ended.wait()

    run_tasks(context, action)
    context.other_has_ended = ended.is_set()


def assert_failures(context: Any, count: int, tracebacks: int) -> None:
    assert context.error is None, context.error
    assert sum(context.tasks.failures.values()) == count, context.tasks.failures
    logged = [r for r in context.log.records if r.exc_info]
    assert len(logged) == tracebacks, logged


@then(
    "the other one has ended, and the failure is counted and logged with its traceback"
)
def other_has_ended(context: Any) -> None:
    assert context.other_has_ended
    assert_failures(context, 1, 1)


def run_loop(context: Any, fails_first: bool) -> None:
    async def loop() -> None:
        context.rounds += 1
        if fails_first and context.rounds == 1:
            await fail()

    async def action(tasks: BackgroundTasks) -> None:
        tasks.start_loop(loop)
        await anyio.sleep(0.1)

    run_tasks(context, action)


@when("a loop fails in its first round")
def loop_fails(context: Any) -> None:
    run_loop(context, fails_first=True)


@when("a loop ends after its first round")
def loop_ends(context: Any) -> None:
    run_loop(context, fails_first=False)


@then(
    "it has run {count:d} rounds, and the failure is counted and logged with its"
    " traceback"
)
def has_run_again(context: Any, count: int) -> None:
    assert context.rounds == count, context.rounds
    assert_failures(context, 1, 1)


@then("it has run {count:d} rounds, and no failure is counted")
def has_run(context: Any, count: int) -> None:
    assert context.rounds == count, context.rounds
    assert_failures(context, 0, 0)


@when("an essential part fails")
def essential_fails(context: Any) -> None:
    async def action(tasks: BackgroundTasks) -> None:
        tasks.start_essential(fail)
        await anyio.sleep(5)

    run_tasks(context, action)


@then("its error has ended all tasks")
def has_ended_all(context: Any) -> None:
    assert context.error is not None
    assert any(isinstance(exc, KeyError) for exc in context.error.exceptions)


@when("a task fails {count:d} times")
def fails_often(context: Any, count: int) -> None:
    async def action(tasks: BackgroundTasks) -> None:
        for _ in range(count):
            tasks.start_soon(fail)
        await anyio.sleep(0.05)

    run_tasks(context, action)


@then("{count:d} failures are counted, and {tracebacks:d} traceback is logged")
def are_counted(context: Any, count: int, tracebacks: int) -> None:
    assert_failures(context, count, tracebacks)
