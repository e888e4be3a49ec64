"""Data model of the operators' API, and the interface to the daemon behind it.

The classes are sent and received as JSON under their attribute names.
"""

from typing import Protocol

import attrs
from result import Result

from cowsliphitch.core.config.models import Change, Rejected, Snapshot
from cowsliphitch.core.verdict import Refusal


@attrs.frozen
class DaemonStatus:
    """A daemon, as known to the daemon that answers.

    :param state: state in the membership: ``alive``, ``suspect`` or ``dead``
    :param config_revision: revision of the configuration in force there
    :param leaving: whether it is shutting down
    :param operators_address: host and port of its operators' API
    """

    name: str
    failure_domain: str
    state: str
    config_revision: int
    leaving: bool
    operators_address: str


@attrs.frozen
class UpstreamStatus:
    """An upstream, as known to the daemon that answers.

    :param state: ``leaving`` if it is shutting down, else the state of its circuit
        breaker
    :param outstanding: calls from this daemon that are in flight
    :param latency_ms: recent latency of its calls
    """

    name: str
    pool: str
    failure_domain: str
    state: str
    outstanding: int
    latency_ms: int


@attrs.frozen
class TeamStatus:
    """A team and its requests at the daemon that answers.

    :param share: weight of the team in scheduling
    :param answered: number of answered requests
    :param refused: number of refused requests
    :param waiting_work: work of its queued requests
    """

    name: str
    share: int
    answered: int
    refused: int
    waiting_work: int


@attrs.frozen
class SubmitRequest:
    """A change that an operator submits.

    :param base_revision: the revision that the operator edited
    :param document: the whole settings tree, as YAML
    :param note: the operator's comment for the audit trail
    """

    base_revision: int
    document: str
    note: str = ""


@attrs.frozen
class SubmitReply:
    """The outcome of a submitted change.

    :param outcome: ``stored``, ``unchanged``, ``conflict``, ``unknown``,
        ``unavailable`` or ``invalid``
    :param revision: revision of the configuration in the store, 0 if unknown
    :param detail: one sentence for the operator
    :param change: identifier of the change, empty if none was made
    :param problems: errors in the document, one line each
    """

    outcome: str
    revision: int = 0
    detail: str = ""
    change: str = ""
    problems: tuple[str, ...] = ()


@attrs.frozen
class Audit:
    """The audit trail.

    :param changes: stored changes, newest first
    :param rejected: changes that were rejected because of a conflict
    """

    changes: tuple[Change, ...]
    rejected: tuple[Rejected, ...]


class Control(Protocol):
    """Interface between the operators' API and the daemon."""

    def operator_of(self, token: str) -> str | None:
        """Return the name of the operator whose token this is, ``None`` if unknown."""

    def snapshot(self) -> Snapshot | None:
        """Return the configuration in force here, ``None`` before the first."""

    async def submit(self, operator: str, request: SubmitRequest) -> SubmitReply:
        """Validate and store a change.

        :param operator: name of the operator, for the audit trail
        """

    async def audit(self, limit: int) -> Result[Audit, Refusal]:
        """Read the audit trail.

        :param limit: maximum number of stored changes
        """

    def daemons(self) -> tuple[DaemonStatus, ...]:
        """Return all daemons known to this one, including itself."""

    def upstreams(self) -> tuple[UpstreamStatus, ...]:
        """Return all upstreams known to this daemon."""

    def teams(self) -> tuple[TeamStatus, ...]:
        """Return all teams with their requests at this daemon."""

    def diagnostics(self) -> dict[str, object]:
        """Return counters for fault finding, without secrets."""

    def metrics(self) -> tuple[bytes, str]:
        """Return the metrics in a format for scrapers, and its media type."""
