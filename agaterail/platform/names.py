"""Names that the platform uses in headers, calls and topics."""

from __future__ import annotations

from agaterail.gateway.inbound import Notice

# Headers, lower case as the parsers deliver them.
REQUEST_ID = b"request-id"
DEADLINE = b"deadline-ms"  # a timeout in milliseconds, not a point in time
AUTHORIZATION = b"authorization"
BEARER = "Bearer "
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"resumes"  # id of the request whose answer brought the stream's first event
MODEL = b"model"
TOKEN_USAGE = b"token-usage"  # announced by the caller, not the actual usage
PROMPT_PREFIX = b"prompt-prefix"  # all parts of the prompt, not only a prefix
WORKSPACE = b"tenant"
EXPECT_INSTANCE = b"expect-instance"
EXPECT_VERSION = b"expect-version"
CACHE_SCOPE = b"cache-salt"
FETCH_FROM = b"kv-fetch"
SAVE_TO = b"kv-save"
PRIORITY = b"request-priority"
PIN = b"pin-ms"
HOLD = b"hold"
BACKUP = b"kv-backup"
MOVED_FROM = b"kv-from"
NOT_RUN = b"not-run"
SERVER_STAMP = b"server-stamp"
INSTANCE = b"instance-id"
WEIGHTS_VERSION = b"weight-versions"  # a single integer despite the plural
RETRY_AFTER = b"retry-after"
LEAVING = b"server-leaving"
RATE_LIMIT = b"server-limit"  # requests per second from all hosts together
BRITTLE = b"server-brittle"  # refusals in a second that an engine survives
KEEP_ALIVE = b"keep-alive"
CONNECTION = b"connection"
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"

NOTICES = {
    Notice.RATE_LIMIT: RATE_LIMIT,
    Notice.RETRY_AFTER: RETRY_AFTER,
    Notice.LEAVING: LEAVING,
    Notice.BRITTLE: BRITTLE,
}

HOP_BY_HOP = frozenset(
    {
        CONNECTION,
        KEEP_ALIVE,
        TRANSFER_ENCODING,
        CONTENT_LENGTH,
        b"te",
        b"trailer",
        b"upgrade",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"expect",
    }
)
# Headers that only the router may set. Values from callers are dropped: with them a
# caller could read another workspace's cache or reserve engine memory for itself.
ROUTER_ONLY = frozenset(
    {
        DEADLINE,
        AUTHORIZATION,
        LAST_EVENT_ID,
        WORKSPACE,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        CACHE_SCOPE,
        FETCH_FROM,
        SAVE_TO,
        PRIORITY,
        PIN,
        HOLD,
        BACKUP,
        MOVED_FROM,
    }
)
# Headers that the router interprets. Duplicates are refused, because it would be
# ambiguous which value applies.
SINGLE_VALUED = frozenset(
    {
        b"host",
        REQUEST_ID,
        DEADLINE,
        AUTHORIZATION,
        LAST_EVENT_ID,
        RESUMES,
        MODEL,
        TOKEN_USAGE,
        PROMPT_PREFIX,
        CONTENT_LENGTH,
    }
)

# Headers of which an answer has one at most. A second one belongs to another answer.
SINGLE_IN_ANSWERS = frozenset(
    {REQUEST_ID, NOT_RUN, SERVER_STAMP, INSTANCE, WEIGHTS_VERSION, KEEP_ALIVE}
)

READY_PATH = b"/agaterail/readiness"
ORDER_PATH = "/agaterail/order"
CACHE_EVENTS_PATH = "/agaterail/kv-events"
WAIT_MS = "Wait-Ms"
REPORT_PATH = "/agaterail/report"
LOG_APPEND_PATH = "/agaterail/log-append"
LOG_READ_PATH = "/agaterail/log-read"
LOG_NEWEST_PATH = "/agaterail/log-newest"
LOG_JOIN_PATH = "/agaterail/log-join"
LOG_LEAVE_PATH = "/agaterail/log-leave"
LOG_OWNERS_PATH = "/agaterail/log-owners"

OPERATOR_TOPIC = "keyed.op"
TARGETS_TOPIC = "keyed.servers"
# The system's own.
CRASHES_TOPIC = "keyed.agaterail-crashes"
CACHE_POOL_TOPIC = "keyed.agaterail-cache-pool"
POOL_MEMBERS_TOPIC = "keyed.agaterail-cache-pool-members"
CONFIG_KEY = "config"
VERSION_KEY_PREFIX = "version/"

SETTINGS_VARIABLE = "AGATERAIL_NODE_FILE"
