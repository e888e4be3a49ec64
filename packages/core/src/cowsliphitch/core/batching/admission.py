"""Admission by priority of requests that are expected to miss their objective.

Load pattern: one class of requests after the other arrives at 1.6 to 2.6 times its
usual rate, and classes of very different priority share stage pools and engines.  A
request that will be late anyway is worth a fraction of one in time, and takes calls,
result memory and engine time from more urgent requests.  It is served as best effort
where that costs more urgent requests nothing, and refused otherwise, the least urgent
first.
"""

import math
from collections.abc import Iterator

import attrs

from . import const
from .requests import StageRequest


@attrs.define
class _Counters:
    """Exponentially decaying counters of the requests of one priority.

    :param arrived: requests that arrived
    :param admitted: requests that were admitted, best-effort ones included
    :param demand: pieces that were requested, by service
    :param refused: requests that were refused since one was admitted
    """

    arrived: float = 0.0
    admitted: float = 0.0
    demand: dict[str, float] = attrs.Factory(dict)
    refused: int = 0
    updated_ms: int = 0

    def decay(self, now_ms: int) -> None:
        """Apply the decay since the latest update."""
        elapsed_ms = now_ms - self.updated_ms
        self.updated_ms = now_ms
        share = math.exp(-elapsed_ms / const.SHARE_TIME_CONSTANT_MS)
        self.arrived *= share
        self.admitted *= share
        share = math.exp(-elapsed_ms / const.DEMAND_TIME_CONSTANT_MS)
        self.demand = {service: n * share for service, n in self.demand.items()}


@attrs.frozen
class _Sample:
    """The latest request of a class, with the time at which it arrived."""

    request: StageRequest
    arrived_ms: int


class PriorityDemand:
    """Demand and served share of each priority, and a sample of each request class.

    A class is the requests with the same priority, stages and time limits.
    """

    def __init__(self) -> None:
        """Initialize without requests."""
        self._counters: dict[int, _Counters] = {}
        self._samples: dict[tuple[object, ...], _Sample] = {}

    def record_arrival(self, request: StageRequest, now_ms: int) -> None:
        """Add a request to the demand of its priority."""
        counters = self._counters.setdefault(
            request.priority, _Counters(updated_ms=now_ms)
        )
        counters.decay(now_ms)
        counters.arrived += 1
        for index, stage in enumerate(request.stages):
            if pieces := request.piece_count(index):
                pieces_before = counters.demand.get(stage.service, 0.0)
                counters.demand[stage.service] = pieces_before + pieces
        span_ms = round((request.objective_ms - now_ms) / const.SAMPLE_OBJECTIVE_MS)
        key = (request.priority, request.stages, span_ms)
        self._samples.pop(key, None)
        self._samples[key] = _Sample(request, now_ms)
        while len(self._samples) > const.MAX_SAMPLES:
            del self._samples[next(iter(self._samples))]

    def record_admitted(self, request: StageRequest, now_ms: int) -> None:
        """Record that a request that has arrived was admitted."""
        counters = self._counters[request.priority]
        counters.decay(now_ms)
        counters.admitted += 1
        counters.refused = 0

    def record_refused(self, request: StageRequest) -> None:
        """Record that a request that has arrived was refused."""
        self._counters[request.priority].refused += 1

    def record_failed(self, request: StageRequest, now_ms: int) -> None:
        """Record that an admitted request was not served after all."""
        counters = self._counters.get(request.priority)
        if counters is not None:
            counters.decay(now_ms)
            counters.admitted = max(0.0, counters.admitted - 1)

    def is_underserved(self, priority: int, now_ms: int) -> bool:
        """Return whether a priority is admitted less often than its minimum share.

        If its requests are too rare for a share, it is after some refusals in a row
        while others are admitted.
        """
        for counters in self._counters.values():
            counters.decay(now_ms)
        own = self._counters.get(priority)
        if own is None:
            return False
        arrived = sum(c.arrived for c in self._counters.values())
        admitted = sum(c.admitted for c in self._counters.values())
        if own.arrived < const.MIN_SHARE_REQUESTS:
            has_others = admitted - own.admitted >= const.MIN_SHARE_REQUESTS
            return has_others and own.refused >= const.MAX_REFUSED_IN_ROW
        min_share = const.MIN_SERVED_RATIO * admitted / arrived
        return own.admitted / own.arrived < min_share

    def urgent_pieces_per_ms(self, priority: int, service: str, now_ms: int) -> float:
        """Return the demand of more urgent requests on a pool, in pieces per ms."""
        pieces = 0.0
        for other, counters in self._counters.items():
            if other < priority:
                counters.decay(now_ms)
                pieces += counters.demand.get(service, 0.0)
        return pieces / const.DEMAND_TIME_CONSTANT_MS

    def urgent_requests_per_ms(self, priority: int, now_ms: int) -> float:
        """Return the rate at which more urgent requests arrive."""
        arrived = 0.0
        for other, counters in self._counters.items():
            if other < priority:
                counters.decay(now_ms)
                arrived += counters.arrived
        return arrived / const.SHARE_TIME_CONSTANT_MS

    def less_urgent_samples(self, priority: int, now_ms: int) -> Iterator[StageRequest]:
        """Yield a recent request of each less urgent class as if it arrived now."""
        for sample in self._samples.values():
            age_ms = now_ms - sample.arrived_ms
            request = sample.request
            if request.priority > priority and age_ms <= const.MAX_SAMPLE_AGE_MS:
                yield attrs.evolve(
                    request,
                    deadline_ms=request.deadline_ms + age_ms,
                    objective_ms=request.objective_ms + age_ms,
                )
