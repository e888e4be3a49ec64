"""Assignment of duties to members: rendezvous hashing (Thaler, Ravishankar 1996)."""

import functools
import hashlib
from collections.abc import Iterable


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return the members in order of preference for a key.

    If a member is removed, only the keys that ranked it first move to another.
    """
    return sorted(names, key=lambda name: _weight(key, name))


@functools.lru_cache(maxsize=16_384)
def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}/{name}".encode(), digest_size=8).digest()
