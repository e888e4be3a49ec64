"""Constants of the latency estimate and the cost function of engine selection."""

from typing import Final

# Prefill throughput of one engine; the deployments' engines reach 38 to 57.
PREFILL_TOKENS_PER_MS: Final = 45.0

# From an engine's acceptance of a request to its first step.
FIRST_STEP_MS: Final = 30.0

# Each running request lengthens an engine's decode steps by this much.
STEP_MS_PER_RUNNING_REQUEST: Final = 1.0

# Time between two tokens of a stream; gives the expected end of a request whose end is
# not reported.
INTER_TOKEN_MS: Final = 20.0

# Other engines are preferred for this long after a failure; crashes last seconds.
FAILURE_BACKOFF_MS: Final = 1_500

# Weight of the latest first token in the moving average of an engine's slowness, and
# the bounds of one sample.
SLOWNESS_EWMA_WEIGHT: Final = 0.2
MIN_SLOWNESS: Final = 0.5
MAX_SLOWNESS: Final = 8.0

# Tokens assumed to stay in an engine's cache: less than half of the memory of the
# smaller engines in use, since running requests need the remainder.
MAX_CACHED_TOKENS: Final = 250_000

# Expected times are multiplied by this before the comparison with an objective.
LATENCY_SAFETY_FACTOR: Final = 1.25

# An overrun of the objective by this much doubles the cost of the miss.
OVERRUN_SCALE_MS: Final = 2_000.0

# Balances the load of engines whose other costs are equal.
LATENCY_COST_PER_MS: Final = 0.0002

# A part is first prefilled at its preferred engine unless another engine answers 150 ms
# sooner, which is this cost at LATENCY_COST_PER_MS.  Shorter parts are prefilled within
# some 40 ms and have no preferred engine.
AFFINITY_MISS_COST: Final = 0.03
MIN_AFFINITY_TOKENS: Final = 2_000

# Fractions of a request's credit; defaults for deployments that do not set them.
RECOMPUTE_COST_PER_1K_TOKENS: Final = 0.03
TRANSFER_COST_PER_MB: Final = 0.015
