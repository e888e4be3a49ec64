"""Updates of the cold servers' limits from their entries and the settings."""

import logging

from cowsliphitch.core.limits.cold import cold_rates
from cowsliphitch.telemetry.logs import event

from .state import GatewayState

_LOGGER = logging.getLogger(__name__)


def update_cold_servers(state: GatewayState) -> None:
    """Limit the servers that are cold now, and log which became cold or warm."""
    now = state.clock.now_ms()
    services = state.deployment.services if state.deployment else {}
    rates = cold_rates(state.servers, services, now)
    for change in state.server_limits.set_cold(rates, now):
        if change.per_s is None:
            event(_LOGGER, "server.warm", server=change.server_id)
            continue
        event(
            _LOGGER,
            "server.cold",
            server=change.server_id,
            per_s=change.per_s,
            left_ms=state.servers.cold(now).get(change.server_id),
        )
