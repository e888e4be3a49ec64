"""Talk to a daemon's operators' interface."""

import json
import os
from typing import Any, TypeVar

import attrs
import httpx
from result import Err, Ok, Result

from cowsliphitch.core.clock import seconds
from cowsliphitch.core.codec import from_json

from . import const

T = TypeVar("T")


@attrs.frozen
class Failed:
    """A call that gave nothing to show.

    :param exit_code: what the command exits with
    """

    detail: str
    exit_code: int


class OperatorClient:
    """One daemon, as an operator's command sees it.

    :param base_url: address of the daemon's operators' interface
    """

    def __init__(self, base_url: str, token: str) -> None:
        """Open a client; nothing is sent yet."""
        self._http = httpx.Client(
            base_url=base_url,
            headers={"authorization": f"Bearer {token}"},
            timeout=seconds(const.CALL_TIMEOUT_MS),
        )

    def get(self, path: str, kind: type[T]) -> Result[T, Failed]:
        """Read something."""
        return self._send("GET", path, None).and_then(lambda r: _parse(r, kind))

    def get_plain(self, path: str) -> Result[Any, Failed]:
        """Read something to be shown as it is."""
        return self._send("GET", path, None).map(lambda r: r.json())

    def post(self, path: str, body: str, kind: type[T]) -> Result[T, Failed]:
        """Ask for a change; every outcome has its own reply."""
        return self._send("POST", path, body).and_then(lambda r: _parse(r, kind))

    def at(self, address: str) -> "OperatorClient":
        """Return a client for another daemon of the fleet."""
        token = self._http.headers["authorization"].partition(" ")[2]
        other = OperatorClient(f"http://{address}", token)
        other._http.timeout = httpx.Timeout(seconds(const.ASK_TIMEOUT_MS))
        return other

    def _send(
        self, method: str, path: str, body: str | None
    ) -> Result[httpx.Response, Failed]:
        try:
            resp = self._http.request(method, path, content=body)
        except (httpx.HTTPError, httpx.InvalidURL) as exc:
            detail = f"the daemon can't be reached: {type(exc).__name__}"
            return Err(Failed(detail, const.EXIT_UNAVAILABLE))
        if resp.status_code == httpx.codes.UNAUTHORIZED:
            return Err(Failed("the operator's token is not known", const.EXIT_FAILED))
        if method == "GET" and resp.is_error:
            detail = _detail(resp)
            return Err(Failed(detail, const.EXIT_UNAVAILABLE))
        return Ok(resp)


def _parse(resp: httpx.Response, kind: type[T]) -> Result[T, Failed]:
    parsed = from_json(resp.content, kind)
    return parsed.map_err(lambda detail: Failed(detail, const.EXIT_FAILED))


def _detail(resp: httpx.Response) -> str:
    try:
        return str(resp.json()["detail"])
    except (ValueError, KeyError, TypeError):
        return f"the daemon answered {resp.status_code}"


def client_from(daemon: str | None) -> OperatorClient:
    """Return a client from the option, or from the environment."""
    base_url = daemon or os.environ.get(const.DAEMON_VARIABLE, "http://127.0.0.1:8081")
    return OperatorClient(base_url, os.environ.get(const.OPERATOR_VARIABLE, ""))


def dump(value: Any) -> str:
    """Return plain data as JSON for programs."""
    return json.dumps(value, indent=2, sort_keys=True)
