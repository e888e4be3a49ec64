"""Assembly of a daemon from its components, its startup and its graceful shutdown."""

import json
import logging
from collections.abc import Callable, Coroutine
from typing import Any, Final

import anyio
import attrs
from grpclib.server import Server
from result import Err

from cowsliphitch.callers.app import CallersApp
from cowsliphitch.callers.const import PROBE_PATHS
from cowsliphitch.callers.edge.asgi import AsgiHandler
from cowsliphitch.callers.edge.models import ErrorAnswer
from cowsliphitch.callers.edge.server import EdgeServer
from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.deployment.models import CallerLimits
from cowsliphitch.core.membership.models import MemberRecord
from cowsliphitch.core.orders.models import Record
from cowsliphitch.core.overload.buffers import BufferBudget, budget_bytes
from cowsliphitch.core.overload.connections import caller_connection_limit
from cowsliphitch.core.quarantine.registry import SuspectRegistry
from cowsliphitch.core.settings.models import Settings
from cowsliphitch.core.verdict import Reason, Refusal
from cowsliphitch.operators.api.app import MAX_BODY_BYTES, OperatorsApp
from cowsliphitch.peers import tls
from cowsliphitch.peers.membership.channels import Channels, PeerCallFailed
from cowsliphitch.peers.membership.coordinator import PeerCoordinator
from cowsliphitch.peers.membership.models import Hooks
from cowsliphitch.peers.membership.server import PeerServer
from cowsliphitch.platform.store.client import KeyValueClient
from cowsliphitch.state.config.coordinator import ConfigCoordinator
from cowsliphitch.state.config.store import ConfigStore
from cowsliphitch.state.orders.coordinator import OrderCoordinator
from cowsliphitch.state.orders.models import Answered, Forwarded, NoAnswer
from cowsliphitch.state.vms.coordinator import VmCoordinator
from cowsliphitch.telemetry.tasks import BackgroundTasks
from cowsliphitch.upstreams.pool.registry import PoolRegistry
from cowsliphitch.upstreams.transport.client import UpstreamClient

from .control import DaemonControl
from .duties.division import CapUpdater, collect_demands
from .duties.engine_orders import EngineOrderDuty
from .gateway import DaemonGateway
from .listing import UpstreamListing
from .metrics import GaugeSources, Metrics
from .serving.pipelines import PipelineRunner
from .serving.services import ServiceRunner
from .settings import DaemonSettings

_LOGGER = logging.getLogger(__name__)

DRAIN_POLL_INTERVAL_MS: Final = 20
SUSPICION_BROADCAST_TIMEOUT_MS: Final = 200
# Daemons in each failure domain that read the settings and the VM list from the
# platform; the others get them from their peers.
WATCHERS_PER_DOMAIN: Final = 2
HTTP_IDLE_TIMEOUT_MS: Final = 30_000

# Open connections that the listener for operators accepts.
MAX_OPERATOR_CONNECTIONS: Final = 64


class Daemon:
    """A daemon process: serves callers, operators and peers until it is stopped.

    Configuration, VM list, order logs, upstream pools and gossip run as background
    tasks.  Callers and operators connect by HTTP, peers by gRPC.
    """

    def __init__(self, cfg: DaemonSettings, clock: Clock) -> None:
        """Create and connect the components without starting any of them."""
        self._cfg = cfg
        self._clock = clock
        self._kv_client = KeyValueClient(cfg.platform.kv, clock)
        self._vm_coordinator = VmCoordinator(
            cfg.platform.vm_list, clock, self._is_watcher
        )
        self._suspect_registry = SuspectRegistry()
        self._upstream_client = UpstreamClient(clock)
        self._pool_registry = PoolRegistry(
            cfg.failure_domain, self._upstream_client, clock, self._suspect_registry
        )
        self._config_coordinator = ConfigCoordinator(
            self._kv_client, clock, self._is_watcher
        )
        self._order_coordinator = OrderCoordinator(
            self._kv_client, clock, self._forward_append
        )
        self._peer_channels = Channels(_client_tls_context(cfg), clock)
        self._upstream_listing = UpstreamListing(
            self._pool_registry,
            lambda addresses: self._peer_coordinator.set_listed_addresses(addresses),
            lambda: self._peer_coordinator.schedule_gossip(),
        )
        self._peer_hooks = self._make_peer_hooks()
        self._peer_coordinator = PeerCoordinator(
            _member_record(cfg), cfg.seeds, self._peer_channels, self._peer_hooks, clock
        )
        self._cap_updater = CapUpdater(
            self._pool_registry.pools,
            self._peer_coordinator,
            self._config_coordinator,
            clock,
        )
        self._engine_order_duty = EngineOrderDuty(
            str(cfg.name),
            self._pool_registry.pools,
            self._peer_coordinator.available_daemon_names,
            self._kv_client,
            self._upstream_client,
            clock,
        )
        self._metrics = Metrics()
        pools = self._pool_registry.pools
        self._gateway = DaemonGateway(
            PipelineRunner(
                pools, self._upstream_client, clock, self._broadcast_suspicion
            ),
            ServiceRunner(
                pools,
                self._upstream_client,
                self._order_coordinator,
                clock,
                self._broadcast_suspicion,
            ),
            self._metrics,
            clock,
        )
        self._control = DaemonControl(
            cfg,
            self._config_coordinator,
            ConfigStore(self._kv_client, clock),
            self._peer_coordinator,
            pools,
            self._order_coordinator,
            self._kv_client,
            self._metrics,
            clock,
        )
        self._callers_app = CallersApp(self._gateway)
        self._handlers = (
            AsgiHandler(self._callers_app.app(), PROBE_PATHS),
            AsgiHandler(OperatorsApp(self._control).app()),
        )
        self._edges = self._make_edges()
        self._register_listeners()
        self._metrics.register_gauges(self._make_gauge_sources())

    def _make_peer_hooks(self) -> Hooks:
        return Hooks(
            revision=lambda: self._config_coordinator.revision,
            snapshot=lambda: self._config_coordinator.snapshot,
            offer=self._config_coordinator.offer,
            listing=lambda: self._vm_coordinator.listing,
            confirm_listing=self._vm_coordinator.confirm,
            offer_listing=self._vm_coordinator.offer,
            demands=lambda: collect_demands(self._pool_registry.pools),
            append=self._order_coordinator.append_for_peer,
            suspects=self._suspect_registry,
            leaving=self._upstream_listing.leaving,
            learn_leaving=self._upstream_listing.add_leaving,
        )

    def _make_gauge_sources(self) -> GaugeSources:
        peer_diagnostics = self._peer_coordinator.diagnostics
        order_diagnostics = self._order_coordinator.diagnostics
        return GaugeSources(
            pools=self._pool_registry.pools.values,
            revision=lambda: self._config_coordinator.revision,
            platform_age_ms=self._platform_age_ms,
            members=lambda: len(self._peer_coordinator.available_daemon_names()),
            peer_bytes=lambda: (
                peer_diagnostics.bytes_sent + peer_diagnostics.bytes_received
            ),
            order_writes=lambda: order_diagnostics.writes,
            order_records=lambda: order_diagnostics.appended,
            listeners=lambda: {n: e.diagnostics for n, e in self._edges.items()},
        )

    def _register_listeners(self) -> None:
        """Subscribe to changes of the fleet's settings and of the VM list."""
        self._config_coordinator.add_listener(self._apply_settings)
        self._vm_coordinator.add_listener(self._upstream_listing.apply)

    def _apply_settings(self, settings: Settings) -> None:
        self._pool_registry.apply(settings)
        self._order_coordinator.apply(settings)
        self._gateway.apply(settings)
        self._peer_coordinator.schedule_gossip()

    async def _forward_append(
        self, shard: int, record: Record, deadline_ms: int
    ) -> Forwarded:
        match await self._peer_coordinator.forward_append(shard, record, deadline_ms):
            case PeerCallFailed(may_have_run):
                return NoAnswer(may_have_run)
            case Err(Refusal(reason=Reason.PLATFORM_UNAVAILABLE)):
                # The peer may have lost the platform while this daemon has not.
                return NoAnswer(maybe_written=True)
            case outcome:
                return Answered(outcome)

    def _is_watcher(self) -> bool:
        return self._peer_coordinator.is_watcher(WATCHERS_PER_DOMAIN)

    async def _broadcast_suspicion(self) -> None:
        await self._peer_coordinator.broadcast(SUSPICION_BROADCAST_TIMEOUT_MS)

    def _platform_age_ms(self) -> int:
        last_answer_ms = self._kv_client.diagnostics.last_answer_ms
        return -1 if last_answer_ms is None else self._clock.now_ms() - last_answer_ms

    async def run(self, stop: anyio.Event) -> None:
        """Serve until the stop event is set, then drain and close all connections.

        Background tasks keep running until the requests in flight have ended.
        """
        server = Server(
            [PeerServer(self._peer_coordinator, self._peer_hooks, self._clock)]
        )
        host, _, port = self._cfg.peers.rpartition(":")
        await server.start(host, int(port), ssl=_server_tls_context(self._cfg))
        async with anyio.create_task_group() as background:
            tasks = BackgroundTasks(background, self._clock)
            # Claims wait in the order logs' writers, so the process ends with them.
            tasks.start_essential(self._order_coordinator.run)
            for loop in self._background_loops():
                tasks.start_loop(loop)
            async with anyio.create_task_group() as http_servers:
                for handler in self._handlers:
                    await http_servers.start(handler.run)
                for edge in self._edges.values():
                    await http_servers.start(edge.run)
                _LOGGER.info("Daemon %s started", self._cfg.name)
                await stop.wait()
                await self._drain()
                http_servers.cancel_scope.cancel()
            background.cancel_scope.cancel()
        server.close()
        await server.wait_closed()
        await self._close_clients()
        _LOGGER.info("Daemon %s stopped", self._cfg.name)

    def _background_loops(self) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        return [
            self._config_coordinator.run,
            self._vm_coordinator.run,
            self._pool_registry.run,
            self._peer_coordinator.run,
            self._cap_updater.run,
            self._engine_order_duty.run,
        ]

    def _make_edges(self) -> dict[str, EdgeServer]:
        """Create the HTTP servers, which share the memory for buffers."""
        cfg, vm = self._cfg, self._cfg.vm
        budget = BufferBudget(budget_bytes(vm.memory_mb))
        callers_handler, operators_handler = self._handlers
        return {
            "callers": EdgeServer(
                cfg.callers,
                callers_handler,
                lambda: CallerLimits(
                    body_bytes=self._gateway.max_body_bytes(),
                    idle_timeout_ms=HTTP_IDLE_TIMEOUT_MS,
                ),
                caller_connection_limit(vm.max_descriptors, vm.memory_mb),
                self._clock,
                budget,
                self._callers_app.encode_error,
            ),
            "operators": EdgeServer(
                cfg.operators,
                operators_handler,
                lambda: CallerLimits(
                    body_bytes=MAX_BODY_BYTES, idle_timeout_ms=HTTP_IDLE_TIMEOUT_MS
                ),
                MAX_OPERATOR_CONNECTIONS,
                self._clock,
                budget,
                _encode_operator_error,
            ),
        }

    async def _drain(self) -> None:
        """Stop accepting requests and wait for those in flight.

        The daemon reports that it is not ready and announces to its peers that it is
        leaving.  It still accepts requests for ``drain_delay``, while balancers
        notice.  After that it waits up to ``drain_limit`` for the requests in flight
        and for the outcomes of orders to be written, but not for later requests,
        which are refused: a crowd may send them without a pause.
        """
        _LOGGER.info("Daemon %s is draining", self._cfg.name)
        self._gateway.is_draining = True
        for edge in self._edges.values():
            edge.disable_keep_alive()
        await self._peer_coordinator.announce_leave()
        await anyio.sleep(seconds(self._cfg.drain_delay))
        self._gateway.is_closed = True
        closed_ms = self._clock.now_ms()
        deadline_ms = closed_ms + self._cfg.drain_limit
        while self._gateway.in_flight and self._clock.now_ms() < deadline_ms:
            await anyio.sleep(seconds(DRAIN_POLL_INTERVAL_MS))
        if not await self._order_coordinator.drain(deadline_ms):
            _LOGGER.error("Some order outcomes were not written within the drain limit")
        edges = self._edges.values()
        while any(edge.handled_before(closed_ms) for edge in edges):
            if self._clock.now_ms() >= deadline_ms:
                break
            await anyio.sleep(seconds(DRAIN_POLL_INTERVAL_MS))

    async def _close_clients(self) -> None:
        self._peer_channels.close()
        await self._upstream_client.close()
        await self._vm_coordinator.close()
        await self._kv_client.close()


def _encode_operator_error(status: int, detail: str) -> ErrorAnswer:
    """Return the answer to an operator's request that the server rejects."""
    headers = ((b"content-type", b"application/json"),)
    return ErrorAnswer(status, headers, json.dumps({"detail": detail}).encode())


def _member_record(cfg: DaemonSettings) -> MemberRecord:
    return MemberRecord(
        name=str(cfg.name),
        failure_domain=str(cfg.failure_domain),
        address=cfg.peers_advertised or cfg.peers,
        operators_address=cfg.operators,
    )


def _client_tls_context(cfg: DaemonSettings) -> Any:
    if cfg.tls is None:
        return None
    return tls.client_context(*attrs.astuple(cfg.tls))


def _server_tls_context(cfg: DaemonSettings) -> Any:
    if cfg.tls is None:
        return None
    return tls.server_context(*attrs.astuple(cfg.tls))
