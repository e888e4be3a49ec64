"""Identifiers: time-ordered UUIDs (RFC 9562, version 7)."""

import secrets
import uuid
from typing import Final

_TIME_SHIFT_BITS: Final = 80
_VERSION: Final = 7


def new_id(wall_ms: int) -> str:
    """Return a new random version 7 UUID.

    :param wall_ms: creation time to encode, Unix time in ms
    """
    random = secrets.randbits(_TIME_SHIFT_BITS)
    raw = (wall_ms << _TIME_SHIFT_BITS) | random
    raw = raw & ~(0xF << 76) | (_VERSION << 76)
    raw = raw & ~(0x3 << 62) | (0x2 << 62)
    return str(uuid.UUID(int=raw))


def creation_ms(text: str) -> int | None:
    """Return the creation time of a version 7 UUID, as Unix time in ms.

    :returns: ``None`` if the text is not a canonical version 7 UUID
    """
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return None
    if parsed.version != _VERSION or str(parsed) != text:
        return None
    return parsed.int >> _TIME_SHIFT_BITS
