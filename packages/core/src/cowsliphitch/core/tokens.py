"""Bearer tokens: only salted digests of them are kept."""

import hashlib
import hmac
import secrets
from typing import Final

_SECRET_BYTES: Final = 24
_SALT_BYTES: Final = 8
_PARTS: Final = 3
_SCHEME: Final = "sha256"


def new_token(owner: str) -> str:
    """Return a new random token for ``owner`` (a team or an operator)."""
    return f"{owner}.{secrets.token_urlsafe(_SECRET_BYTES)}"


def owner_of(token: str) -> str:
    """Return the owner that a token claims; the digest decides if it is true."""
    return token.rpartition(".")[0]


def digest(token: str, salt: str | None = None) -> str:
    """Return the salted digest of a token, as kept in settings."""
    salt = salt or secrets.token_hex(_SALT_BYTES)
    hashed = hashlib.sha256(f"{salt}:{token}".encode()).hexdigest()
    return f"{_SCHEME}${salt}${hashed}"


def matches(token: str, kept: str) -> bool:
    """Tell whether a token belongs to a kept digest, in constant time."""
    parts = kept.split("$")
    if len(parts) != _PARTS or parts[0] != _SCHEME:
        return False
    return hmac.compare_digest(digest(token, parts[1]), kept)
