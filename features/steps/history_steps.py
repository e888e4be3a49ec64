"""Steps that run the history checker on valid histories and on violations."""

from typing import Any

from behave import then

from cowsliphitch.standins.history import (
    OrderCall,
    StreamCall,
    Violation,
    judge_orders,
    judge_revisions,
    judge_streams,
)
from cowsliphitch.standins.load import Outcome

COMPLETE = Outcome(200, "ran", "", whole=True, wrong=False, latency_ms=1)
WRONG_ANSWER = Outcome(200, "ran", "", whole=False, wrong=True, latency_ms=1)
REFUSED_NOT_RUN = Outcome(503, "not-run", "no-upstream", False, False, 1)
REFUSED_UNKNOWN_OUTCOME = Outcome(
    409, "may-have-run", "outcome-unknown", False, False, 1
)

VALID_ORDERS = [
    OrderCall("a", "entry-1", COMPLETE),
    OrderCall("b", "entry-1", REFUSED_NOT_RUN),
    OrderCall("b", "entry-2", COMPLETE),
    OrderCall("c", "entry-2", REFUSED_UNKNOWN_OUTCOME),
    OrderCall("d", "entry-2", REFUSED_NOT_RUN),
]
VALID_RUNS = ["a", "b", "c"]
VALID_REVISIONS = [("entry-1/10", 1), ("entry-1/10", 2), ("entry-1/11", 1)]

VIOLATIONS_BY_FAULT: dict[str, list[Violation]] = {
    "an order that ran twice": judge_orders(VALID_ORDERS, [*VALID_RUNS, "a"]),
    "a refused order that ran": judge_orders(VALID_ORDERS, [*VALID_RUNS, "d"]),
    "an answer without a run": judge_orders(VALID_ORDERS, ["b", "c"]),
    "a run that nobody sent": judge_orders(VALID_ORDERS, [*VALID_RUNS, "z"]),
    "another order's answer": judge_orders(
        [OrderCall("a", "entry-1", WRONG_ANSWER)], ["a"]
    ),
    "another stream's tokens": judge_streams(
        [StreamCall("x", "entry-1", WRONG_ANSWER)]
    ),
    "a revision that goes back": judge_revisions([*VALID_REVISIONS, ("entry-1/10", 1)]),
}


@then("a valid history has no violations")
def assert_valid_history_passes(context: Any) -> None:
    assert not judge_orders(VALID_ORDERS, VALID_RUNS)
    assert not judge_streams([StreamCall("x", "entry-1", COMPLETE)])
    assert not judge_revisions(VALID_REVISIONS)


@then('a history with {fault} violates "{rule}"')
def assert_violation_reported(context: Any, fault: str, rule: str) -> None:
    found = VIOLATIONS_BY_FAULT[fault]
    assert [violation.rule for violation in found] == [rule], found
