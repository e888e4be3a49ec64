"""Steps that doctor histories and ask the judge."""

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

WHOLE = Outcome(200, "ran", "", is_correct=True, is_mismatched=False, latency_ms=1)
WRONG = Outcome(200, "ran", "", is_correct=False, is_mismatched=True, latency_ms=1)
NOT_RUN = Outcome(503, "not-run", "no-upstream", False, False, 1)
UNKNOWN = Outcome(409, "may-have-run", "outcome-unknown", False, False, 1)

GOOD = [
    OrderCall("a", "entry-1", WHOLE),
    OrderCall("b", "entry-1", NOT_RUN),
    OrderCall("b", "entry-2", WHOLE),
    OrderCall("c", "entry-2", UNKNOWN),
    OrderCall("d", "entry-2", NOT_RUN),
]
GOOD_RUNS = ["a", "b", "c"]
GOOD_REVISIONS = [("entry-1/10", 1), ("entry-1/10", 2), ("entry-1/11", 1)]

DOCTORED: dict[str, list[Violation]] = {
    "an order that ran twice": check_orders(GOOD, [*GOOD_RUNS, "a"]),
    "a refused order that ran": check_orders(GOOD, [*GOOD_RUNS, "d"]),
    "an answer without a run": check_orders(GOOD, ["b", "c"]),
    "a run that nobody sent": check_orders(GOOD, [*GOOD_RUNS, "z"]),
    "another order's answer": check_orders([OrderCall("a", "entry-1", WRONG)], ["a"]),
    "another stream's tokens": check_streams([StreamCall("x", "entry-1", WRONG)]),
    "a revision that goes back": check_revisions([*GOOD_REVISIONS, ("entry-1/10", 1)]),
}


@then("a good history has no violations")
def good(context: Any) -> None:
    assert not check_orders(GOOD, GOOD_RUNS)
    assert not check_streams([StreamCall("x", "entry-1", WHOLE)])
    assert not check_revisions(GOOD_REVISIONS)


@then('a history with {fault} violates "{rule}"')
def doctored(context: Any, fault: str, rule: str) -> None:
    found = DOCTORED[fault]
    assert [violation.rule for violation in found] == [rule], found
