"""Client of the platform's key-value service."""

from typing import Any

import attrs
import httpx
from result import Err, Ok, Result

from cowsliphitch.core.clock import Clock, seconds

from . import const
from .models import (
    Applied,
    Conflict,
    Entry,
    Lost,
    Unavailable,
    Unknown,
    WriteResult,
)


@attrs.define
class Diagnostics:
    """Counters of the client, for metrics.

    :param last_answer_ms: monotonic time of the last answer, ``None`` before it
    """

    reads: int = 0
    writes: int = 0
    conflicts: int = 0
    failures: int = 0
    last_answer_ms: int | None = None


class KeyValueClient:
    """Read, compare-and-swap, watch and lease.

    :param base_url: address of the service
    """

    def __init__(self, base_url: str, clock: Clock) -> None:
        """Open a pooled client; nothing is sent yet."""
        timeout = httpx.Timeout(seconds(const.CALL_TIMEOUT_MS))
        self._http = httpx.AsyncClient(base_url=base_url, timeout=timeout)
        self._clock = clock
        self.diagnostics = Diagnostics()

    async def close(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def get(self, key: str) -> Result[Entry | None, Unavailable]:
        """Read one key; ``None`` if it is absent."""
        self.diagnostics.reads += 1
        try:
            resp = await self._http.get(f"/v1/kv/{key}")
        except httpx.HTTPError as exc:
            return self._unavailable(type(exc).__name__)
        return self._read(key, resp)

    async def list(self, prefix: str) -> Result[tuple[Entry, ...], Unavailable]:
        """Read all keys that begin with ``prefix``."""
        self.diagnostics.reads += 1
        try:
            resp = await self._http.get("/v1/list", params={"prefix": prefix})
        except httpx.HTTPError as exc:
            return self._unavailable(type(exc).__name__)
        if resp.status_code != httpx.codes.OK:
            return self._unavailable(f"status {resp.status_code}")
        self._answered()
        items: list[dict[str, Any]] = resp.json()["items"]
        return Ok(tuple(Entry(i["key"], i["value"], i["revision"]) for i in items))

    async def watch(self, key: str, after: int) -> Result[Entry | None, Unavailable]:
        """Wait until the key has a revision above ``after``.

        :returns: ``None`` if nothing changed within the service's waiting time
        """
        self.diagnostics.reads += 1
        params = {"after": after, "wait_ms": const.WATCH_WAIT_MS}
        timeout = seconds(const.WATCH_WAIT_MS + const.CALL_TIMEOUT_MS)
        try:
            resp = await self._http.get(
                f"/v1/watch/{key}", params=params, timeout=timeout
            )
        except httpx.HTTPError as exc:
            return self._unavailable(type(exc).__name__)
        if resp.status_code == httpx.codes.NOT_MODIFIED:
            self._answered()
            return Ok(None)
        return self._read(key, resp)

    async def put(
        self, key: str, value: str, expected: int, lease: int | None = None
    ) -> WriteResult:
        """Write a key if it still has the expected revision.

        :param expected: the revision that was read, 0 if the key was absent
        :param lease: the key vanishes when this lease lapses
        """
        self.diagnostics.writes += 1
        body = {"value": value, "expected": expected, "lease": lease}
        try:
            resp = await self._http.put(f"/v1/kv/{key}", json=body)
        except httpx.HTTPError as exc:
            self.diagnostics.failures += 1
            return Unknown(type(exc).__name__)
        match resp.status_code:
            case httpx.codes.OK:
                self._answered()
                return Applied(resp.json()["revision"])
            case httpx.codes.CONFLICT:
                self._answered()
                self.diagnostics.conflicts += 1
                return Conflict(resp.json()["revision"])
            case status:
                self.diagnostics.failures += 1
                return Unknown(f"status {status}")

    async def delete(self, key: str) -> None:
        """Delete a key that nothing names any more; a failure is harmless."""
        self.diagnostics.writes += 1
        try:
            await self._http.delete(f"/v1/kv/{key}")
        except httpx.HTTPError:
            self.diagnostics.failures += 1

    async def grant(self, ttl_ms: int) -> Result[int, Unavailable]:
        """Take a lease; its number grows, so it serves as a fencing number."""
        self.diagnostics.writes += 1
        try:
            resp = await self._http.post("/v1/leases", json={"ttl_ms": ttl_ms})
        except httpx.HTTPError as exc:
            return self._unavailable(type(exc).__name__)
        if resp.status_code != httpx.codes.OK:
            return self._unavailable(f"status {resp.status_code}")
        self._answered()
        return Ok(int(resp.json()["lease"]))

    async def renew(self, lease: int) -> Result[None, Unavailable | Lost]:
        """Renew a lease."""
        self.diagnostics.writes += 1
        try:
            resp = await self._http.put(f"/v1/leases/{lease}")
        except httpx.HTTPError as exc:
            return self._unavailable(type(exc).__name__)
        if resp.status_code == httpx.codes.GONE:
            return Err(Lost())
        if resp.status_code != httpx.codes.OK:
            return self._unavailable(f"status {resp.status_code}")
        self._answered()
        return Ok(None)

    def _read(
        self, key: str, resp: httpx.Response
    ) -> Result[Entry | None, Unavailable]:
        if resp.status_code == httpx.codes.NOT_FOUND:
            self._answered()
            return Ok(None)
        if resp.status_code != httpx.codes.OK:
            return self._unavailable(f"status {resp.status_code}")
        self._answered()
        body = resp.json()
        return Ok(Entry(key, body["value"], body["revision"]))

    def _answered(self) -> None:
        self.diagnostics.last_answer_ms = self._clock.now_ms()

    def _unavailable(self, detail: str) -> Err[Unavailable]:
        self.diagnostics.failures += 1
        return Err(Unavailable(detail))
