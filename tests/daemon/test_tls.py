"""Tests of TLS on a port."""

from __future__ import annotations

import asyncio
import ssl
from datetime import UTC
from datetime import datetime
from datetime import timedelta
from ipaddress import ip_address
from typing import TYPE_CHECKING

import aiohttp
import pytest
from aiohttp import web
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec

from flamingoladder.daemon.tls import tls_context
from flamingoladder.transport.lingering_transport import TLS_LINGER_S
from tests.transport.ports import daemon_port
from tests.transport.ports import new_connections

if TYPE_CHECKING:
    from pathlib import Path

ANSWER_BYTES = 400_000
GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
PUT = b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + bytes(100_000)
VALID_FOR = timedelta(days=1)


class PemFiles:
    """A self-signed certificate of the loopback address and its key."""

    def __init__(self, directory: Path) -> None:
        key = ec.generate_private_key(ec.SECP256R1())
        name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "test")])
        now = datetime.now(UTC)
        certificate = (
            x509.CertificateBuilder()
            .subject_name(name)
            .issuer_name(name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - VALID_FOR)
            .not_valid_after(now + VALID_FOR)
            .add_extension(
                x509.SubjectAlternativeName([x509.IPAddress(ip_address("127.0.0.1"))]), False
            )
            .sign(key, hashes.SHA256())
        )
        self.certificate = directory / "certificate.pem"
        self.key = directory / "key.pem"
        pem = serialization.Encoding.PEM
        self.certificate.write_bytes(certificate.public_bytes(pem))
        self.key.write_bytes(
            key.private_bytes(pem, serialization.PrivateFormat.PKCS8, serialization.NoEncryption())
        )


async def _answer_and_close(_request: web.BaseRequest) -> web.StreamResponse:
    response = web.Response(body=bytes(ANSWER_BYTES))
    response.force_close()
    return response


async def _scheme(request: web.Request) -> web.Response:
    return web.Response(text=request.scheme)


async def test_a_port_with_a_certificate_speaks_tls_only(tmp_path: Path) -> None:
    files = PemFiles(tmp_path)
    application = web.Application()
    application.router.add_get("/", _scheme)
    runner = web.AppRunner(application)
    await runner.setup()
    context = tls_context(str(files.certificate), str(files.key))
    await web.TCPSite(runner, "127.0.0.1", 0, ssl_context=context).start()
    port = runner.addresses[0][1]
    trusting = ssl.create_default_context(cafile=str(files.certificate))
    async with aiohttp.ClientSession() as session:
        async with session.get(f"https://127.0.0.1:{port}/", ssl=trusting) as response:
            assert await response.text() == "https"
        with pytest.raises(aiohttp.ClientError):
            await session.get(f"http://127.0.0.1:{port}/")
        with pytest.raises(aiohttp.ClientConnectorCertificateError):
            await session.get(f"https://127.0.0.1:{port}/")
    await runner.cleanup()


@pytest.mark.parametrize("behind", [b"", 60 * GET, PUT], ids=["nothing", "gets", "put"])
async def test_a_closing_answer_arrives_whole_over_tls(tmp_path: Path, behind: bytes) -> None:
    """TLS can't end one direction of a connection, so its socket stays open for a moment."""
    files = PemFiles(tmp_path)
    port = daemon_port(_answer_and_close, new_connections())
    context = tls_context(str(files.certificate), str(files.key))
    number = await port.open("127.0.0.1", 0, context)
    trusting = ssl.create_default_context(cafile=str(files.certificate))
    reader, writer = await asyncio.open_connection("127.0.0.1", number, ssl=trusting)
    writer.write(GET)
    head = await reader.readuntil(b"\r\n\r\n")
    writer.write(behind)
    assert b"connection: close" in head.lower()
    assert len(await reader.readexactly(ANSWER_BYTES)) == ANSWER_BYTES
    assert await asyncio.wait_for(reader.read(), 2 * TLS_LINGER_S) == b""
    writer.close()
    await port.close()


def test_without_a_certificate_there_is_no_tls() -> None:
    assert tls_context(None, None) is None


def test_a_missing_file_is_an_error(tmp_path: Path) -> None:
    with pytest.raises(OSError, match="No such file"):
        tls_context(str(tmp_path / "none.pem"), None)
