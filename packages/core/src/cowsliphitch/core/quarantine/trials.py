"""Trials of requests that are suspected of crashing servers.

Load pattern: a request crashes each server that runs it, and its copies come through
several daemons at the same moment, most of all when servers return after a crash.  One
daemon decides for all which copy may be sent.

A copy of a suspect request is sent only after the one before it was judged.  A request
that may have crashed two servers is also kept apart from other suspects, so that a
sound one is not lost beside the cause each time.
"""

from typing import Final

import attrs

# Crashes from which a suspect is tried at a server without other suspects.
CRASHES_TO_SEPARATE: Final = 2

# Time after which the caller of a suspect that was not tried may return.
TRIAL_RETRY_AFTER_MS: Final = 300


@attrs.frozen
class TrialRequest:
    """Request to send one copy of a suspect to a server.

    :param digest: digest of the request
    :param holder: address of the daemon that sends it
    :param server_id: server that it is sent to
    :param crash_count: crashes that the request may have caused
    :param duration_ms: longest time until the copy is judged
    """

    digest: str
    holder: str
    server_id: str
    crash_count: int
    duration_ms: int


@attrs.frozen
class _Trial:
    """A copy that was sent and is not judged yet.

    :param expires_ms: monotonic time from which its holder is taken for lost
    """

    request: TrialRequest
    expires_ms: int

    @property
    def is_separate(self) -> bool:
        """Return whether its server may have no other suspect."""
        return self.request.crash_count >= CRASHES_TO_SEPARATE


class TrialTable:
    """Copies of suspects that are at servers, at most one of each request."""

    def __init__(self) -> None:
        """Initialize without trials."""
        self._trials: dict[str, _Trial] = {}

    def begin(self, request: TrialRequest, now_ms: int) -> bool:
        """Begin a trial unless it has to wait for another one.

        :returns: whether the copy may be sent
        """
        self._trials = {
            digest: trial
            for digest, trial in self._trials.items()
            if trial.expires_ms > now_ms
        }
        trial = _Trial(request, now_ms + request.duration_ms)
        if request.digest in self._trials or self._has_company(trial):
            return False
        self._trials[request.digest] = trial
        return True

    def _has_company(self, trial: _Trial) -> bool:
        """Return whether suspects would meet at a server of which one is separate."""
        return any(
            other.request.server_id == trial.request.server_id
            and (trial.is_separate or other.is_separate)
            for other in self._trials.values()
        )

    def end(self, digest: str, holder: str) -> None:
        """End a trial whose copy was judged.

        :param holder: address of the daemon that sent the copy
        """
        trial = self._trials.get(digest)
        if trial is not None and trial.request.holder == holder:
            del self._trials[digest]

    def end_of_holder(self, holder: str) -> None:
        """End the trials of a daemon that was lost, as it judges no copy any more."""
        self._trials = {
            digest: trial
            for digest, trial in self._trials.items()
            if trial.request.holder != holder
        }

    def __len__(self) -> int:
        """Return the number of trials."""
        return len(self._trials)
