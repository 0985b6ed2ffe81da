"""Errors of sending."""

from __future__ import annotations

import aiohttp


class NotPermittedError(aiohttp.ClientError):
    """The last check before the write refused the request."""


class SecondSendError(aiohttp.ClientError):
    """The HTTP library was about to send a request a second time of its own accord."""


class UnusableConnectionError(aiohttp.ClientError):
    """A new connection was closed, or held bytes, before the request was written."""
