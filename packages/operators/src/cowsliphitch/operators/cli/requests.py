"""Commands to send a request as a caller, and to generate tokens."""

import json
import os
from typing import cast

import httpx
from cleo.helpers import argument, option

from cowsliphitch.core import ids, tokens
from cowsliphitch.core.clock import Clock, seconds

from . import const
from .base import BaseCommand
from .client import CommandError


class RequestCommand(BaseCommand):
    """Send one request to a daemon as a team."""

    name = "request"
    description = "Send one request to a daemon as a team."
    arguments = [
        argument("kind", "pipeline or service."),
        argument("target", "Name of the pipeline or service."),
        argument("input", "Input of the pipeline, or body of the service call."),
    ]
    options = [
        option("callers", "c", "Base URL of a daemon's callers' API.", flag=False),
        option("key", "k", "Idempotency key; default: a new one.", flag=False),
        option("timeout-ms", "t", "Deadline in ms.", flag=False, default="10000"),
        option("json", None, "Print JSON."),
    ]

    def handle(self) -> int:
        """Send the request and print the body of the response."""
        base_url = cast(str, self.option("callers") or "http://127.0.0.1:8080")
        kind = cast(str, self.argument("kind"))
        if kind not in ("pipeline", "service"):
            error = CommandError("expected pipeline or service", const.EXIT_INVALID)
            return self.report_error(error)
        text = cast(str, self.argument("input"))
        body = json.dumps({"input": text}) if kind == "pipeline" else text
        url = f"{base_url}/v1/{kind}s/{self.argument('target')}"
        try:
            resp = httpx.post(
                url,
                content=body,
                headers=self._headers(),
                timeout=seconds(const.CALL_TIMEOUT_MS),
            )
        except (httpx.HTTPError, httpx.InvalidURL) as exc:
            detail = f"the daemon can't be reached: {type(exc).__name__}"
            return self.report_error(CommandError(detail, const.EXIT_UNAVAILABLE))
        self.line(resp.text)
        return const.EXIT_OK if resp.is_success else const.EXIT_FAILED

    def _headers(self) -> dict[str, str]:
        token = os.environ.get(const.TEAM_VARIABLE, "")
        key = self.option("key") or ids.new_id(Clock().wall_ms())
        return {
            "authorization": f"Bearer {token}",
            "idempotency-key": str(key),
            "x-request-timeout-ms": str(self.option("timeout-ms")),
        }


class TokenCommand(BaseCommand):
    """Generate a token and the digest that is stored in the settings."""

    name = "token"
    description = "Generate a token, and its salted digest for the settings."
    arguments = [argument("owner", "The team or operator that it belongs to.")]

    def handle(self) -> int:
        """Print the token and its digest."""
        token = tokens.new_token(cast(str, self.argument("owner")))
        result = {"token": token, "digest": tokens.digest(token)}
        self.print_result(("TOKEN", "DIGEST"), [tuple(result.values())], result)
        return const.EXIT_OK
