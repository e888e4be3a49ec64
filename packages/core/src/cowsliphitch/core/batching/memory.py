"""Memory for results at the servers of one stage pool."""

import attrs


@attrs.define
class _Result:
    """A result that lies at its maker.

    :param expires_ms: when the maker drops it by itself
    """

    server_id: str
    size: int
    expires_ms: int


class RoomLedger:
    """Count the bytes that results take up at each server.

    A result counts from the start of its call until it is freed or expires.

    :param room_bytes: memory for results at one server
    :param keep_ms: how long a result lives that nobody frees
    """

    def __init__(self, room_bytes: int, keep_ms: int) -> None:
        """Start empty."""
        self._room_bytes = room_bytes
        self._keep_ms = keep_ms
        self._reserved: dict[int, tuple[str, int]] = {}
        self._results: dict[str, _Result] = {}
        self._used: dict[str, int] = {}

    def set_figures(self, room_bytes: int, keep_ms: int) -> None:
        """Take over new figures of a server."""
        self._room_bytes = room_bytes
        self._keep_ms = keep_ms

    def free_bytes(self, server_id: str) -> int:
        """Return the memory that is left at a server."""
        return self._room_bytes - self._used.get(server_id, 0)

    def reserve(self, call: int, server_id: str, size: int) -> None:
        """Count the results of a call that starts."""
        self._reserved[call] = (server_id, size)
        self._add(server_id, size)

    def settle(self, call: int, made: dict[str, int], now_ms: int) -> None:
        """Replace a call's reservation by the results that it made.

        :param made: size by handle
        """
        server_id, size = self._reserved.pop(call)
        self._add(server_id, -size)
        for handle, result_size in made.items():
            expires_ms = now_ms + self._keep_ms
            self._results[handle] = _Result(server_id, result_size, expires_ms)
            self._add(server_id, result_size)

    def free(self, handle: str) -> str | None:
        """Stop counting a result; return its server, ``None`` if it is unknown."""
        result = self._results.pop(handle, None)
        if result is None:
            return None
        self._add(result.server_id, -result.size)
        return result.server_id

    def expire(self, now_ms: int) -> None:
        """Stop counting the results that their makers dropped."""
        late = [h for h, result in self._results.items() if result.expires_ms <= now_ms]
        for handle in late:
            self.free(handle)

    def forget_server(self, server_id: str) -> None:
        """Stop counting at a server that has ended: its results ended with it."""
        gone = [h for h, r in self._results.items() if r.server_id == server_id]
        for handle in gone:
            self.free(handle)

    def next_expiry_ms(self) -> int | None:
        """Return when the next result is dropped by its maker."""
        return min((r.expires_ms for r in self._results.values()), default=None)

    def used_bytes(self) -> int:
        """Return the bytes in use at all servers."""
        return sum(self._used.values())

    def _add(self, server_id: str, size: int) -> None:
        used = self._used.get(server_id, 0) + size
        if used > 0:
            self._used[server_id] = used
        else:
            self._used.pop(server_id, None)
