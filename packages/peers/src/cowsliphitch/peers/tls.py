"""Mutual TLS between daemons.

Both sides present a certificate that the fleet's certificate authority signed.
"""

import ssl


def server_context(certificate: str, key: str, authority: str) -> ssl.SSLContext:
    """Create the TLS context of a listener that requires a client certificate.

    :param certificate: path of this daemon's certificate (PEM)
    :param key: path of the certificate's private key (PEM)
    :param authority: path of the certificate of the fleet's authority (PEM)
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=authority)
    context.load_cert_chain(certificate, key)
    context.verify_mode = ssl.CERT_REQUIRED
    context.set_alpn_protocols(["h2"])
    return context


def client_context(certificate: str, key: str, authority: str) -> ssl.SSLContext:
    """Create the TLS context for connections to other daemons.

    :param certificate: path of this daemon's certificate (PEM)
    :param key: path of the certificate's private key (PEM)
    :param authority: path of the certificate of the fleet's authority (PEM)
    """
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=authority)
    context.load_cert_chain(certificate, key)
    context.set_alpn_protocols(["h2"])
    return context
