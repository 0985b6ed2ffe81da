"""Abstract base classes of the stages of request processing; other packages implement them."""

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

RequestRunner: TypeAlias = "Callable[[CallerRequest], Awaitable[Outcome]]"


class Admission(ABC):
    """Limiter of each workspace's rate and burst, summed over all hosts."""

    @abstractmethod
    async def admit(self, request: CallerRequest, now: float) -> Refusal | None:
        """Count the request at ``now`` (monotonic s) and return None, or return a refusal."""

    @abstractmethod
    def refund(self, request: CallerRequest) -> None:
        """Stop counting an admitted request that certainly has not run."""


class Ledger(ABC):
    """Executor that runs each non-idempotent request at most once over all hosts."""

    @abstractmethod
    async def run_once(self, request: CallerRequest, run: RequestRunner) -> Outcome:
        """Claim the request, call ``run`` at most once, and store the outcome for retries."""

    @abstractmethod
    async def outcome_of(self, workspace: str, idempotency_key: str) -> Outcome:
        """Return the outcome of an earlier request as far as it is known.

        A refusal ``NOT_RUN`` guarantees that no request with this key has run or can run under
        its claim.
        """

    @abstractmethod
    def issue_ticket(self, workspace: str) -> str:
        """Return a new ticket, an idempotency key.

        Only this incarnation of the host may run the request that is sent with it.
        """


class Dispatcher(ABC):
    """Sender of requests to a target in a region that can serve them before the deadline."""

    @abstractmethod
    async def dispatch(self, request: CallerRequest) -> Outcome:
        """Choose a target, send the request within its deadline and return the whole answer.

        Only idempotent requests are sent a second time, unless no byte of the first was sent or
        the target's shed marker states that it did not run the first.
        """


class GatewayStages:
    """The stages of one entry host, with its state, keys, look-ups and recorder."""

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
