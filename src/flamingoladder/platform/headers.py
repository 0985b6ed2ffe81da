"""Names of the HTTP header fields that callers, hosts and targets exchange."""

from __future__ import annotations

AFFINITY_COOKIE = "Flamingoladder-Affinity-Key"
API_KEY = "X-Api-Key"
DEADLINE_MS = "Flamingoladder-Deadline-Ms"
EXPECT_INSTANCE = "Flamingoladder-Expect-Instance"
INSTANCE_ID = "Flamingoladder-Instance-Id"
NOT_EXECUTED = "Flamingoladder-Not-Executed"
REQUEST_ID = "Flamingoladder-Request-Id"
RETRY_AFTER = "Retry-After"
SERVER_LEAVING = ("Flamingoladder-Server-Leaving", "Server-Leaving")
SERVER_LIMITS = ("Flamingoladder-Server-Limit", "Server-Limit")
SERVER_LOAD = "Flamingoladder-Server-Load"
SIGNATURE = "Flamingoladder-Response-Signature"
STORE_ERA = "Store-Era"
TENANT_ID = "Flamingoladder-Tenant-Id"
WARMUP_MS = "Flamingoladder-Warmup-Ms"
