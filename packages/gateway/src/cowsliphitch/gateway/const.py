"""Timings and limits of a daemon on the platform, with their units."""

from typing import Final

# A watch is cut and sent again this often, so that one which fell silent is noticed
# well within the time in which a change of settings must be in force.
WATCH_WAIT_MS: Final = 2_000
STORE_TIMEOUT_MS: Final = 700
STORE_RETRY_INTERVAL_MS: Final = 200

# The leased key names the daemon to the others; it may lapse in an outage, since the
# heartbeats decide who lives.
MEMBER_PREFIX: Final = "members/"
MEMBER_LEASE_TTL_MS: Final = 15_000
MEMBER_RENEWAL_INTERVAL_MS: Final = 4_000

# Housekeeping of connections, queues and members.
MAINTENANCE_INTERVAL_MS: Final = 100

# Largest answer that is held in memory before it goes to the caller.
MAX_ANSWER_BYTES: Final = 8 * 1_048_576

# A final answer leaves this long before a route's timeout, to be there in time.
ROUTE_TIMEOUT_MARGIN_MS: Final = 20

# Part of a server's connections that this daemon uses when several daemons share it.
MAX_CONNECTION_SHARE: Final = 0.8

# Readiness is withdrawn at SIGTERM and the balancer asks once a second; new
# connections arrive until it was refused twice.
BALANCER_REMOVAL_MS: Final = 2_500

# After this time a stopping daemon refuses streams, which could last longer than the
# rest of its grace; kept connections still bring requests then.
ACCEPT_STREAMS_AFTER_STOP_MS: Final = 2_500
ACCEPT_REQUESTS_AFTER_STOP_MS: Final = 5_000

# Before the platform's SIGKILL.
EXIT_MARGIN_MS: Final = 300

# Descriptors that are not for sockets of callers: files, servers, peers, the store.
RESERVED_DESCRIPTORS: Final = 1_000
CALLER_DESCRIPTOR_SHARE: Final = 0.7

# Time between two tries of a caller whose request met no settings yet.
NO_SETTINGS_RETRY_AFTER_MS: Final = 300

# An answer of a stage server is a short list of handles.
MAX_STAGE_ANSWER_BYTES: Final = 262_144

# A call may take this many times as long as expected before it is given up.
STAGE_CALL_TIMEOUT_FACTOR: Final = 6.0
MIN_STAGE_CALL_TIMEOUT_MS: Final = 2_000
FREE_RESULTS_TIMEOUT_MS: Final = 1_000

# A failure domain that is suspect or cut off is tried this often, for so long; links
# between failure domains take about 1 ms.
PROBE_INTERVAL_MS: Final = 100
PROBE_TIMEOUT_MS: Final = 200

# Owners that are asked one after the other for a request's stages.
MAX_OWNER_ATTEMPTS: Final = 3
NO_ENGINE_RETRY_AFTER_MS: Final = 200

# An engine has fetched a request's inputs so long after it was sent the request: some
# MB over its link. With this span engines refused no more requests for lost inputs.
RESULT_FETCH_TIME_MS: Final = 100
