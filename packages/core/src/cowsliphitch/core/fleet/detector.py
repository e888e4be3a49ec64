"""Failure detection in large fleets, by probes of single members.

Load pattern: with heartbeats to all, each daemon of a fleet of hundreds handles some
hundred datagrams a second in calm, and notices a silent member only after several
seconds.  Here each daemon probes one member at a time, whatever the size of the fleet
(SWIM: Das, Gupta, Motivala 2002).

A member that does not answer is probed by others as well, over other paths; if none
hears it, it becomes suspect.  Suspicions spread with the messages that are sent anyway,
and whoever hears of one probes the member itself.  Any later word of the member ends
them: it says so once it hears of the suspicion, and so does whoever hears it.

Fault: a failure domain is cut off.  A daemon whose probe is not answered probes several
members of the same domain at once.  If the whole domain is silent, it tells the others,
which check for themselves.  A domain that only this daemon can't hear is silent here,
but its members are not suspect.

Times are monotonic time, in ms.  A probe's answer names its number.
"""

import itertools
import math
import random
from collections import OrderedDict
from collections.abc import Iterable, Iterator, Sequence
from typing import Final

import attrs

from .members import SUSPICION_MS, MemberTable

# Time between two routine probes, and until their answers count as missing.
PROBE_INTERVAL_MS: Final = 500
PROBE_TIMEOUT_MS: Final = 200

# Members that are asked to probe one that did not answer, and the time for that.
RELAY_COUNT: Final = 3
RELAYED_TIMEOUT_MS: Final = 500

# Members of a domain that are probed at once when one of it did not answer, and how
# often in a row that happens before the domain is silent: with a tenth of all packets
# lost, one time is missed once in 600.
DOMAIN_CHECK_PROBES: Final = 4
DOMAIN_CHECK_ROUNDS: Final = 2

# Members whose state is not known that are probed in one round, and the time until one
# of them is probed again, if it may still hold duties or is lost.
MAX_UNCONFIRMED_PER_ROUND: Final = 8
REPROBE_INTERVAL_MS: Final = 250
REPROBE_LOST_INTERVAL_MS: Final = 1_500

# Time that a daemon has to probe a member whose suspicion it learns late.
MIN_VERIFICATION_MS: Final = 1_000

# Reports in one message, and the messages that repeat a report, as a multiple of the
# logarithm of the fleet's size: enough to reach all members with high probability.
MAX_REPORTS_PER_MESSAGE: Final = 8
REPEATS_PER_LOG: Final = 3

# Probes that are relayed for others at a time.
MAX_RELAYED: Final = 256


@attrs.frozen
class MemberReport:
    """What a daemon reports on a member's state.

    :param is_suspect: the member does not answer; otherwise it was heard
    :param age_ms: time since which it has not answered, or since it was heard
    """

    address: str
    is_suspect: bool
    age_ms: int = 0


@attrs.frozen
class SendProbe:
    """Ask a member to answer.

    :param number: number of the probe, which the answer names
    """

    address: str
    number: int


@attrs.frozen
class AskRelay:
    """Ask a member to probe another one and to answer when that one does.

    :param target: address of the member to probe
    """

    address: str
    number: int
    target: str


@attrs.frozen
class SendAnswer:
    """Answer a probe."""

    address: str
    number: int


@attrs.frozen
class TellSilence:
    """Tell members that failure domains are silent."""

    addresses: tuple[str, ...]


Command = SendProbe | AskRelay | SendAnswer | TellSilence


@attrs.define
class _Probe:
    """A probe without an answer so far.

    :param due_ms: time at which its answer counts as missing
    :param is_relayed: other members were asked to probe as well
    :param is_check: it asks whether the member's domain is silent
    """

    address: str
    domain: str
    sent_ms: int
    due_ms: int
    is_relayed: bool = False
    is_check: bool = False


@attrs.frozen
class _Relayed:
    """A probe on behalf of another member.

    :param requester: address of that member
    :param number: its number for the probe
    """

    requester: str
    number: int
    sent_ms: int


@attrs.define
class _QueuedReport:
    """A report to spread.

    :param since_ms: time to which the report's age refers
    :param sends_left: messages that still carry it
    """

    report: MemberReport
    since_ms: int
    sends_left: int


@attrs.define
class _DomainState:
    """What is known of another failure domain.

    :param heard_ms: time of the latest message from it
    :param check_since_ms: time at which its check began, ``None`` without one
    :param check_due_ms: time at which the answers of its latest round are missing
    :param check_rounds: rounds of the check so far
    :param is_told: another member found the domain silent
    :param relayed_ms: time at which a member of it last answered a relayed probe
    :param silent: the check found it silent
    """

    heard_ms: int = 0
    check_since_ms: int | None = None
    check_due_ms: int = 0
    check_rounds: int = 0
    is_told: bool = False
    relayed_ms: int = 0
    silent: bool = False


class FailureDetector:
    """Decide whom to probe, and what missing answers mean.

    :param members: gets the suspicions and the silent domains
    """

    def __init__(self, members: MemberTable, rng: random.Random) -> None:
        """Initialize without probes; the first routine probe is due at once."""
        self._members = members
        self._rng = rng
        self._numbers = itertools.count(rng.randrange(1, 2**31))
        self._probes: dict[int, _Probe] = {}
        self._relayed: OrderedDict[int, _Relayed] = OrderedDict()
        self._ring: list[str] = []
        self._next_routine_ms = 0
        # Time from which a member may be probed again.
        self._reprobe_ms: dict[str, int] = {}
        self._reports: dict[str, _QueuedReport] = {}
        self._domains: dict[str, _DomainState] = {}
        self._own_domain = members.own.failure_domain

    def shift(self, ms: int) -> None:
        """Leave a time in which this process ran late out of account."""
        for probe in self._probes.values():
            probe.due_ms += ms
        for state in self._domains.values():
            state.check_due_ms += ms

    def run_round(self, now_ms: int) -> list[Command]:
        """Judge missing answers, and return the messages to send now.

        Call this several times within ``PROBE_TIMEOUT_MS``.
        """
        return [
            *self._judge_probes(now_ms),
            *self._judge_domains(now_ms),
            *self._probe_unconfirmed(now_ms),
            *self._probe_next(now_ms),
        ]

    def probe_some(self, count: int, now_ms: int) -> list[Command]:
        """Return probes of some live members, for news of them."""
        live = [m.address for m in self._members.live(now_ms)]
        chosen = self._choose(live, count)
        return [self._probe(address, now_ms) for address in chosen]

    def record_message(self, address: str, domain: str, now_ms: int) -> None:
        """Record that a member of a domain was heard, whatever it said."""
        state = self._domains.setdefault(domain, _DomainState())
        state.heard_ms = now_ms
        state.check_since_ms = None
        if state.silent:
            state.silent = False
            self._members.clear_suspicions(domain)
            self._reports = {
                a: queued
                for a, queued in self._reports.items()
                if self._members.domain_of(a) != domain
            }
            self._publish_silent()
        queued = self._reports.get(address)
        is_refuted = queued is not None and queued.report.is_suspect
        if self._members.hear(address, now_ms) or is_refuted:
            self._queue(MemberReport(address, is_suspect=False), now_ms)

    def record_answer(self, number: int, now_ms: int) -> int | None:
        """Record the answer to a probe.

        :returns: time at which the probe was sent, ``None`` if it is not awaited
        """
        probe = self._probes.pop(number, None)
        if probe is None:
            return None
        if probe.is_relayed:
            self._domains.setdefault(probe.domain, _DomainState()).relayed_ms = now_ms
            self._members.hear(probe.address, now_ms)
        return probe.sent_ms

    def forward_answer(self, number: int) -> SendAnswer | None:
        """Return the answer to whoever asked for a relayed probe, if it was one."""
        relayed = self._relayed.pop(number, None)
        return (
            None if relayed is None else SendAnswer(relayed.requester, relayed.number)
        )

    def relay(self, requester: str, number: int, target: str, now_ms: int) -> SendProbe:
        """Return the probe of a member on behalf of another one."""
        own_number = next(self._numbers)
        self._relayed[own_number] = _Relayed(requester, number, now_ms)
        while len(self._relayed) > MAX_RELAYED:
            self._relayed.popitem(last=False)
        return SendProbe(target, own_number)

    def learn(self, reports: Iterable[MemberReport], now_ms: int) -> None:
        """Apply the reports of another member, and pass on those that are news."""
        for report in reports:
            time_ms = now_ms - report.age_ms
            if report.address == self._members.own.address:
                if report.is_suspect:
                    own_report = MemberReport(report.address, is_suspect=False)
                    self._queue(own_report, now_ms)
            elif report.is_suspect:
                earliest_ms = now_ms - SUSPICION_MS + MIN_VERIFICATION_MS
                if self._members.suspect(report.address, max(time_ms, earliest_ms)):
                    self._queue(report, time_ms)
            elif self._members.hear(report.address, time_ms):
                self._queue(report, time_ms)

    def next_reports(self, now_ms: int) -> tuple[MemberReport, ...]:
        """Return the reports for the next message, those that were sent least first."""
        queued = sorted(self._reports.values(), key=lambda q: -q.sends_left)
        chosen = queued[:MAX_REPORTS_PER_MESSAGE]
        for row in chosen:
            row.sends_left -= 1
            if row.sends_left <= 0:
                del self._reports[row.report.address]
        return tuple(
            attrs.evolve(row.report, age_ms=max(0, now_ms - row.since_ms))
            for row in chosen
        )

    def check_domains(self, domains: Iterable[str], now_ms: int) -> list[Command]:
        """Check the failure domains that another member found silent."""
        commands: list[Command] = []
        known = {member.failure_domain for member in self._members.peers()}
        for domain in known.intersection(domains):
            commands.extend(self._check_domain(domain, now_ms))
            self._domains[domain].is_told = True
        return commands

    @property
    def silent_domains(self) -> tuple[str, ...]:
        """Return the failure domains in which no member answers."""
        return tuple(name for name, state in self._domains.items() if state.silent)

    def _judge_probes(self, now_ms: int) -> Iterator[Command]:
        overdue = [
            number for number, probe in self._probes.items() if probe.due_ms <= now_ms
        ]
        for number in overdue:
            probe = self._probes.pop(number)
            yield from self._check_domain(probe.domain, now_ms, probe.sent_ms)
            if probe.is_check or self._members.is_suspect(probe.address):
                continue
            if not probe.is_relayed:
                yield from self._ask_relays(probe, now_ms)
                continue
            if self._members.suspect(probe.address, probe.sent_ms):
                report = MemberReport(probe.address, is_suspect=True)
                self._queue(report, probe.sent_ms)

    def _ask_relays(self, probe: _Probe, now_ms: int) -> Iterator[Command]:
        """Have other members probe one that did not answer, and probe it again."""
        number = next(self._numbers)
        self._probes[number] = attrs.evolve(
            probe, due_ms=now_ms + RELAYED_TIMEOUT_MS, is_relayed=True
        )
        yield SendProbe(probe.address, number)
        yield from self._ask(number, probe, now_ms)

    def _ask(self, number: int, probe: _Probe, now_ms: int) -> Iterator[Command]:
        """Ask members of other domains than the probed one, if there are any."""
        live = [
            member
            for member in self._members.live(now_ms)
            if member.address != probe.address
            and not self._members.is_suspect(member.address)
        ]
        others = [m.address for m in live if m.failure_domain != probe.domain]
        relays = self._choose(others or [m.address for m in live], RELAY_COUNT)
        for address in relays:
            yield AskRelay(address, number, probe.address)

    def _check_domain(
        self, domain: str, now_ms: int, since_ms: int | None = None
    ) -> Iterator[Command]:
        """Probe several members of a domain, unless it was heard or is being checked.

        :param since_ms: the domain is not checked if it was heard since then
        """
        state = self._domains.setdefault(domain, _DomainState())
        is_checked = state.silent or state.check_since_ms is not None
        if domain == self._own_domain or is_checked:
            return
        if since_ms is not None and state.heard_ms >= since_ms:
            return
        state.check_since_ms, state.check_rounds = now_ms, 0
        state.is_told = False
        yield from self._run_check(domain, state, now_ms)

    def _run_check(
        self, domain: str, state: _DomainState, now_ms: int
    ) -> Iterator[Command]:
        """Probe some members of a domain in one round of its check."""
        state.check_rounds += 1
        state.check_due_ms = now_ms + PROBE_TIMEOUT_MS
        members = [
            m.address for m in self._members.live(now_ms) if m.failure_domain == domain
        ]
        chosen = self._choose(members, DOMAIN_CHECK_PROBES)
        for address in chosen:
            yield self._probe(address, now_ms, is_check=True)
        for address in chosen[:1]:
            relayed = _Probe(address, domain, now_ms, state.check_due_ms, True, True)
            number = next(self._numbers)
            self._probes[number] = relayed
            yield from self._ask(number, relayed, now_ms)

    def _judge_domains(self, now_ms: int) -> Iterator[Command]:
        for name, state in self._domains.items():
            if state.check_since_ms is None or now_ms < state.check_due_ms:
                continue
            if state.check_rounds < DOMAIN_CHECK_ROUNDS:
                yield from self._run_check(name, state, now_ms)
                continue
            since_ms, state.check_since_ms = state.check_since_ms, None
            state.silent = True
            self._publish_silent()
            if state.relayed_ms < since_ms:
                for member in self._members.live(now_ms):
                    if member.failure_domain == name:
                        self._members.suspect(member.address, since_ms)
            if not state.is_told:
                yield TellSilence(
                    tuple(
                        member.address
                        for member in self._members.live(now_ms)
                        if member.failure_domain != name
                        and member.address != self._members.own.address
                    )
                )

    def _publish_silent(self) -> None:
        self._members.silent_domains = frozenset(self.silent_domains)

    def _probe_unconfirmed(self, now_ms: int) -> Iterator[Command]:
        """Probe members that only a probe can tell of, some in each round."""
        due = [
            address
            for address in self._members.unconfirmed(now_ms)
            if now_ms >= self._reprobe_ms.get(address, 0)
        ]
        for address in due[:MAX_UNCONFIRMED_PER_ROUND]:
            is_live = self._members.is_live(address, now_ms)
            wait_ms = REPROBE_INTERVAL_MS if is_live else REPROBE_LOST_INTERVAL_MS
            self._reprobe_ms[address] = now_ms + wait_ms
            yield SendProbe(address, next(self._numbers))

    def _probe_next(self, now_ms: int) -> Iterator[Command]:
        """Probe the next member in a random order of all, failed ones included."""
        if now_ms < self._next_routine_ms:
            return
        self._next_routine_ms = now_ms + PROBE_INTERVAL_MS
        known = {member.address for member in self._members.peers()}
        self._reprobe_ms = {a: ms for a, ms in self._reprobe_ms.items() if a in known}
        if not self._ring:
            self._ring = sorted(known)
            self._rng.shuffle(self._ring)
        while self._ring:
            address = self._ring.pop()
            if address in known and not self._members.is_leaving(address):
                yield self._probe(address, now_ms)
                break
        for name, state in self._domains.items():
            if state.silent:
                members = [
                    m.address for m in self._members.peers() if m.failure_domain == name
                ]
                for address in self._choose(members, 1):
                    yield SendProbe(address, next(self._numbers))

    def _probe(self, address: str, now_ms: int, is_check: bool = False) -> SendProbe:
        number = next(self._numbers)
        self._probes[number] = _Probe(
            address,
            self._members.domain_of(address),
            now_ms,
            now_ms + PROBE_TIMEOUT_MS,
            is_check=is_check,
        )
        return SendProbe(address, number)

    def _queue(self, report: MemberReport, since_ms: int) -> None:
        size = 1 + len(self._members.peers())
        sends = REPEATS_PER_LOG * math.ceil(math.log2(size + 1))
        self._reports[report.address] = _QueuedReport(report, since_ms, sends)

    def _choose(self, addresses: Sequence[str], count: int) -> list[str]:
        """Return some of the addresses at random, without the own one."""
        others = [a for a in addresses if a != self._members.own.address]
        return self._rng.sample(others, min(count, len(others)))
