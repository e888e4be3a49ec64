"""Encoding of the streams that began at a daemon, for the store."""

import json

import attrs
from result import Err, Ok, Result

from cowsliphitch.core.json_values import decode_object, text
from cowsliphitch.core.streams.models import StreamOrigin, StreamRecords


@attrs.frozen
class StreamContent:
    """Content of one key.

    :param versions: versions of the services that have several
    """

    versions: tuple[StreamOrigin, ...]
    groups: tuple[StreamRecords, ...]


def encode(content: StreamContent) -> str:
    """Encode the content of a key in JSON."""
    rows = {
        "versions": sorted([o.service, o.version] for o in content.versions),
        "streams": [
            [g.origin.service, g.origin.version, [f"{s:016x}" for s in g.streams]]
            for g in content.groups
        ],
    }
    return json.dumps(rows, separators=(",", ":"))


def decode(value: str) -> Result[StreamContent, str]:
    """Decode the content of a key.

    :returns: the content, or why it is not valid
    """
    try:
        rows = decode_object(value)
        return Ok(
            StreamContent(
                tuple(
                    _origin(service, version) for service, version in rows["versions"]
                ),
                tuple(
                    StreamRecords(
                        _origin(service, version),
                        tuple(_checksum(stream) for stream in streams),
                    )
                    for service, version, streams in rows["streams"]
                ),
            )
        )
    except (ValueError, KeyError, TypeError) as exc:
        return Err(f"{type(exc).__name__}: {exc}")


def _origin(service: object, version: object) -> StreamOrigin:
    return StreamOrigin(text(service), text(version) if version else "")


def _checksum(value: object) -> int:
    checksum = int(text(value), 16)
    if not 0 <= checksum < 2**64:
        raise ValueError("expected a checksum of 64 bits")
    return checksum
