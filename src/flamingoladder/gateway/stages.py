"""The stages that a request passes, as abstract base classes that other slices implement."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING
from typing import TypeAlias

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from flamingoladder.config.agreed import StateInForce
    from flamingoladder.gateway.request import CallerRequest
    from flamingoladder.keys.authentication import KeyAuthenticator
    from flamingoladder.steering.lookup import LookupProvider
    from flamingoladder.timeline.recorder import Recorder
    from flamingoladder.verdict import Outcome
    from flamingoladder.verdict import Refusal

Run: TypeAlias = "Callable[[CallerRequest], Awaitable[Outcome]]"


class Admission(ABC):
    """Holds each workspace to its rate and burst over all hosts together."""

    @abstractmethod
    async def admit(self, request: CallerRequest, now: float) -> Refusal | None:
        """Return None once the request is counted at ``now`` (monotonic s), or a refusal."""

    @abstractmethod
    def give_back(self, request: CallerRequest) -> None:
        """Count a request no longer that was admitted and certainly has not run."""


class Ledger(ABC):
    """Runs non-idempotent requests at most once over all hosts."""

    @abstractmethod
    async def run_once(self, request: CallerRequest, run: Run) -> Outcome:
        """Claim the request, call ``run`` at most once, and keep the outcome for repeats."""

    @abstractmethod
    async def outcome_of(self, workspace: str, idempotency_key: str) -> Outcome:
        """Return what is known of an earlier request.

        A refusal ``NOT_RUN`` is a promise that this key has not run and its claim cannot run.
        """

    @abstractmethod
    def issue_ticket(self, workspace: str) -> str:
        """Return a new ticket, an idempotency key that only this incarnation may run."""


class Dispatcher(ABC):
    """Sends a request to a target in a region that can serve it in time."""

    @abstractmethod
    async def dispatch(self, request: CallerRequest) -> Outcome:
        """Choose a target, send the request within its deadline and return the whole answer.

        Only idempotent requests are sent a second time, unless no byte of the first left or the
        target said by its shed marker that it did not run the first.
        """


class GatewayStages:
    """The stages of one entry host."""

    __slots__ = ("admission", "dispatcher", "keys", "ledger", "lookups", "recorder", "state")

    def __init__(
        self,
        *,
        state: StateInForce,
        keys: KeyAuthenticator,
        admission: Admission,
        ledger: Ledger,
        dispatcher: Dispatcher,
        lookups: LookupProvider,
        recorder: Recorder,
    ) -> None:
        self.state = state
        self.keys = keys
        self.admission = admission
        self.ledger = ledger
        self.dispatcher = dispatcher
        self.lookups = lookups
        self.recorder = recorder
