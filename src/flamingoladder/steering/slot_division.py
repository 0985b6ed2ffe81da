"""The division of slots among hosts: a pure function of the agreed state."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from typing import TYPE_CHECKING

from flamingoladder.hashing import stable_hash
from flamingoladder.peers.link import Peer
from flamingoladder.steering.messages import Slot
from flamingoladder.upstreams.targets import declared_targets

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from flamingoladder.config.agreed import AgreedState
    from flamingoladder.members.member import Member
    from flamingoladder.upstreams.targets import DeclaredTarget

MS_PER_S = 1_000


class SlotDivision:
    """The owner of each slot at one division version.

    The slots of each service are divided evenly among the hosts of the target's region, or among
    all hosts if that region has none.
    """

    __slots__ = ("incarnations_by_host", "owners_by_slot", "version")

    def __init__(
        self,
        version: int,
        incarnations_by_host: Mapping[str, str],
        owners_by_slot: Mapping[Slot, str],
    ) -> None:
        self.version = version
        self.incarnations_by_host = incarnations_by_host
        self.owners_by_slot = owners_by_slot

    @classmethod
    def from_state(cls, state: AgreedState) -> SlotDivision:
        """Return the division for ``state``."""
        targets = declared_targets(state)
        domains_by_target = {target.name: target.failure_domain for target in targets}
        owners: dict[Slot, str] = {}
        for (region, _service), slots in _slots_by_region_and_service(state, targets).items():
            in_region = [member for member in state.members if member.region == region]
            hosts = in_region or list(state.members)
            if hosts:
                owners.update(_assign_owners(slots, hosts, domains_by_target))
        incarnations = {member.host: member.incarnation for member in state.members}
        return cls(state.division_version, incarnations, owners)

    def is_member(self, peer: Peer) -> bool:
        """Return whether this incarnation of the host is registered."""
        return self.incarnations_by_host.get(peer.host) == peer.incarnation

    def owner_of(self, slot: Slot) -> Peer | None:
        """Return the owner of a slot, or None if there is no such slot."""
        host = self.owners_by_slot.get(slot)
        return None if host is None else Peer(host, self.incarnations_by_host[host])

    def owned_by(self, peer: Peer) -> tuple[Slot, ...]:
        """Return the slots that this incarnation of the host owns, in the order of the division."""
        if not self.is_member(peer):
            return ()
        return tuple(slot for slot, host in self.owners_by_slot.items() if host == peer.host)


def longest_deadline_s(state: AgreedState) -> float:
    """Return the longest deadline of all routes, in seconds."""
    deployment = state.deployment
    longest_ms = deployment.defaults.deadline_ms
    for service in deployment.services.values():
        for route in service.routes:
            longest_ms = max(longest_ms, route.deadline_ms or 0)
    return longest_ms / MS_PER_S


def _slots_by_region_and_service(
    state: AgreedState, targets: Iterable[DeclaredTarget]
) -> dict[tuple[str, str], list[Slot]]:
    """Return the slots of each region and service, within the regions' capacities."""
    slots_by_region: dict[str, list[Slot]] = defaultdict(list)
    for target in targets:
        slots = [Slot(target.name, index) for index in range(target.slots)]
        slots_by_region[target.region].extend(slots)
    slots_by_key: dict[tuple[str, str], list[Slot]] = defaultdict(list)
    for region, slots in slots_by_region.items():
        capacity = state.deployment.places.regions[region].capacity_slots
        # Slots are taken in rounds, one of each target, so that a capacity limit omits no target.
        ordered = sorted(slots, key=lambda slot: (slot.index, _hash(slot, "")))
        for slot in ordered[:capacity]:
            slots_by_key[(region, slot.service)].append(slot)
    return slots_by_key


def _assign_owners(
    slots: list[Slot], members: list[Member], domains_by_target: Mapping[str, str]
) -> dict[Slot, str]:
    """Assign slots evenly to hosts, by rendezvous hashing with a limit for each host."""
    pairs = [(slot, member) for slot in slots for member in members]
    pairs.sort(
        key=lambda pair: (
            pair[1].failure_domain != domains_by_target[pair[0].target],
            _hash(pair[0], pair[1].host),
            pair[0],
            pair[1].host,
        )
    )
    min_slots = len(slots) // len(members)
    owners: dict[Slot, str] = {}
    counts: Counter[str] = Counter()
    for limit in (min_slots, min_slots + 1):
        for slot, member in pairs:
            if slot in owners or counts[member.host] >= limit:
                continue
            owners[slot] = member.host
            counts[member.host] += 1
    return owners


def _hash(slot: Slot, host: str) -> int:
    return stable_hash(slot.target, str(slot.index), host)
