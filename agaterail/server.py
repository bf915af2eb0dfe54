"""HTTP server for callers: falcon on gevent's WSGI server."""

from __future__ import annotations

import json
from socket import SO_SNDBUF, SOL_SOCKET
from typing import TYPE_CHECKING, Any

import falcon
import gevent
from returns.result import Success

from agaterail import errors, logs
from agaterail.callerwatch import CallerWatch
from agaterail.errors import ErrorKind, Outcome
from agaterail.filters.identify import caller_of
from agaterail.filters.match import CallerIndex
from agaterail.filters.relay import error_object
from agaterail.tables import NO_VERSION
from agaterail.wsgi import SOCKET_KEY, BoundedServer

if TYPE_CHECKING:
    from agaterail.application import Application
    from agaterail.exchange import Exchange, Reply
    from agaterail.util.address import Address

logger = logs.get_logger("server")

NOT_READY = 503
MIN_ERROR_STATUS = 400
SEND_TIMEOUT_S = 30.0
SEND_BUFFER_BYTES = 128 * 1024


class CallerResource:
    """Passes every request that no other resource handles to the filters."""

    def __init__(self, app: Application) -> None:
        self.app = app

    def serve(self, request: falcon.Request, response: falcon.Response, **_: Any) -> None:
        """Answer one request."""
        body = self._read_body(request)
        if isinstance(body, errors.Failure):
            _send_failure(response, body, "")
            response.set_header("connection", "close")
            return
        headers = {name.lower(): value for name, value in request.headers.items()}
        sock = request.env[SOCKET_KEY]
        watch = CallerWatch(sock)
        try:
            exchange, result = self.app.handle(
                request.method, request.path, request.query_string, headers, body, watch
            )
        except BaseException:
            watch.stop()
            raise
        if isinstance(result, Success):
            reply = result.unwrap()
            if isinstance(reply.body, bytes):
                watch.stop()
            else:
                _limit_stream_writes(exchange, sock, watch)
            _send_reply(response, exchange, reply)
            return
        watch.stop()
        failure = result.failure()
        exchange.finish(failure.outcome)
        logger.info(
            "Request failed.",
            request=exchange.request_id,
            kind=failure.kind.value,
            outcome=failure.outcome.value,
            detail=failure.detail,
        )
        _send_failure(response, failure, exchange.request_id)
        response.set_headers(exchange.answer_headers)

    def _read_body(self, request: falcon.Request) -> bytes | errors.Failure:
        limit = self.app.settings.max_body_bytes
        length = request.content_length
        if length is not None and length > limit:
            return errors.Failure(ErrorKind.BODY_TOO_LARGE)
        # A body that arrives slowly would otherwise hold its memory indefinitely.
        with gevent.Timeout(self.app.settings.body_timeout_s) as timer:
            try:
                body = _body_stream(request).read(limit + 1)
            except OSError:
                return errors.Failure(ErrorKind.BAD_REQUEST, "The body could not be read.")
            except gevent.Timeout as timeout:
                if timeout is not timer:
                    raise
                return errors.Failure(ErrorKind.BAD_REQUEST, "The body came too slowly.")
        if len(body) > limit:
            return errors.Failure(ErrorKind.BODY_TOO_LARGE)
        if length is not None and len(body) < length:
            return errors.Failure(ErrorKind.BAD_REQUEST, "The body was cut short.")
        return body


def _body_stream(request: falcon.Request) -> Any:
    chunked = request.content_length is None
    return request.stream if chunked else request.bounded_stream


class HealthResource:
    """Liveness probe; succeeds while the process runs."""

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Report success."""
        response.text = "ok\n"


class ReadyResource:
    """Readiness probe for the load balancer."""

    def __init__(self, app: Application) -> None:
        self.app = app

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Fail until tables are loaded and after a drain has started."""
        if not self.app.ready:
            response.status = NOT_READY
        response.text = "ready\n" if self.app.ready else "not ready\n"


class ModelsResource:
    """Lists the models that the caller's routes serve, in the OpenAI format."""

    def __init__(self, app: Application) -> None:
        self.app = app
        self.index = CallerIndex()

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return all models."""
        names = self._model_names(request)
        if not names:
            _send_failure(response, self._refusal(names), "")
            return
        response.media = {"object": "list", "data": [_model_object(name) for name in names]}

    def on_get_one(
        self, request: falcon.Request, response: falcon.Response, name: str
    ) -> None:
        """Return one model."""
        names = self._model_names(request)
        if name in names:
            response.media = _model_object(name)
            return
        _send_failure(response, self._refusal(names), "")

    def _refusal(self, names: list[str]) -> errors.Failure:
        if self.app.tables.through == NO_VERSION:
            return errors.Failure(ErrorKind.TABLES_UNAVAILABLE)
        return errors.Failure(ErrorKind.NO_ROUTE if names else ErrorKind.UNAUTHENTICATED)

    def _model_names(self, request: falcon.Request) -> list[str]:
        caller = caller_of(request.auth or "")
        routes = self.index.routes_of(self.app.tables, caller)
        return sorted({model for route in routes for model in route.models})


def _model_object(name: str) -> dict[str, str | int]:
    return {"id": name, "object": "model", "created": 0, "owned_by": "agaterail"}


def make_wsgi_app(app: Application) -> falcon.App:
    """Return the WSGI application for callers."""
    wsgi = falcon.App()
    wsgi.add_route("/healthz", HealthResource())
    wsgi.add_route("/readyz", ReadyResource(app))
    models = ModelsResource(app)
    wsgi.add_route("/v1/models", models)
    wsgi.add_route("/v1/models/{name}", models, suffix="one")
    wsgi.add_sink(CallerResource(app).serve, prefix="/")  # type: ignore[arg-type]
    wsgi.add_error_handler(Exception, _on_exception)
    return wsgi


def make_server(app: Application, address: Address) -> BoundedServer:
    """Return a server that is bound but not started.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    return BoundedServer(address, make_wsgi_app(app), app.settings)


def _limit_stream_writes(exchange: Exchange, sock: Any, watch: CallerWatch) -> None:
    # A caller that reads nothing for SEND_TIMEOUT_S is disconnected. Until then, the
    # stream of its engine waits in the kernel's bounded buffers and no other stream is
    # affected.
    sock.setsockopt(SOL_SOCKET, SO_SNDBUF, SEND_BUFFER_BYTES)
    sock.settimeout(SEND_TIMEOUT_S)

    def release(_outcome: Outcome) -> None:
        watch.stop()
        sock.settimeout(None)

    exchange.on_finish(release)


def _send_reply(response: falcon.Response, exchange: Exchange, reply: Reply) -> None:
    response.status = reply.status
    for name, value in reply.headers.items():
        response.set_header(name, value)
    response.set_headers(exchange.answer_headers)
    response.set_header("x-request-id", exchange.request_id)
    if exchange.decision is not None:
        response.set_header("x-agaterail-target", exchange.decision.address)
        response.set_header("x-agaterail-reason", exchange.decision.reason)
    if isinstance(reply.body, bytes):
        response.data = reply.body
        failed = reply.status >= MIN_ERROR_STATUS
        exchange.finish(Outcome.FAILED_AT_TARGET if failed else Outcome.COMPLETED)
        return
    response.stream = reply.body


def _send_failure(response: falcon.Response, failure: errors.Failure, request_id: str) -> None:
    response.status = failure.answer.status
    response.media = error_object(failure)
    response.set_header("x-agaterail-outcome", failure.outcome.value)
    if request_id:
        response.set_header("x-request-id", request_id)
    # OpenAI clients retry failed requests on their own. Without this header they would
    # also retry requests with an unknown outcome, unnoticed by the caller.
    retry = failure.retry_hint_s is not None
    response.set_header("x-should-retry", "true" if retry else "false")
    if failure.retry_hint_s is not None:
        response.set_header("retry-after", str(max(1, round(failure.retry_hint_s))))
        response.set_header("retry-after-ms", str(int(failure.retry_hint_s * 1e3)))


def _on_exception(
    _request: falcon.Request, response: falcon.Response, error: Exception, _params: Any
) -> None:
    if isinstance(error, falcon.HTTPError):
        response.status = error.status
        response.data = json.dumps(error.to_dict()).encode()
        return
    logger.error("Unhandled exception in a request.", exc_info=error)
    _send_failure(response, errors.Failure(ErrorKind.INTERNAL), "")
