"""Server, error handling and routes shared by the sanic applications."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from loguru import logger
from sanic import HTTPResponse, Request, Sanic
from sanic.exceptions import (
    BadRequest,
    PayloadTooLarge,
    RequestCancelled,
    RequestTimeout,
    SanicException,
)
from sanic.handlers import ErrorHandler
from sanic.http.constants import Stage
from sanic.server import AsyncioServer

from radishmux.http import headers as names
from radishmux.http._remote_end import DEPARTURE_CHECK_S
from radishmux.http.buffer_monitor import CHECK_PERIOD_S, BufferMonitor
from radishmux.http.connection_limit import ConnectionLimit
from radishmux.http.departure_monitor import DepartureMonitor
from radishmux.http.limited_protocol import LimitedProtocol
from radishmux.http.refusals import TicketRefusal, encode, may_have_run, not_run
from radishmux.tasks import repeat
from radishmux.telemetry.metrics import Metrics
from radishmux.verdict import Refusal

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
# Longest time to receive the complete header of a request.
HEADER_TIMEOUT_S = 10.0
_HEADER_CHECKS_PER_TIMEOUT = 10
# Longer than callers keep a lookup answer, so that a connection stays open as
# long as its caller uses the instance.
KEEP_ALIVE_S = 75.0
# Releases lost connections only. The request flow enforces deadlines.
RESPONSE_TIMEOUT_S = 3700.0
_LOG_PERIOD_S = 1.0

_app_numbers = itertools.count()


class RefusingErrorHandler(ErrorHandler):
    """Converts exceptions of sanic and its handlers to refusals.

    Errors in the input are raised before the request flow gets the request.
    """

    def __init__(self, metrics: Metrics) -> None:
        super().__init__()
        self._metrics = metrics

    def response(self, request: Request, exception: Exception) -> HTTPResponse:
        """Returns a refusal as response and counts it by reason."""
        refusal = _refusal_for(exception)
        self._metrics.count("invalid_requests_total", reason=refusal.reason)
        return refusal_response(refusal)

    @staticmethod
    def log(request: Request, exception: Exception) -> None:
        """Does not log the exception, because `response` counts it."""


def _refusal_for(exception: Exception) -> Refusal:
    if isinstance(exception, PayloadTooLarge):
        if "header" in str(exception):
            return not_run("header_too_large", "The header is too large.", 431)
        return not_run("body_too_large", "The body is too large.", 413)
    if isinstance(exception, RequestTimeout):
        return not_run("request_too_slow", "The request came too slowly.", 408)
    if isinstance(exception, BadRequest):
        return not_run("malformed_request", str(exception), 400)
    status = getattr(exception, "status_code", None) or 500
    if isinstance(exception, SanicException) and status < 500:
        return not_run("unsupported_request", str(exception), status)
    if isinstance(exception, RequestCancelled):
        return may_have_run("caller_gone", "The caller left.", 499)
    # The exception may come from the request flow after the request was sent.
    logger.opt(exception=exception).error(
        "request failed with an unexpected exception"
    )
    return may_have_run("internal_error", "The instance failed.", 500)


def refusal_response(
    refusal: Refusal, attempts: int = 0, internal: bool = False
) -> HTTPResponse:
    """Returns the HTTP response for a refusal.

    Args:
        refusal: The refusal.
        attempts: Number of attempts at backend servers.
        internal: Whether to mark the response as a refusal for a peer.
    """
    headers = {
        names.VERDICT: refusal.verdict.value,
        names.ATTEMPTS: str(attempts),
    }
    if internal:
        headers[names.REFUSED] = "1"
    if refusal.retry_after_s is not None:
        headers["retry-after"] = str(max(1, round(refusal.retry_after_s)))
    if isinstance(refusal, TicketRefusal):
        headers[names.TICKET] = refusal.ticket
    return HTTPResponse(
        encode(refusal),
        status=refusal.status,
        headers=headers,
        content_type="application/json",
    )


def new_app(kind: str, metrics: Metrics) -> Sanic:
    """Returns a configured application without routes.

    Args:
        kind: Part of the name of the application.
        metrics: Receives the counts of invalid requests.
    """
    number = next(_app_numbers)
    app = Sanic(
        f"radishmux-{kind}-{number}",
        configure_logging=False,
        error_handler=RefusingErrorHandler(metrics),
    )
    app.ctx.metrics = metrics
    app.config.ACCESS_LOG = False
    # "Touch up" removes unused signals from classes of sanic. One run takes
    # effect for all applications of the process, and a second run fails.
    app.config.TOUCHUP = number == 0
    app.config.REQUEST_MAX_HEADER_SIZE = MAX_HEADER_BYTES
    app.config.REQUEST_MAX_SIZE = MAX_BODY_BYTES
    app.config.REQUEST_TIMEOUT = HEADER_TIMEOUT_S
    app.config.RESPONSE_TIMEOUT = RESPONSE_TIMEOUT_S
    app.config.KEEP_ALIVE_TIMEOUT = KEEP_ALIVE_S
    app.config.FALLBACK_ERROR_FORMAT = "json"
    return app


def add_request_routes(
    app: Sanic,
    handler: Callable[[Request], Awaitable[HTTPResponse | None]],
) -> None:
    """Routes `/<service>` and `/<service>/<path>` to a streaming handler."""

    async def handle(
        request: Request, service: str, path: str = ""
    ) -> HTTPResponse | None:
        return await handler(request)

    for number, path in enumerate(
        ("/<service:str>", "/<service:str>/<path:path>")
    ):
        app.add_route(
            handle,
            path,
            methods=METHODS,
            stream=True,
            name=f"request-{number}",
        )


class HeaderTimeoutMonitor:
    """Times out connections that do not complete a header in time.

    sanic restarts its own timeout with each received byte, so that a caller
    that sends one byte at a time could hold its connection forever.
    """

    def __init__(self) -> None:
        self._since: dict[Any, float] = {}

    def check(self, connections: Iterable[Any], now: float) -> None:
        """Times out the connections whose header is overdue.

        Must be called several times per HEADER_TIMEOUT_S.

        Args:
            connections: All open connections of the server.
            now: Time of the event loop in s.
        """
        waiting: dict[Any, float] = {}
        for connection in list(connections):
            http = connection.http
            if http is None or http.stage is not Stage.REQUEST:
                continue
            since = waiting[connection] = self._since.get(connection, now)
            if now - since >= HEADER_TIMEOUT_S and connection._task:
                http.exception = RequestTimeout("Request Timeout")
                connection._task.cancel()
        self._since = waiting


class SanicServer:
    """Serves an application while it is entered as a context manager.

    Args:
        app: The application.
        address: `ip:port` to listen on.
        connection_limit: Limits the connections of all servers that share it.
        buffer_monitor: Limits what the connections hold.
    """

    def __init__(
        self,
        app: Sanic,
        address: str,
        connection_limit: ConnectionLimit | None = None,
        buffer_monitor: BufferMonitor | None = None,
    ) -> None:
        self._app = app
        self._connection_limit = connection_limit or ConnectionLimit()
        app.ctx.connection_limit = self._connection_limit
        app.ctx.connections_closed = 0
        self._buffer_monitor = buffer_monitor or BufferMonitor()
        self._listen_address = address
        self._server: AsyncioServer | None = None
        self._address = ""
        self._header_monitor = HeaderTimeoutMonitor()
        self._departure_monitor = DepartureMonitor()
        self._monitor_tasks: tuple[asyncio.Task[None], ...] = ()

    @property
    def address(self) -> str:
        """`ip:port` that the server listens on."""
        return self._address

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._server.connections) if self._server else 0

    async def __aenter__(self) -> SanicServer:
        listener = _create_listener(self._listen_address)
        server: Any = await self._app.create_server(
            sock=listener,
            return_asyncio_server=True,
            access_log=False,
            backlog=self._connection_limit.backlog,
            protocol=LimitedProtocol,
        )
        await server.startup()
        await server.start_serving()
        self._server = server
        self._monitor_tasks = (
            asyncio.create_task(self._run_header_monitor()),
            asyncio.create_task(
                repeat(self._check_departures, DEPARTURE_CHECK_S, "departures")
            ),
            asyncio.create_task(
                repeat(self._check_buffers, CHECK_PERIOD_S, "buffers")
            ),
            asyncio.create_task(
                repeat(self._log_closed, _LOG_PERIOD_S, "closed connections")
            ),
        )
        host, port = listener.getsockname()[:2]
        self._address = f"{host}:{port}"
        return self

    async def __aexit__(self, *exc: object) -> None:
        if self._server is None:
            return
        for task in self._monitor_tasks:
            task.cancel()
        self.stop_listening()
        for connection in list(self._server.connections):
            connection.abort()

    async def _run_header_monitor(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(HEADER_TIMEOUT_S / _HEADER_CHECKS_PER_TIMEOUT)
            assert self._server is not None
            self._header_monitor.check(self._server.connections, loop.time())

    async def _check_departures(self) -> None:
        assert self._server is not None
        self._departure_monitor.check(self._server.connections)

    async def _check_buffers(self) -> None:
        assert self._server is not None
        excess = self._buffer_monitor.excess(self._server.connections)
        for connection in excess:
            self._app.ctx.metrics.count(
                "invalid_requests_total", reason="memory_full"
            )
            connection.close_at_once()
        if excess:
            logger.warning("{} connections closed: memory_full", len(excess))

    async def _log_closed(self) -> None:
        count = self._app.ctx.connections_closed
        if count:
            self._app.ctx.connections_closed = 0
            logger.warning("{} connections closed: connections_full", count)

    def stop_listening(self) -> None:
        """Accepts no new connections; open connections stay open."""
        if self._server is not None and self._server.server is not None:
            self._server.server.close()


def _create_listener(address: str) -> socket.socket:
    # sanic would replace port 0 by its default port.
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    return listener
