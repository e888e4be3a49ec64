"""Intervals, timeouts and limits of the exchange between daemons."""

from typing import Final

# A connection that is silent for this long during a call is pinged, and closed if the
# ping is not answered in time: the peer may be gone without closing the connection.
KEEPALIVE_INTERVAL_S: Final = 1.0
KEEPALIVE_TIMEOUT_S: Final = 1.0

REPORT_PROGRESS_TIMEOUT_S: Final = 1.0
FETCH_DOCUMENT_TIMEOUT_S: Final = 1.0

# A request waits for this call, and the daemon that grants permits answers without
# waiting for anything.
ACQUIRE_PERMIT_TIMEOUT_S: Final = 0.15

# As for permits; a suspect is refused if the call fails, so it waits a little longer.
TRIAL_TIMEOUT_S: Final = 0.3

# Added to a request's remaining time, so that the peer can answer at the deadline.
RUN_STAGES_TIMEOUT_MARGIN_S: Final = 0.1

MAX_DATAGRAM_BYTES: Final = 8_192

# Bounds one read of the socket, so that other tasks run under a flood of datagrams.
MAX_DATAGRAMS_PER_READ: Final = 1_024

# Connections to the gRPC server; each daemon opens one to each of the others.
MAX_CONNECTIONS: Final = 512

# Longest frame, the default of HTTP/2, which the server does not raise.
MAX_FRAME_BYTES: Final = 16_384

# Pings, settings and other frames that belong to no call.  Daemons send some a second.
MAX_CONTROL_FRAMES_PER_S: Final = 100

# A connection that leaves more unread is closed while all together leave too much.
MAX_UNREAD_BYTES: Final = 65_536
MAX_ALL_UNREAD_BYTES: Final = 8_000_000
