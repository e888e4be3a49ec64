"""Diagnostics of a daemon: its view of the deployment, as plain data for operators."""

from typing import Any

from .stage_owner import StageOwner
from .state import GatewayState
from .store_coordinator import StoreCoordinator


def collect_diagnostics(
    state: GatewayState, store: StoreCoordinator, stage_owner: StageOwner
) -> dict[str, Any]:
    """Return the state of the daemon and of its servers, members and stage pools.

    Times and durations are in ms.  The keys are read by operators' tools.
    """
    now = state.clock.now_ms()
    active = state.versions.current
    members = state.members
    return {
        "beliefs": {
            "settings": state.versions.version,
            "settings_age_ms": now - active.activated_ms if active else None,
            "settings_source": active.source if active else None,
            "store_lost_for_ms": store.outage_ms,
            "ready": state.is_ready(),
            "stopping": state.stopping,
            "allowances_divided_by": members.allowance_divisor(now),
            "duties": dict(members.claims),
            "requests_in_stages": stage_owner.admitted_requests,
        },
        "servers": [
            {
                "server": server.id,
                "service": server.service,
                "domain": server.failure_domain,
                "state": server.state.value,
                "usable": state.servers.is_usable(server),
            }
            for server in state.servers.all()
        ],
        "server_limits": [
            {
                "server": limit.server_id,
                "per_s": limit.per_s,
                "source": limit.source,
                "age_ms": limit.age_ms,
                "sent": limit.sent,
            }
            for limit in state.server_limits.limits(now)
        ],
        "members": [
            {
                "member": member.name,
                "address": member.address,
                "domain": member.failure_domain,
                "live": members.is_live(member.address, now),
            }
            for member in members.peers()
        ],
        "pools": [
            {
                "pool": service,
                "cell": cell,
                "waiting_pieces": queue.waiting_pieces,
                "running_calls": len(queue.calls),
                "result_bytes": queue.memory.used_bytes(),
                "calls": queue.diagnostics.calls,
                "failed_calls": queue.diagnostics.failed_calls,
            }
            for cell, service, queue in stage_owner.queues()
        ],
    }
