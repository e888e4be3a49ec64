"""Constants of the latency estimate and the cost function of engine selection."""

from typing import Final

# Prefill throughput of one engine; the deployments' engines reach 38 to 57.
PREFILL_TOKENS_PER_MS: Final = 45.0

# Time from an engine's acceptance of a request to the request's first step.
FIRST_STEP_MS: Final = 30.0

# Each running request lengthens an engine's decode steps by this much.
STEP_MS_PER_RUNNING_REQUEST: Final = 1.0

# Time between two tokens of a stream; gives the expected end of a request whose end is
# not reported, at engines without a limited memory.
INTER_TOKEN_MS: Final = 20.0

# An engine generates one token per step for each running request.  A step takes 4 to
# 6 ms, and a little longer for each running request.
STEP_MS: Final = 5.0
BATCH_STEP_MS_PER_REQUEST: Final = 0.045

# Expected part of the maximum number of output tokens.  Most answers are far shorter
# than the maximum; most ends are not reported, so a larger part would leave ended
# requests in the account of an engine's slots and memory.
EXPECTED_OUTPUT_SHARE: Final = 0.4

# Engines with at least this much memory are not limited by it: 64 requests with the
# longest prompts in use (17,000 tokens) need 1.1 M tokens.
AMPLE_KV_TOKENS: Final = 2_000_000

# Other engines are preferred for this long after a failure; crashes last seconds.
FAILURE_BACKOFF_MS: Final = 1_500

# Weight of the latest first token in the moving average of an engine's slowdown, and
# the bounds of one sample.
SLOWDOWN_EWMA_WEIGHT: Final = 0.2
MIN_SLOWDOWN: Final = 0.5
MAX_SLOWDOWN: Final = 8.0

# Standard deviations, before any measurement, of the time from acceptance to the first
# step (transfers of stage results take up to some 100 ms) and of the time per prompt
# token, as a fraction of the usual one (engines run at 0.6 to 1.6 of the usual speed).
FIRST_STEP_DEVIATION_MS: Final = 40.0
TOKEN_TIME_DEVIATION: Final = 0.6

# Standard deviation of one measured time: of the messages, and of the prefill itself.
MEASUREMENT_DEVIATION_MS: Final = 20.0
MEASUREMENT_DEVIATION_SHARE: Final = 0.15

# A measured time counts as at most this multiple of the expected one, and at least its
# inverse, so that one stalled request does not make an engine slow.  If the previous
# one was beyond the same bound, the speed has changed and the second value applies; the
# step from 1.6 to 0.6 of the usual speed is a factor of 2.7.
MAX_SAMPLE_RATIO: Final = 1.5
MAX_CHANGE_RATIO: Final = 3.0

# Weight of earlier measurements after another one: an engine's speed changes.
SPEED_RETENTION: Final = 0.75

# Time after which a measurement has half its weight, so that an engine that was slow
# and got no requests since is tried again.
SPEED_HALF_LIFE_MS: Final = 20_000

# First tokens closer together than this come from one step, and their prompts count as
# one.
SAME_STEP_MS: Final = 10

# Bounds of the estimates: a quarter to four times the usual speed.
MAX_SPEED_RATIO: Final = 4.0
MAX_FIRST_STEP_MS: Final = 300.0

# A request without a first token counts as lost this long after twice its expected
# time, since the report of its end may not have been sent or may be lost.
LOST_REQUEST_MS: Final = 4_000

# A request whose first token is overdue by this much has begun if a later one has:
# prompts of equal priority are prefilled in order, and reports take less than 100 ms.
LOST_REPORT_MS: Final = 500

# Waiting requests whose admission is followed one by one; the wait behind a longer
# queue is extrapolated, which bounds the work of a choice.
MAX_FOLLOWED_ADMISSIONS: Final = 16

# An estimated queue is used for this long while no request is added, begins or ends, so
# that a choice costs little at engines whose state has not changed.
QUEUE_VALID_MS: Final = 200

# Tokens assumed to stay in the prefix cache of an engine without a limited memory: less
# than half of the memory of the smaller engines in use, since running requests need the
# remainder.
MAX_CACHED_TOKENS: Final = 250_000

# Cached prompt parts that are remembered, of all engines together, and of one engine at
# least.  A part takes some 140 bytes.
MAX_CACHED_PARTS: Final = 32_768
MIN_CACHED_PARTS: Final = 1_024

# Expected times to first token are multiplied by this before the comparison with an
# objective.
LATENCY_SAFETY_FACTOR: Final = 1.25

# An overrun of the objective by this much doubles the cost of the miss.
OVERRUN_SCALE_MS: Final = 2_000.0

# Part of the time to the objective that may pass at no cost.  Beyond it the cost rises
# to that of a miss, since the estimate of a long wait is uncertain, and the value of a
# cached prefix falls to zero.
FREE_OBJECTIVE_SHARE: Final = 0.5

# That cost holds in full while this share of the engines has no queue.  Without this
# condition a replay of 9 engines with empty caches prefilled 5 to 11 times as many
# tokens again, and up to 6% more requests were late.
IDLE_SHARE: Final = 0.5

# Balances the load of engines whose other costs are equal.
LATENCY_COST_PER_MS: Final = 0.0002

# A prompt part is first prefilled at its preferred engine unless another engine answers
# 150 ms sooner, which is this cost at LATENCY_COST_PER_MS.  Parts with fewer tokens are
# prefilled within some 40 ms and have no preferred engine.
AFFINITY_MISS_COST: Final = 0.03
MIN_AFFINITY_TOKENS: Final = 2_000

# Fractions of a request's credit; defaults for deployments that do not set them.
RECOMPUTE_COST_PER_1K_TOKENS: Final = 0.03
TRANSFER_COST_PER_MB: Final = 0.015
