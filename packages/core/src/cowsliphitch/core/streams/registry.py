"""Records of the software version that began each stream.

Load pattern: streams break off when engines crash or are replaced, and go on at another
engine, in the same answer or in a caller's next attempt at any daemon.  An engine of
another version would write another text, so a stream stays with the version that wrote
its first event.

Records are needed only while several versions of a service are in service, or lately
were.  Otherwise the only version began every stream, and nothing is exchanged; a daemon
that was cut off or stood still does not know that there is another one.
"""

import itertools
from collections import OrderedDict
from collections.abc import Collection, Iterable, Sequence
from typing import Final

import attrs

from cowsliphitch.core.servers.models import Server

from .models import (
    KnownOrigin,
    OriginLookup,
    StreamOrigin,
    StreamRecords,
    UnknownOrigin,
    stream_checksum,
)

# Longer than a stream and all attempts to take it up again: callers wait 15 s at most.
STREAM_RETENTION_MS: Final = 30_000

# Records in the store expire with their lease.  Streams are exported until the last of
# them that names several versions has expired, since a daemon that starts and reads it
# takes a stream without a record for one of either version.
RECORD_TTL_MS: Final = 40_000
EXPORT_TAIL_MS: Final = RECORD_TTL_MS + STREAM_RETENTION_MS

MAX_RECORDS: Final = 65_536

# Streams in one heartbeat, and the heartbeats to the same peer that repeat a stream.
MAX_STREAMS_PER_HEARTBEAT: Final = 96
ANNOUNCEMENTS: Final = 3

OWN_SOURCE: Final = "own"
ONLY_VERSION_SOURCE: Final = "only version"


@attrs.define
class _Record:
    """A stream that has begun.

    :param source: who recorded it
    :param recorded_ms: monotonic time at which it was last learned
    """

    origin: StreamOrigin
    source: str
    recorded_ms: int


class StreamRegistry:
    """Remember the origins of streams, and which versions were in service lately."""

    def __init__(self) -> None:
        """Initialize without streams or versions."""
        # The latest record is the last one.
        self._records: OrderedDict[int, _Record] = OrderedDict()
        # The servers that were observed last, and their origins.
        self._observed: tuple[Server, ...] = ()
        self._origins: set[StreamOrigin] = set()
        self._seen_ms: dict[StreamOrigin, int] = {}
        # The same, of those that this daemon read in the store itself.
        self._listed_ms: dict[StreamOrigin, int] = {}
        self._mixed_ms: dict[str, int] = {}
        # Own streams to announce, with the monotonic time at which that began.
        self._announced: OrderedDict[int, int] = OrderedDict()

    def observe_servers(self, servers: tuple[Server, ...], now_ms: int) -> None:
        """Record the versions of the listed servers as in service now."""
        if servers is not self._observed:
            self._observed = servers
            self._origins = {StreamOrigin(s.service, s.version) for s in servers}
        origins = self._origins
        self._listed_ms |= dict.fromkeys(origins, now_ms)
        self._seen_ms |= dict.fromkeys(origins, now_ms)
        self._update(now_ms)

    def learn_versions(self, origins: Collection[StreamOrigin], now_ms: int) -> None:
        """Record versions that another daemon saw in service lately."""
        if not origins:
            return
        self._seen_ms |= dict.fromkeys(origins, now_ms)
        self._update(now_ms)

    def _update(self, now_ms: int) -> None:
        """Forget versions past their retention, and note which services have several.

        Own streams that began before there was another version are announced, too.
        """
        self._seen_ms = _recent(self._seen_ms, now_ms)
        self._listed_ms = _recent(self._listed_ms, now_ms)
        for service in {origin.service for origin in self._seen_ms}:
            if len(self.versions(service)) < 2:
                continue
            if not self.is_exporting(service, now_ms):
                self._announced |= {
                    stream: now_ms
                    for stream, record in self._records.items()
                    if record.source == OWN_SOURCE and record.origin.service == service
                }
            self._mixed_ms[service] = now_ms

    def versions(self, service: str) -> tuple[str, ...]:
        """Return the versions of a service that were in service lately."""
        return tuple(sorted(o.version for o in self._seen_ms if o.service == service))

    def recent_origins(self) -> tuple[StreamOrigin, ...]:
        """Return the listed versions of all services that have several versions.

        Versions that this daemon only heard of are left out, since the daemons would
        tell each other of them without end.
        """
        return tuple(
            origin
            for origin in self._listed_ms
            if len(self.versions(origin.service)) > 1
        )

    def is_exporting(self, service: str, now_ms: int) -> bool:
        """Return whether the streams of a service are exchanged between daemons."""
        mixed_ms = self._mixed_ms.get(service)
        return mixed_ms is not None and now_ms - mixed_ms < EXPORT_TAIL_MS

    def exporting_services(self, now_ms: int) -> tuple[str, ...]:
        """Return the services whose streams are exchanged between daemons."""
        return tuple(s for s in self._mixed_ms if self.is_exporting(s, now_ms))

    def record_begun(
        self, request_ids: Iterable[str], origin: StreamOrigin, now_ms: int
    ) -> None:
        """Record which version wrote the first event of a stream at this daemon.

        :param request_ids: attempts by which a caller may name the stream
        """
        for stream in map(stream_checksum, request_ids):
            self._record(stream, _Record(origin, OWN_SOURCE, now_ms))
            if self.is_exporting(origin.service, now_ms):
                self._announced[stream] = now_ms

    def learn(self, groups: Iterable[StreamRecords], source: str, now_ms: int) -> None:
        """Record streams that began at another daemon.

        :param source: name of the peer, or the store's
        """
        for group in groups:
            for stream in group.streams:
                known = self._records.get(stream)
                if known is None or known.source != OWN_SOURCE:
                    self._record(stream, _Record(group.origin, source, now_ms))

    def _record(self, stream: int, record: _Record) -> None:
        self._records[stream] = record
        self._records.move_to_end(stream)
        oldest = next(iter(self._records))
        if (
            len(self._records) > MAX_RECORDS
            or record.recorded_ms - self._records[oldest].recorded_ms
            > STREAM_RETENTION_MS
        ):
            del self._records[oldest]
            self._announced.pop(oldest, None)

    def find(
        self, request_id: str | None, service: str, now_ms: int, is_current: bool = True
    ) -> OriginLookup:
        """Return what is known of the origin of a stream.

        :param request_id: attempt that received the first event, ``None`` if the caller
            does not name it
        :param service: service that the stream is taken to be of without a record
        :param is_current: this daemon would know of another version in service
        """
        record = (
            None
            if request_id is None
            else self._records.get(stream_checksum(request_id))
        )
        if record is not None:
            age_ms = now_ms - record.recorded_ms
            return KnownOrigin(record.origin, record.source, age_ms)
        versions = self.versions(service)
        if is_current and len(versions) == 1:
            return KnownOrigin(
                StreamOrigin(service, versions[0]), ONLY_VERSION_SOURCE, 0
            )
        return UnknownOrigin(versions, is_current)

    @property
    def has_announcements(self) -> bool:
        """Return whether there are own streams to announce."""
        return bool(self._announced)

    def next_announcement(
        self, interval_ms: int, now_ms: int
    ) -> tuple[StreamRecords, ...]:
        """Return own streams for the next heartbeat, the latest first.

        :param interval_ms: time until the next heartbeat to the same peers
        """
        for stream, since_ms in list(self._announced.items()):
            if now_ms - since_ms > ANNOUNCEMENTS * interval_ms:
                del self._announced[stream]
        latest = itertools.islice(reversed(self._announced), MAX_STREAMS_PER_HEARTBEAT)
        return self._grouped(list(latest))

    def own_since(self, since_ms: int, now_ms: int) -> tuple[StreamRecords, ...]:
        """Return the own streams of exporting services that were recorded since then.

        :param since_ms: monotonic time
        """
        return self._grouped(
            [
                stream
                for stream, record in self._records.items()
                if record.source == OWN_SOURCE
                and record.recorded_ms >= since_ms
                and self.is_exporting(record.origin.service, now_ms)
            ]
        )

    def _grouped(self, streams: Sequence[int]) -> tuple[StreamRecords, ...]:
        """Return streams by origin."""
        groups: dict[StreamOrigin, list[int]] = {}
        for stream in streams:
            groups.setdefault(self._records[stream].origin, []).append(stream)
        return tuple(
            StreamRecords(origin, tuple(members)) for origin, members in groups.items()
        )


def _recent(times_ms: dict[StreamOrigin, int], now_ms: int) -> dict[StreamOrigin, int]:
    """Return the origins that were seen within the retention of streams."""
    return {
        origin: time_ms
        for origin, time_ms in times_ms.items()
        if now_ms - time_ms < STREAM_RETENTION_MS
    }
