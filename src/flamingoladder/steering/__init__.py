"""Look-up answers, plans, and the choice of region, failure domain and target."""

from __future__ import annotations
