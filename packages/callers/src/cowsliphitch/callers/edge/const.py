"""Limits of callers' connections that are not configurable, with their units."""

from typing import Final

READ_BYTES: Final = 65_536

# Limit of pipelined bytes that are buffered while a request is served.  Beyond it the
# connection is read again only after the answer.
MAX_PIPELINED_BYTES: Final = 65_536

# Time for which the rest of a request is read and discarded after an error answer.
# Closing a socket with unread bytes resets the connection, which may lose the answer.
LINGER_MS: Final = 1_000

# Timeout of each read of a request's body.
BODY_READ_TIMEOUT_MS: Final = 5_000

# Time for a write to a caller that does not read, after its answer was aborted.
ABORT_WRITE_TIMEOUT_MS: Final = 100

LISTEN_BACKLOG: Final = 1_024
