"""Selection of the route and service of a request."""

from __future__ import annotations
