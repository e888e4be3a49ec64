"""Which engine runs a request.

Load pattern: most of a prompt is shared by many requests, and reading it again takes
longer than all the rest.  Every shared part has a home among the engines by rendezvous
hashing, the same for all daemons without a message; a request leaves its home only for
an engine that is expected to answer sooner, the reading included.
"""

from collections.abc import Mapping, Sequence
from typing import Final

import attrs

from cowsliphitch.core.membership.ranking import rank
from cowsliphitch.core.requests.models import Generation
from cowsliphitch.core.servers.models import Server

from .models import EngineShare

# Prompt tokens that an engine reads in a ms; the deployments' engines read 38 to 57.
READ_TOKENS_PER_MS: Final = 40.0

# Each running request makes a step of the others slower by so much.
STEP_MS_PER_RUNNING: Final = 1.0

# An engine that failed a request is left alone for so long; crashes last seconds.
PENALTY_MS: Final = 1_500

# The home is kept unless another engine gains this much; reading the shared part there
# also takes memory and is paid for.
SPILL_GAIN_MS: Final = 150.0


@attrs.define
class _Engine:
    """What this daemon knows of one engine.

    :param penalty_until_ms: monotonic time until which it is avoided
    """

    running: int = 0
    waiting_tokens: int = 0
    penalty_until_ms: int = 0


class EnginePlacement:
    """Choose engines and keep account of what was sent to them."""

    def __init__(self) -> None:
        """Start without engines."""
        self._own: dict[str, _Engine] = {}
        self._peers: dict[str, Mapping[str, EngineShare]] = {}

    def set_peer(self, peer: str, shares: Mapping[str, EngineShare]) -> None:
        """Take over what a peer has sent, by server identifier."""
        self._peers[peer] = shares

    def forget_peer(self, peer: str) -> None:
        """Drop the account of a peer that is gone."""
        self._peers.pop(peer, None)

    def shares(self) -> dict[str, EngineShare]:
        """Return what this daemon has sent, for its peers."""
        return {
            server_id: EngineShare(engine.running, engine.waiting_tokens)
            for server_id, engine in self._own.items()
            if engine.running or engine.waiting_tokens
        }

    def choose(
        self,
        generation: Generation | None,
        engines: Sequence[Server],
        now_ms: int,
        avoid: frozenset[str] = frozenset(),
    ) -> Server | None:
        """Return the engine for a request; ``None`` if there is none.

        :param avoid: servers that already failed this request
        """
        able = [e for e in engines if e.id not in avoid]
        healthy = [e for e in able if self._state(e.id).penalty_until_ms <= now_ms]
        candidates = healthy or able
        if not candidates:
            return None
        by_id = {engine.id: engine for engine in candidates}
        shared = generation.shared if generation else ()
        key = shared[-1].id if shared else ""
        order = rank(key, by_id) if key else sorted(by_id, key=self.wait_ms)
        if len(order) == 1 or not shared:
            return by_id[order[0]]
        read_ms = sum(part.tokens for part in shared) / READ_TOKENS_PER_MS
        home, second = order[0], min(order[1:], key=self.wait_ms)
        spill = self.wait_ms(home) > self.wait_ms(second) + read_ms + SPILL_GAIN_MS
        return by_id[second if spill else home]

    def wait_ms(self, server_id: str) -> float:
        """Return how long an engine is expected to keep a request from its start."""
        shares = [s[server_id] for s in self._peers.values() if server_id in s]
        own = self._own.get(server_id)
        running = sum(s.running for s in shares) + (own.running if own else 0)
        waiting = sum(s.waiting_tokens for s in shares)
        waiting += own.waiting_tokens if own else 0
        return waiting / READ_TOKENS_PER_MS + running * STEP_MS_PER_RUNNING

    def sent(self, server_id: str, tokens: int) -> None:
        """Note a request that waits for its first token."""
        self._state(server_id).waiting_tokens += tokens

    def began(self, server_id: str, tokens: int) -> None:
        """Note that a request's first token came."""
        state = self._state(server_id)
        state.waiting_tokens -= tokens
        state.running += 1

    def ended(self, server_id: str, tokens: int, began: bool) -> None:
        """Note that a request ended, before or after its first token."""
        state = self._state(server_id)
        if began:
            state.running -= 1
        else:
            state.waiting_tokens -= tokens

    def failed(self, server_id: str, now_ms: int) -> None:
        """Leave an engine alone that failed a request."""
        self._state(server_id).penalty_until_ms = now_ms + PENALTY_MS

    def keep_servers(self, server_ids: set[str]) -> None:
        """Forget engines that are gone and run nothing for this daemon."""
        gone = [
            server_id
            for server_id, engine in self._own.items()
            if server_id not in server_ids
            and not engine.running
            and not engine.waiting_tokens
        ]
        for server_id in gone:
            del self._own[server_id]

    def _state(self, server_id: str) -> _Engine:
        return self._own.setdefault(server_id, _Engine())
