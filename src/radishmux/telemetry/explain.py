"""Explains how a request was handled, from the spans of its trace."""

from __future__ import annotations

from typing import Any, Protocol

import msgspec

from radishmux.telemetry.traces import SpanRecord


class Spans(Protocol):
    """The part of telemetry.traces.Tracer that Explainer uses."""

    def spans(self, trace_id: str) -> list[SpanRecord]:
        """Returns the finished spans of a trace on this instance."""


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """How a request was handled, from the spans that this instance holds.

    Attributes:
        steps: One sentence for each span, in order of the spans' start.
    """

    trace_id: str
    steps: list[str]


class Explainer:
    """Describes the spans of a trace in sentences."""

    def __init__(self, spans: Spans) -> None:
        self._spans = spans

    def explain(self, trace_id: str) -> Explanation | None:
        """Returns the explanation, or None if no span of the trace is held."""
        spans = self._spans.spans(trace_id)
        if not spans:
            return None
        return Explanation(
            trace_id=trace_id, steps=[_sentence(span) for span in spans]
        )


def _sentence(span: SpanRecord) -> str:
    facts = ", ".join(
        f"{name} {_text(value)}"
        for name, value in span.attributes.items()
        if value not in ("", None)
    )
    start = f"{span.instance}: {span.name} took {span.duration_s * 1e3:.1f} ms"
    end = f"; it failed with {span.error}" if span.error else ""
    return f"{start} ({facts}){end}." if facts else f"{start}{end}."


def _text(value: Any) -> str:
    return str(value)
