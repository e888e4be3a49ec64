"""Exchange with the other daemons: membership, demand, news, configuration."""

import logging
import random
from collections.abc import Iterable

import anyio
import attrs
from anyio.abc import TaskGroup
from result import Err, Ok

from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.membership.models import MemberRecord, MemberState
from cowsliphitch.core.membership.ranking import rank
from cowsliphitch.core.membership.view import MembershipView
from cowsliphitch.core.orders.models import Record

from ..wire import convert, peers_pb2 as pb
from . import const
from .channels import CallFailed, Channels
from .models import Diagnostics, Hooks, Outcome

_LOGGER = logging.getLogger(__name__)


class PeerCoordinator:
    """This daemon among its peers.

    :param seeds: addresses to ask while no member is known
    """

    def __init__(
        self,
        own: MemberRecord,
        seeds: Iterable[str],
        channels: Channels,
        hooks: Hooks,
        clock: Clock,
    ) -> None:
        """Start alone."""
        self.view = MembershipView(own, clock.now_ms(), clock.wall_ms())
        self._seeds = tuple(seed for seed in seeds if seed != own.address)
        self._listed: frozenset[str] = frozenset()
        self._channels = channels
        self._hooks = hooks
        self._clock = clock
        self._rng = random.Random(own.id)
        self._states: dict[str, MemberState] = {}
        self._fetching = False
        self._told_slots = 0.0
        self._task_group: TaskGroup | None = None
        self.diagnostics = Diagnostics()

    async def run(self) -> None:
        """Exchange with one peer at a time, for ever."""
        async with anyio.create_task_group() as group:
            self._task_group = group
            while True:
                self._beat()
                group.start_soon(self._exchange_with, self._targets(1))
                await anyio.sleep(seconds(const.EXCHANGE_INTERVAL_MS))

    def set_listed_addresses(self, addresses: Iterable[str]) -> None:
        """Take over the entry VMs that the platform lists."""
        self._listed = frozenset(addresses) - {self.view.own.address}

    def available_daemon_names(self) -> list[str]:
        """Return the daemons that take work, this one included."""
        now = self._clock.now_ms()
        return [r.name for r in self.view.alive(now) if not r.leaving]

    def is_watcher(self, count: int) -> bool:
        """Tell whether this daemon is one of its domain's watchers of the platform."""
        own = self.view.own
        now = self._clock.now_ms()
        domain = [
            record.name
            for record in self.view.alive(now)
            if record.failure_domain == own.failure_domain
        ]
        return own.name in rank("platform", domain)[:count]

    async def announce_leave(self) -> None:
        """Tell the peers that this daemon shuts down."""
        own = attrs.evolve(self.view.own, leaving=True)
        self.view.update_own(own, self._clock.wall_ms())
        await self.gossip()

    async def gossip(self) -> None:
        """Tell some peers at once; they tell others."""
        await self._exchange_with(self._targets(const.SPREAD_FANOUT))

    async def broadcast(self, timeout_ms: int) -> None:
        """Tell every peer at once, for news that a caller must not outrun."""
        with anyio.move_on_after(seconds(timeout_ms)):
            await self._exchange_with(self._targets(len(self.view.records())))

    def schedule_gossip(self) -> None:
        """Tell some peers without waiting for it."""
        if self._task_group is not None:
            self._task_group.start_soon(self.gossip)

    async def forward_append(
        self, shard: int, record: Record, end_ms: int
    ) -> Outcome | CallFailed:
        """Let the preferred writer of an order log append a record."""
        writer = self._preferred_writer(shard)
        left_ms = end_ms - self._clock.now_ms()
        timeout_ms = min(left_ms // 2, const.APPEND_TIMEOUT_MS)
        if writer is None or timeout_ms <= 0:
            return CallFailed(may_have_run=False)
        self.diagnostics.forwarded_claims += 1
        request = pb.AppendRequest(
            shard=shard, record=convert.order_to_wire(record), timeout_ms=timeout_ms
        )
        reply = await self._channels.append(
            writer.address, request, seconds(timeout_ms + const.APPEND_MARGIN_MS)
        )
        if isinstance(reply, Err):
            return reply.err_value
        try:
            return convert.outcome_from_wire(reply.ok_value)
        except ValueError:
            return CallFailed(may_have_run=True)

    def _preferred_writer(self, shard: int) -> MemberRecord | None:
        """Return the daemon that groups a log's writes; ``None`` for this one."""
        best = rank(f"orders/{shard}", self.available_daemon_names())[:1]
        if not best or best[0] == self.view.own.name:
            return None
        return next(r for r in self.view.records() if r.name == best[0])

    def digest(self, for_peer: pb.Digest | None = None) -> pb.Digest:
        """Return what this daemon knows, with the records that a peer lacks."""
        summary = self.view.summary()
        if for_peer is None:
            records = [self.view.own]
        else:
            records = self.view.records_newer_than(
                convert.summary_from_digest(for_peer)
            )
        listing = self._hooks.listing()
        news = self._hooks.suspects.crash_counts(self._clock.wall_ms())
        digest = pb.Digest(
            sender=self.view.own.name,
            records=[convert.member_to_wire(record) for record in records],
            config_revision=self._hooks.revision(),
            suspicions=[
                pb.Suspicion(fingerprint=bytes.fromhex(name), crashes=crashes)
                for name, crashes in news.items()
            ],
            leaving_upstreams=self._hooks.leaving(),
            listing_ms=listing.seen_ms,
            listing_checksum=listing.checksum,
        )
        convert.write_summary(digest, summary)
        return digest

    def receive(self, digest: pb.Digest, address: str | None = None) -> None:
        """Take over what a peer knows."""
        now = self._clock.now_ms()
        summary = convert.summary_from_digest(digest)
        for wire in digest.records:
            record = convert.member_from_wire(wire)
            heartbeat = summary.heartbeats.get(record.id, 0)
            self.view.merge_record(record, heartbeat, now)
        self.view.merge_summary(summary, now)
        wall_ms = self._clock.wall_ms()
        for suspicion in digest.suspicions:
            self._hooks.suspects.merge_crash_count(
                suspicion.fingerprint.hex(), suspicion.crashes, wall_ms
            )
        self._hooks.learn_leaving(tuple(digest.leaving_upstreams))
        address = address or self._address_of(digest.sender)
        wanted = digest.config_revision > self._hooks.revision()
        if (self._wants_listing(digest) or wanted) and address:
            self._fetch_soon(address)

    def _wants_listing(self, digest: pb.Digest) -> bool:
        """Tell whether a peer saw other VMs in the platform's list, later."""
        listing = self._hooks.listing()
        if digest.listing_ms <= listing.seen_ms:
            return False
        if digest.listing_checksum == listing.checksum:
            self._hooks.confirm_listing(digest.listing_ms)
            return False
        return digest.listing_ms > listing.seen_ms + const.LISTING_STALE_MS

    def _address_of(self, name: str) -> str | None:
        found = (r.address for r in self.view.records() if r.name == name)
        return next(found, None)

    def _beat(self) -> None:
        now, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        self.view.advance_heartbeat(now, wall_ms)
        revision = self._hooks.revision()
        own = attrs.evolve(
            self.view.own, config_revision=revision, demands=self._hooks.demands()
        )
        self.view.update_own(own, wall_ms)
        if self._demand_jumped():
            self.schedule_gossip()
        self._note_states(now)
        self._channels.close_idle(now - const.CHANNEL_IDLE_MS)

    def _demand_jumped(self) -> bool:
        """Tell whether demand changed so much that the peers should hear at once."""
        slots = sum(demand.slots for demand in self.view.own.demands)
        change = abs(slots - self._told_slots)
        if change <= max(const.LEAST_JUMP_SLOTS, const.JUMP_RATIO * self._told_slots):
            return False
        self._told_slots = slots
        return True

    def _note_states(self, now: int) -> None:
        """Log each change of a member's state once."""
        names = {record.name for record in self.view.records()}
        for name in names | self._states.keys():
            state = self.view.state(name, now)
            if self._states.get(name, MemberState.ALIVE) is state:
                continue
            _LOGGER.info("Daemon %s is %s", name, state.value)
            self._states[name] = state
        self._states = {
            name: state
            for name, state in self._states.items()
            if state is not MemberState.DEAD
        }

    def _known_addresses(self) -> set[str]:
        members = {record.address for record in self.view.records()}
        return members | set(self._seeds) | self._listed

    def _targets(self, count: int) -> list[str]:
        """Choose peers at random, among them now and then one that is silent."""
        now = self._clock.now_ms()
        own = self.view.own
        alive = {r.address for r in self.view.alive(now)} - {own.address}
        near = self._neighbours(alive) if count < const.NEIGHBOURS else alive
        silent = sorted(self._known_addresses() - alive - {own.address})
        chosen = self._rng.sample(sorted(near), min(count, len(near)))
        if silent and (not chosen or self._rng.random() < 1 / (1 + len(alive))):
            chosen.append(self._rng.choice(silent))
        return chosen

    def _neighbours(self, alive: set[str]) -> set[str]:
        """Return the few peers of this while, so that few connections are open."""
        turn = self._clock.wall_ms() // const.NEIGHBOURS_FOR_MS
        key = f"{self.view.own.name}/{turn}"
        return set(rank(key, alive)[: const.NEIGHBOURS])

    async def _exchange_with(self, addresses: list[str]) -> None:
        async with anyio.create_task_group() as group:
            for address in addresses:
                group.start_soon(self._exchange, address)

    async def _exchange(self, address: str) -> None:
        digest = self.digest()
        self.diagnostics.exchanges += 1
        self.diagnostics.bytes_sent += digest.ByteSize()
        timeout = seconds(const.CALL_TIMEOUT_MS)
        match await self._channels.exchange(address, digest, timeout):
            case Ok(reply):
                self.diagnostics.bytes_received += reply.ByteSize()
                self.receive(reply, address)
            case Err(_):
                self.diagnostics.failures += 1

    def _fetch_soon(self, address: str) -> None:
        if self._fetching or self._task_group is None:
            return
        self._fetching = True
        self._task_group.start_soon(self._fetch, address)

    async def _fetch(self, address: str) -> None:
        """Read what a peer has newer: the configuration, the VMs, or both."""
        request = pb.StateRequest(
            above_revision=self._hooks.revision(),
            listing_above_ms=self._hooks.listing().seen_ms,
        )
        timeout = seconds(const.CALL_TIMEOUT_MS)
        try:
            reply = await self._channels.fetch_state(address, request, timeout)
        finally:
            self._fetching = False
        if isinstance(reply, Err):
            return
        state = reply.ok_value
        if state.listing_ms:
            self._hooks.offer_listing(convert.listing_from_wire(state))
        if state.revision > self._hooks.revision():
            self._hooks.offer(convert.snapshot_from_wire(state))
