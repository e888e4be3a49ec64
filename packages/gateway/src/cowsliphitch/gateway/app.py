"""A daemon that serves callers on the platform: its parts, its start and its end."""

import json
import logging
import os
import time

import anyio
from anyio.abc import TaskGroup

from cowsliphitch.callers.edge.models import EdgeRequest, Reply
from cowsliphitch.callers.edge.server import EdgeServer
from cowsliphitch.core.budgets.sliding_window import RetryAllowance
from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.deployment.models import CallerLimits
from cowsliphitch.core.engines.selector import CostWeights
from cowsliphitch.core.fleet.members import Member, MemberTable
from cowsliphitch.peers.fleet.models import PeerRequestHandlers
from cowsliphitch.peers.fleet.rpc import PeerConnections, make_server
from cowsliphitch.platform import headers as names
from cowsliphitch.platform.callers import READY_PATH
from cowsliphitch.platform.store.client import KeyValueClient
from cowsliphitch.telemetry.logs import BoundedHandler, event
from cowsliphitch.upstreams.http1.pool import ConnectionPool

from . import const
from .desk import StageDesk
from .diagnostics import diagnostics
from .discovery import StoreCoordinator
from .fleet import FleetCoordinator
from .forwarding import Forwarder
from .handler import RequestHandler
from .links import ServerLinks
from .metrics import RequestMetrics
from .settings import GatewaySettings
from .stages import StageRunner
from .state import GatewayState

_LOGGER = logging.getLogger(__name__)

SMALL_EDGE_CONNECTIONS = 64
STATE_PATH = "/state"


class Gateway:
    """All parts of one daemon."""

    def __init__(
        self, cfg: GatewaySettings, clock: Clock, logs: BoundedHandler
    ) -> None:
        """Remember the settings; nothing runs yet."""
        self._cfg = cfg
        self._clock = clock
        self._logs = logs
        lifetime = clock.wall_ms()
        own = Member(cfg.listen.peers, cfg.name, cfg.failure_domain, lifetime)
        self._state = GatewayState(clock, lifetime, MemberTable(own, clock.now_ms()))
        self._metrics = RequestMetrics()

    async def run(self, stop: anyio.Event) -> None:
        """Serve until ``stop`` is set and everything in flight has ended."""
        started_ms = self._clock.now_ms()
        event(_LOGGER, "daemon.start", pid=os.getpid(), settings=self._cfg.name)
        async with anyio.create_task_group() as group:
            await self._start(group)
            event(
                _LOGGER,
                "daemon.listening",
                took_ms=self._clock.now_ms() - started_ms,
                processor_ms=round(time.process_time() * 1_000),
            )
            await stop.wait()
            await self._shut_down()
            group.cancel_scope.cancel()
        self._logs.write_pending()

    async def _start(self, group: TaskGroup) -> None:
        cfg, state, clock = self._cfg, self._state, self._clock
        group.start_soon(self._logs.run)
        self._kv = KeyValueClient(
            f"http://{cfg.store.address}", clock, const.STORE_TIMEOUT_MS
        )
        self._links = PeerConnections()
        self._pool = ConnectionPool(names.REQUEST_ID, group, clock)
        self._servers = ServerLinks(state, self._pool)
        self._desk = StageDesk(state, self._servers, _costs(cfg), group)
        self._fleet = FleetCoordinator(state, self._links, group)
        self._store = StoreCoordinator(
            self._kv, state, self._fleet.beat_soon, self._fleet.note_draining
        )
        self._fleet.store = self._store
        allowance = RetryAllowance(
            cfg.retries.ratio, cfg.retries.fixed, cfg.retries.window
        )
        forwarder = Forwarder(state, self._servers, allowance)
        stages = StageRunner(state, self._desk, self._links, group)
        handler = RequestHandler(state, forwarder, stages, self._metrics)
        self._edge = EdgeServer(
            cfg.listen.callers, handler.handle, state.limits, self._max_callers(), clock
        )
        self._observe()
        await self._listen(group)
        group.start_soon(self._store.run)
        group.start_soon(self._store.register)
        group.start_soon(self._fleet.run)
        group.start_soon(self._servers.probe)
        group.start_soon(self._tick)

    async def _listen(self, group: TaskGroup) -> None:
        cfg, clock = self._cfg, self._clock
        services = PeerRequestHandlers(
            self._desk.run_stages, self._desk.note, self._document
        )
        host, _, port = cfg.listen.peers.rpartition(":")
        self._peer_server = make_server(services)
        await self._peer_server.start(host, int(port))
        await group.start(self._fleet.socket.run)
        for address, handle in (
            (cfg.listen.ready, self._ready),
            (cfg.listen.metrics, self._scrape),
        ):
            edge = EdgeServer(
                address, handle, CallerLimits, SMALL_EDGE_CONNECTIONS, clock
            )
            await group.start(edge.run)
        await group.start(self._edge.run)

    def _max_callers(self) -> int:
        sockets = self._cfg.vm.max_descriptors - const.RESERVED_DESCRIPTORS
        return max(64, round(sockets * const.CALLER_DESCRIPTOR_SHARE))

    async def _tick(self) -> None:
        """Keep house until cancelled."""
        while True:
            await anyio.sleep(seconds(const.TICK_MS))
            now = self._clock.now_ms()
            self._store.expire(now)
            self._servers.update()
            self._desk.tick()
            servers = self._state.servers.all()
            self._state.placement.retain_servers({s.id for s in servers})
            await self._pool.keep_only(server.address for server in servers)

    async def _shut_down(self) -> None:
        """Finish what was begun, within the time that the platform gives."""
        end_ms = self._clock.now_ms() + self._cfg.shutdown.grace - const.EXIT_MARGIN_MS
        event(_LOGGER, "daemon.stop", active=self._edge.diagnostics.active)
        self._state.stopping = True
        self._state.stopping_since_ms = self._clock.now_ms()
        self._state.members.release_duties()
        self._edge.begin_close()
        await self._fleet.beat()
        with anyio.move_on_after(seconds(const.STORE_TIMEOUT_MS)):
            await self._store.unregister()
        notice_ms = self._clock.now_ms() + const.BALANCER_NOTICE_MS
        while self._clock.now_ms() < end_ms:
            idle = not self._edge.diagnostics.active and not self._desk.active
            if idle and self._clock.now_ms() >= notice_ms:
                break
            await anyio.sleep(seconds(const.TICK_MS))
        self._links.close()
        self._peer_server.close()
        event(
            _LOGGER,
            "daemon.stopped",
            cut_off=self._edge.diagnostics.active,
            log_lines_dropped=self._logs.dropped,
        )

    def _document(self, above_version: int) -> tuple[int, bytes]:
        current = self._state.versions.current
        if current is None or current.deployment.version <= above_version:
            return 0, b""
        return current.deployment.version, current.document

    async def _ready(self, req: EdgeRequest, reply: Reply) -> None:
        known = req.path == READY_PATH
        status = 404 if not known else (200 if self._state.ready() else 503)
        await reply.start(status, (), 0)
        await reply.end()

    async def _scrape(self, req: EdgeRequest, reply: Reply) -> None:
        content, media_type = self._metrics.scrape()
        if req.path == STATE_PATH:
            found = diagnostics(self._state, self._store, self._desk)
            content, media_type = json.dumps(found).encode(), "application/json"
        await reply.start(200, ((b"content-type", media_type.encode()),), len(content))
        await reply.send(content)
        await reply.end()

    def _observe(self) -> None:
        state, observe = self._state, self._metrics.observe
        observe("cowsliphitch_settings_version", lambda: [(state.versions.version, {})])
        observe(
            "cowsliphitch_members_live",
            lambda: [(len(state.members.live(self._clock.now_ms())), {})],
        )
        observe("cowsliphitch_store_lost_ms", lambda: [(self._store.lost_for_ms, {})])
        observe(
            "cowsliphitch_requests_active",
            lambda: [(self._edge.diagnostics.active, {})],
        )
        observe(
            "cowsliphitch_stage_pieces_waiting",
            lambda: [
                (queue.waiting_pieces, {"service": service})
                for service, queue in self._desk.planner.queues.items()
            ],
        )
        observe(
            "cowsliphitch_server_connections_opened",
            lambda: [(self._pool.diagnostics.opened, {})],
        )
        observe("cowsliphitch_log_lines_dropped", lambda: [(self._logs.dropped, {})])


def _costs(cfg: GatewaySettings) -> CostWeights:
    return CostWeights(cfg.costs.read_again, cfg.costs.result_moved)
