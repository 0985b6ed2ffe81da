"""Single attempts to commit a change on top of the head in the table."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeAlias

import msgspec
from msgspec.structs import replace

from flamingoladder.freshness.changes import NO_STATE_VERSION
from flamingoladder.freshness.changes import Rejection
from flamingoladder.freshness.commit_results import CommitRefused
from flamingoladder.freshness.commit_results import RefusalKind
from flamingoladder.freshness.exceptions import StateUnreadableError
from flamingoladder.freshness.head import Head
from flamingoladder.freshness.head import encode_state
from flamingoladder.freshness.intents import IntentOutcome
from flamingoladder.freshness.messages import Intent
from flamingoladder.storage.exceptions import OutcomeUnknownError
from flamingoladder.storage.exceptions import PlatformError

if TYPE_CHECKING:
    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.freshness.changes import Change
    from flamingoladder.freshness.head import EncodedHead
    from flamingoladder.freshness.head_storage import HeadStorage
    from flamingoladder.freshness.head_storage import StoredHead
    from flamingoladder.freshness.intents import IntentAnnouncer
    from flamingoladder.freshness.local_state import LocalState
    from flamingoladder.freshness.proof_renewer import ProofRenewer


class PendingChange:
    """A change being committed.

    ``unresolved_base_version`` is the version that a write of unknown outcome would replace, None
    if there is no such write.
    """

    __slots__ = ("change", "change_id", "unresolved_base_version")

    def __init__(self, change_id: str, change: Change) -> None:
        self.change_id = change_id
        self.change = change
        self.unresolved_base_version: int | None = None

    def refusal(self, kind: RefusalKind, detail: str, present_version: int) -> CommitRefused:
        """Return a refusal; its kind is ``OUTCOME_UNKNOWN`` while a write's outcome is unknown."""
        if self.unresolved_base_version is not None:
            kind = RefusalKind.OUTCOME_UNKNOWN
        return CommitRefused(self.change_id, kind, detail, present_version)


class Committed(msgspec.Struct, frozen=True):
    """The change is part of ``head``.

    ``key_suspended`` says that a majority refused the change's key before the commit.
    """

    head: Head
    key_suspended: bool


class Retry(msgspec.Struct, frozen=True):
    """The attempt is not known to have changed anything; another one may succeed."""

    reason: str


AttemptResult: TypeAlias = Committed | CommitRefused | Retry


class CommitAttempts:
    """Runs the commit attempts of one host."""

    __slots__ = ("_intents", "_local_state", "_renewer", "_storage")

    def __init__(
        self,
        local_state: LocalState,
        storage: HeadStorage,
        renewer: ProofRenewer,
        intents: IntentAnnouncer,
    ) -> None:
        self._local_state = local_state
        self._storage = storage
        self._renewer = renewer
        self._intents = intents

    async def attempt(self, pending: PendingChange) -> AttemptResult:
        """Read the head and commit the change on top of it."""
        try:
            base = await self._storage.read()
        except (PlatformError, StateUnreadableError) as error:
            return self._refusal(pending, RefusalKind.STORE_UNAVAILABLE, str(error))
        if base.head is not None and not await self._renewer.install(base.head):
            detail = f"a part of version {base.head.version} can't be read"
            return self._refusal(pending, RefusalKind.STORE_UNAVAILABLE, detail)
        if base.head is not None and base.head.has_change(pending.change_id):
            pending.unresolved_base_version = None
            return Committed(base.head, pending.change.suspended_key is not None)
        self._resolve_unknown_outcome(pending, base)
        return await self._apply(pending, base)

    def _resolve_unknown_outcome(self, pending: PendingChange, base: StoredHead) -> None:
        """Clear ``unresolved_base_version`` once the head has advanced without the change.

        The write requires the old head, so it can't take effect any more.
        """
        if (
            pending.unresolved_base_version is not None
            and self._base_version(base) > pending.unresolved_base_version
        ):
            pending.unresolved_base_version = None

    async def _apply(self, pending: PendingChange, base: StoredHead) -> AttemptResult:
        state = self._local_state.state
        if self._local_state.installed > self._base_version(base):
            await self._renewer.put_back(base)
        if self._local_state.installed != self._base_version(base):
            return Retry("the head was outdated")
        changed_state = pending.change.create() if state is None else pending.change.apply(state)
        if isinstance(changed_state, Rejection):
            kind = RefusalKind.CONFLICT if changed_state.conflict else RefusalKind.REJECTED
            return self._refusal(pending, kind, changed_state.reason)
        if base.head is not None and changed_state == state:
            return Committed(base.head, False)
        recent = base.head.recent if base.head else ()
        encoded_head = encode_state(_next_version(state, changed_state), pending.change_id, recent)
        return await self._write(pending, base, encoded_head)

    async def _write(
        self, pending: PendingChange, base: StoredHead, encoded_head: EncodedHead
    ) -> AttemptResult:
        try:
            await self._storage.put_objects(encoded_head)
        except PlatformError as error:
            return self._refusal(pending, RefusalKind.STORE_UNAVAILABLE, str(error))
        members_by_host = self._local_state.members_by_host
        key_id = pending.change.suspended_key
        intent = Intent(pending.change_id, self._base_version(base), key_id)
        outcome = await self._intents.run(intent, members_by_host)
        if outcome is IntentOutcome.OUTDATED:
            return Retry("another host knows a newer version")
        if outcome is IntentOutcome.TOO_FEW:
            detail = f"no majority of {len(members_by_host)} hosts acknowledged the change"
            return self._refusal(pending, RefusalKind.NO_MAJORITY, detail)
        return await self._replace(pending, base, encoded_head)

    async def _replace(
        self, pending: PendingChange, base: StoredHead, encoded_head: EncodedHead
    ) -> AttemptResult:
        try:
            commit = await self._storage.replace(base, encoded_head.head, pending.change.conditions)
        except OutcomeUnknownError as error:
            pending.unresolved_base_version = self._base_version(base)
            return Retry(str(error))
        except PlatformError as error:
            return self._refusal(pending, RefusalKind.STORE_UNAVAILABLE, str(error))
        if not commit.committed:
            return Retry("the head was changed meanwhile")
        pending.unresolved_base_version = None
        self._storage.cache_objects(encoded_head)
        self._local_state.observe_era(self._storage.era)
        self._local_state.note_stored(encoded_head.head.version, self._storage.era)
        await self._renewer.install(encoded_head.head)
        return Committed(encoded_head.head, pending.change.suspended_key is not None)

    def _refusal(self, pending: PendingChange, kind: RefusalKind, detail: str) -> CommitRefused:
        return pending.refusal(kind, detail, self._local_state.installed)

    @staticmethod
    def _base_version(base: StoredHead) -> int:
        return base.head.version if base.head else NO_STATE_VERSION


def _next_version(state: AgreedState | None, changed_state: AgreedState) -> AgreedState:
    version = changed_state.version + 1
    division_changed = (
        state is None
        or state.members != changed_state.members
        or state.deployment != changed_state.deployment
    )
    if division_changed:
        changed_state = replace(
            changed_state,
            division_version=version,
            previous_division_version=changed_state.division_version,
        )
    if state is None or state.deployment != changed_state.deployment:
        changed_state = replace(changed_state, configuration_version=version)
    return replace(changed_state, version=version)
