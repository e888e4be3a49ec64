"""Steps on what may be sent again, and how often."""

from typing import Any

from behave import given, then, when
from deployment_steps import route

from cowsliphitch.core.attempts.retry_policy import AttemptHistory, may_retry
from cowsliphitch.core.budgets.sliding_window import (
    RetryAllowance,
    SlidingWindowRetryBudget,
)
from cowsliphitch.core.deployment.models import RouteKind
from cowsliphitch.core.verdict import Verdict

STEP_MS = 10


@given("a {kind} route with {attempts:d} attempts that is resumable: {resumable}")
def given_route(context: Any, kind: str, attempts: int, resumable: str) -> None:
    context.route = route(
        "r",
        kind=RouteKind(kind),
        max_attempts=attempts,
        resumable=resumable == "yes",
    )
    context.state = AttemptHistory()


@when('attempts end as "{verdicts}"')
def attempts_end(context: Any, verdicts: str) -> None:
    for number, verdict in enumerate(verdicts.split(", ")):
        context.state.record(f"server-{number}", Verdict(verdict))


@then("it may be sent again: {again}")
def may_again(context: Any, again: str) -> None:
    assert may_retry(context.route, context.state) is (again == "yes")
    if context.state.verdict is not Verdict.NOT_RUN:
        assert context.route.kind is not RouteKind.ONCE or again == "no"


@given("{count:d} daemons with a ratio of {ratio:g} and {fixed:d} repeats in {ms:d} ms")
def daemons(context: Any, count: int, ratio: float, fixed: int, ms: int) -> None:
    allowance = RetryAllowance(ratio, fixed, ms)
    context.budgets = [SlidingWindowRetryBudget(allowance) for _ in range(count)]


@when("each sees {per_s:d} requests a second and wants to repeat every one for {s:d} s")
def repeats(context: Any, per_s: int, s: int) -> None:
    context.requests, context.repeats = [], []
    for now in range(0, s * 1_000, STEP_MS):
        if now % (1_000 // per_s):
            continue
        for budget in context.budgets:
            budget.record_request(now)
            context.requests.append(now)
            if budget.try_acquire(len(context.budgets), now):
                context.repeats.append(now)


@then(
    "no window of {ms:d} ms has more repeats than {ratio:g} of its requests and {n:d}"
)
def within_allowance(context: Any, ms: int, ratio: float, n: int) -> None:
    assert len(context.repeats) > n
    for start in range(0, 20_000, 100):
        window = range(start, start + ms)
        requests = sum(now in window for now in context.requests)
        repeated = sum(now in window for now in context.repeats)
        assert repeated <= ratio * requests + n, (start, repeated, requests)


@when("one daemon without requests wants {count:d} repeats at once")
def wants(context: Any, count: int) -> None:
    budget = context.budgets[0]
    granted = [budget.try_acquire(len(context.budgets), 0) for _ in range(count)]
    context.granted = sum(granted)


@then("it is granted {count:d} of them")
def granted(context: Any, count: int) -> None:
    assert context.granted == count, context.granted


@then("it is granted {count:d} of {wanted:d} at {ms:d} ms")
def granted_at(context: Any, count: int, wanted: int, ms: int) -> None:
    budget = context.budgets[0]
    found = sum(budget.try_acquire(len(context.budgets), ms) for _ in range(wanted))
    assert found == count, found
