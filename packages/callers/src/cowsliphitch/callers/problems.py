"""Refusals as problem details (RFC 9457)."""

import json
from typing import Any

from starlette.responses import Response

from cowsliphitch.core.verdict import Refusal

from . import const


def problem_details(refusal: Refusal, request_id: str) -> dict[str, Any]:
    """Return the problem details of a refusal.

    :param request_id: identifier of the request
    """
    details = {
        "type": const.PROBLEM_URN + refusal.reason.value,
        "title": refusal.reason.value.replace("-", " "),
        "status": refusal.status,
        "detail": refusal.detail,
        "instance": f"urn:uuid:{request_id}",
        "verdict": refusal.verdict.value,
    }
    return details | ({"stage": refusal.stage} if refusal.stage else {})


def problem_response(refusal: Refusal, request_id: str) -> Response:
    """Return the HTTP response for a refusal.

    :param request_id: identifier of the request
    """
    headers = {const.REQUEST_HEADER: request_id}
    if refusal.retry_after_ms is not None:
        headers["retry-after"] = str(max(1, -(-refusal.retry_after_ms // 1_000)))
    if refusal.status == 401:
        headers["www-authenticate"] = "Bearer"
    content = json.dumps(problem_details(refusal, request_id))
    return Response(content, refusal.status, headers, const.PROBLEM_TYPE)
