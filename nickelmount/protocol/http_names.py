"""The paths, header fields and fixed values of the HTTP that clients, agents, endpoints and discovery speak.

Header fields are in lower case, as they are looked up in a message that was read.
"""

from __future__ import annotations

# What clients ask of an agent
API_PATH = b"/api"
HEALTH_PATH = b"/_health"

# What an agent asks of an endpoint, beside the requests of clients
LOAD_PATH = b"/_load"  # answers with a load report
PING_PATH = b"/ping"  # answers, where endpoints report no load

# What an agent asks of discovery
ENDPOINT_LIST_PATH = "/catalog/members"

UPSTREAM_HOST = b"origin.svc"
DISCOVERY_HOST = b"discovery"

# Fields of a request
HOST = b"host"
REQUEST_ID = b"request-id"
IDEMPOTENCY_KEY = b"idempotency-key"
REQUEST_CLASS = b"request-class"
TENANT = b"tenant"
REQUEST_TIMEOUT_MS = b"request-timeout-ms"
CLIENT_RETRY = b"client-retry"  # b"1": the client asked before
WORK_HINT = b"work-hint"  # rough cost on a standard core, in microseconds
CONTENT_TYPE = b"content-type"
EXPECT = b"expect"

# Fields of an answer
SERVER_LOAD = b"server-load"  # a load report
NOT_STARTED = b"not-started"  # b"1": the endpoint did nothing for this request

# Bodies of final answers without a result
REJECTED_BODY = b"refused\n"
FAILED_BODY = b"failed\n"
