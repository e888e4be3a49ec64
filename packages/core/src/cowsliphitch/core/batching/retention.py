"""How long stage results are kept for an engine that has not begun to answer.

Load pattern: bursts queue requests at the engines.  An engine fetches a request's stage
results just before it prefills the prompt, so results that are freed soon after the
request was sent are gone by then, and all its stages run again.  Results that are kept
too long leave no memory for the results of other requests.

While memory is free, results are kept for the expected time to the first token and a
margin, since requests that left a thin link together meet at an engine that was
expected to be idle.  While memory is short, they are kept for as long as the engine is
expected to queue the request: a second run would take more memory than its results.
"""

from cowsliphitch.core.requests.models import Generation

from . import const


def prefill_ms(generation: Generation, first_token_ms: float, queue_ms: float) -> float:
    """Return the time to a request's first token at an engine without other work.

    :param first_token_ms: expected time to its first token as things are
    :param queue_ms: known part of it that is spent on other requests
    """
    nominal_ms = (
        const.FIRST_STEP_MS
        + generation.prompt_tokens / const.NOMINAL_PREFILL_TOKENS_PER_MS
    )
    return max(0.0, min(nominal_ms, first_token_ms - queue_ms))


def retention_ms(
    first_token_ms: float,
    own_prefill_ms: float,
    lifetime_ms: int,
    free_memory_share: float,
) -> int:
    """Return how long to keep results unless the engine begins to answer before.

    :param first_token_ms: expected time to the first token at the chosen engine
    :param own_prefill_ms: part of it that the request's own prompt takes
    :param lifetime_ms: time after which the first of the results is deleted
    :param free_memory_share: unused share of the memory of the servers that store them
    :returns: 0 for the usual time, in which an engine without a queue fetches them
    """
    expected_ms = round(first_token_ms * const.RETENTION_SAFETY_FACTOR)
    if free_memory_share >= const.MIN_RETENTION_FREE_SHARE:
        return max(0, min(expected_ms + const.RETENTION_MARGIN_MS, lifetime_ms))
    max_unqueued_ms = (
        own_prefill_ms * const.QUEUED_FIRST_TOKEN_FACTOR + const.QUEUED_MARGIN_MS
    )
    if first_token_ms <= max_unqueued_ms:
        return 0
    return max(0, min(expected_ms, lifetime_ms))
