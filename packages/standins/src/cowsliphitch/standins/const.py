"""Addresses, timings and cache sizes of the stand-ins."""

from typing import Final

LOOPBACK: Final = "127.0.0.1"
# Age of the load reports and of the VM list that readers receive.
LOAD_REPORT_LAG_MS: Final = 500
VM_LIST_LAG_MS: Final = 500
# Time per generated token, and number of tokens in one chunk of the stream.
TOKEN_INTERVAL_MS: Final = 10
TOKENS_PER_CHUNK: Final = 4
# Prefix cache: length of its keys, number of entries, and prefill time on a hit as
# a ratio of the time on a miss.
PREFIX_CHARS: Final = 64
MAX_CACHED_PREFIXES: Final = 32
CACHED_PREFILL_RATIO: Final = 0.25
