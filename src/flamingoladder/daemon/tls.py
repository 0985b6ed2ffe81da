"""TLS contexts of the caller and operator ports."""

from __future__ import annotations

import ssl


def tls_context(certificate: str | None, key: str | None) -> ssl.SSLContext | None:
    """Return the context for a certificate chain and its key in PEM files, or None without one.

    :raises OSError: if a file cannot be read.
    :raises ssl.SSLError: if the files do not fit together.
    """
    if certificate is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(certificate, key)
    return context
