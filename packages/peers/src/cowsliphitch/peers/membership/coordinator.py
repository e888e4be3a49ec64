"""Gossip between daemons.

Each daemon exchanges digests with a few peers at regular intervals.  The digests carry
membership, demand for pools, fingerprints of requests that may crash upstreams, and
the versions of the configuration and of the VM list.  A daemon that learns of a newer
configuration or VM list fetches it from the peer, so daemons that can't reach the
platform are still updated.
"""

import logging
import random
from collections.abc import Iterable

import anyio
import attrs
from result import Err, Ok

from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.membership.models import MemberRecord, MemberState
from cowsliphitch.core.membership.ranking import rank
from cowsliphitch.core.membership.view import MembershipView
from cowsliphitch.core.orders.models import Record
from cowsliphitch.telemetry.tasks import BackgroundTasks

from ..wire import convert, peers_pb2 as pb
from . import const
from .channels import Channels, PeerCallFailed
from .models import AppendOutcome, Diagnostics, Hooks

_LOGGER = logging.getLogger(__name__)


class PeerCoordinator:
    """Exchange state with the other daemons and track which of them are alive.

    :param own: record of this daemon
    :param seeds: peer addresses from the settings, used to find the first members
    """

    def __init__(
        self,
        own: MemberRecord,
        seeds: Iterable[str],
        channels: Channels,
        hooks: Hooks,
        clock: Clock,
    ) -> None:
        """Initialize with this daemon as the only known member."""
        self.view = MembershipView(own, clock.now_ms(), clock.wall_ms())
        self._seeds = tuple(seed for seed in seeds if seed != own.address)
        self._listed_addresses: frozenset[str] = frozenset()
        self._channels = channels
        self._hooks = hooks
        self._clock = clock
        self._rng = random.Random(own.id)
        self._logged_states: dict[str, MemberState] = {}
        self._is_fetching = False
        self._last_sent_slots = 0.0
        self._tasks: BackgroundTasks | None = None
        self.diagnostics = Diagnostics()

    async def run(self) -> None:
        """Exchange digests with a peer in each interval, until cancelled."""
        async with anyio.create_task_group() as group:
            self._tasks = tasks = BackgroundTasks(group, self._clock)
            while True:
                self._heartbeat()
                tasks.start_soon(self._exchange_with, self._choose_addresses(1))
                await anyio.sleep(seconds(const.EXCHANGE_INTERVAL_MS))

    def set_listed_addresses(self, addresses: Iterable[str]) -> None:
        """Set the addresses of the entry VMs in the platform's VM list."""
        self._listed_addresses = frozenset(addresses) - {self.view.own.address}

    def available_daemon_names(self) -> list[str]:
        """Return the names of daemons that accept work, including this one.

        Daemons that are shutting down are left out.
        """
        now = self._clock.now_ms()
        return [r.name for r in self.view.alive(now) if not r.leaving]

    def is_watcher(self, count: int) -> bool:
        """Return whether this daemon reads from the platform for its failure domain.

        :param count: number of such daemons in a failure domain
        """
        own = self.view.own
        now = self._clock.now_ms()
        domain = [
            record.name
            for record in self.view.alive(now)
            if record.failure_domain == own.failure_domain
        ]
        return own.name in rank("platform", domain)[:count]

    async def announce_leave(self) -> None:
        """Announce to some peers that this daemon is shutting down."""
        own = attrs.evolve(self.view.own, leaving=True)
        self.view.update_own(own, self._clock.wall_ms())
        await self.gossip()

    async def gossip(self) -> None:
        """Exchange digests with some peers at once, which pass the state on."""
        await self._exchange_with(self._choose_addresses(const.GOSSIP_FANOUT))

    async def broadcast(self, timeout_ms: int) -> None:
        """Exchange digests with all known peers at once.

        For state that must reach the peers before the caller can retry there.
        """
        with anyio.move_on_after(seconds(timeout_ms)):
            await self._exchange_with(self._choose_addresses(len(self.view.records())))

    def schedule_gossip(self) -> None:
        """Start an exchange with some peers in the background."""
        if self._tasks is not None:
            self._tasks.start_soon(self.gossip)

    async def forward_append(
        self, shard: int, record: Record, deadline_ms: int
    ) -> AppendOutcome | PeerCallFailed:
        """Have the preferred writer of an order log append a record.

        The peer gets at most half of the remaining time.

        :param deadline_ms: monotonic time
        :returns: the writer's answer; ``PeerCallFailed`` if it gave none, if no time is
            left or if this daemon is the preferred writer
        """
        writer = self._preferred_writer(shard)
        remaining_ms = deadline_ms - self._clock.now_ms()
        timeout_ms = min(remaining_ms // 2, const.APPEND_TIMEOUT_MS)
        if writer is None or timeout_ms <= 0:
            return PeerCallFailed(may_have_run=False)
        self.diagnostics.forwarded_claims += 1
        request = pb.AppendRequest(
            shard=shard, record=convert.order_to_wire(record), timeout_ms=timeout_ms
        )
        reply = await self._channels.append(
            writer.address,
            request,
            seconds(timeout_ms + const.APPEND_TIMEOUT_MARGIN_MS),
        )
        if isinstance(reply, Err):
            return reply.err_value
        try:
            return convert.outcome_from_wire(reply.ok_value)
        except ValueError:
            return PeerCallFailed(may_have_run=True)

    def _preferred_writer(self, shard: int) -> MemberRecord | None:
        """Return the daemon that should batch an order log's writes.

        :returns: ``None`` if it is this daemon
        """
        preferred = rank(f"orders/{shard}", self.available_daemon_names())[:1]
        if not preferred or preferred[0] == self.view.own.name:
            return None
        return next(r for r in self.view.records() if r.name == preferred[0])

    def build_digest(self, for_peer: pb.Digest | None = None) -> pb.Digest:
        """Build a digest of this daemon's state.

        :param for_peer: digest of the peer that receives the new one, which then holds
            all records that the peer lacks; without it, only this daemon's own record
        """
        summary = self.view.summary()
        if for_peer is None:
            records = [self.view.own]
        else:
            records = self.view.records_newer_than(
                convert.summary_from_digest(for_peer)
            )
        listing = self._hooks.listing()
        suspicions = self._hooks.suspects.crash_counts(self._clock.wall_ms())
        digest = pb.Digest(
            sender=self.view.own.name,
            records=[convert.member_to_wire(record) for record in records],
            config_revision=self._hooks.revision(),
            suspicions=[
                pb.Suspicion(fingerprint=bytes.fromhex(name), crashes=crashes)
                for name, crashes in suspicions.items()
            ],
            leaving_upstreams=self._hooks.leaving(),
            listing_ms=listing.seen_ms,
            listing_checksum=listing.checksum,
        )
        convert.write_summary(digest, summary)
        return digest

    def merge_digest(self, digest: pb.Digest, address: str | None = None) -> None:
        """Merge a peer's digest, and fetch what the peer has newer in the background.

        :param address: the peer's address; by default that of the sender's record
        :raises ValueError: the lists of the digest differ in length
        """
        now = self._clock.now_ms()
        summary = convert.summary_from_digest(digest)
        for message in digest.records:
            record = convert.member_from_wire(message)
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
        is_config_newer = digest.config_revision > self._hooks.revision()
        if (self._needs_listing(digest) or is_config_newer) and address:
            self._schedule_fetch(address)

    def _needs_listing(self, digest: pb.Digest) -> bool:
        """Return whether a peer has a different VM list that is clearly newer.

        If the lists are the same, record the time of the peer's instead.
        """
        listing = self._hooks.listing()
        if digest.listing_ms <= listing.seen_ms:
            return False
        if digest.listing_checksum == listing.checksum:
            self._hooks.confirm_listing(digest.listing_ms)
            return False
        return digest.listing_ms > listing.seen_ms + const.LISTING_STALE_MS

    def _address_of(self, name: str) -> str | None:
        addresses = (r.address for r in self.view.records() if r.name == name)
        return next(addresses, None)

    def _heartbeat(self) -> None:
        now, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        self.view.advance_heartbeat(now, wall_ms)
        revision = self._hooks.revision()
        own = attrs.evolve(
            self.view.own, config_revision=revision, demands=self._hooks.demands()
        )
        self.view.update_own(own, wall_ms)
        if self._has_demand_changed():
            self.schedule_gossip()
        self._log_state_changes(now)
        self._channels.close_idle(now - const.CHANNEL_IDLE_TIMEOUT_MS)

    def _has_demand_changed(self) -> bool:
        """Return whether the demand changed enough to inform peers at once."""
        slots = sum(demand.slots for demand in self.view.own.demands)
        change = abs(slots - self._last_sent_slots)
        if change <= max(
            const.MIN_DEMAND_CHANGE_SLOTS,
            const.MIN_DEMAND_CHANGE_RATIO * self._last_sent_slots,
        ):
            return False
        self._last_sent_slots = slots
        return True

    def _log_state_changes(self, now_ms: int) -> None:
        """Log each change of a member's state once, and forget dead members."""
        names = {record.name for record in self.view.records()}
        for name in names | self._logged_states.keys():
            state = self.view.state(name, now_ms)
            if self._logged_states.get(name, MemberState.ALIVE) is state:
                continue
            _LOGGER.info("Daemon %s is %s", name, state.value)
            self._logged_states[name] = state
        self._logged_states = {
            name: state
            for name, state in self._logged_states.items()
            if state is not MemberState.DEAD
        }

    def _known_addresses(self) -> set[str]:
        members = {record.address for record in self.view.records()}
        return members | set(self._seeds) | self._listed_addresses

    def _choose_addresses(self, count: int) -> list[str]:
        """Choose random peers to exchange with, and at times an unresponsive one.

        The chance falls with the number of live peers.  Trying unresponsive addresses
        lets daemons find each other again after a partition.

        :param count: maximum number of live peers to choose
        """
        now = self._clock.now_ms()
        own = self.view.own
        alive = {r.address for r in self.view.alive(now)} - {own.address}
        candidates = (
            self._neighbour_addresses(alive) if count < const.NEIGHBOUR_COUNT else alive
        )
        unresponsive = sorted(self._known_addresses() - alive - {own.address})
        chosen = self._rng.sample(sorted(candidates), min(count, len(candidates)))
        if unresponsive and (not chosen or self._rng.random() < 1 / (1 + len(alive))):
            chosen.append(self._rng.choice(unresponsive))
        return chosen

    def _neighbour_addresses(self, alive: set[str]) -> set[str]:
        """Return a few peers for the current period, to keep few connections open."""
        period = self._clock.wall_ms() // const.NEIGHBOUR_ROTATION_INTERVAL_MS
        key = f"{self.view.own.name}/{period}"
        return set(rank(key, alive)[: const.NEIGHBOUR_COUNT])

    async def _exchange_with(self, addresses: list[str]) -> None:
        async with anyio.create_task_group() as group:
            for address in addresses:
                group.start_soon(self._exchange, address)

    async def _exchange(self, address: str) -> None:
        digest = self.build_digest()
        self.diagnostics.exchanges += 1
        self.diagnostics.bytes_sent += digest.ByteSize()
        timeout_s = seconds(const.CALL_TIMEOUT_MS)
        match await self._channels.exchange(address, digest, timeout_s):
            case Ok(reply):
                self.diagnostics.bytes_received += reply.ByteSize()
                self.merge_digest(reply, address)
            case Err(_):
                self.diagnostics.failures += 1

    def _schedule_fetch(self, address: str) -> None:
        if self._is_fetching or self._tasks is None:
            return
        self._is_fetching = True
        self._tasks.start_soon(self._fetch_state, address)

    async def _fetch_state(self, address: str) -> None:
        """Fetch the configuration and the VM list from a peer, each if it is newer."""
        request = pb.StateRequest(
            above_revision=self._hooks.revision(),
            listing_above_ms=self._hooks.listing().seen_ms,
        )
        timeout_s = seconds(const.CALL_TIMEOUT_MS)
        try:
            reply = await self._channels.fetch_state(address, request, timeout_s)
        finally:
            self._is_fetching = False
        if isinstance(reply, Err):
            return
        state = reply.ok_value
        if state.listing_ms:
            self._hooks.offer_listing(convert.listing_from_wire(state))
        if state.revision > self._hooks.revision():
            self._hooks.offer(convert.snapshot_from_wire(state))
