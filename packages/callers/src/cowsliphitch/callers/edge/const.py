"""Limits of callers' connections that are not configurable, with their units."""

from typing import Final

# Maximum of one read from a socket: of bodies, and of anything else.
READ_BYTES: Final = 65_536
READ_HEAD_BYTES: Final = 16_384

# Pipelined bytes that are read while a request is served, to notice a disconnect.
# Beyond it the connection is read again only after the answer.
MAX_PIPELINED_BYTES: Final = 4_096

# Interval at which the state of a connection is polled that is not read.
STATE_POLL_MS: Final = 50

# Largest part of an answer that is handed to the operating system at once.
WRITE_BYTES: Final = 65_536

# Bytes of answers that a caller may leave unread before its next request is served.
MAX_UNREAD_BYTES: Final = 16_384

# A caller that acknowledges no byte of its answer for the idle timeout, but at least
# for this long, is taken to have stopped reading.
MIN_STALL_TIMEOUT_MS: Final = 15_000
STALL_CHECK_MS: Final = 250

# Time between two searches for connections that may be closed to make room; each looks
# at all of them.  What a search finds is limited, since it keeps connections in memory
# that have ended.
EVICTION_SEARCH_INTERVAL_MS: Final = 50
MAX_EVICTABLE_FOUND: Final = 128

# Time for which unread input is read and discarded after the last answer.
# Closing a socket with unread bytes resets the connection, which may lose the answer.
LINGER_MS: Final = 1_000

# Small chunks of a body that are decoded before it is the turn of another body: a read
# may hold ten thousand chunks of one byte.
SMALL_CHUNK_BYTES: Final = 256
SMALL_CHUNKS_AT_ONCE: Final = 16

# Timeout of each read of a request's body.
BODY_READ_TIMEOUT_MS: Final = 5_000

LISTEN_BACKLOG: Final = 1_024

# Connections that are accepted before others are served.  A busy event loop would else
# accept fewer than a crowd opens, and ordinary callers would wait behind it.
ACCEPTED_AT_ONCE: Final = 16

# Pause of a listener that can't accept a connection.
ACCEPT_RETRY_MS: Final = 100
