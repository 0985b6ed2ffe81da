"""Names of HTTP header fields, and which of them stay on one connection."""

from __future__ import annotations

AUTHORIZATION = "Authorization"
DEADLINE_MS = "Flamingoladder-Deadline-Ms"
FRESH_KEY = "Flamingoladder-Fresh-Key"
IDEMPOTENCY_KEY = "Idempotency-Key"
REASON = "Flamingoladder-Reason"
REQUEST_ID = "X-Request-Id"
RETRY_AFTER = "Retry-After"
SERVER_LEAVING = "Server-Leaving"
SHED = "Flamingoladder-Shed"
VERDICT = "Flamingoladder-Verdict"
WORKSPACE = "Flamingoladder-Workspace"

OWN_PREFIX = "flamingoladder-"

CONNECTION_FIELDS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
