"""Storage of answers: small ones in the outcome's row, large ones in the object store."""

from __future__ import annotations

from hashlib import sha256
from typing import TYPE_CHECKING

from flamingoladder.ledger.entries import ANSWER_NOT_KEPT
from flamingoladder.ledger.rows import StoredOutcome
from flamingoladder.ledger.rows import decode_answer
from flamingoladder.ledger.rows import encode
from flamingoladder.storage.exceptions import PlatformError

if TYPE_CHECKING:
    from flamingoladder.storage.objects import ObjectStore
    from flamingoladder.verdict import Outcome

MAX_INLINE_ANSWER_BYTES = 4_096
OBJECT_TIMEOUT_S = 1.0


class AnswerStore:
    """Large answers in the object store, named by the hash of their content."""

    __slots__ = ("_objects",)

    def __init__(self, objects: ObjectStore) -> None:
        self._objects = objects

    async def store(self, outcome: StoredOutcome) -> StoredOutcome:
        """Store a large answer as an object and return the outcome to write into the row.

        :raises PlatformError: if the object store did not confirm the answer.
        """
        if outcome.answer is None or outcome.size_bytes <= MAX_INLINE_ANSWER_BYTES:
            return outcome
        content = encode(outcome.answer)
        object_name = f"answers/{sha256(content).hexdigest()}"
        await self._objects.put(object_name, content, OBJECT_TIMEOUT_S)
        return StoredOutcome(object_name=object_name)

    async def fetch(self, outcome: StoredOutcome) -> Outcome:
        """Return the outcome, with a large answer read from the object store.

        If the answer can't be read, return a refusal with the verdict ``RAN``.
        """
        if outcome.object_name is None:
            return outcome.as_outcome()
        try:
            content = await self._objects.get(outcome.object_name, OBJECT_TIMEOUT_S)
        except PlatformError:
            content = None
        if content is None:
            return StoredOutcome(refusal=ANSWER_NOT_KEPT).as_outcome()
        return StoredOutcome(answer=decode_answer(content)).as_outcome()
