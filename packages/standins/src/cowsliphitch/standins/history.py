"""Judge a recorded history against what must always hold."""

from collections import Counter, defaultdict
from collections.abc import Iterable

import attrs

from .load import Outcome


@attrs.frozen
class OrderCall:
    """One call of an order, as the caller saw it."""

    key: str
    daemon: str
    outcome: Outcome


@attrs.frozen
class StreamCall:
    """One streamed request, as the caller saw it."""

    input: str
    daemon: str
    outcome: Outcome


@attrs.frozen
class Violation:
    """Something that must never happen, and where it was seen."""

    rule: str
    detail: str


def check_orders(calls: Iterable[OrderCall], runs: Iterable[str]) -> list[Violation]:
    """Judge orders by the upstreams' own record.

    :param runs: the key of every execution in the upstreams' records
    """
    ran = Counter(runs)
    by_key: dict[str, list[OrderCall]] = defaultdict(list)
    for call in calls:
        by_key[call.key].append(call)
    found = [
        Violation("an order runs at most once", f"{key} ran {count} times")
        for key, count in ran.items()
        if count > 1
    ]
    for key, listed in by_key.items():
        found += _judge_key(key, listed, ran[key])
    found += [
        Violation("nothing runs that nobody sent", key)
        for key in ran
        if key not in by_key
    ]
    return found


def _judge_key(key: str, calls: list[OrderCall], ran: int) -> list[Violation]:
    found: list[Violation] = []
    verdicts = [call.outcome.verdict for call in calls]
    if ran and all(verdict == "not-run" for verdict in verdicts):
        found.append(
            Violation("not run means not run", f"{key}: every call was refused")
        )
    if not ran and any(call.outcome.is_correct for call in calls):
        found.append(Violation("an answer comes from a run", key))
    if any(call.outcome.is_mismatched for call in calls):
        found.append(Violation("each caller gets its own answer", key))
    return found


def check_streams(calls: Iterable[StreamCall]) -> list[Violation]:
    """Judge streamed answers: whole and one's own, or said to be neither."""
    return [
        Violation("each caller gets its own whole answer", call.input)
        for call in calls
        if call.outcome.is_mismatched
    ]


def check_revisions(
    observations: Iterable[tuple[str, int]],
) -> list[Violation]:
    """Judge the revisions that each daemon process reported, in order of time."""
    highest: dict[str, int] = {}
    found: list[Violation] = []
    for process, revision in observations:
        if revision < highest.get(process, 0):
            detail = f"{process}: {highest[process]} then {revision}"
            found.append(Violation("a configuration never reverts", detail))
        highest[process] = max(highest.get(process, 0), revision)
    return found
