"""The switches of a stand-in's faults, set over HTTP by a test."""

import attrs
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from cowsliphitch.core.codec import to_builtins


@attrs.define
class Faults:
    """What a stand-in does wrong.

    :param down: refuse everything
    :param delay_ms: wait before each answer
    :param lose_answers: number of writes whose answer is lost after they took effect
    :param crash_marker: exit when a request body contains this text
    :param garbage: answer with something that is no valid answer
    :param cut_after_tokens: cut each stream after this many tokens
    :param stall_after_tokens: stop sending after this many tokens, and hold the stream
    :param refuse: answer 503 before running anything
    :param hang: take requests and never answer them
    :param wrong_attempt: answer with another request's attempt
    :param slow_factor: multiply the time that work takes
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
        """Return the route by which a test reads and sets the switches."""
        return Route("/faults", self._handle, methods=["GET", "POST"])

    async def _handle(self, req: Request) -> Response:
        if req.method == "POST":
            for name, value in (await req.json()).items():
                if name not in attrs.fields_dict(Faults):
                    return JSONResponse({"unknown": name}, status_code=400)
                setattr(self, name, value)
        return JSONResponse(to_builtins(self))
