"""The kinds of faults and planned work that a soak draws from."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingoladder.soak.crashing_requests import CrashingRequest
from flamingoladder.soak.faults import CutHostFromStore
from flamingoladder.soak.faults import FreezeHost
from flamingoladder.soak.faults import KillHost
from flamingoladder.soak.faults import StopHost
from flamingoladder.soak.faults import StoreGoesBack
from flamingoladder.soak.faults import StoreTrouble
from flamingoladder.soak.faults import WithdrawKey
from flamingoladder.soak.target_faults import FaultyAnswers
from flamingoladder.soak.target_faults import NamePause
from flamingoladder.soak.target_faults import NameRateLimit
from flamingoladder.soak.target_faults import ReplaceTarget
from flamingoladder.soak.target_faults import TargetConnections

if TYPE_CHECKING:
    from flamingoladder.soak.faults import Fault

ALL_FAULTS: tuple[Fault, ...] = (
    KillHost(),
    StopHost(),
    StopHost(),
    FreezeHost(),
    CutHostFromStore(),
    StoreTrouble(),
    StoreGoesBack(),
    TargetConnections(),
    FaultyAnswers(),
    ReplaceTarget(),
    WithdrawKey(),
    NameRateLimit(),
    NamePause(),
    CrashingRequest(),
)
