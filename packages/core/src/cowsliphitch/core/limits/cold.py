"""Limits on requests to cold servers.

Load pattern: engines that have just started, or whose failure domain was evacuated,
take a few requests a second for some seconds and crash well above that.  They look
idle, so selection by load sends them everything that arrives.
"""

from collections.abc import Mapping, Sequence

from cowsliphitch.core.deployment.models import Service
from cowsliphitch.core.servers.models import Server
from cowsliphitch.core.servers.registry import ServerRegistry

from .models import ServerRates
from .table import LimitTable


def cold_rates(
    servers: ServerRegistry, services: Mapping[str, Service], now_ms: int
) -> dict[str, float]:
    """Return the requests a second that cold servers take, by server.

    Only services whose settings name such a rate have any.
    """
    per_s = {s.name: s.cold_per_s for s in services.values() if s.cold_per_s > 0}
    if not per_s:
        return {}
    cold = map(servers.get, servers.cold(now_ms))
    return {s.id: per_s[s.service] for s in cold if s and s.service in per_s}


def without_waits(
    servers: Sequence[Server],
    rates: ServerRates,
    limits: LimitTable,
    now_ms: int,
) -> Sequence[Server]:
    """Return the servers without the cold ones that would have to be waited for.

    If all are such, all are returned.

    :param rates: the time until each server may get a request
    :param limits: which servers are cold
    """
    free = [
        s for s in servers if not limits.is_cold(s.id) or rates.wait_ms(s, now_ms) == 0
    ]
    return free or servers
