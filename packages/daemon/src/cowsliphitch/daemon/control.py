"""The daemon as operators see it."""

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
    LostRace,
    OutcomeUnknown,
    PlatformDown,
    Stored,
    SubmitResult,
    Unchanged,
)
from cowsliphitch.state.config.store import Author, ConfigStore
from cowsliphitch.state.orders.coordinator import OrderCoordinator
from cowsliphitch.upstreams.pool.coordinator import PoolCoordinator

from .metrics import Metrics
from .settings import DaemonSettings


class DaemonControl:
    """Answer operators from what this daemon knows."""

    def __init__(
        self,
        cfg: DaemonSettings,
        config: ConfigCoordinator,
        store: ConfigStore,
        peers: PeerCoordinator,
        pools: dict[str, PoolCoordinator],
        claims: OrderCoordinator,
        kv: KeyValueClient,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        """Use the daemon's parts."""
        self._cfg = cfg
        self._config = config
        self._store = store
        self._peers = peers
        self._pools = pools
        self._claims = claims
        self._kv = kv
        self._metrics = metrics
        self._clock = clock

    def operator_of(self, token: str) -> str | None:
        """Return the operator that a token belongs to."""
        name = tokens.owner_of(token)
        kept = {str(key): value for key, value in self._cfg.operator_tokens.items()}
        digest = kept.get(name)
        if digest is None or not tokens.matches(token, digest):
            return None
        return name

    def snapshot(self) -> Snapshot | None:
        """Return the configuration in force in this daemon."""
        return self._config.snapshot

    async def submit(self, who: str, request: SubmitRequest) -> SubmitReply:
        """Check and store a change."""
        checked = load_settings(request.document).and_then(self._check_change)
        match checked:
            case Err(problems):
                lines = tuple(str(problem) for problem in problems)
                return SubmitReply("invalid", detail="not valid", problems=lines)
            case Ok(settings):
                author = Author(who, request.note)
                base = request.base_revision
                result = await self._store.submit(settings, base, author)
                return _reply(result)

    def _check_change(
        self, settings: Settings
    ) -> Result[Settings, tuple[Problem, ...]]:
        """Refuse a change of the number of order logs.

        A key would move to another log, where its claim is not known.
        """
        if self._config.snapshot is None:
            return Ok(settings)
        now = self._config.settings.fleet.orders.shards
        if settings.fleet.orders.shards == now:
            return Ok(settings)
        expected = f"expected {now}: the number of order logs can't change"
        return Err((Problem("fleet.orders.shards", 1, expected),))

    async def audit(self, limit: int) -> Result[Audit, Refusal]:
        """Read the audit trail."""
        changes = await self._store.history(limit)
        rejected = await self._store.rejected()
        if isinstance(changes, Ok) and isinstance(rejected, Ok):
            return Ok(Audit(changes.ok_value, rejected.ok_value))
        detail = "the platform's service can't be read"
        return Err(not_run(Reason.PLATFORM_UNAVAILABLE, detail))

    def daemons(self) -> tuple[DaemonStatus, ...]:
        """Return the daemons that this one knows."""
        now = self._clock.now_ms()
        return tuple(
            DaemonStatus(
                name=record.name,
                failure_domain=record.failure_domain,
                state=self._peers.view.state(record.name, now).value,
                config_revision=(
                    self._config.revision
                    if record.name == self._cfg.name
                    else record.config_revision
                ),
                leaving=record.leaving,
                operators_address=record.operators_address,
            )
            for record in sorted(self._peers.view.records(), key=lambda r: r.name)
        )

    def upstreams(self) -> tuple[UpstreamStatus, ...]:
        """Return the upstreams that this daemon knows."""
        now = self._clock.now_ms()
        return tuple(
            UpstreamStatus(
                name=upstream.name,
                pool=upstream.pool,
                failure_domain=upstream.failure_domain,
                state="leaving"
                if upstream.leaving
                else circuit_state(upstream, now).value,
                outstanding=upstream.outstanding,
                latency_ms=round(upstream.latency_ms),
            )
            for pool in self._pools.values()
            for upstream in pool.upstreams.values()
        )

    def teams(self) -> tuple[TeamStatus, ...]:
        """Return the teams and what they were given here."""
        found = []
        for name, team in self._config.settings.teams.items():
            counts = self._metrics.teams.get(name)
            waiting = sum(pool.waiting_work(name) for pool in self._pools.values())
            found.append(
                TeamStatus(
                    name=str(name),
                    share=team.share,
                    answered=counts.answered if counts else 0,
                    refused=counts.refused if counts else 0,
                    waiting_work=waiting,
                )
            )
        return tuple(found)

    def diagnostics(self) -> dict[str, object]:
        """Return counters for a person who looks for a fault, without secrets."""
        return {
            "name": self._cfg.name,
            "config": attrs.asdict(self._config.diagnostics),
            "orders": attrs.asdict(self._claims.diagnostics),
            "key_value_service": attrs.asdict(self._kv.diagnostics),
            "peers": attrs.asdict(self._peers.diagnostics),
            "pools": {
                name: attrs.asdict(pool.counts) | {"caps": pool.caps}
                for name, pool in self._pools.items()
            },
        }

    def metrics(self) -> tuple[bytes, str]:
        """Return the metrics for a scraper, and their media type."""
        return self._metrics.scrape()


def _reply(result: SubmitResult) -> SubmitReply:
    """Tell an operator what became of a change."""
    match result:
        case Stored(revision, change):
            return SubmitReply("stored", revision, "stored", change)
        case Unchanged(revision):
            return SubmitReply("unchanged", revision, "these settings are in force")
        case LostRace(conflict, winner):
            detail = (
                f"edited on revision {conflict.base_revision}, but {winner} stored "
                f"revision {conflict.current.revision} first"
            )
            return SubmitReply("conflict", conflict.current.revision, detail)
        case OutcomeUnknown(change, detail):
            return SubmitReply("unknown", detail=detail, change=change)
        case PlatformDown(detail):
            return SubmitReply("unavailable", detail=detail)
