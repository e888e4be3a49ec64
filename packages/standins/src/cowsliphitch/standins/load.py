"""HTTP client that generates load and classifies the outcome of each request.

It computes the answer that the stand-ins must give, so that a truncated answer, or one
that belongs to another request, is never counted as a success.
"""

import json
from collections import Counter
from collections.abc import Iterable
from typing import Any

import attrs
import httpx

from cowsliphitch.core.clock import Clock

from .engine import generate_token
from .stage import stage_output

HTTP_TIMEOUT_S = 20.0


@attrs.frozen
class Outcome:
    """Outcome of one request, as the caller received it.

    :param status: HTTP status; 0 without a complete HTTP response
    :param verdict: the daemon's verdict on execution, or after a transport error the
        client's own; empty if unknown
    :param reason: reason of the refusal, or the name of the transport error
    :param is_correct: the answer is complete and has the expected content
    :param is_mismatched: the answer claims to be complete but has other content
    :param latency_ms: time until the outcome
    :param first_line_ms: time to the first line of a stream; 0 without one
    :param replayed: the daemon answered from its record of an earlier run
    """

    status: int
    verdict: str
    reason: str
    is_correct: bool
    is_mismatched: bool
    latency_ms: int
    first_line_ms: int = 0
    replayed: bool = False


@attrs.frozen
class Caller:
    """A client that sends requests with the token of one team."""

    http: httpx.AsyncClient
    token: str

    def _headers(self, **extra: str) -> dict[str, str]:
        return {"authorization": f"Bearer {self.token}"} | extra

    async def stream(
        self,
        url: str,
        pipeline: str,
        text: str,
        stages: list[str],
        tokens: int,
        timeout_ms: int | None = None,
    ) -> Outcome:
        """Run a streamed pipeline and check every token of its answer.

        :param text: input of the pipeline
        :param stages: stages before the engine; the expected answer depends on them
        :param tokens: number of tokens in a complete answer
        :param timeout_ms: deadline to request; ``None`` leaves it to the pipeline
        """
        clock = Clock()
        started_ms = clock.now_ms()
        first_line_ms = 0
        headers = self._headers(accept="application/x-ndjson")
        if timeout_ms is not None:
            headers["x-request-timeout-ms"] = str(timeout_ms)
        received_tokens: list[str] = []
        last_line: dict[str, Any] = {}
        try:
            async with self.http.stream(
                "POST",
                f"{url}/v1/pipelines/{pipeline}",
                json={"input": text},
                headers=headers,
            ) as resp:
                if resp.status_code != httpx.codes.OK:
                    return refusal_outcome(await resp.aread(), resp, clock, started_ms)
                async for line in resp.aiter_lines():
                    first_line_ms = first_line_ms or clock.now_ms() - started_ms
                    last_line = json.loads(line)
                    if "index" in last_line:
                        received_tokens.extend(last_line["tokens"])
        except (httpx.HTTPError, ValueError) as exc:
            return transport_error_outcome(exc, clock, started_ms)
        latency_ms = clock.now_ms() - started_ms
        if "error" in last_line:
            error = last_line["error"]
            verdict = error["verdict"]
            reason = error["type"].rpartition(":")[2]
            return Outcome(
                200, verdict, reason, False, False, latency_ms, first_line_ms
            )
        if last_line.get("end") is not True:
            return Outcome(200, "", "no-end", False, False, latency_ms, first_line_ms)
        is_correct = received_tokens == expected_tokens(text, stages, tokens)
        return Outcome(
            200, "ran", "", is_correct, not is_correct, latency_ms, first_line_ms
        )

    async def call(self, url: str, service: str, body: str, key: str = "") -> Outcome:
        """Call a plain service and check its answer.

        :param key: idempotency key; empty sends none
        """
        clock = Clock()
        started_ms = clock.now_ms()
        headers = self._headers(**({"idempotency-key": key} if key else {}))
        try:
            resp = await self.http.post(
                f"{url}/v1/services/{service}", content=body, headers=headers
            )
        except httpx.HTTPError as exc:
            return transport_error_outcome(exc, clock, started_ms)
        if resp.status_code != httpx.codes.OK:
            return refusal_outcome(resp.content, resp, clock, started_ms)
        answer = resp.json()
        is_correct = answer["output"] == stage_output("service", body)
        latency_ms = clock.now_ms() - started_ms
        return Outcome(
            200,
            "ran",
            "",
            is_correct,
            not is_correct,
            latency_ms,
            replayed=bool(answer["replayed"]),
        )


def expected_tokens(text: str, stages: list[str], count: int) -> list[str]:
    """Return the tokens that the stand-ins generate for an input.

    :param stages: stages that transform the input before the engine
    :param count: number of tokens
    """
    for stage in stages:
        text = stage_output(stage, text)
    return [generate_token(text, index) for index in range(count)]


def refusal_outcome(
    body: bytes, resp: httpx.Response, clock: Clock, started_ms: int
) -> Outcome:
    """Return the outcome of a response with an error status.

    The reason is ``no-problem`` if the body is no JSON problem document.
    """
    latency_ms = clock.now_ms() - started_ms
    try:
        problem = json.loads(body)
    except ValueError:
        return Outcome(resp.status_code, "", "no-problem", False, False, latency_ms)
    reason = str(problem.get("type", "")).rpartition(":")[2]
    verdict = str(problem.get("verdict", ""))
    return Outcome(resp.status_code, verdict, reason, False, False, latency_ms)


def transport_error_outcome(exc: Exception, clock: Clock, started_ms: int) -> Outcome:
    """Return the outcome of a request without a complete HTTP response.

    Only a failure to connect proves that nothing ran.

    :param exc: transport error, or the error of a line that is no JSON
    """
    is_connect_error = isinstance(exc, httpx.ConnectError | httpx.ConnectTimeout)
    verdict = "not-run" if is_connect_error else "may-have-run"
    latency_ms = clock.now_ms() - started_ms
    return Outcome(0, verdict, type(exc).__name__, False, False, latency_ms)


def new_http_client() -> httpx.AsyncClient:
    """Return an HTTP client with connection limits for many concurrent callers."""
    limits = httpx.Limits(max_connections=2_000, max_keepalive_connections=500)
    return httpx.AsyncClient(limits=limits, timeout=HTTP_TIMEOUT_S)


def percentile(values: Iterable[float], fraction: float) -> float:
    """Return a percentile by rank, without interpolation; 0 without values.

    :param fraction: 0.95 for the 95th percentile
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def attainment(outcomes: Iterable[Outcome]) -> float:
    """Return the fraction of requests with a correct answer; 0 without requests."""
    outcome_list = list(outcomes)
    return (
        sum(o.is_correct for o in outcome_list) / len(outcome_list)
        if outcome_list
        else 0.0
    )


def count_outcomes(outcomes: Iterable[Outcome]) -> Counter[str]:
    """Count outcomes by ``whole``, for a correct answer, or ``verdict/reason``."""
    return Counter(
        "whole" if o.is_correct else f"{o.verdict or '?'}/{o.reason}" for o in outcomes
    )
