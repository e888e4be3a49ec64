"""Verdicts and refusals: whether a failed request ran, and why it failed.

A verdict must never claim more than is known: callers repeat requests that are reported
as ``NOT_RUN``, and repeating one that did run would run it twice.
"""

import enum
from collections.abc import Iterable
from typing import Final

import attrs


class Verdict(enum.Enum):
    """Whether a request ran, as far as the daemon can tell."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


class Reason(enum.Enum):
    """Why a request was refused or failed, as reported to callers and in metrics."""

    INVALID_REQUEST = "invalid-request"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_ROUTE = "unknown-route"
    BODY_TOO_LARGE = "body-too-large"
    DEADLINE_UNREACHABLE = "deadline-unreachable"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    QUEUE_FULL = "queue-full"
    RATE_LIMITED = "rate-limited"
    NO_UPSTREAM = "no-upstream"
    CONNECT_FAILED = "connect-failed"
    CONNECT_TIMEOUT = "connect-timeout"
    CONNECTION_LOST = "connection-lost"
    UPSTREAM_REFUSED = "upstream-refused"
    UPSTREAM_LEAVING = "upstream-leaving"
    UPSTREAM_FAILED = "upstream-failed"
    INVALID_ANSWER = "invalid-answer"
    STREAM_CUT = "stream-cut"
    RESULT_LOST = "result-lost"
    KEY_REQUIRED = "idempotency-key-required"
    KEY_INVALID = "idempotency-key-invalid"
    KEY_EXPIRED = "idempotency-key-expired"
    KEY_REUSED = "idempotency-key-reused"
    OUTCOME_UNKNOWN = "outcome-unknown"
    PLATFORM_UNAVAILABLE = "platform-unavailable"
    PEER_UNAVAILABLE = "peer-unavailable"
    QUARANTINED = "quarantined"
    SUSPECT = "suspect"
    UNKNOWN_STREAM = "unknown-stream"
    VERSION_GONE = "version-gone"
    SHUTTING_DOWN = "shutting-down"
    NOT_CONFIGURED = "not-configured"
    UNSENDABLE = "unsendable"


HTTP_STATUS: Final[dict[Reason, int]] = {
    Reason.INVALID_REQUEST: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.BODY_TOO_LARGE: 413,
    Reason.DEADLINE_UNREACHABLE: 503,
    Reason.DEADLINE_EXCEEDED: 504,
    Reason.QUEUE_FULL: 429,
    Reason.RATE_LIMITED: 429,
    Reason.NO_UPSTREAM: 503,
    Reason.CONNECT_FAILED: 502,
    Reason.CONNECT_TIMEOUT: 502,
    Reason.CONNECTION_LOST: 502,
    Reason.UPSTREAM_REFUSED: 503,
    Reason.UPSTREAM_LEAVING: 503,
    Reason.UPSTREAM_FAILED: 502,
    Reason.INVALID_ANSWER: 502,
    Reason.STREAM_CUT: 502,
    Reason.RESULT_LOST: 503,
    Reason.KEY_REQUIRED: 400,
    Reason.KEY_INVALID: 400,
    Reason.KEY_EXPIRED: 409,
    Reason.KEY_REUSED: 422,
    Reason.OUTCOME_UNKNOWN: 409,
    Reason.PLATFORM_UNAVAILABLE: 503,
    Reason.PEER_UNAVAILABLE: 503,
    Reason.QUARANTINED: 422,
    Reason.SUSPECT: 503,
    Reason.SHUTTING_DOWN: 503,
    Reason.NOT_CONFIGURED: 503,
    Reason.UNSENDABLE: 503,
}


@attrs.frozen
class Refusal:
    """A request that got no complete answer, and whether it may have run.

    :param verdict: whether the request may have run
    :param reason: the cause, from a closed list
    :param detail: one human-readable sentence
    :param stage: the pipeline stage that failed
    :param retry_after_ms: delay after which a retry is worthwhile
    """

    verdict: Verdict
    reason: Reason
    detail: str
    stage: str | None = None
    retry_after_ms: int | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status that belongs to the reason."""
        return HTTP_STATUS[self.reason]


def not_run(reason: Reason, detail: str, retry_after_ms: int | None = None) -> Refusal:
    """Return a refusal of a request that is known not to have run."""
    return Refusal(Verdict.NOT_RUN, reason, detail, retry_after_ms=retry_after_ms)


def may_have_run(
    reason: Reason, detail: str, retry_after_ms: int | None = None
) -> Refusal:
    """Return a refusal of a request that may or may not have run."""
    return Refusal(Verdict.MAY_HAVE_RUN, reason, detail, retry_after_ms=retry_after_ms)


def combine_verdicts(verdicts: Iterable[Verdict]) -> Verdict:
    """Combine the verdicts of all attempts and stages of one request.

    The result is ``NOT_RUN`` only if every attempt and stage is ``NOT_RUN``.
    """
    distinct = set(verdicts)
    if Verdict.RAN in distinct:
        return Verdict.RAN
    if Verdict.MAY_HAVE_RUN in distinct:
        return Verdict.MAY_HAVE_RUN
    return Verdict.NOT_RUN
