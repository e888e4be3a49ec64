"""Steps that send digests as a daemon, with and without a valid certificate."""

import asyncio
import ssl
from pathlib import Path
from typing import Any

import trustme
from behave import then, when
from result import Err

from cowsliphitch.core.clock import Clock
from cowsliphitch.peers import tls
from cowsliphitch.peers.membership.channels import Channels
from cowsliphitch.peers.wire import peers_pb2 as pb

EXCHANGE_TIMEOUT_S = 2.0


def make_digest(**overrides: Any) -> pb.Digest:
    """Return a digest that describes a daemon that does not exist."""
    record = pb.MemberRecord(
        name="entry-99", failure_domain="nowhere", address="127.0.0.1:9", version=1
    )
    fields: dict[str, Any] = {
        "sender": "entry-99",
        "ids": [7],
        "newest": 1,
        "heartbeat_ages": [0],
        "version_ages": [0],
        "records": [record],
        "config_revision": 1_000_000,
    }
    return pb.Digest(**(fields | overrides))


def exchange(context: Any, daemon: str, digest: pb.Digest, tls_context: Any) -> None:
    """Send a digest and keep the reply or the failure."""

    async def run() -> None:
        channels = Channels(tls_context, Clock())
        address = context.fleet.daemons[daemon].peers
        context.reply = await channels.exchange(address, digest, EXCHANGE_TIMEOUT_S)
        channels.close()

    asyncio.run(run())


@when("a client without a certificate sends a digest to {daemon:Word}")
def send_without_certificate(context: Any, daemon: str) -> None:
    client_tls = ssl.create_default_context()
    client_tls.check_hostname = False
    client_tls.verify_mode = ssl.CERT_NONE
    client_tls.set_alpn_protocols(["h2"])
    exchange(context, daemon, make_digest(), client_tls)


@when(
    "a client with a certificate of another authority sends a digest to {daemon:Word}"
)
def send_with_foreign_certificate(context: Any, daemon: str) -> None:
    authority = trustme.CA()
    issued = authority.issue_cert("127.0.0.1", common_name="entry-99")
    client_tls = ssl.create_default_context()
    client_tls.check_hostname = False
    client_tls.verify_mode = ssl.CERT_NONE
    client_tls.set_alpn_protocols(["h2"])
    issued.configure_cert(client_tls)
    exchange(context, daemon, make_digest(), client_tls)


@when(
    "a daemon of the fleet sends a digest with lists of different lengths to "
    "{daemon:Word}"
)
def send_malformed_digest(context: Any, daemon: str) -> None:
    folder: Path = context.fleet.folder
    client_tls = tls.client_context(
        str(folder / "entry-2.crt"),
        str(folder / "entry-2.key"),
        str(folder / "authority.pem"),
    )
    exchange(context, daemon, make_digest(heartbeat_ages=[1, 2, 3]), client_tls)


@then("the client gets no answer")
def gets_no_answer(context: Any) -> None:
    assert isinstance(context.reply, Err), context.reply
