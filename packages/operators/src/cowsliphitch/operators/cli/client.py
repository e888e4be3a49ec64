"""Client of a daemon's operators' API."""

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
class CommandError:
    """The error that ends a command.

    :param detail: message for the operator
    :param exit_code: exit code of the command
    """

    detail: str
    exit_code: int


class OperatorClient:
    """Blocking client of one daemon.

    :param base_url: base URL of the daemon's operators' API
    :param token: the operator's token
    """

    def __init__(self, base_url: str, token: str) -> None:
        """Initialize the HTTP client without sending a request."""
        self._http = httpx.Client(
            base_url=base_url,
            headers={"authorization": f"Bearer {token}"},
            timeout=seconds(const.CALL_TIMEOUT_MS),
        )

    def get(self, path: str, kind: type[T]) -> Result[T, CommandError]:
        """Read a resource and decode it as ``kind``."""
        return self._send("GET", path, None).and_then(lambda resp: _parse(resp, kind))

    def get_json(self, path: str) -> Result[Any, CommandError]:
        """Read a resource as plain JSON data."""
        return self._send("GET", path, None).map(lambda resp: resp.json())

    def post(self, path: str, body: str, kind: type[T]) -> Result[T, CommandError]:
        """Send a request and decode its reply as ``kind``, whatever the status."""
        return self._send("POST", path, body).and_then(lambda resp: _parse(resp, kind))

    def for_daemon(self, address: str) -> "OperatorClient":
        """Return a client for another daemon, with the same token and a short timeout.

        :param address: host and port of its operators' API
        """
        token = self._http.headers["authorization"].partition(" ")[2]
        other = OperatorClient(f"http://{address}", token)
        other._http.timeout = httpx.Timeout(seconds(const.CONFIRM_TIMEOUT_MS))
        return other

    def _send(
        self, method: str, path: str, body: str | None
    ) -> Result[httpx.Response, CommandError]:
        try:
            resp = self._http.request(method, path, content=body)
        except (httpx.HTTPError, httpx.InvalidURL) as exc:
            detail = f"the daemon can't be reached: {type(exc).__name__}"
            return Err(CommandError(detail, const.EXIT_UNAVAILABLE))
        if resp.status_code == httpx.codes.UNAUTHORIZED:
            return Err(
                CommandError("the operator's token is not known", const.EXIT_FAILED)
            )
        if method == "GET" and resp.is_error:
            detail = _error_detail(resp)
            return Err(CommandError(detail, const.EXIT_UNAVAILABLE))
        return Ok(resp)


def _parse(resp: httpx.Response, kind: type[T]) -> Result[T, CommandError]:
    parsed = from_json(resp.content, kind)
    return parsed.map_err(lambda detail: CommandError(detail, const.EXIT_FAILED))


def _error_detail(resp: httpx.Response) -> str:
    try:
        return str(resp.json()["detail"])
    except (ValueError, KeyError, TypeError):
        return f"the daemon answered {resp.status_code}"


def create_client(daemon: str | None) -> OperatorClient:
    """Create a client, with the operator's token from the environment.

    :param daemon: base URL; if ``None``, it is taken from the environment too
    """
    base_url = daemon or os.environ.get(const.DAEMON_VARIABLE, "http://127.0.0.1:8081")
    return OperatorClient(base_url, os.environ.get(const.OPERATOR_VARIABLE, ""))


def format_json(value: Any) -> str:
    """Return plain data as indented JSON text."""
    return json.dumps(value, indent=2, sort_keys=True)
