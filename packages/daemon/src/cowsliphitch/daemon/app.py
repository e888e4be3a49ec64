"""One daemon: its parts, how they are wired, and how it starts and stops."""

import logging
from collections.abc import Callable, Coroutine
from typing import Any, Final

import anyio
import attrs
from grpclib.server import Server
from hypercorn.asyncio import serve
from hypercorn.config import Config
from result import Err
from starlette.applications import Starlette

from cowsliphitch.callers.app import CallersApp
from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.membership.models import MemberRecord
from cowsliphitch.core.orders.models import Record
from cowsliphitch.core.quarantine.registry import SuspectRegistry
from cowsliphitch.core.settings.models import Settings
from cowsliphitch.core.verdict import Reason, Refusal
from cowsliphitch.operators.api.app import OperatorsApp
from cowsliphitch.peers import tls
from cowsliphitch.peers.membership.channels import CallFailed, Channels
from cowsliphitch.peers.membership.coordinator import PeerCoordinator
from cowsliphitch.peers.membership.models import Hooks
from cowsliphitch.peers.membership.server import PeerServer
from cowsliphitch.platform.store.client import KeyValueClient
from cowsliphitch.state.config.coordinator import ConfigCoordinator
from cowsliphitch.state.config.store import ConfigStore
from cowsliphitch.state.orders.coordinator import OrderCoordinator
from cowsliphitch.state.orders.models import Answered, Forwarded, NoAnswer
from cowsliphitch.state.vms.coordinator import VmCoordinator
from cowsliphitch.upstreams.pool.registry import PoolRegistry
from cowsliphitch.upstreams.transport.client import UpstreamClient

from .control import DaemonControl
from .duties.division import Division, demands_of
from .duties.engine_orders import EngineOrders
from .gateway import DaemonGateway
from .listing import UpstreamListing
from .metrics import Gauges, Metrics
from .serving.pipelines import PipelineRunner
from .serving.services import ServiceRunner
from .settings import DaemonSettings

_LOGGER = logging.getLogger(__name__)

DRAIN_POLL_MS: Final = 20
SUSPICION_TIMEOUT_MS: Final = 200
WATCHERS_PER_DOMAIN: Final = 2
KEEP_ALIVE_S: Final = 30
BACKLOG: Final = 1_024


class Daemon:
    """All parts of one daemon."""

    def __init__(self, cfg: DaemonSettings, clock: Clock) -> None:
        """Build and wire the parts; nothing runs yet."""
        self._cfg = cfg
        self._clock = clock
        self._kv = KeyValueClient(cfg.platform.kv, clock)
        self._vms = VmCoordinator(cfg.platform.vm_list, clock, self._is_watcher)
        self._suspects = SuspectRegistry()
        self._client = UpstreamClient(clock)
        self._registry = PoolRegistry(
            cfg.failure_domain, self._client, clock, self._suspects
        )
        self._config = ConfigCoordinator(self._kv, clock, self._is_watcher)
        self._claims = OrderCoordinator(self._kv, clock, self._forward)
        self._channels = Channels(_client_tls(cfg), clock)
        self._listing = UpstreamListing(
            self._registry,
            lambda addresses: self._peers.set_listed_addresses(addresses),
            lambda: self._peers.schedule_gossip(),
        )
        self._hooks = self._make_hooks()
        self._peers = PeerCoordinator(
            _own_record(cfg), cfg.seeds, self._channels, self._hooks, clock
        )
        self._division = Division(
            self._registry.pools, self._peers, self._config, clock
        )
        self._engine_orders = EngineOrders(
            str(cfg.name),
            self._registry.pools,
            self._peers.available_daemon_names,
            self._kv,
            self._client,
            clock,
        )
        self._metrics = Metrics()
        pools = self._registry.pools
        self._gateway = DaemonGateway(
            PipelineRunner(pools, self._client, clock, self._tell_suspicion),
            ServiceRunner(
                pools, self._client, self._claims, clock, self._tell_suspicion
            ),
            self._metrics,
            clock,
        )
        self._control = DaemonControl(
            cfg,
            self._config,
            ConfigStore(self._kv, clock),
            self._peers,
            pools,
            self._claims,
            self._kv,
            self._metrics,
            clock,
        )
        self._listen()
        self._metrics.observe(self._make_gauges())

    def _make_hooks(self) -> Hooks:
        return Hooks(
            revision=lambda: self._config.revision,
            snapshot=lambda: self._config.snapshot,
            offer=self._config.offer,
            listing=lambda: self._vms.listing,
            confirm_listing=self._vms.confirm,
            offer_listing=self._vms.offer,
            demands=lambda: demands_of(self._registry.pools),
            append=self._claims.append_for_peer,
            suspects=self._suspects,
            leaving=self._listing.leaving,
            learn_leaving=self._listing.learn_leaving,
        )

    def _make_gauges(self) -> Gauges:
        peers = self._peers.diagnostics
        orders = self._claims.diagnostics
        return Gauges(
            pools=self._registry.pools.values,
            revision=lambda: self._config.revision,
            platform_age_ms=self._platform_age_ms,
            members=lambda: len(self._peers.available_daemon_names()),
            peer_bytes=lambda: peers.bytes_sent + peers.bytes_received,
            order_writes=lambda: orders.writes,
            order_records=lambda: orders.appended,
        )

    def _listen(self) -> None:
        """Let every part hear of new settings and of the VM list."""
        self._config.listen(self._apply)
        self._vms.listen(self._listing.take)

    def _apply(self, settings: Settings) -> None:
        self._registry.apply(settings)
        self._claims.apply(settings)
        self._gateway.apply(settings)
        self._peers.schedule_gossip()

    async def _forward(self, shard: int, record: Record, end_ms: int) -> Forwarded:
        match await self._peers.forward_append(shard, record, end_ms):
            case CallFailed(may_have_run):
                return NoAnswer(may_have_run)
            case Err(Refusal(reason=Reason.PLATFORM_UNAVAILABLE)):
                # The peer may be cut off from the platform while this daemon is not.
                return NoAnswer(maybe_written=True)
            case outcome:
                return Answered(outcome)

    def _is_watcher(self) -> bool:
        return self._peers.is_watcher(WATCHERS_PER_DOMAIN)

    async def _tell_suspicion(self) -> None:
        await self._peers.broadcast(SUSPICION_TIMEOUT_MS)

    def _platform_age_ms(self) -> int:
        last_ms = self._kv.diagnostics.last_answer_ms
        return -1 if last_ms is None else self._clock.now_ms() - last_ms

    async def run(self, stop: anyio.Event) -> None:
        """Serve until told to stop, then finish what is in flight."""
        server = Server([PeerServer(self._peers, self._hooks, self._clock)])
        host, _, port = self._cfg.peers.rpartition(":")
        await server.start(host, int(port), ssl=_server_tls(self._cfg))
        closing = anyio.Event()
        async with anyio.create_task_group() as group:
            for part in self._parts():
                group.start_soon(part)
            async with anyio.create_task_group() as listeners:
                for app, bind in self._listeners():
                    listeners.start_soon(_serve, app, bind, self._cfg, closing)
                _LOGGER.info("Daemon %s is up", self._cfg.name)
                await stop.wait()
                await self._drain()
                closing.set()
            group.cancel_scope.cancel()
        server.close()
        await server.wait_closed()
        await self._close()
        _LOGGER.info("Daemon %s is down", self._cfg.name)

    def _parts(self) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        return [
            self._config.run,
            self._vms.run,
            self._registry.run,
            self._claims.run,
            self._peers.run,
            self._division.run,
            self._engine_orders.run,
        ]

    def _listeners(self) -> list[tuple[Starlette, str]]:
        return [
            (CallersApp(self._gateway).app(), self._cfg.callers),
            (OperatorsApp(self._control).app(), self._cfg.operators),
        ]

    async def _drain(self) -> None:
        """Become unready, finish requests in flight, settle orders, tell the peers."""
        _LOGGER.info("Daemon %s is draining", self._cfg.name)
        self._gateway.draining = True
        await self._peers.announce_leave()
        await anyio.sleep(seconds(self._cfg.drain_delay))
        self._gateway.closed = True
        end_ms = self._clock.now_ms() + self._cfg.drain_limit
        while self._gateway.in_flight and self._clock.now_ms() < end_ms:
            await anyio.sleep(seconds(DRAIN_POLL_MS))
        if not await self._claims.drain(end_ms):
            _LOGGER.error("Outcomes of orders were not written before shutdown")

    async def _close(self) -> None:
        self._channels.close()
        await self._client.close()
        await self._vms.close()
        await self._kv.close()


async def _serve(
    app: Starlette, bind: str, cfg: DaemonSettings, closing: anyio.Event
) -> None:
    """Serve one application until the daemon closes."""
    listener = Config()
    listener.bind = [bind]
    listener.backlog = BACKLOG
    listener.keep_alive_timeout = KEEP_ALIVE_S
    listener.graceful_timeout = seconds(cfg.drain_limit)
    listener.errorlog = None
    await serve(app, listener, shutdown_trigger=closing.wait)  # type: ignore[arg-type]


def _own_record(cfg: DaemonSettings) -> MemberRecord:
    return MemberRecord(
        name=str(cfg.name),
        failure_domain=str(cfg.failure_domain),
        address=cfg.peers_advertised or cfg.peers,
        operators_address=cfg.operators,
    )


def _client_tls(cfg: DaemonSettings) -> Any:
    if cfg.tls is None:
        return None
    return tls.client_context(*attrs.astuple(cfg.tls))


def _server_tls(cfg: DaemonSettings) -> Any:
    if cfg.tls is None:
        return None
    return tls.server_context(*attrs.astuple(cfg.tls))
