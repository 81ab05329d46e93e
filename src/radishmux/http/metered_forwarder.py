"""Charges the bytes of forwarded requests to inter-region links."""

from __future__ import annotations

from collections.abc import AsyncIterator

from radishmux.clock import Clock
from radishmux.dispatch.exchange import (
    BackendResponse,
    Exchange,
    ResponseBodyStream,
)
from radishmux.http.protocols import Forwarder
from radishmux.instances.interface import Instance
from radishmux.steer.links import LinkBudgets
from radishmux.verdict import Refusal

# Assumed size of the start line and headers of a request or response.
_HEADER_BYTES = 600


class MeteredForwarder:
    """A Forwarder that charges traffic to the budgets of region links."""

    def __init__(
        self,
        forwarder: Forwarder,
        region: str,
        links: LinkBudgets,
        clock: Clock,
    ) -> None:
        self._forwarder = forwarder
        self._region = region
        self._links = links
        self._clock = clock

    async def to_owner(
        self, exchange: Exchange, instance: Instance, incarnation: int
    ) -> BackendResponse | Refusal:
        """Forwards a request to the instance that issued its ticket."""
        self._record_request(exchange, instance.region)
        result = await self._forwarder.to_owner(exchange, instance, incarnation)
        return self._record_result(result, instance.region)

    async def to_dispatcher(
        self, exchange: Exchange, instance: Instance
    ) -> BackendResponse | Refusal:
        """Forwards a request to the dispatcher of its cell."""
        self._record_request(exchange, instance.region)
        result = await self._forwarder.to_dispatcher(exchange, instance)
        return self._record_result(result, instance.region)

    def _record_request(self, exchange: Exchange, region: str) -> None:
        if region != self._region:
            count = _HEADER_BYTES + (exchange.body.length or 0)
            self._links.record_request(region, count, self._clock.now())

    def _record_result(
        self, result: BackendResponse | Refusal, region: str
    ) -> BackendResponse | Refusal:
        if region == self._region:
            return result
        count = _HEADER_BYTES
        if isinstance(result, BackendResponse):
            if result.body is not None:
                count += len(result.body)
            elif result.stream is not None:
                result.stream = _MeteredStream(
                    result.stream, self._links, region, self._clock
                )
        self._links.record_response(region, count, self._clock.now())
        return result


class _MeteredStream:
    """Charges a link for the pieces of a response as they arrive."""

    __slots__ = ("_clock", "_links", "_region", "_stream")

    def __init__(
        self,
        stream: ResponseBodyStream,
        links: LinkBudgets,
        region: str,
        clock: Clock,
    ) -> None:
        self._stream = stream
        self._links = links
        self._region = region
        self._clock = clock

    async def __aiter__(self) -> AsyncIterator[bytes]:
        async for piece in self._stream:
            self._links.record_response(
                self._region, len(piece), self._clock.now()
            )
            yield piece

    async def aclose(self) -> None:
        """Releases the connection; may be called more than once."""
        await self._stream.aclose()
