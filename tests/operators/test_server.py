"""Tests of the operator API over HTTP, on a keeper with an in-memory platform."""

from __future__ import annotations

import hashlib
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING
from typing import Any

import pytest
import yaml
from aiohttp.test_utils import TestClient
from aiohttp.test_utils import TestServer

from flamingoladder.daemon.settings import OperatorToken
from flamingoladder.daemon.settings import Role
from flamingoladder.freshness.settings import FreshnessSettings
from flamingoladder.freshness.state_replica import StateReplica
from flamingoladder.members.member import Member
from flamingoladder.operators.access import OperatorAccess
from flamingoladder.operators.server import OperatorServer
from flamingoladder.standins.memory import MemoryHostList
from flamingoladder.standins.memory import MemoryObjects
from flamingoladder.standins.memory import MemoryTable
from flamingoladder.standins.memory import StoredTable
from flamingoladder.standins.network import Network
from flamingoladder.timeline.merge import TimelineCollector
from flamingoladder.timeline.recorder import Recorder

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

EXAMPLE = (Path(__file__).parents[2] / "examples" / "tjaldvik.yaml").read_bytes()
TOKENS = [
    OperatorToken(role, hashlib.sha256(token).hexdigest())
    for role, token in [
        (Role.VIEWER, b"view"),
        (Role.OPERATOR, b"old-change"),
        (Role.OPERATOR, b"change"),
    ]
]


class Api:
    """A client with a token."""

    def __init__(self, client: TestClient[Any, Any], recorder: Recorder) -> None:
        self._client = client
        self.recorder = recorder

    async def call(
        self, method: str, path: str, token: str = "change", **options: Any
    ) -> tuple[int, Any]:
        headers = {"Authorization": f"Bearer {token}", **options.pop("headers", {})}
        async with self._client.request(method, path, headers=headers, **options) as response:
            return response.status, await response.json()

    async def apply(self, content: bytes, expected: int) -> tuple[int, Any]:
        headers = {"If-Match": f'"{expected}"'}
        return await self.call("PUT", "/v1/configuration", data=content, headers=headers)


@pytest.fixture
async def api() -> AsyncIterator[Api]:
    recorder = Recorder("h1", "i1")
    links = Network(Random(1)).join("h1", "i1")
    member = Member("h1", "reykjavik", "reykjavik-a", "i1", "http://h1", "", "")
    keeper = StateReplica.from_config(
        FreshnessSettings(),
        member,
        MemoryTable(StoredTable()),
        MemoryObjects({}),
        MemoryHostList(),
        links,
        recorder,
    )
    keeper.start()
    server = OperatorServer(
        keeper, TimelineCollector(links, recorder), OperatorAccess(TOKENS), recorder
    )
    async with TestClient(TestServer(server.application())) as client:
        yield Api(client, recorder)
    await keeper.close()


@pytest.mark.parametrize(
    ("method", "token", "status"),
    [
        ("GET", "view", 200),
        ("GET", "old-change", 200),
        ("GET", "wrong", 401),
        ("GET", "", 401),
        ("DELETE", "view", 403),
        ("DELETE", "wrong", 401),
        ("DELETE", "old-change", 422),
    ],
)
async def test_a_token_allows_what_its_role_says(
    api: Api, method: str, token: str, status: int
) -> None:
    path = "/v1/status" if method == "GET" else "/v1/keys/none"
    assert (await api.call(method, path, token))[0] == status


async def test_a_configuration_is_applied_once_for_each_expected_version(api: Api) -> None:
    status, report = await api.apply(EXAMPLE, 0)
    assert (status, report["in_force"]) == (200, True)
    other = EXAMPLE.replace(b"deadline_ms: 2000", b"deadline_ms: 2100")
    status, error = await api.apply(other, 0)
    assert (status, error["code"]) == (412, "conflict")
    _, state = await api.call("GET", "/v1/state", "view")
    status, _ = await api.apply(other, state["configuration_version"])
    assert status == 200


async def test_an_invalid_configuration_changes_nothing(api: Api) -> None:
    await api.apply(EXAMPLE, 0)
    _, before = await api.call("GET", "/v1/state")
    document = yaml.safe_load(EXAMPLE)
    document["places"]["store_region"] = "oslo"
    document["workspaces"]["turf-house"]["burst"] = 0
    status, error = await api.apply(yaml.safe_dump(document).encode(), 1)
    assert (status, error["code"]) == (422, "invalid_configuration")
    assert [problem["path"] for problem in error["problems"]] == ["places.store_region"]
    assert (await api.call("GET", "/v1/state"))[1] == before


@pytest.mark.parametrize(
    ("method", "path", "body", "status", "named"),
    [
        ("PUT", "/v1/configuration", None, 400, "If-Match"),
        ("POST", "/v1/keys", {"workspace": "nobody"}, 422, "nobody"),
        ("POST", "/v1/keys", {"workspce": "x"}, 400, "workspce"),
        ("POST", "/v1/keys", None, 400, "body"),
        ("PUT", "/v1/drains/target/catalogue/none", {"reason": "x"}, 400, "catalogue/none"),
        ("PUT", "/v1/drains/shelf/x", {"reason": "x"}, 400, "failure_domain"),
        ("PUT", "/v1/drains/target/catalogue/catalogue-01", {"reason": " "}, 400, "reason"),
        ("GET", "/v1/timeline?since=yesterday", None, 400, "since"),
        (
            "PUT",
            "/v1/shifts/s",
            {
                "service": "catalogue",
                "from_region": "akureyri",
                "to_region": "reykjavik",
                "share": 2,
                "cap_per_s": 1,
                "reason": "x",
            },
            400,
            "share",
        ),
    ],
)
async def test_bad_input_is_refused_with_the_field_named(
    api: Api, method: str, path: str, body: object, status: int, named: str
) -> None:
    await api.apply(EXAMPLE, 0)
    answer = await api.call(method, path, json=body)
    assert answer[0] == status
    assert named in answer[1]["detail"]


async def test_a_key_is_granted_once_and_withdrawn_for_good(api: Api) -> None:
    await api.apply(EXAMPLE, 0)
    _, granted = await api.call("POST", "/v1/keys", json={"workspace": "turf-house"})
    status, _ = await api.call("DELETE", f"/v1/keys/{granted['key_id']}")
    assert status == 200
    _, state = await api.call("GET", "/v1/state", "view")
    assert state["keys"] == [
        {"key_id": granted["key_id"], "workspace": "turf-house", "withdrawn": True}
    ]
    recorded = repr([event.fields for event in api.recorder.since(0)])
    assert granted["key"] not in recorded + repr(state)


async def test_a_drain_is_added_and_removed(api: Api) -> None:
    await api.apply(EXAMPLE, 0)
    path = "/v1/drains/target/catalogue/catalogue-01"
    await api.call("PUT", path, json={"reason": "disk swap"})
    _, state = await api.call("GET", "/v1/state")
    assert state["drains"] == [
        {"kind": "target", "name": "catalogue/catalogue-01", "reason": "disk swap"}
    ]
    await api.call("DELETE", path)
    _, state = await api.call("GET", "/v1/state")
    assert state["drains"] == []
