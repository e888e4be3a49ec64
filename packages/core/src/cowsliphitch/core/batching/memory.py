"""Accounting of the memory for results at the servers of one stage pool."""

import attrs


@attrs.define
class _StoredResult:
    """A result that a server stores.

    :param expires_ms: monotonic time at which the server evicts it
    """

    server_id: str
    size_bytes: int
    expires_ms: int


class ResultMemory:
    """Track the bytes that results occupy at each server.

    A result counts from the start of its call until it is freed or expires.

    :param capacity_bytes: memory for results at one server
    :param ttl_ms: lifetime of a result that is not freed
    """

    def __init__(self, capacity_bytes: int, ttl_ms: int) -> None:
        """Initialize with no results."""
        self._capacity_bytes = capacity_bytes
        self._ttl_ms = ttl_ms
        self._reservations: dict[int, tuple[str, int]] = {}
        self._results: dict[str, _StoredResult] = {}
        self._used_bytes: dict[str, int] = {}

    def set_limits(self, capacity_bytes: int, ttl_ms: int) -> None:
        """Apply new limits; results that are already stored keep their expiry."""
        self._capacity_bytes = capacity_bytes
        self._ttl_ms = ttl_ms

    def free_bytes(self, server_id: str) -> int:
        """Return the unused memory of a server."""
        return self._capacity_bytes - self._used_bytes.get(server_id, 0)

    def free_share(self, handle: str) -> float:
        """Return the unused share of the memory of the server that stores a result.

        :returns: 0 if the result is not tracked
        """
        result = self._results.get(handle)
        if result is None or self._capacity_bytes <= 0:
            return 0.0
        return max(0.0, self.free_bytes(result.server_id) / self._capacity_bytes)

    def lifetime_ms(self, handle: str, now_ms: int) -> int:
        """Return the time until a result's server evicts it, 0 if it isn't tracked."""
        result = self._results.get(handle)
        return max(0, result.expires_ms - now_ms) if result is not None else 0

    def reserve(self, call_id: int, server_id: str, size_bytes: int) -> None:
        """Reserve memory for the results of a call that starts."""
        self._reservations[call_id] = (server_id, size_bytes)
        self._adjust(server_id, size_bytes)

    def commit(self, call_id: int, sizes_bytes: dict[str, int], now_ms: int) -> None:
        """Replace a call's reservation by its actual results.

        :param sizes_bytes: size by handle; empty if the call failed
        """
        server_id, reserved_bytes = self._reservations.pop(call_id)
        self._adjust(server_id, -reserved_bytes)
        for handle, result_bytes in sizes_bytes.items():
            expires_ms = now_ms + self._ttl_ms
            self._results[handle] = _StoredResult(server_id, result_bytes, expires_ms)
            self._adjust(server_id, result_bytes)

    def holds(self, handle: str) -> bool:
        """Return whether a result takes up memory of a server."""
        return handle in self._results

    def release(self, handle: str) -> str | None:
        """Remove a result that was freed.

        :returns: identifier of its server, ``None`` if the result is not tracked
        """
        result = self._results.pop(handle, None)
        if result is None:
            return None
        self._adjust(result.server_id, -result.size_bytes)
        return result.server_id

    def evict_expired(self, now_ms: int) -> None:
        """Remove the results that their servers have evicted."""
        expired = [h for h, r in self._results.items() if r.expires_ms <= now_ms]
        for handle in expired:
            self.release(handle)

    def remove_server(self, server_id: str) -> None:
        """Remove the results of a server that has terminated."""
        lost = [h for h, r in self._results.items() if r.server_id == server_id]
        for handle in lost:
            self.release(handle)

    def next_expiry_ms(self) -> int | None:
        """Return the monotonic time of the next expiry, ``None`` without results."""
        return min((r.expires_ms for r in self._results.values()), default=None)

    def used_bytes(self) -> int:
        """Return the bytes in use at all servers, with reservations."""
        return sum(self._used_bytes.values())

    def _adjust(self, server_id: str, delta_bytes: int) -> None:
        used_bytes = self._used_bytes.get(server_id, 0) + delta_bytes
        if used_bytes > 0:
            self._used_bytes[server_id] = used_bytes
        else:
            self._used_bytes.pop(server_id, None)
