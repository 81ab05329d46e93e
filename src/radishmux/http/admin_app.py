"""Admin application: metrics, health, status, traces, explanations."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from sanic import HTTPResponse, Request, Sanic

from radishmux.http.server import new_app
from radishmux.telemetry.metrics import Metrics
from radishmux.telemetry.traces import Tracer

Explain = Callable[[str], Any]


class AdminApp:
    """Handlers of the admin address.

    Attributes:
        app: The sanic application.
    """

    def __init__(
        self,
        metrics: Metrics,
        tracer: Tracer,
        ready: Callable[[], bool],
        explain: Explain,
        status: Callable[[], Any] | None = None,
    ) -> None:
        """Creates the application and its routes.

        Args:
            metrics: Rendered by /metrics.
            tracer: Holds the finished spans.
            ready: Returns whether the instance admits requests.
            explain: Returns the recorded routing decisions of a trace id, or
                None if the id is unknown.
            status: Returns the state of the instance as a JSON-encodable value.
        """
        self._metrics = metrics
        self._tracer = tracer
        self._ready = ready
        self._explain = explain
        self._status = status
        self.app: Sanic = new_app("admin", metrics)
        routes = {
            "/metrics": self._on_metrics,
            "/healthz": self._on_health,
            "/readyz": self._on_ready,
            "/v1/status": self._on_status,
            "/v1/explain/<trace_id:str>": self._on_explain,
            "/v1/traces/<trace_id:str>": self._on_trace,
        }
        for path, handler in routes.items():
            self.app.add_route(handler, path, methods=["GET"])

    async def _on_metrics(self, request: Request) -> HTTPResponse:
        body, content_type = self._metrics.render()
        return HTTPResponse(body, content_type=content_type)

    async def _on_health(self, request: Request) -> HTTPResponse:
        return _json({"status": "ok"})

    async def _on_ready(self, request: Request) -> HTTPResponse:
        if self._ready():
            return _json({"status": "ready"})
        return _json({"status": "not ready"}, 503)

    async def _on_status(self, request: Request) -> HTTPResponse:
        if self._status is None:
            return _json({"error": "no status"}, 404)
        return _json(self._status())

    async def _on_explain(
        self, request: Request, trace_id: str
    ) -> HTTPResponse:
        explanation = self._explain(trace_id)
        if explanation is None:
            return _json({"error": f"unknown trace {trace_id}"}, 404)
        return _json(explanation)

    async def _on_trace(self, request: Request, trace_id: str) -> HTTPResponse:
        spans = self._tracer.spans(trace_id)
        if not spans:
            return _json({"error": f"unknown trace {trace_id}"}, 404)
        return _json({"trace_id": trace_id, "spans": spans})


def _json(value: Any, status: int = 200) -> HTTPResponse:
    return HTTPResponse(
        msgspec.json.encode(value),
        status=status,
        content_type="application/json",
    )
