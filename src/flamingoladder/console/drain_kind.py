"""The kinds of drains as operators type them."""

from __future__ import annotations

from typing import Literal
from typing import TypeAlias

DrainKindName: TypeAlias = Literal["target", "failure_domain", "host"]
