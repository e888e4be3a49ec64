"""Quarantine of prompt parts that crash engines.

Load pattern: one part of a prompt crashes each engine that begins to answer a request
with it.  The requests are all different, come through any daemon, and share their other
parts with sound requests.  Each crash also ends sound requests at the same engine.

Every request that an engine had not begun to answer when it crashed makes its parts
suspect.  The daemons exchange what they suspect, and a part that is suspect after
several crashes is quarantined.  What clears a part:

- an answer to a request with it, since a part that crashes engines gets none;
- for a part that was answered before, another part that explains the same crash;
- a quarantined part that explains all its crashes, and others besides.

Crashes at almost the same time count once, as an outage may end many engines that
prefill the same part.

A prompt may have a thousand parts, and a crash may lose forty such prompts.  What is
done for a crash grows with the parts that it lost, not with their square, and a report
to the peers has a bounded size whatever its prompt.

The same records hold requests that crash servers, by digest.  A digest is at one server
for each copy that was sent, so each crash under it counts, unless it was answered
before: many callers may send the same sound request, and an outage ends all servers.
"""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Collection, Iterable, Iterator
from typing import Final

import attrs

# Crashes at different times after which a part is quarantined.
CRASHES_TO_QUARANTINE: Final = 3

# Crashes within this time of each other count once.
SIMULTANEOUS_CRASHES_MS: Final = 400

# Time after the last crash for which a part stays quarantined.  After it, the next
# crash quarantines the part again.
QUARANTINE_MS: Final = 60_000

# A shorter rest of a peer's quarantine is not adopted; otherwise two daemons could
# prolong it by the delay of their heartbeats without end.
MIN_ADOPTED_QUARANTINE_MS: Final = 5_000

# Crashes from which a part is suspect enough not to be tried at another engine.
CRASHES_TO_STOP_RETRIES: Final = 2

# Time for which a crash is reported to the peers, unless its part is quarantined, and
# for which it is remembered.  The second is longer, so that a forgotten crash does not
# come back from a peer as a new one.
CRASH_REPORT_MS: Final = 45_000
CRASH_RETENTION_MS: Final = 120_000

# Records that a daemon keeps, and crashes in a record.
MAX_RECORDS: Final = 256
MAX_CRASHES_PER_RECORD: Final = 16

# Parts that are remembered of those that a suspect request had beside the suspect part.
# Of a longer prompt all daemons remember the same ones.
MAX_COMPANY: Final = 12

# Parts and requests that are known to be answered.
MAX_ANSWERED_PARTS: Final = 8_192
MAX_ANSWERED_REQUESTS: Final = 1_024

# Records in one heartbeat: those with the most crashes, those with news, and others in
# turn.  A crash makes more requests suspect than prompt parts.
MAX_REPORTS_PER_HEARTBEAT: Final = 6
MAX_REQUEST_REPORTS_PER_HEARTBEAT: Final = 16

# Time for which a crash or an answer that this daemon saw is news.  A peer reads only
# the last of several heartbeats that wait for it, so news are sent more than once.
NEWS_MS: Final = 1_000


@attrs.frozen
class OncePerOutage:
    """Count crashes within some time of the last counted one as the same outage.

    :param window_ms: that time
    """

    window_ms: int = SIMULTANEOUS_CRASHES_MS


@attrs.frozen
class EachCrash:
    """Count every crash, as each one had a copy of the request of its own.

    :param answered_window_ms: time as for ``OncePerOutage``, for requests that were
        answered before
    """

    answered_window_ms: int = SIMULTANEOUS_CRASHES_MS


CrashCounting = OncePerOutage | EachCrash


@attrs.frozen
class PartReport:
    """What a daemon knows of a suspect part, for its peers.

    :param crashes: identifiers of the crashes that it may have caused
    :param cleared: identifiers of crashes that it did not cause
    :param crash_count: crashes at different times that are not cleared
    :param company: parts that all suspect requests with this part have in common, at
        most ``MAX_COMPANY`` of them
    :param quarantine_left_ms: remaining time of its quarantine, 0 if it has none
    """

    part: str
    crashes: frozenset[int]
    cleared: frozenset[int]
    crash_count: int
    company: frozenset[str]
    quarantine_left_ms: int = 0


@attrs.frozen
class CountedCrashes:
    """Crashes that were added to a part's record.

    :param known: number of crashes that it may have caused
    :param counted: number of them that count towards its quarantine
    """

    part: str
    known: int
    counted: int


@attrs.frozen
class QuarantineChange:
    """Parts whose quarantine began or ended, and those with new crashes."""

    quarantined: tuple[str, ...] = ()
    released: tuple[str, ...] = ()
    crashed: tuple[CountedCrashes, ...] = ()


@attrs.define
class _PartRecord:
    """Crashes while requests with one part waited for their first event.

    :param company: parts that all suspect requests with this part have in common, at
        most ``MAX_COMPANY`` of them
    :param counting: which crashes raise the count
    :param crashes: monotonic time at which each crash became known
    :param cleared: crashes that the part did not cause
    :param open_crashes: crashes that the part may have caused
    :param oldest_ms: monotonic time at which its oldest crash became known
    :param last_counted_ms: monotonic time of the last crash that was counted
    :param quarantined_until_ms: monotonic time at which its quarantine ends
    """

    company: frozenset[str]
    counting: CrashCounting
    crashes: dict[int, int] = attrs.Factory(dict)
    cleared: set[int] = attrs.Factory(set)
    open_crashes: set[int] = attrs.Factory(set)
    oldest_ms: int = 0
    crash_count: int = 0
    last_counted_ms: int | None = None
    quarantined_until_ms: int = 0

    def add(self, crashes: Collection[int], now_ms: int, was_answered: bool) -> None:
        """Add crashes, count them, and begin the quarantine after enough of them.

        :param was_answered: a request with the part was answered before
        """
        new = set(crashes) - self.crashes.keys()
        if not self.crashes:
            self.oldest_ms = now_ms
        self.crashes |= dict.fromkeys(new, now_ms)
        opened = new - self.cleared
        self.open_crashes |= opened
        if not opened:
            return
        match self.counting:
            case EachCrash() if not was_answered:
                self.crash_count = len(self.open_crashes)
            case EachCrash(window_ms) | OncePerOutage(window_ms):
                last_ms = self.last_counted_ms
                if last_ms is not None and now_ms - last_ms < window_ms:
                    return
                self.last_counted_ms = now_ms
                self.crash_count += 1
        if self.crash_count >= CRASHES_TO_QUARANTINE:
            self.quarantined_until_ms = now_ms + QUARANTINE_MS

    def adopt_quarantine(self, left_ms: int, now_ms: int) -> None:
        """Begin a quarantine that a peer reports, unless it has begun here already.

        :param left_ms: its remaining time
        """
        if not self.is_quarantined(now_ms):
            self.quarantined_until_ms = now_ms + min(left_ms, QUARANTINE_MS)

    def merge(
        self, report: PartReport, now_ms: int, is_past: bool, was_answered: bool
    ) -> bool:
        """Add a peer's report; return whether it has news.

        :param is_past: the report was stored some time ago, so that later crashes are
            not simultaneous with its own
        :param was_answered: a request with the part was answered before
        """
        is_known = (
            report.crashes <= self.crashes.keys()
            and report.cleared <= self.cleared
            and self.company <= report.company
            and report.crash_count <= self.crash_count
        )
        if is_known and (not report.quarantine_left_ms or self.is_quarantined(now_ms)):
            return False
        self.company &= report.company
        self.clear(report.cleared)
        self.add(report.crashes | report.cleared, now_ms, was_answered)
        if is_past:
            self.last_counted_ms = None
        open_at_peer = report.crashes - self.cleared
        if open_at_peer and self.open_crashes <= open_at_peer:
            self.crash_count = max(self.crash_count, report.crash_count)
            if report.quarantine_left_ms >= MIN_ADOPTED_QUARANTINE_MS:
                self.adopt_quarantine(report.quarantine_left_ms, now_ms)
        return True

    def clear(self, crashes: Collection[int]) -> None:
        """Record that the part did not cause some of the crashes."""
        self.cleared |= set(crashes)
        self.open_crashes -= self.cleared
        self.crash_count = min(self.crash_count, len(self.open_crashes))
        if self.crash_count < CRASHES_TO_QUARANTINE:
            self.quarantined_until_ms = 0

    def is_quarantined(self, now_ms: int) -> bool:
        """Return whether requests with the part are refused."""
        return now_ms < self.quarantined_until_ms

    def counted_crashes(self, part: str) -> CountedCrashes:
        """Return how many of its crashes are known and how many count."""
        return CountedCrashes(part, len(self.open_crashes), self.crash_count)

    def forget_old_crashes(self, now_ms: int) -> None:
        """Drop crashes past their retention, and the oldest beyond the limit."""
        is_old = now_ms - self.oldest_ms >= CRASH_RETENTION_MS
        is_full = len(self.crashes) > MAX_CRASHES_PER_RECORD
        is_counted = self.crash_count >= CRASHES_TO_QUARANTINE
        if not (is_old or is_full or is_counted or self.quarantined_until_ms):
            return
        kept = [
            (crash, known_ms)
            for crash, known_ms in self.crashes.items()
            if now_ms - known_ms < CRASH_RETENTION_MS
        ]
        self.crashes = dict(kept[-MAX_CRASHES_PER_RECORD:])
        self.oldest_ms = min(self.crashes.values(), default=now_ms)
        self.cleared &= self.crashes.keys()
        self.open_crashes &= self.crashes.keys()
        if self.crash_count and not self.is_quarantined(now_ms):
            self.crash_count = min(
                self.crash_count, CRASHES_TO_QUARANTINE - 1, len(self.open_crashes)
            )

    def report(self, part: str, now_ms: int) -> PartReport:
        """Return what the peers need to know."""
        is_quarantined = self.is_quarantined(now_ms)
        crashes = frozenset(
            crash
            for crash, known_ms in self.crashes.items()
            if is_quarantined or now_ms - known_ms < CRASH_REPORT_MS
        )
        return PartReport(
            part,
            crashes - self.cleared,
            crashes & self.cleared,
            self.crash_count,
            self.company,
            max(0, self.quarantined_until_ms - now_ms),
        )


class PromptPartRegistry:
    """Suspect and quarantined prompt parts, with what the peers report.

    Times are monotonic time, in ms.
    """

    def __init__(
        self,
        counting: CrashCounting | None = None,
        max_reports: int = MAX_REPORTS_PER_HEARTBEAT,
        max_answered: int = MAX_ANSWERED_PARTS,
    ) -> None:
        """Initialize the registry without records.

        :param counting: which crashes count, ``OncePerOutage`` by default
        :param max_reports: number of records in one heartbeat
        :param max_answered: number of parts that are known to be answered
        """
        self._counting = counting or OncePerOutage()
        self._max_reports = max_reports
        self._max_answered = max_answered
        # Parts with news, and the monotonic time until which they have.  The one that
        # was reported last is the last one.
        self._news: OrderedDict[str, int] = OrderedDict()
        self._records: dict[str, _PartRecord] = {}
        # The part that was answered last is the last one.
        self._answered: OrderedDict[str, None] = OrderedDict()
        self._quarantined: frozenset[str] = frozenset()
        self._report_offset = 0

    def record_crash(
        self, crash: int, parts: Collection[str], now_ms: int
    ) -> QuarantineChange:
        """Record a request that an engine had not begun to answer when it crashed.

        :param crash: identifies the crash in the fleet
        :param parts: the request's parts that other requests may share
        """
        return self.record_lost_requests(crash, (parts,), now_ms)

    def record_lost_requests(
        self, crash: int, requests: Iterable[Collection[str]], now_ms: int
    ) -> QuarantineChange:
        """Record all requests that an engine had not begun to answer when it crashed.

        Those that were answered before come last: the others may explain the crash.

        :param crash: identifies the crash in the fleet
        :param requests: the parts of each request that other requests may share
        """
        suspects: dict[str, None] = {}
        new: dict[str, frozenset[str]] = {}
        for parts in sorted(filter(None, requests), key=self.were_answered):
            present = frozenset(parts)
            found = self._suspect_parts(parts)
            for part in found:
                if part in self._records:
                    suspects[part] = None
                    self._records[part].company &= present
            for part in new.keys() & present:
                new[part] &= present
            company = _company(present)
            new |= {
                part: company
                for part in [p for p in found if p not in self._records][-MAX_RECORDS:]
                if part not in new
            }
        for part in suspects:
            self._add_crash(part, crash, now_ms)
        for part in self._add_records(new, now_ms):
            suspects[part] = None
            self._add_crash(part, crash, now_ms)
        crashed = tuple(
            self._records[part].counted_crashes(part)
            for part in suspects
            if part in self._records
        )
        return attrs.evolve(self._update(now_ms), crashed=crashed)

    def _suspect_parts(self, parts: Collection[str]) -> Collection[str]:
        """Return the parts of a request that may have caused a crash.

        Those that were answered before are suspect only if all parts were.
        """
        return [part for part in parts if part not in self._answered] or parts

    def _add_crash(self, part: str, crash: int, now_ms: int) -> None:
        self._records[part].add((crash,), now_ms, part in self._answered)
        self._set_news(part, now_ms)

    def _add_records(
        self, new: dict[str, frozenset[str]], now_ms: int
    ) -> tuple[str, ...]:
        """Add records of parts that were not suspect; return those that have room.

        Quarantined parts, and those that were suspect before and are again, are kept.

        :param new: company by part
        """
        rank = (False, now_ms, 1)
        kept = sum(self._rank(part) > rank for part in self._records)
        first = max(0, len(new) - (MAX_RECORDS - kept))
        added = dict(itertools.islice(new.items(), first, None))
        self._make_room(len(added))
        for part, company in added.items():
            self._records[part] = _PartRecord(company, self._counting)
        return tuple(added)

    def were_answered(self, parts: Collection[str]) -> bool:
        """Return whether requests with each of some parts were answered before."""
        return all(part in self._answered for part in parts)

    def record_answer(self, parts: Collection[str], now_ms: int) -> QuarantineChange:
        """Record that a request was answered, so none of its parts crashes engines."""
        records = {part: self._records[part] for part in parts if part in self._records}
        for part in parts:
            self._answered[part] = None
            self._answered.move_to_end(part)
        for part, record in records.items():
            if record.open_crashes:
                self._set_news(part, now_ms)
            record.clear(record.crashes)
        while len(self._answered) > self._max_answered:
            self._answered.popitem(last=False)
        return self._update(now_ms) if records else QuarantineChange()

    def merge(
        self, reports: Iterable[PartReport], now_ms: int, is_past: bool = False
    ) -> QuarantineChange:
        """Add what a peer knows, or knew when it stored it.

        :param is_past: the reports were stored some time ago
        """
        has_news = False
        crashed: dict[str, CountedCrashes] = {}
        for report in reports:
            if not report.crashes | report.cleared:
                continue
            record = self._record_of(report.part, report.company)
            is_new_crash = not report.crashes <= record.crashes.keys()
            has_news |= record.merge(
                report, now_ms, is_past, report.part in self._answered
            )
            if is_new_crash:
                crashed[report.part] = record.counted_crashes(report.part)
        if not has_news:
            return QuarantineChange()
        return attrs.evolve(self._update(now_ms), crashed=tuple(crashed.values()))

    def expire(self, now_ms: int) -> QuarantineChange:
        """Drop old crashes and end quarantines whose time is over."""
        return self._update(now_ms) if self._records else QuarantineChange()

    def quarantined_part(self, parts: Collection[str], now_ms: int) -> str | None:
        """Return the part for which a request is refused, ``None`` if there is none."""
        if not self._quarantined:
            return None
        return next(
            (
                part
                for part, record in self._records_within(parts)
                if record.is_quarantined(now_ms)
            ),
            None,
        )

    def is_suspect(
        self, parts: Collection[str], crashes: int = CRASHES_TO_STOP_RETRIES
    ) -> bool:
        """Return whether a request should not be tried at another engine.

        :param crashes: number of crashes from which it should not
        """
        return any(
            record.crash_count >= crashes for _, record in self._records_within(parts)
        )

    def _records_within(
        self, parts: Collection[str]
    ) -> Iterator[tuple[str, _PartRecord]]:
        """Yield the parts with a record that had no other company than these parts."""
        present = frozenset(parts)
        for part in parts:
            record = self._records.get(part)
            if record is not None and record.company <= present:
                yield part, record

    @property
    def has_records(self) -> bool:
        """Return whether any part is suspect."""
        return bool(self._records)

    def report_of(self, part: str, now_ms: int) -> PartReport:
        """Return what this daemon knows of a part, nothing if it is not suspect."""
        record = self._records.get(part)
        if record is None:
            return PartReport(part, frozenset(), frozenset(), 0, frozenset({part}))
        return record.report(part, now_ms)

    def worst_reports(self, limit: int, now_ms: int) -> tuple[PartReport, ...]:
        """Return reports on the parts with the most crashes, at most ``limit``."""
        ordered = sorted(
            self._records, key=lambda p: self._records[p].crash_count, reverse=True
        )
        return tuple(
            self._records[part].report(part, now_ms) for part in ordered[:limit]
        )

    def next_reports(self, now_ms: int) -> tuple[PartReport, ...]:
        """Return what the next heartbeat reports: the worst parts, news, and others."""
        ordered = sorted(
            self._records, key=lambda p: self._records[p].crash_count, reverse=True
        )
        half = self._max_reports // 2
        worst, others = ordered[:half], ordered[half:]
        news = self._next_news(
            frozenset(others), self._max_reports - len(worst), now_ms
        )
        others = [part for part in others if part not in news]
        if self._report_offset >= len(others):
            self._report_offset = 0
        start = self._report_offset
        self._report_offset += self._max_reports - len(worst) - len(news)
        return tuple(
            self._records[part].report(part, now_ms)
            for part in [*worst, *news, *others[start : self._report_offset]]
        )

    def _next_news(
        self, among: frozenset[str], limit: int, now_ms: int
    ) -> tuple[str, ...]:
        """Return parts with news, those that were not reported for longest first."""
        for part, until_ms in list(self._news.items()):
            if until_ms <= now_ms:
                del self._news[part]
        news = tuple(
            itertools.islice((part for part in self._news if part in among), limit)
        )
        for part in news:
            self._news.move_to_end(part)
        return news

    def _set_news(self, part: str, now_ms: int) -> None:
        """Have a part reported first for a while."""
        self._news[part] = now_ms + NEWS_MS
        self._news.move_to_end(part, last=False)

    @property
    def quarantined(self) -> frozenset[str]:
        """Return the quarantined parts, as of the last change."""
        return self._quarantined

    def _record_of(self, part: str, company: frozenset[str]) -> _PartRecord:
        """Return a part's record; a new one may evict that with the oldest crash."""
        record = self._records.get(part)
        if record is None:
            self._make_room(1)
            record = _PartRecord(_company(company), self._counting)
            self._records[part] = record
        return record

    def _make_room(self, count: int) -> None:
        """Evict the records with the oldest crashes, so that others can be added."""
        excess = len(self._records) + count - MAX_RECORDS
        if excess > 0:
            for part in heapq.nsmallest(excess, self._records, key=self._rank):
                del self._records[part]

    def _rank(self, part: str) -> tuple[bool, int, int]:
        """Return the order of eviction of a part's record."""
        record = self._records[part]
        newest_ms = max(record.crashes.values(), default=0)
        return part in self._quarantined, newest_ms, record.crash_count

    def _update(self, now_ms: int) -> QuarantineChange:
        """Clear explained crashes, drop old records and return what has changed."""
        self._clear_explained_crashes(now_ms)
        for part, record in list(self._records.items()):
            record.forget_old_crashes(now_ms)
            if not record.crashes and not record.is_quarantined(now_ms):
                del self._records[part]
        quarantined = frozenset(
            part for part, r in self._records.items() if r.is_quarantined(now_ms)
        )
        change = QuarantineChange(
            tuple(sorted(quarantined - self._quarantined)),
            tuple(sorted(self._quarantined - quarantined)),
        )
        self._quarantined = quarantined
        return change

    def _clear_explained_crashes(self, now_ms: int) -> None:
        """Clear suspects of crashes that another part explains better."""
        answered = [r for p, r in self._records.items() if p in self._answered]
        if answered:
            unanswered = (
                r for p, r in self._records.items() if p not in self._answered
            )
            by_unanswered = set().union(*(r.open_crashes for r in unanswered))
            for record in answered:
                record.clear(record.crashes.keys() & by_unanswered)
        match self._counting:
            case OncePerOutage():
                self._clear_explained_by_quarantined(now_ms)
            case EachCrash():
                # Two requests that crash servers may meet at one, and would clear
                # each other.
                pass

    def _clear_explained_by_quarantined(self, now_ms: int) -> None:
        # Parts of one long prompt are quarantined by the same crashes.
        quarantined: dict[frozenset[int], set[str]] = {}
        for part, record in self._records.items():
            if record.is_quarantined(now_ms):
                crashes = frozenset(record.open_crashes)
                quarantined.setdefault(crashes, set()).add(part)
        if not quarantined:
            return
        for record in self._records.values():
            open_crashes = record.open_crashes
            # Of two parts that always occur together, either may be the cause.
            if any(
                open_crashes < crashes and not parts <= record.company
                for crashes, parts in quarantined.items()
            ):
                record.clear(open_crashes)


def _company(parts: Collection[str]) -> frozenset[str]:
    """Return the parts of a request that are remembered with each of its parts."""
    return frozenset(heapq.nsmallest(MAX_COMPANY, parts))
