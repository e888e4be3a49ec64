"""Bearer tokens of teams and operators; only their salted digests are stored."""

import hashlib
import hmac
import secrets
from typing import Final

_SECRET_BYTES: Final = 24
_SALT_BYTES: Final = 8
_DIGEST_PARTS: Final = 3

# Longer texts are no tokens: a name has at most 64 characters.
_MAX_TOKEN_CHARS: Final = 256
_SCHEME: Final = "sha256"


def new_token(owner: str) -> str:
    """Return a new random token for ``owner`` (a team or an operator)."""
    return f"{owner}.{secrets.token_urlsafe(_SECRET_BYTES)}"


def owner_of(token: str) -> str:
    """Return the owner named in a token; only :func:`matches` proves it.

    :returns: an empty name for a text that is too long for a token
    """
    return token.rpartition(".")[0] if len(token) <= _MAX_TOKEN_CHARS else ""


def digest(token: str, salt: str | None = None) -> str:
    """Return the salted digest of a token, as stored in settings.

    :param salt: salt to use, a new random one if omitted
    """
    salt = salt or secrets.token_hex(_SALT_BYTES)
    hashed = hashlib.sha256(f"{salt}:{token}".encode()).hexdigest()
    return f"{_SCHEME}${salt}${hashed}"


def matches(token: str, stored: str) -> bool:
    """Return whether a token has a stored digest; compares in constant time."""
    parts = stored.split("$")
    if len(parts) != _DIGEST_PARTS or parts[0] != _SCHEME:
        return False
    return hmac.compare_digest(digest(token, parts[1]), stored)
