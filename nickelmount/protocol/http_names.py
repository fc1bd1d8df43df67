"""HTTP paths, header fields and fixed values that clients, agents, endpoints and discovery use.

Header fields are in lower case, because they are looked up in lower case in a parsed message.
"""

from __future__ import annotations

# Paths of requests from clients to an agent
API_PATH = b"/api"
HEALTH_PATH = b"/_health"

# Paths of an agent's own requests to an endpoint
LOAD_PATH = b"/_load"  # The endpoint answers with a load report.
PING_PATH = b"/ping"  # This path is used instead if endpoints do not report their load.

# Path of requests from an agent to discovery
ENDPOINT_LIST_PATH = "/catalog/members"

UPSTREAM_HOST = b"origin.svc"
DISCOVERY_HOST = b"discovery"

# Header fields of a request
HOST = b"host"
REQUEST_ID = b"request-id"
IDEMPOTENCY_KEY = b"idempotency-key"
REQUEST_CLASS = b"request-class"
TENANT = b"tenant"
REQUEST_TIMEOUT_MS = b"request-timeout-ms"
CLIENT_RETRY = b"client-retry"  # The value b"1" marks a retry by the client.
WORK_HINT = b"work-hint"  # Approximate processing time on a standard core, in microseconds.
CONTENT_TYPE = b"content-type"
EXPECT = b"expect"

# Header fields of a response
SERVER_LOAD = b"server-load"  # The value is a load report.
NOT_STARTED = b"not-started"  # The value b"1" says that the endpoint has not started to process the request.

# Bodies of final answers without a result
REJECTED_BODY = b"refused\n"
FAILED_BODY = b"failed\n"
