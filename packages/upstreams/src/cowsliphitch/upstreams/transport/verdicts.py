"""Verdicts of HTTP failures: whether a failed request may have run.

Only two failures prove that nothing ran: the connection was never established, or the
upstream refused and its settings say that it refuses before running.
``docs/verdicts.md`` has the table.
"""

import httpx

from cowsliphitch.core.verdict import Reason, Refusal, may_have_run, not_run

_REFUSAL_STATUSES = frozenset({429, 503})


def refusal_of_exception(exc: httpx.HTTPError) -> Refusal:
    """Return the refusal for a call that failed without an answer."""
    match exc:
        case httpx.ConnectError() | httpx.ConnectTimeout():
            return not_run(Reason.CONNECT_FAILED, "the upstream can't be reached")
        case httpx.PoolTimeout() | httpx.UnsupportedProtocol():
            return not_run(Reason.CONNECT_FAILED, "no connection was free in time")
        case httpx.ReadTimeout() | httpx.WriteTimeout():
            detail = "the upstream gave no answer within the deadline"
            return may_have_run(Reason.DEADLINE_EXCEEDED, detail)
        case _:
            detail = "the connection to the upstream was lost"
            return may_have_run(Reason.CONNECTION_LOST, detail)


def refusal_of_status(status: int, refuses_before_running: bool) -> Refusal:
    """Return the refusal for an answer whose status is not 200.

    :param refuses_before_running: the upstream's settings say that a 429 or 503 means
        that the call did not run
    """
    if status in _REFUSAL_STATUSES and refuses_before_running:
        return not_run(Reason.UPSTREAM_REFUSED, f"the upstream refused: {status}")
    if status in _REFUSAL_STATUSES:
        return may_have_run(Reason.UPSTREAM_REFUSED, f"the upstream refused: {status}")
    return may_have_run(Reason.UPSTREAM_FAILED, f"the upstream failed: {status}")


def refusal_of_answer(detail: str) -> Refusal:
    """Return the refusal for an invalid answer; its call may have run.

    :param detail: what is wrong with the answer
    """
    return may_have_run(Reason.INVALID_ANSWER, detail)


def deadline_refusal() -> Refusal:
    """Return the refusal for a call whose deadline passed after it was sent."""
    detail = "the upstream gave no whole answer within the deadline"
    return may_have_run(Reason.DEADLINE_EXCEEDED, detail)
