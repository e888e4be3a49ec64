"""Registry of the usable servers, despite delays and outages of the store.

Load pattern: the store is unavailable for seconds, leases expire meanwhile although
their servers run, and all servers register again within two seconds of its return.

Daemons also tell each other which servers leave.  Such a report and the store's entries
arrive in any order, so both carry the store's revision, and the higher one holds.

The store may come back from an older copy, with entries that were replaced since.  Of
an entry that may be such a copy, the report of an earlier era holds.

The operator evacuates whole failure domains and takes them back into service.  Their
servers may have become cold meanwhile, and the store may tell that later than the end
of the evacuation.
"""

import itertools
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from cowsliphitch.core.revisions import Revision

from .models import Server, ServerState

# The platform guarantees that running servers are registered again within 2 s of the
# store's return; the margin covers the watch's delay.
REREGISTRATION_GRACE_MS: Final = 2_300

# A server that leaves may run for many seconds after its report; a daemon that was cut
# off as long still needs the record.
LEAVING_RETENTION_MS: Final = 60_000

# A removal is confirmed to the peers only by a daemon that the store answered within
# this time; a quiet watch ends after 2 s.
MAX_CONFIRMING_VIEW_AGE_MS: Final = 3_000

MAX_LEAVING_RECORDS: Final = 4_096

# The latest records are sent to the peers in turn, some in each heartbeat, so that a
# heartbeat stays small while many servers leave.
MAX_ANNOUNCED_LEAVING: Final = 24
MAX_LEAVING_PER_HEARTBEAT: Final = 8


# Sources of what the store says about a server, and the server about itself.
STORE_SOURCE: Final = "store"
ANSWER_SOURCE: Final = "answer"


@attrs.frozen
class Knowledge:
    """What is known of a server's state, for logs.

    :param source: ``STORE_SOURCE``, ``ANSWER_SOURCE`` or the name of the peer that
        reported it
    :param updated_ms: monotonic time at which this daemon learned it
    :param revision: revision of the store at which its entry was written
    """

    state: ServerState
    source: str
    updated_ms: int
    revision: Revision


@attrs.frozen
class LeavingReport:
    """Report to the peers that a server is draining or was removed.

    :param revision: revision of the store at which it left
    :param was_removed: its entry was removed, and it had not reported that it drains
    :param started_ms: Unix time of its start, 0 if unknown; a server does not take
        requests again before it restarts
    :param is_confirmed: the removed entry stayed missing for the grace period at a
        daemon that the store served, so it did not expire in an outage
    :param is_from_server: the server said in an answer that it leaves, which only its
        restart ends, whatever its entry says
    """

    server_id: str
    revision: Revision
    was_removed: bool
    started_ms: int = 0
    is_confirmed: bool = False
    is_from_server: bool = False

    def adds_to(self, known: "LeavingReport") -> bool:
        """Return whether this report says more than an earlier one."""
        is_confirmation = self.is_confirmed and not known.is_confirmed
        return (
            self.revision > known.revision
            or (known.was_removed and is_confirmation)
            or (self.is_from_server and not known.is_from_server)
        )


@attrs.frozen
class _LeavingRecord:
    """A report on a leaving server, with its local times.

    :param expires_ms: monotonic time of its eviction
    :param missing_since_ms: monotonic time at which this daemon read from the store
        that the entry was gone, ``None`` if it did not
    """

    report: LeavingReport
    expires_ms: int
    missing_since_ms: int | None = None


@attrs.define
class _Entry:
    """A server with its local state.

    :param updated_ms: monotonic time at which its state was last learned
    :param source: where its state was learned
    :param revision: revision of the store at which its entry was written, or removed if
        ``expires_ms`` is set
    :param expires_ms: monotonic time at which the server is removed unless its entry
        returns, ``None`` while its entry exists
    :param misdirected: another server answered at its address
    :param has_announced_leaving: it said in an answer that it leaves
    :param paused_until_ms: monotonic time until which it wants no requests from this
        daemon, ``None`` if it takes them
    """

    server: Server
    revision: Revision
    updated_ms: int
    source: str = STORE_SOURCE
    expires_ms: int | None = None
    misdirected: bool = False
    has_announced_leaving: bool = False
    paused_until_ms: int | None = None


class ServerRegistry:
    """Track the known servers and select those that may get new requests."""

    def __init__(self) -> None:
        """Initialize an empty registry that has read no listing."""
        self._entries: dict[str, _Entry] = {}
        # The latest record is the last one.
        self._leaving: dict[str, _LeavingRecord] = {}
        self._announcement_offset = 0
        self._outage_start_ms: int | None = None
        self._outage_end_ms: int | None = None
        self._ready_by_service: dict[str, tuple[Server, ...]] = {}
        self._all: tuple[Server, ...] | None = None
        self._unreachable_domains: frozenset[str] = frozenset()
        self.evacuated_domains: frozenset[str] = frozenset()
        # Monotonic time until which servers are cold, by server.
        self._cold_until_ms: dict[str, int] = {}
        self._store_answer_ms: int | None = None
        self._served_since_ms: int | None = None
        self.has_listing = False

    def mark_store_unavailable(self, now_ms: int) -> None:
        """Keep servers whose entries vanish: their leases may expire in the outage."""
        self._served_since_ms = None
        if self._outage_start_ms is None:
            self._outage_start_ms = now_ms

    def mark_store_available(self, now_ms: int) -> None:
        """Start the grace period in which servers register again after an outage.

        :param now_ms: monotonic time of the store's answer, to this daemon or to the
            one that reads the store for it
        """
        self._store_answer_ms = max(now_ms, self._store_answer_ms or now_ms)
        if self._served_since_ms is None:
            self._served_since_ms = now_ms
        if self._outage_start_ms is not None:
            self._outage_start_ms = None
            self._outage_end_ms = now_ms

    def mark_store_restored(self, now_ms: int) -> None:
        """Start the grace period in which servers write their lost entries again."""
        self._outage_end_ms = self._served_since_ms = now_ms

    def mark_store_unsettled(self, now_ms: int) -> None:
        """Keep servers whose entries vanish: another daemon knows of an outage."""
        if self._outage_start_ms is None:
            self._outage_end_ms = max(now_ms, self._outage_end_ms or now_ms)

    def is_unsettled(self, now_ms: int) -> bool:
        """Return whether entries may be missing because of an outage of the store."""
        return self._in_grace(now_ms)

    def _in_grace(self, now_ms: int) -> bool:
        if self._outage_start_ms is not None:
            return True
        return (
            self._outage_end_ms is not None
            and now_ms < self._outage_end_ms + REREGISTRATION_GRACE_MS
        )

    def view_age_ms(self, now_ms: int) -> int | None:
        """Return the time since the store's last answer, ``None`` before the first."""
        return None if self._store_answer_ms is None else now_ms - self._store_answer_ms

    def knowledge_of(self, server_id: str) -> Knowledge | None:
        """Return what is known of a server's state, ``None`` if it isn't listed."""
        entry = self._entries.get(server_id)
        if entry is None:
            return None
        return Knowledge(
            entry.server.state, entry.source, entry.updated_ms, entry.revision
        )

    def put(self, server: Server, revision: Revision, now_ms: int) -> None:
        """Add a server or replace its entry.

        An entry that was written before the server's report of leaving keeps it
        draining.  A misdirected server stays excluded until its address or its start
        time changes.  It is cold for as long as the entry says, counted from when this
        version of the entry was first read.

        :param revision: revision of the store at which the entry was written
        """
        previous = self._entries.get(server.id)
        if previous is not None and (
            revision < previous.revision or _is_older_copy(server, revision, previous)
        ):
            return
        if previous is None or revision != previous.revision:
            self._cold_until_ms.pop(server.id, None)
            if server.warmup_remaining_ms:
                self._cold_until_ms[server.id] = now_ms + server.warmup_remaining_ms
        source = STORE_SOURCE
        if server.state is ServerState.DRAINING:
            report = LeavingReport(server.id, revision, False, server.started_ms)
            self._record_leaving(report, now_ms)
        elif (record := self._leaving.get(server.id)) is not None:
            if _supersedes(server, revision, record.report):
                del self._leaving[server.id]
            else:
                server = attrs.evolve(server, state=ServerState.DRAINING)
                source = previous.source if previous is not None else source
        same_process = (
            previous
            if previous is not None and previous.server.started_ms == server.started_ms
            else None
        )
        if same_process is not None and same_process.has_announced_leaving:
            server = attrs.evolve(server, state=ServerState.DRAINING)
        entry = self._entries[server.id] = _Entry(server, revision, now_ms, source)
        if same_process is not None:
            entry.has_announced_leaving = same_process.has_announced_leaving
            entry.paused_until_ms = same_process.paused_until_ms
        if previous is not None and previous.server.address == server.address:
            entry.misdirected = (
                previous.misdirected and previous.server.started_ms == server.started_ms
            )
        self._forget_selections()

    def remove(self, server_id: str, revision: Revision, now_ms: int) -> None:
        """Remove a server whose entry vanished.

        During an outage of the store, and in the grace period after it, a ready server
        is kept until the grace period ends.  Kept servers get requests only while half
        of the servers of their service are missing or more.

        :param revision: revision of the store at which the entry was gone
        """
        entry = self._entries.get(server_id)
        if entry is None:
            return
        if self._in_grace(now_ms) and entry.server.state is ServerState.READY:
            if entry.expires_ms is None:
                entry.revision = revision
                entry.expires_ms = (
                    self._outage_end_ms or now_ms
                ) + REREGISTRATION_GRACE_MS
                self._forget_selections()
            return
        self._delete(server_id, revision, now_ms)

    def _delete(self, server_id: str, revision: Revision, now_ms: int) -> None:
        server = self._entries.pop(server_id).server
        self._cold_until_ms.pop(server_id, None)
        was_removed = server.state is not ServerState.DRAINING
        report = LeavingReport(server_id, revision, was_removed, server.started_ms)
        self._record_leaving(report, now_ms, missing_since_ms=now_ms)
        self._forget_selections()

    def _record_leaving(
        self, report: LeavingReport, now_ms: int, missing_since_ms: int | None = None
    ) -> None:
        record = self._leaving.pop(report.server_id, None)
        if record is not None and record.report.started_ms == report.started_ms:
            report = attrs.evolve(
                report,
                revision=max(report.revision, record.report.revision),
                was_removed=report.was_removed and record.report.was_removed,
                is_confirmed=report.is_confirmed or record.report.is_confirmed,
                is_from_server=report.is_from_server or record.report.is_from_server,
            )
            if missing_since_ms is None:
                missing_since_ms = record.missing_since_ms
        expires_ms = now_ms + LEAVING_RETENTION_MS
        self._leaving[report.server_id] = _LeavingRecord(
            report, expires_ms, missing_since_ms
        )
        if len(self._leaving) > MAX_LEAVING_RECORDS:
            del self._leaving[next(iter(self._leaving))]

    def replace(
        self,
        servers: Iterable[tuple[Server, Revision]],
        revision: Revision,
        now_ms: int,
    ) -> None:
        """Replace all servers by a complete listing.

        :param servers: each server with the revision of its entry
        :param revision: revision of the listing
        """
        listed = {server.id: (server, modified) for server, modified in servers}
        for server_id in self._entries.keys() - listed.keys():
            self.remove(server_id, revision, now_ms)
        for server, modified in listed.values():
            self.put(server, modified, now_ms)
        self.has_listing = True

    def expire(self, now_ms: int) -> list[Server]:
        """Remove and return the servers whose entries did not return in time.

        None is removed during an outage of the store.  Pauses that are over end.
        """
        for entry in self._entries.values():
            if entry.paused_until_ms is not None and now_ms >= entry.paused_until_ms:
                entry.paused_until_ms = None
                self._ready_by_service.pop(entry.server.service, None)
        if self._outage_start_ms is not None:
            return []
        expired = [
            entry
            for entry in self._entries.values()
            if entry.expires_ms is not None and now_ms >= entry.expires_ms
        ]
        for entry in expired:
            self._delete(entry.server.id, entry.revision, now_ms)
        return [entry.server for entry in expired]

    def mark_leaving(self, report: LeavingReport, now_ms: int, source: str) -> bool:
        """Record that a server is leaving, as a peer reported.

        The record holds against entries that are read later but were written before, or
        that the store may have from an older copy.  A removal that a peer saw counts
        during an outage of the store and in the grace period after it only once it is
        confirmed, since the lease may have expired in the outage.

        :param source: name of the peer
        :returns: whether the report is new
        """
        if report.was_removed and not report.is_confirmed and self._in_grace(now_ms):
            return False
        record = self._leaving.get(report.server_id)
        if record is not None and not report.adds_to(record.report):
            return False
        entry = self._entries.get(report.server_id)
        if entry is not None and _supersedes(entry.server, entry.revision, report):
            return False
        self._record_leaving(report, now_ms)
        if entry is not None:
            self._mark_draining(entry, report, now_ms, source)
        return True

    def _mark_draining(
        self, entry: _Entry, report: LeavingReport, now_ms: int, source: str
    ) -> None:
        entry.has_announced_leaving |= report.is_from_server
        if entry.server.state is ServerState.READY:
            entry.server = attrs.evolve(entry.server, state=ServerState.DRAINING)
            entry.updated_ms, entry.source = now_ms, source
            self._forget_selections()

    def mark_leaving_by_answer(self, server: Server, now_ms: int) -> bool:
        """Record that a server said in an answer that it leaves.

        This holds until the server restarts, whatever its entry says.

        :param server: the server as it was when the request was sent
        :returns: whether this is news
        """
        entry = self._entries.get(server.id)
        if (
            entry is None
            or entry.has_announced_leaving
            or entry.server.started_ms != server.started_ms
            or entry.server.address != server.address
        ):
            return False
        report = LeavingReport(
            server.id, entry.revision, False, server.started_ms, is_from_server=True
        )
        self._record_leaving(report, now_ms)
        self._mark_draining(entry, report, now_ms, ANSWER_SOURCE)
        return True

    def pause(self, server: Server, until_ms: int) -> None:
        """Exclude a server for a time, since it wants no requests from this daemon.

        Its restart ends the pause.

        :param server: the server as it was when the request was sent
        """
        entry = self._entries.get(server.id)
        if entry is not None and entry.server.started_ms == server.started_ms:
            entry.paused_until_ms = max(until_ms, entry.paused_until_ms or 0)
            self._forget_selections()

    def paused(self, service: str) -> dict[str, int]:
        """Return the ready servers of a service that want no requests for a time.

        :returns: monotonic time of the end of the pause, by server identifier
        """
        return {
            entry.server.id: entry.paused_until_ms
            for entry in self._entries.values()
            if entry.server.service == service
            and entry.server.state is ServerState.READY
            and entry.paused_until_ms is not None
        }

    def next_announcement(self, now_ms: int) -> tuple[LeavingReport, ...]:
        """Return reports on servers that left, for the next heartbeat.

        Each call continues with the latest records where the one before ended.  Records
        past their retention are evicted.
        """
        for server_id in [
            server_id
            for server_id, record in self._leaving.items()
            if record.expires_ms <= now_ms
        ]:
            del self._leaving[server_id]
        latest = list(
            itertools.islice(reversed(self._leaving.values()), MAX_ANNOUNCED_LEAVING)
        )
        if self._announcement_offset >= len(latest):
            self._announcement_offset = 0
        start, count = self._announcement_offset, MAX_LEAVING_PER_HEARTBEAT
        self._announcement_offset += count
        return tuple(
            attrs.evolve(
                record.report,
                is_confirmed=record.report.is_confirmed
                or self._confirms(record, now_ms),
            )
            for record in latest[start : start + count]
        )

    def _confirms(self, record: _LeavingRecord, now_ms: int) -> bool:
        """Return whether an entry was missing for the grace period without an outage.

        The store has served this daemon since it read that the entry was gone.
        """
        missing_since_ms, served_since_ms = (
            record.missing_since_ms,
            self._served_since_ms,
        )
        if missing_since_ms is None or served_since_ms is None:
            return False
        view_age_ms = self.view_age_ms(now_ms)
        return (
            record.report.was_removed
            and served_since_ms <= missing_since_ms
            and now_ms - missing_since_ms >= REREGISTRATION_GRACE_MS
            and view_age_ms is not None
            and view_age_ms <= MAX_CONFIRMING_VIEW_AGE_MS
        )

    def mark_misdirected(self, server_id: str) -> None:
        """Exclude a server at whose address another one answered."""
        entry = self._entries.get(server_id)
        if entry is not None:
            entry.misdirected = True
            self._forget_selections()

    def set_unreachable_domains(self, domains: frozenset[str]) -> None:
        """Exclude the servers of unreachable failure domains."""
        if domains != self._unreachable_domains:
            self._unreachable_domains = domains
            self._forget_selections()

    def set_evacuated_domains(self, domains: frozenset[str]) -> None:
        """Exclude the servers of evacuated failure domains from new requests."""
        if domains != self.evacuated_domains:
            self.evacuated_domains = domains
            self._forget_selections()

    def evacuated(self, service: str) -> tuple[str, ...]:
        """Return the ready servers of a service that are in evacuated domains."""
        if not self.evacuated_domains:
            return ()
        return tuple(
            entry.server.id
            for entry in self._entries.values()
            if entry.server.service == service
            and entry.server.state is ServerState.READY
            and entry.server.failure_domain in self.evacuated_domains
        )

    def is_evacuated(self, service: str) -> bool:
        """Return whether all ready servers of a service are in evacuated domains."""
        evacuated = self.evacuated(service)
        return bool(evacuated) and len(evacuated) == sum(
            entry.server.service == service and entry.server.state is ServerState.READY
            for entry in self._entries.values()
        )

    def mark_cold(
        self, domains: frozenset[str], cold_ms: Mapping[str, int], now_ms: int
    ) -> None:
        """Treat the servers of failure domains as cold until newer entries are read.

        :param cold_ms: time for which they are taken to be cold, by service
        """
        for entry in self._entries.values():
            server = entry.server
            if server.failure_domain in domains and cold_ms.get(server.service):
                self._cold_until_ms[server.id] = max(
                    self._cold_until_ms.get(server.id, 0),
                    now_ms + cold_ms[server.service],
                )

    def cold(self, now_ms: int) -> dict[str, int]:
        """Return the remaining time for which servers are cold, by server."""
        self._cold_until_ms = {
            server_id: until_ms
            for server_id, until_ms in self._cold_until_ms.items()
            if until_ms > now_ms
        }
        return {s: until_ms - now_ms for s, until_ms in self._cold_until_ms.items()}

    def is_cut_off(self, server: Server) -> bool:
        """Return whether a server's failure domain is unreachable."""
        return server.failure_domain in self._unreachable_domains

    def get(self, server_id: str) -> Server | None:
        """Return a server that is listed or kept during an outage."""
        entry = self._entries.get(server_id)
        return entry.server if entry else None

    def is_usable(self, server: Server) -> bool:
        """Return whether a server chosen earlier may still get new requests.

        It may not once it drains, moves, restarts, has another version, is misdirected
        or is removed, while it wants no requests, or while its failure domain is
        evacuated.
        """
        entry = self._entries.get(server.id)
        return (
            entry is not None
            and not entry.misdirected
            and entry.paused_until_ms is None
            and entry.server.state is ServerState.READY
            and entry.server.failure_domain not in self.evacuated_domains
            and entry.server.address == server.address
            and entry.server.started_ms == server.started_ms
            and entry.server.version == server.version
            and (entry.expires_ms is None or entry.server in self.ready(server.service))
        )

    def ready(self, service: str) -> tuple[Server, ...]:
        """Return the reachable servers of a service that take new requests.

        In the grace period after an outage of the store, entries that expired in it are
        missing, and so are those of servers that left.  If most servers of the service
        are listed, the missing ones are taken to have left.
        """
        servers = self._ready_by_service.get(service)
        if servers is None:
            excluded_domains = self._unreachable_domains | self.evacuated_domains
            entries = [
                entry
                for entry in self._entries.values()
                if entry.server.service == service
                and entry.server.state is ServerState.READY
                and entry.server.failure_domain not in excluded_domains
                and not entry.misdirected
            ]
            listed = [entry for entry in entries if entry.expires_ms is None]
            is_most_listed = len(listed) * 2 > len(entries)
            servers = tuple(
                entry.server
                for entry in (listed if is_most_listed else entries)
                if entry.paused_until_ms is None
            )
            self._ready_by_service[service] = servers
        return servers

    def missing(self) -> tuple[str, ...]:
        """Return the identifiers of the servers that are kept without an entry."""
        return tuple(
            server_id
            for server_id, entry in self._entries.items()
            if entry.expires_ms is not None
        )

    def all(self) -> tuple[Server, ...]:
        """Return all servers, draining, misdirected and unreachable ones included.

        The same object is returned until one of them changes.
        """
        if self._all is None:
            self._all = tuple(entry.server for entry in self._entries.values())
        return self._all

    def _forget_selections(self) -> None:
        """Forget what was selected from the entries, since one of them changed."""
        self._ready_by_service.clear()
        self._all = None


def _supersedes(server: Server, revision: Revision, report: LeavingReport) -> bool:
    """Return whether an entry is news after a report that its server is leaving.

    :param revision: revision at which the entry was written
    """
    known = 0 not in (server.started_ms, report.started_ms)
    if known and server.started_ms != report.started_ms:
        return server.started_ms > report.started_ms
    if report.is_from_server:
        return False
    if revision.era == report.revision.era:
        return revision > report.revision
    if revision.era < report.revision.era:
        return False
    # An entry of the copy has a lower number than what was lost.  A server that said
    # that it drains does not take requests again.
    is_rewritten = revision.number > report.revision.number
    return is_rewritten and (report.was_removed or not known)


def _is_older_copy(server: Server, revision: Revision, known: _Entry) -> bool:
    """Return whether an entry of a later era describes the server before a restart."""
    return (
        revision.era > known.revision.era
        and revision.number < known.revision.number
        and server.started_ms < known.server.started_ms
    )
