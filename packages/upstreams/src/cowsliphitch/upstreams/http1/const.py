"""Limits of connections to servers, with their units."""

from typing import Final

# Links between failure domains take about 1 ms; a lost opening packet is sent again
# after a second, which is later than another server answers.
CONNECT_TIMEOUT_MS: Final = 400

# A server states its idle timeout in whole seconds; a request sent within this margin
# of its end could cross the server's close.
KEEP_ALIVE_MARGIN_MS: Final = 1_000

# Used where an answer states no idle timeout.
DEFAULT_KEEP_ALIVE_MS: Final = 2_000

READ_BYTES: Final = 65_536
MAX_HEAD_BYTES: Final = 65_536

# Answers of earlier requests that are skipped on one connection before it is given up.
MAX_FOREIGN_ANSWERS: Final = 2

# Unacknowledged data for so long means that the path is cut: the value lies under the
# pause after which callers give up a stream.
TCP_USER_TIMEOUT_MS: Final = 2_000

# A request up to this size fits into the socket buffers, so writing it can't block.
INLINE_BODY_BYTES: Final = 16_384
