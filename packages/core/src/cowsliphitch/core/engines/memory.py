"""Memory of one model engine: parts of running requests, and cached prompt parts.

Load pattern: most running requests of an engine have the same long prefix, which is in
its memory once.  Fault: counted for each request, four of them seem to fill a memory
that holds twenty, and a cached prefix seems to be evicted while requests use it.

Load: prompts of a thousand short parts.  Their tokens fill no engine, but the records
of their parts would fill the memory of the daemon, so their number is limited too.
"""

from collections import OrderedDict
from collections.abc import Sequence

import attrs

from cowsliphitch.core.requests.models import Generation, PromptPart

from . import const


@attrs.frozen
class Demand:
    """Memory that a request needs while it runs.

    :param parts: parts of its prompt, which it shares with other running requests
    :param own_tokens: its expected output, and prompt tokens that are in no part
    """

    parts: tuple[PromptPart, ...] = ()
    own_tokens: int = 0

    @classmethod
    def of(cls, generation: Generation) -> "Demand":
        """Return what a request needs."""
        other = generation.prompt_tokens - sum(p.tokens for p in generation.prompt)
        output = round(generation.output_tokens * const.EXPECTED_OUTPUT_SHARE)
        return cls(generation.prompt, max(0, other) + output)


@attrs.define
class HeldMemory:
    """Memory that running requests hold; each prompt part counts once.

    :ivar tokens: held tokens
    """

    tokens: int = 0
    # Number of running requests, and tokens, by held part.  Requests may state
    # different lengths of a part; the first one counts until the part is released.
    _holders: dict[str, int] = attrs.Factory(dict)
    _part_tokens: dict[str, int] = attrs.Factory(dict)

    def __contains__(self, part_id: str) -> bool:
        """Return whether a running request holds a part."""
        return part_id in self._holders

    def missing_tokens(self, demand: Demand) -> int:
        """Return the tokens that a request needs and no running request holds."""
        missing = (p.tokens for p in demand.parts if p.id not in self._holders)
        return demand.own_tokens + sum(missing)

    def hold(self, demand: Demand) -> None:
        """Add a request."""
        self.tokens += demand.own_tokens
        for part in demand.parts:
            if part.id not in self._holders:
                self._holders[part.id] = 0
                self._part_tokens[part.id] = part.tokens
                self.tokens += part.tokens
            self._holders[part.id] += 1

    def release(self, demand: Demand) -> None:
        """Remove a request that was added."""
        self.tokens -= demand.own_tokens
        for part in demand.parts:
            self._holders[part.id] -= 1
            if not self._holders[part.id]:
                del self._holders[part.id]
                self.tokens -= self._part_tokens.pop(part.id)

    def copy(self) -> "HeldMemory":
        """Return an independent copy."""
        return HeldMemory(self.tokens, self._holders.copy(), self._part_tokens.copy())


@attrs.define
class EngineMemory:
    """Parts of running requests and cached parts, which share an engine's memory.

    :ivar cached_parts: tokens by prompt part, the least recently used first
    :ivar cached_tokens: tokens of all cached parts
    """

    held: HeldMemory = attrs.Factory(HeldMemory)
    cached_parts: OrderedDict[str, int] = attrs.Factory(OrderedDict)
    cached_tokens: int = 0
    # Tokens of cached parts that no running request holds.
    _unheld_tokens: int = 0

    def hold(self, demand: Demand) -> None:
        """Add a running request."""
        self._unheld_tokens -= self._unheld(demand)
        self.held.hold(demand)

    def release(self, demand: Demand) -> None:
        """Remove a running request."""
        self.held.release(demand)
        self._unheld_tokens += self._unheld(demand)

    def cache(self, parts: Sequence[PromptPart]) -> None:
        """Add parts, or make them the most recently used ones."""
        for part in parts:
            self._remove(part.id)
            self.cached_parts[part.id] = part.tokens
            self.cached_tokens += part.tokens
            if part.id not in self.held:
                self._unheld_tokens += part.tokens

    def evict(self, memory_tokens: int | None, max_parts: int) -> None:
        """Evict the least recently used parts for which there is no room.

        :param memory_tokens: memory for running requests and cached parts; if ``None``,
            only the cached parts are limited
        :param max_parts: number of cached parts, besides those of running requests
        """
        if memory_tokens is None:
            while self.cached_tokens > const.MAX_CACHED_TOKENS and self.cached_parts:
                self._remove(next(iter(self.cached_parts)))
            excess = 0
        else:
            excess = self._unheld_tokens - max(0, memory_tokens - self.held.tokens)
        surplus = len(self.cached_parts) - max_parts
        evicted = []
        for part_id, tokens in self.cached_parts.items():
            if excess <= 0 and surplus <= 0:
                break
            if part_id not in self.held:
                evicted.append(part_id)
                excess -= tokens
                surplus -= 1
        for part_id in evicted:
            self._remove(part_id)

    def clear_cache(self) -> None:
        """Assume that nothing is cached."""
        self.cached_parts.clear()
        self.cached_tokens = self._unheld_tokens = 0

    def _unheld(self, demand: Demand) -> int:
        """Return the cached tokens of a request's parts that no request holds."""
        ids = {part.id for part in demand.parts if part.id not in self.held}
        return sum(self.cached_parts.get(part_id, 0) for part_id in ids)

    def _remove(self, part_id: str) -> None:
        tokens = self.cached_parts.pop(part_id, 0)
        self.cached_tokens -= tokens
        if part_id not in self.held:
            self._unheld_tokens -= tokens
