"""Limits of the callers' connections that no settings name, with their units."""

from typing import Final

READ_BYTES: Final = 65_536

# Pipelined bytes that are buffered while a request is served; a caller that sends more
# is read again once the answer is out.
MAX_PIPELINED_BYTES: Final = 65_536

# After an error answer the rest of the request is read for so long, since closing a
# socket with unread bytes resets it and the answer would be lost.
LINGER_MS: Final = 1_000

# Longest pause inside a body before the request is given up.
BODY_STALL_MS: Final = 5_000

# Time for a write to a caller that does not read, once its answer is to be ended.
ABORT_WRITE_MS: Final = 100

LISTEN_BACKLOG: Final = 1_024
