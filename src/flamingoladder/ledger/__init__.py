"""The idempotency ledger: at-most-once execution of non-idempotent requests.

A "model guard" in a doc comment is a rule of ``models/at_most_once.py``, ``models/tickets.py``
or ``models/claim_eras.py``; it stands where the code enforces the rule.
"""

from __future__ import annotations
