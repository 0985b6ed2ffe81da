"""Changes of the agreed state: configuration, keys, members, drains and shifts."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

import msgspec
from msgspec.structs import replace

from flamingoladder.config.agreed import AgreedState

if TYPE_CHECKING:
    from flamingoladder.config.agreed import Drain
    from flamingoladder.config.agreed import KeyGrant
    from flamingoladder.config.agreed import Shift
    from flamingoladder.config.model import Deployment
    from flamingoladder.platform.table import Condition

NO_STATE_VERSION = 0


class Rejection(msgspec.Struct, frozen=True):
    """Why a change does not apply; ``conflict`` if only because of the expected version."""

    why: str
    conflict: bool = False


class Change(ABC):
    """A change of the agreed state. Applying one that already holds returns the state itself."""

    __slots__ = ()

    @property
    @abstractmethod
    def scope(self) -> str:
        """Return what the change is about, such as ``key:<id>``."""

    @abstractmethod
    def apply(self, state: AgreedState) -> AgreedState | Rejection:
        """Return the changed state, with ``state``'s version, or why there is none."""

    @property
    def suspended_key(self) -> str | None:
        """Return the id of the key that is refused while the change is being committed."""
        return None

    @property
    def conditions(self) -> tuple[Condition, ...]:
        """Return what the commit requires besides the unchanged head."""
        return ()

    def create(self) -> AgreedState | Rejection:
        """Return the first state, where there is none yet."""
        return Rejection("no configuration has been applied yet")


class ApplyConfiguration(Change):
    """Puts a configuration in place of another.

    ``expected_version`` is the configuration version that it was made from; 0 expects none.
    """

    __slots__ = ("deployment", "expected_version")

    def __init__(self, expected_version: int, deployment: Deployment) -> None:
        self.expected_version = expected_version
        self.deployment = deployment

    @property
    def scope(self) -> str:
        """Return ``config``."""
        return "config"

    def apply(self, state: AgreedState) -> AgreedState | Rejection:
        """Replace the deployment if no other was committed since the expected version."""
        if state.deployment == self.deployment:
            return state
        if state.configuration_version != self.expected_version:
            return self._conflict(state.configuration_version)
        return replace(state, deployment=self.deployment)

    def create(self) -> AgreedState | Rejection:
        """Return the first state."""
        if self.expected_version != NO_STATE_VERSION:
            return self._conflict(NO_STATE_VERSION)
        version = NO_STATE_VERSION
        return AgreedState(version, version, version, self.deployment)

    def _conflict(self, present: int) -> Rejection:
        return Rejection(f"expected version {self.expected_version}, found {present}", True)


class GrantKey(Change):
    """Grants a key. Key ids and keys are never granted a second time."""

    __slots__ = ("grant",)

    def __init__(self, grant: KeyGrant) -> None:
        self.grant = grant

    @property
    def scope(self) -> str:
        """Return ``key:<id>``."""
        return f"key:{self.grant.key_id}"

    def apply(self, state: AgreedState) -> AgreedState | Rejection:
        """Add the grant."""
        if self.grant in state.grants:
            return state
        if self.grant.workspace not in state.deployment.workspaces:
            return Rejection(f"no workspace {self.grant.workspace}")
        if any(grant.key_id == self.grant.key_id for grant in state.grants):
            return Rejection(f"key id {self.grant.key_id} is in use or was withdrawn")
        if self.grant.digest in state.grants_by_digest:
            return Rejection("the same key was granted before, under another id")
        return replace(state, grants=(*state.grants, self.grant))


class WithdrawKey(Change):
    """Withdraws a key for good."""

    __slots__ = ("key_id",)

    def __init__(self, key_id: str) -> None:
        self.key_id = key_id

    @property
    def scope(self) -> str:
        """Return ``key:<id>``."""
        return f"key:{self.key_id}"

    @property
    def suspended_key(self) -> str | None:
        """Return the key's id: the key is refused from the intent on."""
        return self.key_id

    def apply(self, state: AgreedState) -> AgreedState | Rejection:
        """Mark the grant as withdrawn."""
        if all(grant.key_id != self.key_id for grant in state.grants):
            return Rejection(f"no key {self.key_id}")
        return with_keys_withdrawn(state, frozenset({self.key_id}))


class AddDrain(Change):
    """Takes a target, failure domain or host out of use for new work."""

    __slots__ = ("drain",)

    def __init__(self, drain: Drain) -> None:
        self.drain = drain

    @property
    def scope(self) -> str:
        """Return ``drain:<kind>/<name>``."""
        return f"drain:{self.drain.kind}/{self.drain.name}"

    def apply(self, state: AgreedState) -> AgreedState | Rejection:
        """Add the drain, in place of an earlier one of the same thing."""
        if self.drain in state.drains:
            return state
        others = tuple(drain for drain in state.drains if not _same_place(drain, self.drain))
        return replace(state, drains=(*others, self.drain))


class RemoveDrain(Change):
    """Puts a drained target, failure domain or host back to use."""

    __slots__ = ("drain",)

    def __init__(self, drain: Drain) -> None:
        self.drain = drain

    @property
    def scope(self) -> str:
        """Return ``drain:<kind>/<name>``."""
        return f"drain:{self.drain.kind}/{self.drain.name}"

    def apply(self, state: AgreedState) -> AgreedState | Rejection:
        """Remove the drain of the same thing, whatever its reason."""
        others = tuple(drain for drain in state.drains if not _same_place(drain, self.drain))
        if len(others) == len(state.drains):
            return state
        return replace(state, drains=others)


class StartShift(Change):
    """Starts a shift of traffic; a shift's id is used once at a time."""

    __slots__ = ("shift",)

    def __init__(self, shift: Shift) -> None:
        self.shift = shift

    @property
    def scope(self) -> str:
        """Return ``shift:<id>``."""
        return f"shift:{self.shift.shift_id}"

    def apply(self, state: AgreedState) -> AgreedState | Rejection:
        """Add the shift."""
        if self.shift in state.shifts:
            return state
        if any(shift.shift_id == self.shift.shift_id for shift in state.shifts):
            return Rejection(f"shift {self.shift.shift_id} is already on")
        if self.shift.service not in state.deployment.services:
            return Rejection(f"no service {self.shift.service}")
        regions = {self.shift.from_region, self.shift.to_region}
        unknown = regions - set(state.deployment.places.regions)
        if unknown:
            return Rejection(f"no region {sorted(unknown)[0]}")
        return replace(state, shifts=(*state.shifts, self.shift))


class EndShift(Change):
    """Ends a shift of traffic."""

    __slots__ = ("shift_id",)

    def __init__(self, shift_id: str) -> None:
        self.shift_id = shift_id

    @property
    def scope(self) -> str:
        """Return ``shift:<id>``."""
        return f"shift:{self.shift_id}"

    def apply(self, state: AgreedState) -> AgreedState | Rejection:
        """Remove the shift."""
        others = tuple(shift for shift in state.shifts if shift.shift_id != self.shift_id)
        if len(others) == len(state.shifts):
            return state
        return replace(state, shifts=others)


def with_keys_withdrawn(state: AgreedState, key_ids: frozenset[str]) -> AgreedState:
    """Return ``state`` with the keys of ``key_ids`` withdrawn; itself if they all are."""
    if not any(grant.key_id in key_ids and not grant.withdrawn for grant in state.grants):
        return state
    grants = tuple(
        _withdrawn(grant) if grant.key_id in key_ids else grant for grant in state.grants
    )
    return replace(state, grants=grants)


def _withdrawn(grant: KeyGrant) -> KeyGrant:
    return replace(grant, withdrawn=True)


def _same_place(first: Drain, second: Drain) -> bool:
    return (first.kind, first.name) == (second.kind, second.name)
