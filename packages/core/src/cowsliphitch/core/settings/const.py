"""Limits and default values of the settings."""

from typing import Final

# Limits on a document, which bound the cost of parsing it.
MAX_DOCUMENT_BYTES: Final = 512 * 1024
MAX_NAME_CHARS: Final = 64
MAX_NESTING_DEPTH: Final = 12

DEFAULT_DEADLINE_MS: Final = 10_000
MAX_DEADLINE_MS: Final = 10 * 60_000
DEFAULT_RETENTION_MS: Final = 60 * 60_000
DEFAULT_ORDER_SHARDS: Final = 16
MAX_ORDER_SHARDS: Final = 1_024
DEFAULT_CLAIM_INTERVAL_MS: Final = 20
DEFAULT_MAX_BODY_BYTES: Final = 256 * 1024
DEFAULT_SLOTS: Final = 8
DEFAULT_MAX_QUEUE: Final = 500
DEFAULT_RETRY_RATIO: Final = 0.1
