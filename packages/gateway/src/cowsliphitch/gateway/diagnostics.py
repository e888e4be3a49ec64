"""What a daemon believes, for operators."""

from typing import Any

from .desk import StageDesk
from .discovery import StoreCoordinator
from .state import GatewayState


def diagnostics(
    state: GatewayState, store: StoreCoordinator, desk: StageDesk
) -> dict[str, Any]:
    """Return beliefs, servers, members and pools as plain data; times are in ms."""
    now = state.clock.now_ms()
    in_force = state.versions.current
    members = state.members
    return {
        "beliefs": {
            "settings": state.versions.version,
            "settings_age_ms": now - in_force.activated_ms if in_force else None,
            "settings_source": in_force.source if in_force else None,
            "store_lost_for_ms": store.lost_for_ms,
            "ready": state.ready(),
            "stopping": state.stopping,
            "allowances_divided_by": members.allowance_divisor(now),
            "duties": dict(members.claims),
            "requests_in_stages": desk.planner.active_requests,
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
                "waiting_pieces": queue.waiting_pieces,
                "running_calls": len(queue.calls),
                "result_bytes": queue.memory.used_bytes(),
                "calls": queue.diagnostics.calls,
                "failed_calls": queue.diagnostics.failed_calls,
            }
            for service, queue in desk.planner.queues.items()
        ],
    }
