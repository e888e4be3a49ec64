"""Trials of suspect requests: one copy of each at a time in the fleet.

The daemon that holds the duty for a route's pool group decides for all which copy may
be sent to a server.  The call tells it what the sender knows of the request, and the
end of the trial what came of the copy, so that it never decides on less than they know.

Fault: that daemon is lost or can't be reached.  Suspects are refused until another one
has taken over the duty.
"""

import logging
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from cowsliphitch.core.deployment.models import Route
from cowsliphitch.core.quarantine.exposures import Exposure
from cowsliphitch.core.quarantine.trials import (
    TRIAL_RETRY_AFTER_MS,
    TrialRequest,
    TrialTable,
)
from cowsliphitch.core.requests.models import CallerRequest
from cowsliphitch.core.servers.models import Server
from cowsliphitch.core.verdict import Reason, not_run
from cowsliphitch.peers.fleet.models import (
    BeginTrial,
    EndTrial,
    PeerCallFailed,
    TrialReply,
)
from cowsliphitch.peers.fleet.rpc import PeerConnections
from cowsliphitch.telemetry.logs import event
from cowsliphitch.telemetry.tasks import BackgroundTasks
from cowsliphitch.upstreams.http1.models import UpstreamError

from . import const
from .engine_quarantine import EngineQuarantine
from .state import GatewayState, duty_name

_LOGGER = logging.getLogger(__name__)


class TrialBroker:
    """Get trials from the deciding daemon, and decide on them if this is the one."""

    def __init__(
        self,
        state: GatewayState,
        peers: PeerConnections,
        quarantine: EngineQuarantine,
        tasks: BackgroundTasks,
    ) -> None:
        """Initialize without trials.

        :param peers: connections to the other daemons
        :param quarantine: knows which requests are suspect
        :param tasks: run the reports on the ends of trials
        """
        self._state = state
        self._peers = peers
        self._quarantine = quarantine
        self._tasks = tasks
        self._table = TrialTable()

    @asynccontextmanager
    async def hold(
        self,
        request: CallerRequest,
        route: Route,
        server: Server,
        deadline_ms: int,
        exposure_of: Callable[[], Exposure | None],
    ) -> AsyncIterator[bool]:
        """Hold a trial of a request at a server, if the request is suspect.

        :param deadline_ms: monotonic time by which the copy has ended
        :param exposure_of: returns the copy once it is sent, ``None`` before
        :returns: yields whether it is a trial
        :raises UpstreamError: the request is suspect and may not be sent now
        """
        if not self._quarantine.is_suspect(request):
            yield False
            return
        owner = await self._begin(request, route, server, deadline_ms)
        if owner is None:
            detail = f"a copy with the digest {request.digest} is tried elsewhere"
            raise UpstreamError(not_run(Reason.SUSPECT, detail, TRIAL_RETRY_AFTER_MS))
        try:
            yield True
        finally:
            self._tasks.start_soon(
                self._end, owner, request.digest, server, exposure_of()
            )

    async def _begin(
        self, request: CallerRequest, route: Route, server: Server, deadline_ms: int
    ) -> str | None:
        """Ask for a trial.

        :returns: address of the daemon that granted it, ``None`` if there is no trial
        """
        now = self._state.clock.now_ms()
        own = self._state.members.own.address
        deployment = self._state.deployment
        group = deployment.stage_group(route) if deployment else route.name
        message = BeginTrial(
            duty=duty_name(group),
            holder=own,
            server_id=server.id,
            duration_ms=deadline_ms
            - now
            + const.CRASH_PROBE_TIMEOUT_MS
            + const.MAX_TRIAL_SILENCE_MS,
            suspect=self._state.suspect_requests.report_of(request.digest, now),
        )
        owner = self._owner(message.duty)
        if owner == own:
            return own if self.begin(message).is_granted else None
        reply = await self._peers.begin_trial(owner, message)
        if isinstance(reply, PeerCallFailed):
            event(
                _LOGGER,
                "trial.owner_lost",
                request=request.id,
                digest=request.digest,
                owner=owner,
                cause=reply.detail,
            )
            return None
        self._quarantine.merge((), (reply.suspect,), owner)
        return owner if reply.is_granted else None

    def begin(self, message: BeginTrial) -> TrialReply:
        """Decide on a trial, of a peer or of this daemon, and log the decision."""
        self._quarantine.merge((), (message.suspect,), message.holder)
        now, requests = self._state.clock.now_ms(), self._state.suspect_requests
        digest = message.suspect.part
        known = requests.report_of(digest, now)
        if not self._acquire_duty(message.duty, now):
            cause = "another daemon decides"
        elif requests.quarantined_part((digest,), now) is not None:
            cause = "quarantined"
        elif not self._table.begin(
            TrialRequest(
                digest,
                message.holder,
                message.server_id,
                known.crash_count,
                message.duration_ms,
            ),
            now,
        ):
            cause = "another trial"
        else:
            cause = None
        event(
            _LOGGER,
            "trial.denied" if cause else "trial.granted",
            digest=digest,
            holder=message.holder,
            server=message.server_id,
            crashes=known.crash_count,
            cause=cause,
        )
        return TrialReply(cause is None, known)

    async def _end(
        self, owner: str, digest: str, server: Server, exposure: Exposure | None
    ) -> None:
        """Report the end of a trial once its copy is judged.

        :param exposure: the copy, ``None`` if it was not sent
        """
        await self._quarantine.wait_until_judged(server)
        if exposure is not None and exposure.is_silent:
            await self._quarantine.wait_until_resolved(exposure)
        now = self._state.clock.now_ms()
        own = self._state.members.own.address
        report = EndTrial(own, self._state.suspect_requests.report_of(digest, now))
        if owner == own:
            self.end(report)
            return
        failure = await self._peers.end_trial(owner, report)
        if failure is not None:
            event(
                _LOGGER,
                "trial.end_lost",
                digest=digest,
                owner=owner,
                cause=failure.detail,
            )

    def end(self, report: EndTrial) -> None:
        """End a trial, of a peer or of this daemon, with what came of it."""
        self._quarantine.merge((), (report.suspect,), report.holder)
        self._table.end(report.suspect.part, report.holder)

    def end_of_holder(self, address: str) -> None:
        """End the trials of a daemon that was lost."""
        self._table.end_of_holder(address)

    def _owner(self, duty: str) -> str:
        """Return the address of the daemon that decides on the trials of a group."""
        now = self._state.clock.now_ms()
        own = self._state.members.own.address
        candidates = [
            member.address
            for member in self._state.members.owner_candidates(duty, now)
            if member.address != own or not self._state.stopping
        ]
        return next(iter(candidates), own)

    def _acquire_duty(self, duty: str, now_ms: int) -> bool:
        """Acquire a duty if no better candidate is live; return whether it is held."""
        own = self._state.members.own.address
        if self._owner(duty) != own:
            return False
        if not self._state.stopping and self._state.members.acquire_duty(duty, now_ms):
            event(_LOGGER, "duty.taken", duty=duty)
        return True
