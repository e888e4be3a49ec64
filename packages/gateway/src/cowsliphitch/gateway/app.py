"""The daemon that serves callers on the platform: components, startup and shutdown."""

import json
import logging
import os
import time
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from cowsliphitch.callers.edge.models import EdgeRequest, Reply
from cowsliphitch.callers.edge.server import EdgeServer
from cowsliphitch.core.budgets.sliding_window import RetryAllowance
from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.deployment.models import CallerLimits
from cowsliphitch.core.engines.selector import CostWeights
from cowsliphitch.core.fleet.members import Member, MemberTable
from cowsliphitch.core.limits.const import WINDOW_MS
from cowsliphitch.core.overload.buffers import BufferBudget, budget_bytes
from cowsliphitch.core.overload.connections import caller_connection_limit
from cowsliphitch.core.overload.loop_delay import TICK_INTERVAL_MS
from cowsliphitch.core.servers.registry import STORE_SOURCE
from cowsliphitch.core.serving.shutdown import ShutdownPlan
from cowsliphitch.peers.fleet.models import PeerRequestHandlers
from cowsliphitch.peers.fleet.rpc import PeerConnections, make_server
from cowsliphitch.platform import headers as header_names
from cowsliphitch.platform.callers import READY_PATH
from cowsliphitch.platform.store.client import KeyValueClient
from cowsliphitch.telemetry.logs import BoundedHandler, event
from cowsliphitch.telemetry.tasks import BackgroundTasks
from cowsliphitch.upstreams.http1.pool import ConnectionPool

from . import const
from .cold_servers import update_cold_servers
from .diagnostics import collect_diagnostics
from .document_exchange import DocumentExchange
from .engine_quarantine import EngineQuarantine
from .fleet_coordinator import FleetCoordinator
from .forwarding import Forwarder
from .handler import RequestHandler
from .metrics import RequestMetrics
from .permits import PermitBroker
from .server_client import ServerClient
from .settings import GatewaySettings
from .stage_executor import StageExecutor
from .stage_owner import StageOwner
from .stage_runner import StageRunner
from .state import GatewayState
from .store_coordinator import StoreCoordinator
from .stream_coordinator import StreamCoordinator
from .suspect_coordinator import SuspectCoordinator
from .trials import TrialBroker

_LOGGER = logging.getLogger(__name__)

# Open connections that the readiness and the metrics listener each accept.
MAX_INTERNAL_CONNECTIONS = 64
STATE_PATH = "/state"


class Gateway:
    """One daemon with all its components.

    :param log_handler: buffers the log lines of the process
    :ivar has_refused_unanswered: whether it stops, and has refused the requests that
        can't be answered before the exit
    """

    def __init__(
        self, cfg: GatewaySettings, clock: Clock, log_handler: BoundedHandler
    ) -> None:
        """Initialize the daemon's state; ``run`` starts the components."""
        self._cfg = cfg
        self._clock = clock
        self._log_handler = log_handler
        started_ms = clock.wall_ms()
        own = Member(
            cfg.listen.peers,
            cfg.name,
            cfg.failure_domain,
            started_ms,
            cfg.vm.capacity,
        )
        self._state = GatewayState(clock, started_ms, MemberTable(own, clock.now_ms()))
        self._metrics = RequestMetrics()
        self.has_refused_unanswered = False

    async def run(
        self,
        stop: anyio.Event,
        stop_received_ms: Callable[[], int | None],
        on_stopped: Callable[[], object],
    ) -> None:
        """Serve until ``stop`` is set, then shut down.

        Requests in flight get the configured grace period to end.  It begins with the
        signal, which may come long before a busy event loop or the start reacts to it.
        If it comes before the daemon is listening, the daemon serves nothing.

        :param stop_received_ms: returns the monotonic time of the signal to stop,
            ``None`` before
        :param on_stopped: ends the process; otherwise all tasks are cancelled, which
            takes long on a slow machine
        """
        started_ms = self._clock.now_ms()
        event(_LOGGER, "daemon.start", pid=os.getpid(), settings=self._cfg.name)
        async with anyio.create_task_group() as group:
            if stop_received_ms() is None:
                await self._start(group)
            if stop_received_ms() is None:
                event(
                    _LOGGER,
                    "daemon.listening",
                    took_ms=self._clock.now_ms() - started_ms,
                    processor_ms=round(time.process_time() * 1_000),
                )
                await stop.wait()
                await self._shut_down(stop_received_ms() or self._clock.now_ms())
            else:
                event(_LOGGER, "daemon.stopped_at_start")
            self._log_handler.write_pending()
            on_stopped()
            group.cancel_scope.cancel()

    async def _start(self, group: TaskGroup) -> None:
        cfg, state, clock = self._cfg, self._state, self._clock
        self._tasks = tasks = BackgroundTasks(group, clock)
        tasks.start_loop(self._log_handler.run)
        self._kv = KeyValueClient(
            f"http://{cfg.store.address}", clock, const.STORE_TIMEOUT_MS
        )
        self._peer_connections = PeerConnections()
        self._buffers = BufferBudget(budget_bytes(cfg.vm.memory_mb))
        self._server_connections = ConnectionPool(
            header_names.REQUEST_ID, tasks, clock, self._buffers
        )
        self._permits = PermitBroker(state, self._peer_connections)
        self._server_client = ServerClient(
            state, self._server_connections, self._permits
        )
        self._quarantine = quarantine = EngineQuarantine(state, tasks)
        self._stage_owner = StageOwner(
            state,
            lambda cell: StageExecutor(
                state,
                self._server_client,
                self._permits,
                _cost_weights(cfg),
                tasks,
                quarantine,
                cell,
                lambda choice: self._metrics.record_engine_choice(
                    choice.server.service, choice.cached_tokens
                ),
            ),
            tasks,
        )
        self._documents = documents = DocumentExchange(state)
        self._fleet = FleetCoordinator(
            state, self._peer_connections, quarantine, tasks, documents
        )
        self._store = StoreCoordinator(
            self._kv,
            state,
            self._fleet.schedule_heartbeat,
            self._fleet.fetch_settings,
            lambda suspects: quarantine.merge(
                suspects.parts, suspects.requests, STORE_SOURCE
            ),
            lambda: self._fleet.is_probing,
            self._fleet.send_store_news,
            documents,
            self._fleet.fetch_document,
        )
        suspects = SuspectCoordinator(state, self._kv, quarantine)
        self._fleet.store = self._store
        allowance = RetryAllowance(
            cfg.retries.ratio, cfg.retries.fixed, cfg.retries.window
        )
        self._trials = TrialBroker(state, self._peer_connections, quarantine, tasks)
        self._fleet.add_lost_listener(self._trials.end_of_holder)
        forwarder = Forwarder(
            state, self._server_client, allowance, quarantine, self._trials
        )
        stage_runner = StageRunner(
            state, self._stage_owner, self._peer_connections, tasks
        )
        streams = StreamCoordinator(
            state, self._kv, self._metrics, self._fleet.refresh_view
        )
        handler = RequestHandler(
            state, forwarder, stage_runner, self._metrics, quarantine, streams
        )
        self._in_flight = handler.in_flight
        self._caller_edge = EdgeServer(
            cfg.listen.callers,
            handler.handle,
            state.limits,
            caller_connection_limit(cfg.vm.max_descriptors, cfg.vm.memory_mb),
            clock,
            self._buffers,
        )
        self._edges = {"callers": self._caller_edge}
        self._register_gauges()
        await self._listen(group)
        for loop in (
            self._store.run,
            self._store.register,
            self._store.run_beacon,
            self._store.run_document_fetches,
            self._fleet.run,
            streams.run,
            suspects.run,
            self._server_client.run_probes,
            self._run_maintenance,
        ):
            tasks.start_loop(loop)

    async def _listen(self, group: TaskGroup) -> None:
        """Open the sockets.

        The daemon ends if one of them can't be served any more.
        """
        cfg, clock = self._cfg, self._clock
        handlers = PeerRequestHandlers(
            self._stage_owner.run_stages,
            self._stage_owner.record_progress,
            self._permits.grant,
            self._trials.begin,
            self._trials.end,
            self._documents.reply,
        )
        host, _, port = cfg.listen.peers.rpartition(":")
        self._peer_server = make_server(handlers)
        await self._peer_server.start(host, int(port))
        await group.start(self._fleet.socket.run)
        for name, address, handler in (
            ("ready", cfg.listen.ready, self._handle_readiness),
            ("metrics", cfg.listen.metrics, self._handle_metrics),
        ):
            edge = EdgeServer(
                address,
                handler,
                CallerLimits,
                MAX_INTERNAL_CONNECTIONS,
                clock,
                self._buffers,
            )
            self._edges[name] = edge
            await group.start(edge.run)
        await group.start(self._caller_edge.run)

    async def _run_maintenance(self) -> None:
        """Expire, update and clean up the components' state until cancelled.

        An error of one step leaves out that step only.
        """
        steps = (
            self._record_loop_delay,
            self._store.expire_servers,
            self._update_servers,
            self._run_stage_maintenance,
            self._retain_servers,
        )
        while True:
            await anyio.sleep(seconds(TICK_INTERVAL_MS))
            for step in steps:
                with self._tasks.contained(step.__qualname__):
                    step(self._clock.now_ms())
            await self._server_connections.close_stale(
                server.address for server in self._state.servers.all()
            )

    def _update_servers(self, now_ms: int) -> None:
        self._server_client.update_reachability()
        update_cold_servers(self._state)
        self._state.streams.observe_servers(self._state.servers.all(), now_ms)
        self._quarantine.observe_servers()

    def _run_stage_maintenance(self, _now_ms: int) -> None:
        self._stage_owner.run_maintenance()

    def _retain_servers(self, now_ms: int) -> None:
        """Drop what is known of servers that are gone, and what is out of date."""
        servers = self._state.servers.all()
        self._state.placement.retain_servers(servers)
        self._state.placement.expire_peer_loads(now_ms)
        self._state.server_limits.retain_servers(servers, now_ms)
        self._permits.evict_expired()

    def _record_loop_delay(self, now_ms: int) -> None:
        """Record by how much maintenance is late, and log long delays.

        A busy loop applies changes of the store late.
        """
        delay_ms = self._state.loop_delay.record_tick(now_ms)
        self._metrics.record_loop_delay(delay_ms)
        if delay_ms >= const.LOOP_DELAY_WARNING_MS:
            event(_LOGGER, "loop.late", logging.WARNING, delay_ms=delay_ms)

    async def _shut_down(self, received_ms: int) -> None:
        """Announce the shutdown and let requests end within the grace period.

        Those that have no answer shortly before its end are refused.
        An idle daemon still waits until the load balancer sends no new connections.

        :param received_ms: monotonic time of the signal to stop
        """
        now, plan = self._clock.now_ms(), ShutdownPlan(self._cfg.shutdown.grace)
        end_ms = received_ms + plan.exit_ms
        event(
            _LOGGER,
            "daemon.stop",
            active=self._caller_edge.diagnostics.active,
            late_ms=now - received_ms,
        )
        self._state.stopping = True
        self._state.stopping_since_ms = received_ms
        self._state.shutdown_plan = plan
        self._state.answer_by_ms = answer_by_ms = received_ms + plan.last_answers_ms
        self._state.members.release_duties()
        self._caller_edge.disable_keep_alive()
        await self._fleet.send_heartbeat(is_urgent=True)
        # In the background, as a silent store must not delay the last answers.
        self._tasks.start_soon(self._store.unregister)
        balancer_removed_ms = now + plan.balancer_removal_ms
        while self._clock.now_ms() < end_ms:
            if self._clock.now_ms() >= answer_by_ms:
                self._in_flight.end_unanswered()
                self.has_refused_unanswered = True
            is_idle = (
                not self._caller_edge.diagnostics.active
                and not self._stage_owner.active_requests
            )
            if is_idle and self._clock.now_ms() >= balancer_removed_ms:
                break
            left_ms = max(0, end_ms - self._clock.now_ms())
            await anyio.sleep(seconds(min(TICK_INTERVAL_MS, left_ms)))
        self._peer_connections.close()
        self._peer_server.close()
        self.log_stopped()

    def log_stopped(self) -> None:
        """Log that the daemon has stopped, and the requests that it cuts off."""
        self._in_flight.log_cut_off()
        event(
            _LOGGER,
            "daemon.stopped",
            cut_off=self._caller_edge.diagnostics.active,
            log_lines_dropped=self._log_handler.dropped,
        )

    async def _handle_readiness(self, req: EdgeRequest, reply: Reply) -> None:
        is_ready_path = req.path == READY_PATH
        status = 404 if not is_ready_path else (200 if self._state.is_ready() else 503)
        await reply.start(status, (), 0)
        await reply.end()

    async def _handle_metrics(self, req: EdgeRequest, reply: Reply) -> None:
        """Send the metrics, or the diagnostics if ``STATE_PATH`` is requested."""
        content, media_type = self._metrics.scrape()
        if req.path == STATE_PATH:
            report = collect_diagnostics(self._state, self._store, self._stage_owner)
            content, media_type = json.dumps(report).encode(), "application/json"
        await reply.start(200, ((b"content-type", media_type.encode()),), len(content))
        await reply.send(content)
        await reply.end()

    def _register_gauges(self) -> None:
        state, observe = self._state, self._metrics.register_gauge
        observe("cowsliphitch_settings_version", lambda: [(state.versions.version, {})])
        observe(
            "cowsliphitch_members_live",
            lambda: [(len(state.members.live(self._clock.now_ms())), {})],
        )
        observe(
            "cowsliphitch_prompt_parts_quarantined",
            lambda: [(len(state.prompt_parts.quarantined), {})],
        )
        documents = self._documents.diagnostics
        observe(
            "cowsliphitch_settings_bytes_sent",
            lambda: [(n, {"form": form}) for form, n in documents.sent.items()],
        )
        observe(
            "cowsliphitch_settings_received",
            lambda: [(n, {"form": form}) for form, n in documents.received.items()],
        )
        observe("cowsliphitch_server_limit", self._read_limits)
        observe("cowsliphitch_server_limit_used", self._read_limit_use)
        observe(
            "cowsliphitch_domains_evacuated",
            lambda: [(len(state.servers.evacuated_domains), {})],
        )
        observe("cowsliphitch_store_era", lambda: [(self._store.era, {})])
        observe("cowsliphitch_store_lost_ms", lambda: [(self._store.outage_ms, {})])
        observe(
            "cowsliphitch_store_view_age_ms",
            lambda: [(state.servers.view_age_ms(self._clock.now_ms()) or 0, {})],
        )
        observe(
            "cowsliphitch_store_watches",
            lambda: [(self._kv.diagnostics.watches, {})],
        )
        observe("cowsliphitch_buffered_bytes", lambda: [(self._buffers.used, {})])
        observe("cowsliphitch_buffers_given_up", lambda: [(self._buffers.given_up, {})])
        observe("cowsliphitch_caller_connections", self._read_connections)
        observe("cowsliphitch_caller_connections_closed", self._read_closed_connections)
        observe(
            "cowsliphitch_requests_active",
            lambda: [(self._caller_edge.diagnostics.active, {})],
        )
        observe(
            "cowsliphitch_stage_pieces_waiting",
            lambda: [
                (queue.waiting_pieces, {"service": service, "cell": cell})
                for cell, service, queue in self._stage_owner.queues()
            ],
        )
        observe(
            "cowsliphitch_server_connections_opened",
            lambda: [(self._server_connections.diagnostics.opened, {})],
        )
        observe(
            "cowsliphitch_task_failures",
            lambda: [
                (count, {"task": name}) for name, count in self._tasks.failures.items()
            ],
        )
        observe(
            "cowsliphitch_log_lines_dropped", lambda: [(self._log_handler.dropped, {})]
        )

    def _read_limits(self) -> list[tuple[float, dict[str, str]]]:
        limits = self._state.server_limits.limits(self._clock.now_ms())
        return [(limit.per_s, {"server": limit.server_id}) for limit in limits]

    def _read_connections(self) -> list[tuple[float, dict[str, str]]]:
        return [
            (edge.diagnostics.connections, {"listener": name})
            for name, edge in self._edges.items()
        ]

    def _read_closed_connections(self) -> list[tuple[float, dict[str, str]]]:
        """Return how many connections each listener closed to protect the process."""
        return [
            (count, {"listener": name, "cause": cause})
            for name, edge in self._edges.items()
            for cause, count in edge.diagnostics.closed_by_cause().items()
        ]

    def _read_limit_use(self) -> list[tuple[float, dict[str, str]]]:
        """Return the share of each server's limit that all daemons use."""
        limits = self._state.server_limits.limits(self._clock.now_ms())
        return [
            (
                limit.sent / (limit.per_s * seconds(WINDOW_MS)),
                {"server": limit.server_id},
            )
            for limit in limits
        ]


def _cost_weights(cfg: GatewaySettings) -> CostWeights:
    return CostWeights(cfg.costs.read_again, cfg.costs.result_moved)
