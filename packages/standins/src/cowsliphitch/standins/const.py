"""Addresses and timings of the stand-ins, with their units."""

from typing import Final

LOOPBACK: Final = "127.0.0.1"
LOAD_REPORT_LAG_MS: Final = 500
VM_LIST_LAG_MS: Final = 500
TOKEN_INTERVAL_MS: Final = 10
TOKENS_PER_CHUNK: Final = 4
PREFIX_CHARS: Final = 64
MAX_CACHED_PREFIXES: Final = 32
CACHED_PREFILL_RATIO: Final = 0.25
