"""The demo: a whole deployment under traffic, with its promises checked at the end."""

from __future__ import annotations
