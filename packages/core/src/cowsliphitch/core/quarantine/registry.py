"""Requests that were running when an upstream crashed.

Every request on a crashed upstream becomes a suspect.  A suspect runs again only
alone, so the next crash has one cause: that fingerprint is quarantined.  A suspect
that finishes is cleared.
"""

import enum

import attrs

from . import const


class QuarantineStatus(enum.Enum):
    """How a request may be dispatched."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@attrs.frozen
class Suspicion:
    """Crashes that a fingerprint was present at.

    :param crashes: counted over the fleet
    :param until_ms: wall time when it is forgotten
    """

    crashes: int
    until_ms: int


class SuspectRegistry:
    """Fingerprints under suspicion or in quarantine in this daemon."""

    def __init__(self) -> None:
        """Start with none."""
        self._suspicions: dict[str, Suspicion] = {}

    def status(self, fingerprint: str, now_ms: int) -> QuarantineStatus:
        """Tell how a request with this fingerprint may be dispatched."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or suspicion.until_ms <= now_ms:
            return QuarantineStatus.CLEAR
        if suspicion.crashes >= const.CRASHES_TO_QUARANTINE:
            return QuarantineStatus.QUARANTINED
        return QuarantineStatus.SUSPECT

    def record_crash(self, fingerprint: str, alone: bool, now_ms: int) -> None:
        """Count a crash; only a crash alone can lead to quarantine."""
        suspicion = self._suspicions.get(fingerprint)
        crashes = suspicion.crashes if suspicion is not None else 0
        crashes = crashes + 1 if alone or not crashes else crashes
        self._keep(fingerprint, crashes, now_ms)

    def record_success(self, fingerprint: str) -> None:
        """Clear a suspect that finished."""
        self._suspicions.pop(fingerprint, None)

    def merge_crash_count(self, fingerprint: str, crashes: int, now_ms: int) -> None:
        """Take over what a peer knows, if it is more."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or suspicion.crashes < crashes:
            self._keep(fingerprint, crashes, now_ms)

    def crash_counts(self, now_ms: int) -> dict[str, int]:
        """Return the crashes by fingerprint, for the peers."""
        return {
            fingerprint: suspicion.crashes
            for fingerprint, suspicion in self._suspicions.items()
            if suspicion.until_ms > now_ms
        }

    def _keep(self, fingerprint: str, crashes: int, now_ms: int) -> None:
        quarantined = crashes >= const.CRASHES_TO_QUARANTINE
        ms = const.QUARANTINE_FOR_MS if quarantined else const.SUSPECT_FOR_MS
        self._suspicions.pop(fingerprint, None)
        self._suspicions[fingerprint] = Suspicion(crashes, now_ms + ms)
        if len(self._suspicions) > const.MAX_FINGERPRINTS:
            del self._suspicions[next(iter(self._suspicions))]
