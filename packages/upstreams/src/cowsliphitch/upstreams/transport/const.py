"""Limits and headers of calls to upstreams."""

from typing import Final

CONNECT_TIMEOUT_MS: Final = 300
MAX_ANSWER_BYTES: Final = 8 * 1_048_576
MAX_LINE_BYTES: Final = 65_536
KEEPALIVE_CONNECTIONS: Final = 64
MAX_CONNECTIONS: Final = 2_048
ATTEMPT_HEADER: Final = "x-attempt-id"
REQUEST_HEADER: Final = "x-request-id"
TIMEOUT_HEADER: Final = "x-request-timeout-ms"
KEY_HEADER: Final = "idempotency-key"
