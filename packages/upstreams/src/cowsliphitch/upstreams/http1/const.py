"""Limits of connections to servers, with their units."""

from typing import Final

# Links between failure domains take about 1 ms.  A lost SYN is retransmitted after a
# second, which is later than another server would answer.
CONNECT_TIMEOUT_MS: Final = 400

# A server states its idle timeout in whole seconds.  A request sent within this margin
# before the timeout could race with the server's close.
KEEP_ALIVE_MARGIN_MS: Final = 1_000

# Idle timeout that is assumed if an answer states none.
DEFAULT_KEEP_ALIVE_MS: Final = 2_000

# Digits of an idle timeout that are read, so that a server can't name any number.
MAX_KEEP_ALIVE_DIGITS: Final = 9

# Maximum of one read from a socket.
READ_BYTES: Final = 65_536
MAX_HEAD_BYTES: Final = 65_536

# Answers to earlier requests that are skipped before a connection is closed as invalid,
# and the bytes of their bodies.
MAX_STALE_ANSWERS: Final = 2
MAX_STALE_BYTES: Final = 1_048_576

# Informational heads before an answer; a server may send them without end.
MAX_INFORMATIONAL_HEADS: Final = 16

# Data unacknowledged for this long means a broken network path.  The value is below the
# pause after which callers abandon a stream.
TCP_USER_TIMEOUT_MS: Final = 2_000

# A body up to this size fits into the socket buffers, so writing it can't block.
MAX_INLINE_BODY_BYTES: Final = 16_384

# Highest status of an answer (RFC 9110, section 15).
LAST_STATUS: Final = 599
