"""Headers, media types and limits of the callers' interface."""

from typing import Final

KEY_HEADER: Final = "idempotency-key"
TIMEOUT_HEADER: Final = "x-request-timeout-ms"
REQUEST_HEADER: Final = "x-request-id"
STREAM_TYPE: Final = "application/x-ndjson"
PROBLEM_TYPE: Final = "application/problem+json"
PROBLEM_URN_PREFIX: Final = "urn:cowsliphitch:reason:"
BODY_TIMEOUT_MS: Final = 5_000
MAX_KEY_CHARS: Final = 128

# Paths of the balancer's status checks, which anybody may request.
PROBE_PATHS: Final = frozenset({"/healthz", "/readyz"})

# Delay after which a body that found no memory may be sent again.
NO_MEMORY_RETRY_MS: Final = 1_000
