"""Limits of the order logs, with their units."""

from typing import Final

MAX_OPEN_RECORDS: Final = 400
MAX_STORED_ANSWER_BYTES: Final = 1_024
MAX_CLOCK_SKEW_MS: Final = 60_000
HEAD_KEY: Final = "orders/{shard}/head"
SEGMENT_KEY: Final = "orders/{shard}/segments/{segment}"
