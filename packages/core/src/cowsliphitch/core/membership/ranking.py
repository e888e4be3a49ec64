"""Assignment of duties to members: rendezvous hashing (Thaler, Ravishankar 1996)."""

import hashlib
from collections.abc import Iterable


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return the members in order of preference for a key.

    Without one member, only the keys that ranked it first move to another.
    """
    return sorted(names, key=lambda name: _weight(key, name))


def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}/{name}".encode(), digest_size=8).digest()
