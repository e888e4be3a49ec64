"""Timeouts, thresholds and bounds of stage batching."""

from typing import Final

# Weight of the latest call in the moving average of a server's slowdown, the ratio of
# actual to expected call duration: three calls are enough to detect a server that
# became slow.
SLOWDOWN_EWMA_WEIGHT: Final = 0.4

# Time for which other servers are preferred after a call failed.  Crashes last some
# seconds; the first call after the backoff probes the server, and only the pieces of
# that call are at risk.
FAILURE_BACKOFF_MS: Final = 1_500

# Time after which a server that ran out of result memory is tried again, unless one of
# its results is freed earlier.
OUT_OF_MEMORY_BACKOFF_MS: Final = 150

# Time for which a server that refused a connection receives no calls.  Retrying sooner
# would only use up the deadlines of the queued pieces.
UNREACHABLE_BACKOFF_MS: Final = 400

# A call that exceeds its expected duration by this factor is hedged: its pieces are
# also run on another server, and the first result is used.
HEDGE_FACTOR: Final = 1.8
MIN_HEDGE_DELAY_MS: Final = 150

# A server whose slowdown reaches this value receives no piece that would miss its
# objective because of the slowdown.
MIN_SLOW_SERVER_SLOWDOWN: Final = 1.6

# Number of attempts at a piece before its job fails.
MAX_PIECE_ATTEMPTS: Final = 3

# A piece that transfers at least this much between failure domains waits for a server
# in its preferred domain if it still meets its objective with this margin.
LARGE_TRANSFER_BYTES: Final = 200_000
PREFERRED_DOMAIN_MARGIN_MS: Final = 250

# Pieces stop waiting for their preferred domain once the queue exceeds this fraction
# of the capacity of one call per server: capacity is then scarcer than link bandwidth.
LOADED_QUEUE_RATIO: Final = 0.4

# Time for which a job sorts behind jobs that prefer the domain of the server being
# filled, so that a server in its own preferred domain can become idle first.
PREFERRED_DOMAIN_WAIT_MS: Final = 60

# A best-effort request is admitted if it is expected to finish within this fraction
# of the time to its deadline.
BEST_EFFORT_DEADLINE_RATIO: Final = 0.7

# Time constant of the exponentially decaying average of on-time requests' demand.
DEMAND_TIME_CONSTANT_MS: Final = 1_500.0

# Lower bounds of the throughput that is assumed for best-effort requests: a fraction
# of the pool's throughput, and pieces per millisecond for any pool.
MIN_SPARE_RATIO: Final = 0.05
MIN_SPARE_PIECES_PER_MS: Final = 0.0001

# A final stage is deferred while the remaining time of the other branches exceeds its
# own time, multiplied by this factor and increased by this margin.  Its results would
# only occupy memory until then.
DEFER_FACTOR: Final = 1.3
DEFER_MARGIN_MS: Final = 80

# Number of restarts of a request whose intermediate results were lost.
MAX_RESTARTS: Final = 2

# Duration that is reported when no server is usable.
NO_SERVER_DURATION_MS: Final = 60_000.0

# Bounds of the delay that a refused caller is told to wait before it retries.
MIN_RETRY_AFTER_MS: Final = 100
MAX_RETRY_AFTER_MS: Final = 4_000

# Time after which a server that started a call has fetched the call's inputs: some
# megabytes over its link, plus the delivery of the call itself.
INPUT_FETCH_MS: Final = 100

# A server is assumed to start calls without queueing once this many consecutive calls
# had at most this slowdown.  A call queued behind another owner's call takes about
# twice the expected time.
MIN_STEADY_CALLS: Final = 3
STEADY_MAX_SLOWDOWN: Final = 1.15

# Time of an idle engine to the first token: its first step, and the prefill of a prompt
# of which nothing is cached at the rate of the engines in use (38 to 57 tokens per ms).
FIRST_STEP_MS: Final = 30.0
NOMINAL_PREFILL_TOKENS_PER_MS: Final = 45.0

# An engine is expected to queue a request if its first token takes longer than the
# request's own prefill by this factor and margin.  The margin is the time in which an
# engine without a queue fetches its inputs.
QUEUED_FIRST_TOKEN_FACTOR: Final = 1.5
QUEUED_MARGIN_MS: Final = 100.0

# Results are kept for the expected time to the first token times this factor.  While
# this share of their servers' memory is free, a margin is added: engines refused
# requests up to 360 ms after they were sent though no queue was expected.
RETENTION_SAFETY_FACTOR: Final = 1.25
MIN_RETENTION_FREE_SHARE: Final = 0.5
RETENTION_MARGIN_MS: Final = 400

# Time constant of the counters of arrived and admitted requests by priority: some
# seconds of a class at a few requests per second, and less than a burst.
SHARE_TIME_CONSTANT_MS: Final = 5_000.0

# A priority is admitted at least this fraction as often as all together.  The required
# minimum is a quarter of the served requests, and some of the admitted ones fail.
MIN_SERVED_RATIO: Final = 0.36

# The share of a priority with fewer arrivals than this is not known: it has less than
# 0.6 requests a second.  Of these, every fourth is admitted, the required minimum.
MIN_SHARE_REQUESTS: Final = 3.0
MAX_REFUSED_IN_ROW: Final = 3

# Request classes of which a sample is kept, the age up to which it is used, and the
# resolution at which time limits are compared.
MAX_SAMPLES: Final = 16
MAX_SAMPLE_AGE_MS: Final = 3_000
SAMPLE_OBJECTIVE_MS: Final = 250

# More urgent requests need a pool if their pieces, with those of later stages, exceed
# this multiple of one full call per server.  With less, a replayed burst of the least
# urgent class had fewer requests in time: they were refused and nobody gained.
MAX_URGENT_QUEUE_RATIO: Final = 2.0

# More urgent requests are expected to need a pool if their demand exceeds this fraction
# of its throughput: the remaining calls are spare.  They are expected to need an engine
# if so many of them arrive during a request's wait and the wait exceeds the fraction
# below of the time to the request's objective.
MAX_ENGINE_WAIT_RATIO: Final = 0.5
MIN_URGENT_DEMAND_RATIO: Final = 0.75
MIN_URGENT_ARRIVALS: Final = 0.5

# A final stage is deferred if the engine would begin less than this before the results
# are deleted: the engine fetches some megabytes, and its wait is an estimate.
EXPIRY_MARGIN_MS: Final = 500

# A job whose results take at most this fraction of one server's memory starts also
# while memory is short: it fits beside the large results that memory is short of.
SMALL_RESULT_RATIO: Final = 0.05
