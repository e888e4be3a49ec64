"""Figures of the choice of engines, with their units."""

from typing import Final

# Prompt tokens that an engine reads in a ms; the deployments' engines read 38 to 57.
READ_TOKENS_PER_MS: Final = 45.0

# From an engine's acceptance of a request to its first step.
FIRST_STEP_MS: Final = 30.0

# Each running request makes a step of the others slower by so much.
STEP_MS_PER_RUNNING: Final = 1.0

# Time between two tokens of a stream, for requests whose end is not heard.
TOKEN_MS: Final = 20.0

# An engine that failed a request is left alone for so long; crashes last seconds.
PENALTY_MS: Final = 1_500

# Weight of the newest first token in an engine's speed, and its bounds.
SLOWNESS_WEIGHT: Final = 0.2
MIN_SLOWNESS: Final = 0.5
MAX_SLOWNESS: Final = 8.0

# Tokens that are taken to stay in an engine's cache: less than half of the memory of
# the smaller engines in use, the rest being for running requests.
CACHE_TOKENS: Final = 250_000

# Expected times are taken this much longer when they are held against an objective.
CAUTION: Final = 1.25

# A miss by this much counts as much again as the miss itself.
LATE_SCALE_MS: Final = 2_000.0

# Keeps engines that are otherwise alike evenly loaded.
TIME_COST_PER_MS: Final = 0.0002

# A part is read first at its home unless another engine answers sooner by this cost's
# worth of time, 150 ms; parts that are read within some 40 ms have no home.
AWAY_COST: Final = 0.03
HOME_TOKENS: Final = 2_000

# Shares of a request's credit that a deployment pays, unless its settings differ.
RECOMPUTE_COST_PER_1K_TOKENS: Final = 0.03
TRANSFER_COST_PER_MB: Final = 0.015
