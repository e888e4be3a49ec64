"""Relaying of servers' answers to callers, buffered or as a stream of events.

Fault: a stream breaks off within an event.  Only complete events are passed on, so that
the stream can continue at another server after the last one.
"""

import re
from typing import Final

import attrs

from cowsliphitch.callers.edge.models import Reply
from cowsliphitch.core.verdict import Reason, may_have_run
from cowsliphitch.platform.callers import end_to_end_headers
from cowsliphitch.upstreams.http1.models import UpstreamError
from cowsliphitch.upstreams.http1.pool import Answer

EVENT_END: Final = b"\n\n"

# A server may send an event without end.
MAX_EVENT_BYTES: Final = 1_048_576
_ID_FIELD: Final = b"id:"

# Longer identifiers might not fit into the header in which a stream is resumed.
MAX_EVENT_ID_BYTES: Final = 1_024

# Identifiers that are empty, too long, or have a byte that no header value can carry
# (RFC 9110, section 5.5).
_UNSENDABLE_ID: Final = re.compile(
    rb"^id:(?:[ \t]*\r?$|[^\n]{%d}|[^\n]*?(?:[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|\r(?!$)))"
    % MAX_EVENT_ID_BYTES,
    re.MULTILINE,
)


@attrs.define
class StreamProgress:
    """Progress of a stream, over all servers that sent parts of it.

    :param event_count: complete events that were passed on
    :param last_event_id: identifier of the last of them that has one
    :param first_event_ms: monotonic time at which the first of them arrived
    """

    event_count: int = 0
    last_event_id: str | None = None
    first_event_ms: int | None = None


async def relay_buffered_answer(answer: Answer, content: bytes, reply: Reply) -> None:
    """Send the caller an answer whose body was read completely.

    :param content: body of the answer
    """
    await reply.start(
        answer.head.status, end_to_end_headers(answer.head.headers), len(content)
    )
    # From here on the caller's connection counts what is not sent yet.
    answer.buffer.resize(0)
    if content:
        await reply.send(content)
    await reply.end()


class EventSplitter:
    """Buffer that splits a byte stream at the ends of server-sent events."""

    def __init__(self) -> None:
        """Initialize an empty buffer."""
        self._buffer = bytearray()

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk, and return the events that are complete with it.

        The bytes of an incomplete event stay in the buffer.

        :raises UpstreamError: the incomplete event has more than ``MAX_EVENT_BYTES``
        """
        # The buffer holds no end of an event, but may hold the first byte of one.
        searched = max(0, len(self._buffer) - len(EVENT_END) + 1)
        self._buffer += chunk
        end = self._buffer.rfind(EVENT_END, searched)
        if end < 0:
            if len(self._buffer) > MAX_EVENT_BYTES:
                detail = f"an event has more than {MAX_EVENT_BYTES} bytes"
                raise UpstreamError(may_have_run(Reason.INVALID_ANSWER, detail))
            return b""
        split = end + len(EVENT_END)
        events = bytes(self._buffer[:split])
        del self._buffer[:split]
        return events

    def __len__(self) -> int:
        """Return the number of buffered bytes."""
        return len(self._buffer)

    @property
    def incomplete_event(self) -> bytes:
        """Return the buffered bytes of an incomplete event, empty if there is none."""
        return bytes(self._buffer)


def resumable_events(events: bytes) -> bytes:
    """Return the events before the first whose identifier can't be sent on.

    A stream that breaks off later is resumed after the last event that was passed on,
    so that event has to have an identifier which a header can name.

    :param events: complete events
    """
    unsendable = _UNSENDABLE_ID.search(events)
    if unsendable is None:
        return events
    end = events.rfind(EVENT_END, 0, unsendable.start())
    return b"" if end < 0 else events[: end + len(EVENT_END)]


def last_event_id(events: bytes) -> str | None:
    """Return the last event identifier among events, ``None`` if none has one.

    :param events: complete events
    """
    for line in reversed(events.split(b"\n")):
        if line.startswith(_ID_FIELD):
            return line.removeprefix(_ID_FIELD).strip().decode("latin-1")
    return None
