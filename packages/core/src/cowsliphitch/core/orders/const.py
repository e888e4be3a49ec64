"""Limits and storage keys of the order logs."""

from typing import Final

# Each write replaces the whole head; at this many records the head is sealed into a
# segment, which bounds the size of a write.
MAX_OPEN_RECORDS: Final = 400
# Longer answers are not stored; a repeat of the order then gets a refusal as RAN.
MAX_STORED_ANSWER_BYTES: Final = 1_024
# How far the clock that created an idempotency key may differ from the daemon's.
MAX_CLOCK_SKEW_MS: Final = 60_000
HEAD_KEY: Final = "orders/{shard}/head"
SEGMENT_KEY: Final = "orders/{shard}/segments/{segment}"
