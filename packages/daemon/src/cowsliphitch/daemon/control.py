"""Backend of the operators' API: configuration changes, status and diagnostics."""

import attrs
from result import Err, Ok, Result

from cowsliphitch.core import tokens
from cowsliphitch.core.clock import Clock
from cowsliphitch.core.config.models import Snapshot
from cowsliphitch.core.routing.breaker import circuit_state
from cowsliphitch.core.settings.models import Settings
from cowsliphitch.core.settings.schema import Problem, load_settings
from cowsliphitch.core.verdict import Reason, Refusal, not_run
from cowsliphitch.operators.api.models import (
    Audit,
    DaemonStatus,
    SubmitReply,
    SubmitRequest,
    TeamStatus,
    UpstreamStatus,
)
from cowsliphitch.peers.membership.coordinator import PeerCoordinator
from cowsliphitch.platform.store.client import KeyValueClient
from cowsliphitch.state.config.coordinator import ConfigCoordinator
from cowsliphitch.state.config.models import (
    Author,
    OutcomeUnknown,
    Stored,
    StoreUnavailable,
    SubmitConflict,
    SubmitResult,
    Unchanged,
)
from cowsliphitch.state.config.store import ConfigStore
from cowsliphitch.state.orders.coordinator import OrderCoordinator
from cowsliphitch.upstreams.pool.coordinator import PoolCoordinator

from .metrics import Metrics
from .settings import DaemonSettings


class DaemonControl:
    """Serves operators from this daemon's state, and stores configuration changes.

    Status reflects the view of this daemon and can differ between daemons.
    """

    def __init__(
        self,
        cfg: DaemonSettings,
        config_coordinator: ConfigCoordinator,
        config_store: ConfigStore,
        peer_coordinator: PeerCoordinator,
        pools: dict[str, PoolCoordinator],
        order_coordinator: OrderCoordinator,
        kv_client: KeyValueClient,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        """Initialize with the components that are read and controlled."""
        self._cfg = cfg
        self._config_coordinator = config_coordinator
        self._config_store = config_store
        self._peer_coordinator = peer_coordinator
        self._pools = pools
        self._order_coordinator = order_coordinator
        self._kv_client = kv_client
        self._metrics = metrics
        self._clock = clock

    def operator_of(self, token: str) -> str | None:
        """Return the name of the operator that owns a token, None if invalid."""
        name = tokens.owner_of(token)
        digests = {str(key): value for key, value in self._cfg.operator_tokens.items()}
        digest = digests.get(name)
        if digest is None or not tokens.matches(token, digest):
            return None
        return name

    def snapshot(self) -> Snapshot | None:
        """Return the configuration that this daemon applies, None before the first."""
        return self._config_coordinator.snapshot

    async def submit(self, operator: str, request: SubmitRequest) -> SubmitReply:
        """Validate a configuration and store it as a new revision.

        :param operator: name of the operator, for the audit trail
        """
        validated = load_settings(request.document).and_then(self._check_shard_count)
        match validated:
            case Err(problems):
                problem_texts = tuple(str(problem) for problem in problems)
                return SubmitReply(
                    "invalid", detail="not valid", problems=problem_texts
                )
            case Ok(settings):
                author = Author(operator, request.note)
                base = request.base_revision
                result = await self._config_coordinator.submit(settings, base, author)
                return _submit_reply(result)

    def _check_shard_count(
        self, settings: Settings
    ) -> Result[Settings, tuple[Problem, ...]]:
        """Reject a change of the number of order logs.

        Keys are assigned to logs by that number.  After a change, a key could map to a
        log without its claim, and its order could run again.
        """
        if self._config_coordinator.snapshot is None:
            return Ok(settings)
        shards = self._config_coordinator.settings.fleet.orders.shards
        if settings.fleet.orders.shards == shards:
            return Ok(settings)
        expected = f"expected {shards}: the number of order logs can't change"
        return Err((Problem("fleet.orders.shards", 1, expected),))

    async def audit(self, limit: int) -> Result[Audit, Refusal]:
        """Return stored and rejected changes from the key-value store.

        :param limit: maximum number of stored changes to return
        """
        changes = await self._config_store.read_history(limit)
        rejected = await self._config_store.read_rejected()
        if isinstance(changes, Ok) and isinstance(rejected, Ok):
            return Ok(Audit(changes.ok_value, rejected.ok_value))
        detail = "the platform's service can't be read"
        return Err(not_run(Reason.PLATFORM_UNAVAILABLE, detail))

    def daemons(self) -> tuple[DaemonStatus, ...]:
        """Return the status of all known daemons, sorted by name."""
        now_ms = self._clock.now_ms()
        return tuple(
            DaemonStatus(
                name=record.name,
                failure_domain=record.failure_domain,
                state=self._peer_coordinator.view.state(record.name, now_ms).value,
                config_revision=(
                    self._config_coordinator.revision
                    if record.name == self._cfg.name
                    else record.config_revision
                ),
                leaving=record.leaving,
                operators_address=record.operators_address,
            )
            for record in sorted(
                self._peer_coordinator.view.records(), key=lambda r: r.name
            )
        )

    def upstreams(self) -> tuple[UpstreamStatus, ...]:
        """Return the status of all known upstreams, as measured by this daemon."""
        now_ms = self._clock.now_ms()
        return tuple(
            UpstreamStatus(
                name=upstream.name,
                pool=upstream.pool,
                failure_domain=upstream.failure_domain,
                state="leaving"
                if upstream.leaving
                else circuit_state(upstream, now_ms).value,
                outstanding=upstream.outstanding,
                latency_ms=round(upstream.latency_ms),
            )
            for pool in self._pools.values()
            for upstream in pool.upstreams.values()
        )

    def teams(self) -> tuple[TeamStatus, ...]:
        """Return the shares of all teams, and their requests to this daemon."""
        statuses = []
        for name, team in self._config_coordinator.settings.teams.items():
            counts = self._metrics.teams.get(name)
            waiting_work = sum(pool.waiting_work(name) for pool in self._pools.values())
            statuses.append(
                TeamStatus(
                    name=str(name),
                    share=team.share,
                    answered=counts.answered if counts else 0,
                    refused=counts.refused if counts else 0,
                    waiting_work=waiting_work,
                )
            )
        return tuple(statuses)

    def diagnostics(self) -> dict[str, object]:
        """Return internal counters for troubleshooting, without secrets."""
        return {
            "name": self._cfg.name,
            "config": attrs.asdict(self._config_coordinator.diagnostics),
            "orders": attrs.asdict(self._order_coordinator.diagnostics),
            "key_value_service": attrs.asdict(self._kv_client.diagnostics),
            "peers": attrs.asdict(self._peer_coordinator.diagnostics),
            "pools": {
                name: attrs.asdict(pool.counts) | {"caps": pool.caps}
                for name, pool in self._pools.items()
            },
        }

    def metrics(self) -> tuple[bytes, str]:
        """Return the metrics in the Prometheus text format, and their media type."""
        return self._metrics.scrape()


def _submit_reply(result: SubmitResult) -> SubmitReply:
    """Convert the result of a submitted change to the reply to the operator."""
    match result:
        case Stored() as stored:
            return SubmitReply("stored", stored.revision, "stored", stored.change)
        case Unchanged(revision):
            return SubmitReply("unchanged", revision, "these settings are in force")
        case SubmitConflict(conflict, winner):
            detail = (
                f"edited on revision {conflict.base_revision}, but {winner} stored "
                f"revision {conflict.current.revision} first"
            )
            return SubmitReply("conflict", conflict.current.revision, detail)
        case OutcomeUnknown(change, detail):
            return SubmitReply("unknown", detail=detail, change=change)
        case StoreUnavailable(detail):
            return SubmitReply("unavailable", detail=detail)
