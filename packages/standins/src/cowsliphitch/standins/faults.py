"""Fault injection: switches of a stand-in, set over HTTP.

Each stand-in applies the switches that make sense for its kind, and ignores the others.
"""

import attrs
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from cowsliphitch.core.codec import to_builtins


@attrs.define
class Faults:
    """Fault switches of a stand-in; the defaults inject no fault.

    :param down: answer with 503, as if the service were down
    :param delay_ms: delay before each request is handled
    :param lose_answers: number of next writes that are applied but answered with 504
    :param crash_marker: exit the process when a request body contains this text
    :param garbage: answer with a body that cannot be decoded
    :param cut_after_tokens: close each stream after this many tokens, 0 for never
    :param stall_after_tokens: stop sending after this many tokens and keep the stream
        open, 0 for never
    :param refuse: refuse calls with 503 before they are executed
    :param hang: accept requests and never answer them; in a relay, forward no bytes
    :param wrong_attempt: answer with the attempt id of another request
    :param slow_factor: factor on the execution time
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    crash_marker: str = ""
    garbage: bool = False
    cut_after_tokens: int = 0
    stall_after_tokens: int = 0
    refuse: bool = False
    hang: bool = False
    wrong_attempt: bool = False
    slow_factor: float = 1.0

    def route(self) -> Route:
        """Return the route that reads and sets the switches.

        A request with an unknown switch is answered with 400.
        """
        return Route("/faults", self._handle_request, methods=["GET", "POST"])

    async def _handle_request(self, req: Request) -> Response:
        if req.method == "POST":
            for name, value in (await req.json()).items():
                if name not in attrs.fields_dict(Faults):
                    return JSONResponse({"unknown": name}, status_code=400)
                setattr(self, name, value)
        return JSONResponse(to_builtins(self))
