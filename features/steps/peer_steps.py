"""Steps that act as daemons, known and unknown ones."""

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

TIMEOUT_S = 2.0


def digest(**extra: Any) -> pb.Digest:
    """Return a digest that tells of a daemon that does not exist."""
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
    return pb.Digest(**(fields | extra))


def exchange(context: Any, daemon: str, sent: pb.Digest, tls_context: Any) -> None:
    """Send a digest and note if an answer came."""

    async def run() -> None:
        channels = Channels(tls_context, Clock())
        address = context.fleet.daemons[daemon].peers
        context.reply = await channels.exchange(address, sent, TIMEOUT_S)
        channels.close()

    asyncio.run(run())


@when("a stranger without a certificate sends a digest to {daemon:Word}")
def stranger_plain(context: Any, daemon: str) -> None:
    bare = ssl.create_default_context()
    bare.check_hostname = False
    bare.verify_mode = ssl.CERT_NONE
    bare.set_alpn_protocols(["h2"])
    exchange(context, daemon, digest(), bare)


@when("a stranger with a foreign certificate sends a digest to {daemon:Word}")
def stranger_foreign(context: Any, daemon: str) -> None:
    authority = trustme.CA()
    issued = authority.issue_cert("127.0.0.1", common_name="entry-99")
    foreign = ssl.create_default_context()
    foreign.check_hostname = False
    foreign.verify_mode = ssl.CERT_NONE
    foreign.set_alpn_protocols(["h2"])
    issued.configure_cert(foreign)
    exchange(context, daemon, digest(), foreign)


@when("a member sends a digest with lists of different lengths to {daemon:Word}")
def member_faulty(context: Any, daemon: str) -> None:
    folder: Path = context.fleet.folder
    known = tls.client_context(
        str(folder / "entry-2.crt"),
        str(folder / "entry-2.key"),
        str(folder / "authority.pem"),
    )
    exchange(context, daemon, digest(heartbeat_ages=[1, 2, 3]), known)


@then("the stranger gets no answer")
def no_answer(context: Any) -> None:
    assert isinstance(context.reply, Err), context.reply
