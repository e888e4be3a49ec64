"""Check recorded runs against the guarantees of the system.

The checks compare what callers received with the upstreams' own records of runs, and
don't rely on what daemons report of themselves.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping

import attrs

from .load import Outcome


@attrs.frozen
class OrderCall:
    """One call of an order and its outcome at the caller.

    :param key: idempotency key
    :param daemon: name of the daemon that received the call
    """

    key: str
    daemon: str
    outcome: Outcome


@attrs.frozen
class StreamCall:
    """One streamed request and its outcome at the caller.

    :param daemon: name of the daemon that received the request
    """

    input: str
    daemon: str
    outcome: Outcome


@attrs.frozen
class Violation:
    """A violated guarantee.

    :param rule: the guarantee
    :param detail: the key, input or process that violates it
    """

    rule: str
    detail: str


def check_orders(calls: Iterable[OrderCall], runs: Iterable[str]) -> list[Violation]:
    """Return the violations of orders, according to the upstreams' records.

    :param calls: all calls of orders, repeats included
    :param runs: idempotency key of every execution in the upstreams' records
    """
    run_counts = Counter(runs)
    calls_by_key: dict[str, list[OrderCall]] = defaultdict(list)
    for call in calls:
        calls_by_key[call.key].append(call)
    violations = [
        Violation("an order runs at most once", f"{key} ran {count} times")
        for key, count in run_counts.items()
        if count > 1
    ]
    for key, key_calls in calls_by_key.items():
        violations += _check_key(key, key_calls, run_counts[key])
    violations += [
        Violation("every run belongs to a call", key)
        for key in run_counts
        if key not in calls_by_key
    ]
    return violations


def _check_key(key: str, calls: list[OrderCall], run_count: int) -> list[Violation]:
    violations: list[Violation] = []
    verdicts = [call.outcome.verdict for call in calls]
    if run_count and all(verdict == "not-run" for verdict in verdicts):
        violations.append(
            Violation(
                "an order refused as not run never runs",
                f"{key}: every call was refused",
            )
        )
    if not run_count and any(call.outcome.is_correct for call in calls):
        violations.append(Violation("every answer comes from a run", key))
    if any(call.outcome.is_mismatched for call in calls):
        violations.append(Violation("each caller gets its own answer", key))
    return violations


def check_streams(calls: Iterable[StreamCall]) -> list[Violation]:
    """Return the streams that claim to be complete without the expected content.

    A stream that is interrupted and says so violates nothing.
    """
    return [
        Violation("each stream gets its own complete answer", call.input)
        for call in calls
        if call.outcome.is_mismatched
    ]


def check_revisions(
    observations: Iterable[tuple[str, int]],
) -> list[Violation]:
    """Return the processes whose configuration revision decreased.

    :param observations: process and reported revision, in order of time
    """
    highest_revisions: dict[str, int] = {}
    violations: list[Violation] = []
    for process, revision in observations:
        if revision < highest_revisions.get(process, 0):
            detail = f"{process}: {highest_revisions[process]} then {revision}"
            violations.append(
                Violation("a configuration revision never decreases", detail)
            )
        highest_revisions[process] = max(highest_revisions.get(process, 0), revision)
    return violations


def check_final_revisions(
    observations: Iterable[tuple[str, int]], final_revisions: Mapping[str, int]
) -> list[Violation]:
    """Return the daemons that lack a configuration which was in force somewhere.

    :param observations: process and reported revision, in order of time
    :param final_revisions: revision by daemon, some time after the last change
    """
    highest = max(
        (*(revision for _, revision in observations), *final_revisions.values()),
        default=0,
    )
    return [
        Violation(
            "a configuration in force comes into force everywhere",
            f"{daemon}: {revision}, not {highest}",
        )
        for daemon, revision in final_revisions.items()
        if revision < highest
    ]
