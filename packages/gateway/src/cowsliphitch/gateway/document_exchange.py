"""Forms in which daemons pass the operator's document on to each other.

Load pattern: links of 5 Mbit/s, on which a document of 500 KB takes a second, in which
the requests and answers of the daemon wait.
"""

import logging

import attrs
from result import Err, Ok, Result

from cowsliphitch.core.deployment.versions import ActiveDeployment
from cowsliphitch.core.documents.difference import (
    apply_difference,
    base_digest,
    compress,
    decompress,
    digest_of,
    encode_difference,
    result_digest,
)
from cowsliphitch.peers.fleet.models import DocumentQuery, DocumentReply, ValueChange
from cowsliphitch.telemetry.logs import event

from . import const
from .state import GatewayState

_LOGGER = logging.getLogger(__name__)


@attrs.frozen
class _Encoded:
    """Encoded forms of one version, which many daemons ask for at once."""

    version: int
    digest: bytes
    compressed: bytes


@attrs.define
class DocumentDiagnostics:
    """Bytes that were sent, and versions received, by their form."""

    sent: dict[str, int] = attrs.Factory(dict)
    received: dict[str, int] = attrs.Factory(dict)


class DocumentExchange:
    """Encode the document for other daemons, and decode what they send.

    The document itself is kept by the state only.
    """

    def __init__(self, state: GatewayState) -> None:
        """Initialize without encoded forms."""
        self._state = state
        self._encoded: _Encoded | None = None
        self._difference = b""
        self.diagnostics = DocumentDiagnostics()

    def make_change(self, base: bytes, content: bytes) -> ValueChange:
        """Return what the followers of this daemon are sent of a new document.

        :param base: the document that they have
        """
        difference = encode_difference(base, content)
        is_small = len(difference) <= const.MAX_DIFFERENCE_BYTES
        is_kept = len(difference) <= const.MAX_KEPT_DIFFERENCE_BYTES
        self._difference = difference if is_kept else b""
        digest = result_digest(difference)
        event(
            _LOGGER,
            "settings.passed_on",
            base=base_digest(difference).hex(),
            result=digest.hex(),
            bytes=len(difference),
            of=len(content),
            form="difference" if is_small else "fetch",
        )
        return ValueChange(digest, difference if is_small else b"")

    def reply(self, query: DocumentQuery) -> DocumentReply:
        """Return the document if it is newer than that of a peer."""
        current = self._state.versions.current
        if current is None or current.deployment.version <= query.above_version:
            return DocumentReply()
        version = current.deployment.version
        if not query.is_compressed:
            self._count_sent("whole", current.document)
            return DocumentReply(version, content=current.document)
        encoded = self._encode(current)
        difference = self._difference
        if (
            query.base
            and base_digest(difference) == query.base
            and result_digest(difference) == encoded.digest
        ):
            self._count_sent("difference", difference)
            return DocumentReply(version, difference=difference)
        self._count_sent("compressed", encoded.compressed)
        return DocumentReply(version, compressed=encoded.compressed)

    def query(self) -> DocumentQuery:
        """Return the request for a document that is newer than this daemon's."""
        current = self._state.versions.current
        if current is None:
            return DocumentQuery(0)
        return DocumentQuery(
            current.deployment.version, base=digest_of(current.document)
        )

    def decode(self, reply: DocumentReply) -> Result[bytes, str]:
        """Return the document of a reply, or why it can't be decoded."""
        if reply.difference:
            current = self._state.versions.current
            base = current.document if current is not None else b""
            return apply_difference(base, reply.difference)
        if reply.compressed:
            return decompress(reply.compressed)
        return Ok(reply.content) if reply.content else Err("the reply is empty")

    def record_applied(self, difference: bytes, source: str) -> None:
        """Log and count a difference that came with the reader's news."""
        self.record_received("difference")
        event(
            _LOGGER,
            "settings.applied",
            base=base_digest(difference).hex(),
            result=result_digest(difference).hex(),
            bytes=len(difference),
            source=source,
        )

    def record_received(self, form: str) -> None:
        """Count a document that this daemon received from a peer or the store."""
        received = self.diagnostics.received
        received[form] = received.get(form, 0) + 1

    def _encode(self, current: ActiveDeployment) -> _Encoded:
        version, encoded = current.deployment.version, self._encoded
        if encoded is None or encoded.version != version:
            content = current.document
            encoded = _Encoded(version, digest_of(content), compress(content))
            self._encoded = encoded
        return encoded

    def _count_sent(self, form: str, content: bytes) -> None:
        sent = self.diagnostics.sent
        sent[form] = sent.get(form, 0) + len(content)
