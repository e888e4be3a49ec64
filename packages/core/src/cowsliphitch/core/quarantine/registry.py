"""Quarantine of requests that crash upstreams.

Every request in flight at an upstream that crashes becomes a suspect.  A suspect is
dispatched only to an upstream without other calls, so that the next crash has a single
possible cause: that request's fingerprint is quarantined.  A suspect that succeeds is
cleared.
"""

import enum

import attrs

from . import const


class QuarantineStatus(enum.Enum):
    """How a request may be dispatched.

    ``SUSPECT`` requests need an upstream without other calls.  ``QUARANTINED`` requests
    are refused.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@attrs.frozen
class CrashRecord:
    """Crashes of upstreams while a fingerprint was in flight.

    :param crashes: count over the fleet
    :param expires_ms: wall time of the record's expiry
    """

    crashes: int
    expires_ms: int


class SuspectRegistry:
    """Crash records by request fingerprint, as known to this daemon.

    Times are wall time, in ms.
    """

    def __init__(self) -> None:
        """Initialize the registry without crash records."""
        self._records: dict[str, CrashRecord] = {}

    def status(self, fingerprint: str, now_ms: int) -> QuarantineStatus:
        """Return how a request with this fingerprint may be dispatched."""
        record = self._records.get(fingerprint)
        if record is None or record.expires_ms <= now_ms:
            return QuarantineStatus.CLEAR
        if record.crashes >= const.CRASHES_TO_QUARANTINE:
            return QuarantineStatus.QUARANTINED
        return QuarantineStatus.SUSPECT

    def record_crash(self, fingerprint: str, exclusive: bool, now_ms: int) -> None:
        """Record that an upstream crashed while it ran this fingerprint.

        Only the first crash and crashes of an exclusive call raise the count, because
        another call may have caused the others.

        :param exclusive: no other call of this daemon was in flight at the upstream
        """
        record = self._records.get(fingerprint)
        crashes = record.crashes if record is not None else 0
        crashes = crashes + 1 if exclusive or not crashes else crashes
        self._store(fingerprint, crashes, now_ms)

    def record_success(self, fingerprint: str) -> None:
        """Clear a fingerprint whose request succeeded."""
        self._records.pop(fingerprint, None)

    def merge_crash_count(self, fingerprint: str, crashes: int, now_ms: int) -> None:
        """Adopt a peer's crash count if it is higher than the local one."""
        record = self._records.get(fingerprint)
        if record is None or record.crashes < crashes:
            self._store(fingerprint, crashes, now_ms)

    def crash_counts(self, now_ms: int) -> dict[str, int]:
        """Return the unexpired crash counts by fingerprint, to send to peers."""
        return {
            fingerprint: record.crashes
            for fingerprint, record in self._records.items()
            if record.expires_ms > now_ms
        }

    def _store(self, fingerprint: str, crashes: int, now_ms: int) -> None:
        """Replace a record and evict the oldest beyond ``MAX_FINGERPRINTS``."""
        is_quarantined = crashes >= const.CRASHES_TO_QUARANTINE
        ttl_ms = const.QUARANTINE_TTL_MS if is_quarantined else const.SUSPECT_TTL_MS
        self._records.pop(fingerprint, None)
        self._records[fingerprint] = CrashRecord(crashes, now_ms + ttl_ms)
        if len(self._records) > const.MAX_FINGERPRINTS:
            del self._records[next(iter(self._records))]
