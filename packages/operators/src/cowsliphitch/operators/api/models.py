"""What the operators' interface shows and takes."""

from typing import Protocol

import attrs
from result import Result

from cowsliphitch.core.config.models import Change, Rejected, Snapshot
from cowsliphitch.core.verdict import Refusal


@attrs.frozen
class DaemonStatus:
    """A daemon as another one knows it."""

    name: str
    failure_domain: str
    state: str
    config_revision: int
    leaving: bool
    operators_address: str


@attrs.frozen
class UpstreamStatus:
    """An upstream as one daemon knows it."""

    name: str
    pool: str
    failure_domain: str
    state: str
    outstanding: int
    latency_ms: int


@attrs.frozen
class TeamStatus:
    """A team and the work it was given by one daemon."""

    name: str
    share: int
    answered: int
    refused: int
    waiting_work: int


@attrs.frozen
class SubmitRequest:
    """An operator's change.

    :param base_revision: the revision that the operator edited
    :param document: the whole settings tree, as YAML
    """

    base_revision: int
    document: str
    note: str = ""


@attrs.frozen
class SubmitReply:
    """What became of an operator's change.

    :param outcome: ``stored``, ``unchanged``, ``conflict``, ``unknown``,
        ``unavailable`` or ``invalid``
    :param detail: one sentence for a person
    :param problems: what is wrong in the document, a line each
    """

    outcome: str
    revision: int = 0
    detail: str = ""
    change: str = ""
    problems: tuple[str, ...] = ()


@attrs.frozen
class Audit:
    """The audit trail: changes that were stored, and losers of races."""

    changes: tuple[Change, ...]
    rejected: tuple[Rejected, ...]


class Control(Protocol):
    """The daemon as the operators' interface sees it."""

    def operator_of(self, token: str) -> str | None:
        """Return the operator that a token belongs to."""

    def snapshot(self) -> Snapshot | None:
        """Return the configuration in force in this daemon."""

    async def submit(self, operator: str, request: SubmitRequest) -> SubmitReply:
        """Check and store a change."""

    async def audit(self, limit: int) -> Result[Audit, Refusal]:
        """Read the audit trail."""

    def daemons(self) -> tuple[DaemonStatus, ...]:
        """Return the daemons that this one knows."""

    def upstreams(self) -> tuple[UpstreamStatus, ...]:
        """Return the upstreams that this daemon knows."""

    def teams(self) -> tuple[TeamStatus, ...]:
        """Return the teams and what they were given here."""

    def diagnostics(self) -> dict[str, object]:
        """Return counters for a person who looks for a fault, without secrets."""

    def metrics(self) -> tuple[bytes, str]:
        """Return the metrics for a scraper, and their media type."""
