"""Send requests as callers do, and note what became of each."""

import json
from collections import Counter
from collections.abc import Iterable
from typing import Any

import attrs
import httpx

from cowsliphitch.core.clock import Clock

from .engine import token
from .stage import stage_output

CLIENT_TIMEOUT_S = 20.0


@attrs.frozen
class Outcome:
    """What a caller got.

    :param status: HTTP status, 0 if there was no whole HTTP answer
    :param verdict: what the daemon said about execution; empty if it did not
    :param whole: the answer is whole and the right one
    :param wrong: the answer claims to be whole but is not the right one
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
    """One team's client."""

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
        """Run a streamed pipeline and check every token of its answer."""
        clock = Clock()
        started_ms = clock.now_ms()
        first_line_ms = 0
        headers = self._headers(accept="application/x-ndjson")
        if timeout_ms is not None:
            headers["x-request-timeout-ms"] = str(timeout_ms)
        got: list[str] = []
        last: dict[str, Any] = {}
        try:
            async with self.http.stream(
                "POST",
                f"{url}/v1/pipelines/{pipeline}",
                json={"input": text},
                headers=headers,
            ) as resp:
                if resp.status_code != httpx.codes.OK:
                    return refused(await resp.aread(), resp, clock, started_ms)
                async for line in resp.aiter_lines():
                    first_line_ms = first_line_ms or clock.now_ms() - started_ms
                    last = json.loads(line)
                    if "index" in last:
                        got.extend(last["tokens"])
        except (httpx.HTTPError, ValueError) as exc:
            return broken(exc, clock, started_ms)
        ms = clock.now_ms() - started_ms
        if "error" in last:
            error = last["error"]
            verdict = error["verdict"]
            reason = error["type"].rpartition(":")[2]
            return Outcome(200, verdict, reason, False, False, ms, first_line_ms)
        if last.get("end") is not True:
            return Outcome(200, "", "no-end", False, False, ms, first_line_ms)
        right = got == expected_tokens(text, stages, tokens)
        return Outcome(200, "ran", "", right, not right, ms, first_line_ms)

    async def call(self, url: str, service: str, body: str, key: str = "") -> Outcome:
        """Call a plain service."""
        clock = Clock()
        started_ms = clock.now_ms()
        headers = self._headers(**({"idempotency-key": key} if key else {}))
        try:
            resp = await self.http.post(
                f"{url}/v1/services/{service}", content=body, headers=headers
            )
        except httpx.HTTPError as exc:
            return broken(exc, clock, started_ms)
        if resp.status_code != httpx.codes.OK:
            return refused(resp.content, resp, clock, started_ms)
        answer = resp.json()
        right = answer["output"] == stage_output("service", body)
        ms = clock.now_ms() - started_ms
        return Outcome(
            200, "ran", "", right, not right, ms, replayed=bool(answer["replayed"])
        )


def expected_tokens(text: str, stages: list[str], count: int) -> list[str]:
    """Return the tokens that the stand-ins generate for an input."""
    for stage in stages:
        text = stage_output(stage, text)
    return [token(text, index) for index in range(count)]


def refused(
    content: bytes, resp: httpx.Response, clock: Clock, started_ms: int
) -> Outcome:
    """Read a refusal."""
    ms = clock.now_ms() - started_ms
    try:
        details = json.loads(content)
    except ValueError:
        return Outcome(resp.status_code, "", "no-problem", False, False, ms)
    reason = str(details.get("type", "")).rpartition(":")[2]
    verdict = str(details.get("verdict", ""))
    return Outcome(resp.status_code, verdict, reason, False, False, ms)


def broken(exc: Exception, clock: Clock, started_ms: int) -> Outcome:
    """Note a call that got no whole HTTP answer."""
    connect = isinstance(exc, httpx.ConnectError | httpx.ConnectTimeout)
    verdict = "not-run" if connect else "may-have-run"
    ms = clock.now_ms() - started_ms
    return Outcome(0, verdict, type(exc).__name__, False, False, ms)


def new_http_client() -> httpx.AsyncClient:
    """Return a client for many concurrent callers."""
    limits = httpx.Limits(max_connections=2_000, max_keepalive_connections=500)
    return httpx.AsyncClient(limits=limits, timeout=CLIENT_TIMEOUT_S)


def percentile(values: Iterable[float], part: float) -> float:
    """Return a percentile by the nearest rank; 0 of nothing."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def attainment(outcomes: Iterable[Outcome]) -> float:
    """Return the part of requests that were answered whole."""
    listed = list(outcomes)
    return sum(o.is_correct for o in listed) / len(listed) if listed else 0.0


def count_outcomes(outcomes: Iterable[Outcome]) -> Counter[str]:
    """Count what became of requests."""
    return Counter(
        "whole" if o.is_correct else f"{o.verdict or '?'}/{o.reason}" for o in outcomes
    )
