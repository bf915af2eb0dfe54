"""Control calls to model engines: state reports and weights orders."""

from __future__ import annotations

import json

from returns.result import Failure, Result, Success

from agaterail.gateway.enginecontrol import (
    EngineControl,
    EngineReport,
    InFlightPolicy,
    OrderOutcome,
    WeightsOrder,
)
from agaterail.gateway.targets import Target
from agaterail.platform import fields, names
from agaterail.util.address import Address
from agaterail.util.httpconn import Answer, HttpConnections
from agaterail.util.untrusted import load_json

# Engines are milliseconds away; one that is silent for this long counts as unreachable.
CONNECT_TIMEOUT_S = 0.3
ANSWER_TIMEOUT_S = 0.6
# Reports list the models and runs of one engine.
MAX_ANSWER_BYTES = 256 * 1024
HTTP_OK = 200
OUTCOME_BY_STATUS = {
    200: OrderOutcome.ALREADY_LOADED,
    202: OrderOutcome.ACCEPTED,
    400: OrderOutcome.UNKNOWN_VERSION,
    409: OrderOutcome.BUSY,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.OTHER_TARGET,
}
ORDER_MODES = {InFlightPolicy.FINISH_FIRST: "wait", InFlightPolicy.CONTINUE: "keep"}


class PlatformEngines(EngineControl):
    """Makes control calls over HTTP, each on a new connection.

    The calls are rare, and on a persistent connection an order could be lost if the
    engine closes the connection at the same moment.
    """

    def report(self, target: Target) -> Result[EngineReport, str]:
        """Read an engine's state."""
        answer = self._call(target, "GET", names.REPORT_PATH, b"")
        if not isinstance(answer, Success):
            return Failure(answer.failure())
        found = answer.unwrap()
        if found.status != HTTP_OK:
            return Failure(f"status {found.status}")
        try:
            return Success(_decode_report(found))
        except ValueError as error:
            return Failure(str(error))

    def order(self, target: Target, order: WeightsOrder) -> OrderOutcome:
        """Order an engine to load weights."""
        body = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            "mode": ORDER_MODES[order.in_flight_policy],
            "holder": order.host,
            "fence": order.fencing,
            # On the wire, "expect" is a number of orders, not an instance.
            "expect": order.after_orders,
        }
        answer = self._call(target, "POST", names.ORDER_PATH, json.dumps(body).encode())
        if not isinstance(answer, Success):
            return OrderOutcome.UNANSWERED
        return OUTCOME_BY_STATUS.get(answer.unwrap().status, OrderOutcome.UNANSWERED)

    def _call(
        self, target: Target, method: str, path: str, body: bytes
    ) -> Result[Answer, str]:
        connections = HttpConnections(
            Address.parse(target.address), CONNECT_TIMEOUT_S, MAX_ANSWER_BYTES
        )
        headers = {names.EXPECT_INSTANCE.decode(): target.instance}
        if body:
            headers["content-type"] = "application/json"
        try:
            answer = connections.exchange(
                method, path, body, headers, ANSWER_TIMEOUT_S, answer_s=ANSWER_TIMEOUT_S
            )
        finally:
            connections.close()
        return answer.alt(lambda error: error.reason)


def _decode_report(answer: Answer) -> EngineReport:
    decoded = fields.json_object(load_json(answer.body), "the report")
    models = (fields.json_object(item, "a model") for item in fields.array(decoded, "models"))
    return EngineReport(
        loading=fields.boolean(decoded, "busy"),
        # The wire calls this a sequence number; it is the number of accepted orders.
        orders_accepted=fields.integer(decoded, "seq_no"),
        waiting=fields.integer(decoded, "waiting", 0),
        running=fields.integer(decoded, "running", 0),
        weights={
            fields.string(item, "name"): fields.integer(item, "version") for item in models
        },
        born=fields.integer(decoded, "born", 0),
        leaving=answer.headers.get(names.LEAVING.decode(), "").strip() == "1",
    )
