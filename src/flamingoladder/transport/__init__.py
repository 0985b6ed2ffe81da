"""HTTP requests that are sent at most once each, with what is known of those that fail."""

from __future__ import annotations
