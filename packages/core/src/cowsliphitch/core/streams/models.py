"""Origins of streams: which software version wrote their first events."""

import hashlib

import attrs


@attrs.frozen
class StreamOrigin:
    """Service and software version that wrote a stream's first event."""

    service: str
    version: str


@attrs.frozen
class StreamRecords:
    """Streams of one origin, as daemons tell each other.

    :param streams: checksums of the attempts that received the first events
    """

    origin: StreamOrigin
    streams: tuple[int, ...]


@attrs.frozen
class KnownOrigin:
    """The origin of a stream.

    :param source: who recorded it
    :param age_ms: time since then
    """

    origin: StreamOrigin
    source: str
    age_ms: int


@attrs.frozen
class UnknownOrigin:
    """No record of a stream, although several versions may have begun it.

    :param versions: versions that were in service lately
    :param is_current: this daemon would know of another version
    """

    versions: tuple[str, ...]
    is_current: bool = True


OriginLookup = KnownOrigin | UnknownOrigin


def stream_checksum(request_id: str) -> int:
    """Return a 64-bit checksum of the attempt that received a stream's first event."""
    digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
    return int.from_bytes(digest)
