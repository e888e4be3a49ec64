"""Exit codes, environment variables and timings of the command line."""

from typing import Final

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_INVALID: Final = 2
EXIT_PENDING: Final = 3
EXIT_CONFLICT: Final = 4
EXIT_UNAVAILABLE: Final = 5

DAEMON_VARIABLE: Final = "COWSLIPHITCH_DAEMON"
OPERATOR_TOKEN_VARIABLE: Final = "COWSLIPHITCH_OPERATOR_TOKEN"
TEAM_TOKEN_VARIABLE: Final = "COWSLIPHITCH_TEAM_TOKEN"

CALL_TIMEOUT_MS: Final = 15_000
# For the call that checks whether another daemon has a new revision in force.
CONFIRM_TIMEOUT_MS: Final = 1_000
POLL_INTERVAL_MS: Final = 100
DEFAULT_WAIT_MS: Final = 6_000

# Memory of the smallest VM that runs a daemon, in MB.
SMALLEST_VM_MB: Final = 160
