"""Pass a server's answer on to the caller."""

from typing import Final

import attrs

from cowsliphitch.callers.edge.models import Reply
from cowsliphitch.platform.callers import end_to_end_headers
from cowsliphitch.upstreams.http1.pool import Answer

EVENT_END: Final = b"\n\n"
_ID_FIELD: Final = b"id:"


@attrs.define
class StreamProgress:
    """How far a stream got, over all servers that carried it.

    :param last_event: identifier of the last whole event that was passed on
    """

    events: int = 0
    last_event: str | None = None
    first_event_ms: int | None = None


async def relay_whole(answer: Answer, content: bytes, reply: Reply) -> None:
    """Send an answer that was read whole."""
    await reply.start(
        answer.head.status, end_to_end_headers(answer.head.headers), len(content)
    )
    if content:
        await reply.send(content)
    await reply.end()


class EventSplitter:
    """Cut a stream of bytes into whole events."""

    def __init__(self) -> None:
        """Start at the beginning of an event."""
        self._rest = b""

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events that end in a chunk, and keep the rest."""
        content = self._rest + chunk
        end = content.rfind(EVENT_END)
        if end < 0:
            self._rest = content
            return b""
        cut = end + len(EVENT_END)
        self._rest = content[cut:]
        return content[:cut]

    @property
    def rest(self) -> bytes:
        """Return the bytes of an event that is not whole."""
        return self._rest


def last_event_id(events: bytes) -> str | None:
    """Return the identifier of the last event of several whole ones."""
    for line in reversed(events.split(b"\n")):
        if line.startswith(_ID_FIELD):
            return line.removeprefix(_ID_FIELD).strip().decode("latin-1")
    return None
