"""Route matching by method and longest path prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import unquote

from flamingoladder.gateway.exceptions import RefusedError
from flamingoladder.verdict import Reason
from flamingoladder.verdict import Refusal

if TYPE_CHECKING:
    from flamingoladder.config.model import Deployment
    from flamingoladder.config.model import Route
    from flamingoladder.config.model import Service


def find_route(deployment: Deployment, service: str, method: str, raw_path: str) -> Route:
    """Return the route of a request whose path, still percent-encoded, is ``raw_path``.

    Paths that an upstream could normalize to another path are refused: such a path could match
    an open route here and reach a route that requires a key at the upstream.

    :raises RefusedError: if there is no such route, or the path is ambiguous.
    """
    declared = deployment.services.get(service)
    if declared is None:
        raise _refused(Reason.UNKNOWN_SERVICE, f"no service {service!r}")
    path = unquote(raw_path, errors="surrogateescape")
    if _is_ambiguous(path):
        detail = "the path has empty or dot segments, backslashes, semicolons or control characters"
        raise _refused(Reason.BAD_REQUEST, detail)
    route = _longest_match(declared, method, path)
    if route is None:
        detail = f"service {service!r} has no route for {method} on this path"
        raise _refused(Reason.UNKNOWN_ROUTE, detail)
    return route


def _refused(reason: Reason, detail: str) -> RefusedError:
    return RefusedError(Refusal.not_run(reason, detail))


def _longest_match(service: Service, method: str, path: str) -> Route | None:
    matching = [
        route
        for route in service.routes
        if method in route.methods and _matches_prefix(route.path, path)
    ]
    return max(matching, key=_prefix_length, default=None)


def _prefix_length(route: Route) -> int:
    return len(route.path)


def _matches_prefix(prefix: str, path: str) -> bool:
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")


def _is_ambiguous(path: str) -> bool:
    if "//" in path or "\\" in path or ";" in path:
        return True
    if any(character < " " or character == "\x7f" for character in path):
        return True
    return "/." in path and any(segment in {".", ".."} for segment in path.split("/"))
