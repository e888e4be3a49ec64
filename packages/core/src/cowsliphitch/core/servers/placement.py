"""Which server of a plain service runs a request.

Load pattern: servers have few slots and an objective of some hundred ms, several
daemons send to them at once, some are slow and some fail requests while their health is
good.  Every daemon counts what it sent itself exactly, and what its peers sent as of
their last heartbeat.
"""

import random
from collections.abc import Mapping, Sequence
from typing import Final

import attrs

from .load import ServerLoad
from .models import Server

# A server that failed a request is left alone for so long; crashes last seconds.
PENALTY_MS: Final = 1_500

# Weight of the newest answer in a server's speed, and the bounds of that figure.
SPEED_WEIGHT: Final = 0.25
MAX_SLOWNESS: Final = 10.0

# Weight of a failure in a server's rate of failures.  A grey server is avoided while
# its rate is above the others', and tried again as the rate fades.
FAILURE_WEIGHT: Final = 0.3
FAILURE_FADES_MS: Final = 4_000
FAILURE_LOAD: Final = 8.0


@attrs.define
class _Known:
    """What this daemon knows of one server.

    :param took_ms: time of its answers, smoothed; 0 before the first
    :param failures: rate of failures, smoothed, as of ``failed_ms``
    """

    running: int = 0
    penalty_until_ms: int = 0
    took_ms: float = 0.0
    failures: float = 0.0
    failed_ms: int = 0


class ServerPlacement:
    """Choose servers and keep account of what was sent to them."""

    def __init__(self) -> None:
        """Start without servers."""
        self._rng = random.Random(0)
        self._own: dict[str, _Known] = {}
        self._peers: dict[str, Mapping[str, ServerLoad]] = {}

    def set_peer_loads(self, peer: str, shares: Mapping[str, ServerLoad]) -> None:
        """Take over what a peer has sent, by server identifier."""
        self._peers[peer] = shares

    def remove_peer(self, peer: str) -> None:
        """Drop the account of a peer that is gone."""
        self._peers.pop(peer, None)

    def own_loads(self) -> dict[str, ServerLoad]:
        """Return what this daemon has sent, for its peers."""
        return {
            server_id: ServerLoad(known.running)
            for server_id, known in self._own.items()
            if known.running > 0
        }

    def choose(
        self,
        servers: Sequence[Server],
        now_ms: int,
        avoid: frozenset[str] = frozenset(),
    ) -> Server | None:
        """Return the server for a request; ``None`` if there is none.

        :param avoid: servers that already failed this request
        """
        able = [s for s in servers if s.id not in avoid]
        healthy = [s for s in able if self._state(s.id).penalty_until_ms <= now_ms]
        candidates = healthy or able
        if not candidates:
            return None
        known = [t for s in candidates if (t := self._state(s.id).took_ms) > 0]
        usual_ms = sorted(known)[len(known) // 2] if known else 0.0
        return min(
            candidates,
            key=lambda s: (self._load(s, usual_ms, now_ms), self._rng.random()),
        )

    def _load(self, server: Server, usual_ms: float, now_ms: int) -> float:
        """Return a server's load in requests for each slot, slow ones counted more."""
        state = self._state(server.id)
        running = state.running + sum(
            shares[server.id].running
            for shares in self._peers.values()
            if server.id in shares
        )
        slowness = 1.0
        if usual_ms and state.took_ms:
            slowness = min(MAX_SLOWNESS, max(1.0, state.took_ms / usual_ms))
        load = (running + 1) / max(1, server.slots) * slowness
        return load + self._failure_rate(state, now_ms) * FAILURE_LOAD

    def _failure_rate(self, state: _Known, now_ms: int) -> float:
        age_ms = now_ms - state.failed_ms
        return float(state.failures * 0.5 ** (age_ms / FAILURE_FADES_MS))

    def record_sent(self, server_id: str) -> None:
        """Note a request that was sent."""
        self._state(server_id).running += 1

    def record_end(self, server_id: str) -> None:
        """Note that a request ended."""
        self._state(server_id).running -= 1

    def record_answer(self, server_id: str, took_ms: int) -> None:
        """Note an answer of a server that was not a failure."""
        state = self._state(server_id)
        if state.took_ms == 0:
            state.took_ms = took_ms
        state.took_ms += SPEED_WEIGHT * (took_ms - state.took_ms)
        state.failures *= 1 - FAILURE_WEIGHT / 2

    def record_failure(self, server_id: str, now_ms: int, unreachable: bool) -> None:
        """Note a failure.

        :param unreachable: the server can't be used at all for now
        """
        state = self._state(server_id)
        rate = self._failure_rate(state, now_ms)
        state.failures = rate + FAILURE_WEIGHT * (1 - rate)
        state.failed_ms = now_ms
        if unreachable:
            state.penalty_until_ms = now_ms + PENALTY_MS

    def retain_servers(self, server_ids: set[str]) -> None:
        """Forget servers that are gone and run nothing for this daemon."""
        gone = [
            server_id
            for server_id, known in self._own.items()
            if server_id not in server_ids and known.running <= 0
        ]
        for server_id in gone:
            del self._own[server_id]

    def _state(self, server_id: str) -> _Known:
        return self._own.setdefault(server_id, _Known())
