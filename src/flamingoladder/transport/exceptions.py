"""Errors of sending."""

from __future__ import annotations

import aiohttp


class SecondSendError(aiohttp.ClientError):
    """The HTTP library was about to send a request a second time of its own accord."""
