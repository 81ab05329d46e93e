"""In-memory traces, recorded with the OpenTelemetry SDK.

The sampling decision is made before the SDK is called, because a span of the
SDK costs tens of microseconds and most requests are not sampled.
"""

from __future__ import annotations

import random
import re
from collections import deque
from types import TracebackType
from typing import Any, Protocol

import msgspec
from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.sampling import ALWAYS_ON
from opentelemetry.trace import NonRecordingSpan, SpanContext, TraceFlags

_TRACEPARENT = re.compile(
    r"^[0-9a-f]{2}-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})"
)
_SAMPLED_FLAG = 1
_TRACEPARENT_LENGTH = 55
_NANOSECONDS = 1e9


class SpanRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A finished span.

    Attributes:
        parent_id: Empty for the first span of a trace.
        start_unix_s: Wall-clock time on the instance that created the span.
        error: Text of the exception that ended the span, or empty.
    """

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    instance: str
    start_unix_s: float
    duration_s: float
    attributes: dict[str, Any]
    error: str = ""


class Span(Protocol):
    """A span returned by `Tracer.span`, used as a context manager."""

    @property
    def traceparent(self) -> str:
        """Value of the `traceparent` header for the next hop."""

    @property
    def trace_id(self) -> str:
        """Id of the trace, 32 hexadecimal digits."""

    @property
    def sampled(self) -> bool:
        """Whether the span is recorded."""

    def set(self, name: str, value: Any) -> None:
        """Sets an attribute."""

    def __enter__(self) -> Span: ...

    def __exit__(self, *exc: object) -> None: ...


class _UnsampledSpan:
    """A span that records nothing.

    It still has a `traceparent` with the sampled flag cleared. Without it, the
    next hop would make its own sampling decision. The header is generated on
    first use only.
    """

    __slots__ = ("_traceparent",)

    sampled = False

    def __init__(self, traceparent: str = "") -> None:
        self._traceparent = traceparent

    @property
    def traceparent(self) -> str:
        if not self._traceparent:
            bits = random.getrandbits(192) | 1
            digits = f"{bits:048x}"
            self._traceparent = f"00-{digits[:32]}-{digits[32:]}-00"
        return self._traceparent

    @property
    def trace_id(self) -> str:
        return self.traceparent[3:35]

    def set(self, name: str, value: Any) -> None:
        pass

    def __enter__(self) -> _UnsampledSpan:
        return self

    def __exit__(self, *exc: object) -> None:
        pass


class _SampledSpan:
    """An SDK span, started on entry and ended on exit."""

    __slots__ = ("_attributes", "_name", "_parent", "_span", "_tracer")

    sampled = True

    def __init__(
        self,
        tracer: trace.Tracer,
        name: str,
        parent: SpanContext | None,
        attributes: dict[str, Any],
    ) -> None:
        self._tracer = tracer
        self._name = name
        self._parent = parent
        self._attributes = attributes
        self._span: trace.Span = trace.INVALID_SPAN

    @property
    def traceparent(self) -> str:
        context = self._span.get_span_context()
        return f"00-{context.trace_id:032x}-{context.span_id:016x}-01"

    @property
    def trace_id(self) -> str:
        return f"{self._span.get_span_context().trace_id:032x}"

    def set(self, name: str, value: Any) -> None:
        self._span.set_attribute(name, value)

    def __enter__(self) -> _SampledSpan:
        parent = NonRecordingSpan(self._parent or trace.INVALID_SPAN_CONTEXT)
        self._span = self._tracer.start_span(
            self._name,
            context=trace.set_span_in_context(parent),
            attributes=self._attributes,
        )
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if error is not None:
            text = f"{type(error).__name__}: {error}"
            self._span.set_status(trace.StatusCode.ERROR, text)
        self._span.end()


class _RecentSpans(SpanProcessor):
    """Holds the most recently finished spans."""

    def __init__(self, max_spans: int, instance: str) -> None:
        self.records: deque[SpanRecord] = deque(maxlen=max_spans)
        self._instance = instance

    def on_end(self, span: ReadableSpan) -> None:
        """Records a finished span."""
        context = span.get_span_context()
        start, end = span.start_time or 0, span.end_time or 0
        self.records.append(
            SpanRecord(
                trace_id=f"{context.trace_id:032x}",
                span_id=f"{context.span_id:016x}",
                parent_id=(
                    f"{span.parent.span_id:016x}" if span.parent else ""
                ),
                name=span.name,
                instance=self._instance,
                start_unix_s=start / _NANOSECONDS,
                duration_s=(end - start) / _NANOSECONDS,
                attributes=dict(span.attributes or {}),
                error=span.status.description or "",
            )
        )


class Tracer:
    """Creates spans and holds the most recently finished ones.

    Args:
        sample_ratio: Fraction of requests without a parent that are traced.
        max_spans: Number of finished spans held; the oldest are evicted first.
        instance: Name of this instance, recorded with each span.
    """

    def __init__(
        self, sample_ratio: float, max_spans: int, instance: str = ""
    ) -> None:
        self._sample_ratio = sample_ratio
        self._recent = _RecentSpans(max_spans, instance)
        provider = TracerProvider(
            sampler=ALWAYS_ON,
            resource=Resource({"service.instance.id": instance}),
            shutdown_on_exit=False,
        )
        provider.add_span_processor(self._recent)
        self._tracer = provider.get_tracer("radishmux")

    def span(
        self, name: str, parent: Span | str | None = None, **attributes: Any
    ) -> Span:
        """Returns a new span, to be entered with `with`.

        Args:
            name: Name of the span, declared in telemetry.catalogue.SPANS.
            parent: The enclosing span, or the `traceparent` header of the
                previous hop. A malformed header is ignored.
            attributes: Values recorded with the span.
        """
        if not parent:
            if random.random() >= self._sample_ratio:
                return _UnsampledSpan()
            return _SampledSpan(self._tracer, name, None, attributes)
        if not isinstance(parent, str):
            if not parent.sampled:
                return parent
            header = parent.traceparent
        else:
            header = parent
        return self._child_span(name, header, attributes)

    def set_sample_ratio(self, sample_ratio: float) -> None:
        """Sets the fraction of requests without a parent that are traced."""
        self._sample_ratio = sample_ratio

    def spans(self, trace_id: str) -> list[SpanRecord]:
        """Returns the held spans of a trace, in order of their start."""
        found = [
            record
            for record in self._recent.records
            if record.trace_id == trace_id
        ]
        return sorted(found, key=lambda record: record.start_unix_s)

    def _child_span(
        self, name: str, header: str, attributes: dict[str, Any]
    ) -> Span:
        if len(header) == _TRACEPARENT_LENGTH and header.endswith("-00"):
            # Skips the regular expression in the most frequent case.
            return _UnsampledSpan(header)
        match = _TRACEPARENT.match(header)
        if match is None:
            return self.span(name, None, **attributes)
        trace_digits, span_digits, flags = match.groups()
        if not int(flags, 16) & _SAMPLED_FLAG:
            return _UnsampledSpan(header)
        parent = SpanContext(
            int(trace_digits, 16),
            int(span_digits, 16),
            is_remote=True,
            trace_flags=TraceFlags(TraceFlags.SAMPLED),
        )
        if not parent.is_valid:
            return self.span(name, None, **attributes)
        return _SampledSpan(self._tracer, name, parent, attributes)
