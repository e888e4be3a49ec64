"""Steps for the retry policy and retry budgets."""

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

ARRIVAL_STEP_MS = 10


@given("a {kind} route with {attempts:d} attempts that is resumable: {resumable}")
def given_route(context: Any, kind: str, attempts: int, resumable: str) -> None:
    context.route = route(
        "r",
        kind=RouteKind(kind),
        max_attempts=attempts,
        resumable=resumable == "yes",
    )
    context.history = AttemptHistory()


@when('attempts end as "{verdicts}"')
def attempts_end(context: Any, verdicts: str) -> None:
    for number, verdict in enumerate(verdicts.split(", ")):
        context.history.record(f"server-{number}", Verdict(verdict))


@then("a retry is allowed: {again}")
def retry_allowed(context: Any, again: str) -> None:
    assert may_retry(context.route, context.history) is (again == "yes")
    if context.history.verdict is not Verdict.NOT_RUN:
        assert context.route.kind is not RouteKind.ONCE or again == "no"


@given("{count:d} daemons with a ratio of {ratio:g} and {fixed:d} retries in {ms:d} ms")
def given_daemons(context: Any, count: int, ratio: float, fixed: int, ms: int) -> None:
    allowance = RetryAllowance(ratio, fixed, ms)
    context.budgets = [SlidingWindowRetryBudget(allowance) for _ in range(count)]


@when(
    "each receives {per_s:d} requests a second and wants to retry every one for {s:d} s"
)
def send_requests(context: Any, per_s: int, s: int) -> None:
    context.requests, context.retries = [], []
    for now in range(0, s * 1_000, ARRIVAL_STEP_MS):
        if now % (1_000 // per_s):
            continue
        for budget in context.budgets:
            budget.record_request(now)
            context.requests.append(now)
            if budget.try_acquire(len(context.budgets), now):
                context.retries.append(now)


@then(
    "no window of {ms:d} ms has more retries than {ratio:g} of its requests and {n:d}"
)
def within_allowance(context: Any, ms: int, ratio: float, n: int) -> None:
    assert len(context.retries) > n
    for start in range(0, 20_000, 100):
        window = range(start, start + ms)
        requests = sum(now in window for now in context.requests)
        retries = sum(now in window for now in context.retries)
        assert retries <= ratio * requests + n, (start, retries, requests)


@when("one daemon without requests wants {count:d} retries at once")
def request_retries(context: Any, count: int) -> None:
    budget = context.budgets[0]
    granted = [budget.try_acquire(len(context.budgets), 0) for _ in range(count)]
    context.granted = sum(granted)


@then("it is granted {count:d} of them")
def granted_count(context: Any, count: int) -> None:
    assert context.granted == count, context.granted


@then("it is granted {count:d} of {wanted:d} at {ms:d} ms")
def granted_at(context: Any, count: int, wanted: int, ms: int) -> None:
    budget = context.budgets[0]
    granted = sum(budget.try_acquire(len(context.budgets), ms) for _ in range(wanted))
    assert granted == count, granted
