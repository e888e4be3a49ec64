"""Mutual TLS between daemons: both sides show a certificate of the fleet."""

import ssl


def server_context(certificate: str, key: str, authority: str) -> ssl.SSLContext:
    """Return the context of a listener that admits only known daemons.

    :param certificate: path of this daemon's certificate, PEM
    :param key: path of its private key, PEM
    :param authority: path of the fleet's certificate authority, PEM
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=authority)
    context.load_cert_chain(certificate, key)
    context.verify_mode = ssl.CERT_REQUIRED
    context.set_alpn_protocols(["h2"])
    return context


def client_context(certificate: str, key: str, authority: str) -> ssl.SSLContext:
    """Return the context of connections to other daemons.

    :param certificate: path of this daemon's certificate, PEM
    :param key: path of its private key, PEM
    :param authority: path of the fleet's certificate authority, PEM
    """
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=authority)
    context.load_cert_chain(certificate, key)
    context.set_alpn_protocols(["h2"])
    return context
