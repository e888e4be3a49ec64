"""Steps that check valid histories and histories with one injected fault."""

from typing import Any

from behave import then

from cowsliphitch.standins.history import (
    OrderCall,
    StreamCall,
    Violation,
    check_orders,
    check_revisions,
    check_streams,
)
from cowsliphitch.standins.load import Outcome

CORRECT = Outcome(200, "ran", "", is_correct=True, is_mismatched=False, latency_ms=1)
MISMATCHED = Outcome(200, "ran", "", is_correct=False, is_mismatched=True, latency_ms=1)
NOT_RUN = Outcome(503, "not-run", "no-upstream", False, False, 1)
UNKNOWN = Outcome(409, "may-have-run", "outcome-unknown", False, False, 1)

VALID_CALLS = [
    OrderCall("a", "entry-1", CORRECT),
    OrderCall("b", "entry-1", NOT_RUN),
    OrderCall("b", "entry-2", CORRECT),
    OrderCall("c", "entry-2", UNKNOWN),
    OrderCall("d", "entry-2", NOT_RUN),
]
VALID_RUNS = ["a", "b", "c"]
VALID_REVISIONS = [("entry-1/10", 1), ("entry-1/10", 2), ("entry-1/11", 1)]

VIOLATIONS_BY_FAULT: dict[str, list[Violation]] = {
    "an order that ran twice": check_orders(VALID_CALLS, [*VALID_RUNS, "a"]),
    "a refused order that ran": check_orders(VALID_CALLS, [*VALID_RUNS, "d"]),
    "an answer without a run": check_orders(VALID_CALLS, ["b", "c"]),
    "a run without a call": check_orders(VALID_CALLS, [*VALID_RUNS, "z"]),
    "another order's answer": check_orders(
        [OrderCall("a", "entry-1", MISMATCHED)], ["a"]
    ),
    "another stream's tokens": check_streams([StreamCall("x", "entry-1", MISMATCHED)]),
    "a revision that decreases": check_revisions([*VALID_REVISIONS, ("entry-1/10", 1)]),
}


@then("a valid history has no violations")
def assert_no_violations(context: Any) -> None:
    assert not check_orders(VALID_CALLS, VALID_RUNS)
    assert not check_streams([StreamCall("x", "entry-1", CORRECT)])
    assert not check_revisions(VALID_REVISIONS)


@then('a history with {fault} violates "{rule}"')
def assert_violation(context: Any, fault: str, rule: str) -> None:
    violations = VIOLATIONS_BY_FAULT[fault]
    assert [violation.rule for violation in violations] == [rule], violations
