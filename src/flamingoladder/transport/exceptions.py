"""Errors of sending."""

from __future__ import annotations

import aiohttp


class NotPermittedError(aiohttp.ClientError):
    """The last check before the write refused the request."""


class SecondSendError(aiohttp.ClientError):
    """The HTTP library was about to send a request a second time of its own accord."""

    def __init__(self) -> None:
        super().__init__("the connection was lost, and the request is not sent twice")


class UnusableConnectionError(aiohttp.ClientError):
    """A new connection was closed, or held bytes, before the request was written."""
