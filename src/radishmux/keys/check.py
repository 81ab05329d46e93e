"""Checks the key of a request against the configuration in force."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from typing import Protocol

from radishmux.config.index import ConfigIndex
from radishmux.config.model import Customer, Route
from radishmux.instances.interface import Instance, InstanceState
from radishmux.verdict import Refusal, Verdict

# Longer header values are refused before they are hashed.
MAX_KEY_BYTES = 512
# Keys in use at one time; 8 customers today, so this also holds rotations.
MAX_CACHED_KEYS = 4_096
# Time after which a caller may find this instance fresh again; the bound on
# the age of its knowledge is 4 s.
_RETRY_AFTER_S = 1.0
_MAX_NEXT_INSTANCES = 3
# The predicate looks at the whole roster, too much for each request.
_OUTAGE_CHECK_S = 0.1
_UNAUTHORIZED = 401
_UNAVAILABLE = 503


class State(Protocol):
    """What this part needs of config.state.ConfigState."""

    @property
    def index(self) -> ConfigIndex:
        """Tables over the configuration in force."""


class Freshness(Protocol):
    """What this part needs of membership.view.MembershipView."""

    @property
    def own(self) -> Instance:
        """This instance."""

    def is_fresh(self, now: float) -> bool:
        """Whether a revoked key would be known here by now."""

    def store_out_for_all(self, now: float) -> bool:
        """Whether no instance can reach the store."""

    def hears(self, instance: str, now: float) -> bool:
        """Whether a peer acknowledged a heartbeat of the last second."""

    def incarnation_of(self, instance: str) -> int:
        """Returns the highest known incarnation of a peer, or 0."""

    def incarnation_dead(self, instance: str, incarnation: int) -> bool:
        """Whether one process of an instance is gone for certain."""

    def config_versions(self) -> Mapping[str, int]:
        """Returns the configuration version of each live peer."""

    def peers(self) -> Iterable[Instance]:
        """Returns all other instances with a known address."""

    def live(self, region: str | None = None) -> Iterable[Instance]:
        """Returns the live instances with this one."""

    def proven_dead(self, instance: str) -> bool:
        """Whether the process of an instance is known to be gone."""


class Series(Protocol):
    """One counter."""

    def add(self, amount: float = 1) -> None:
        """Adds to the counter."""


class MetricsSink(Protocol):
    """Takes counters."""

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter."""

    def series(self, name: str, **labels: str) -> Series:
        """Returns a counter for use in every request."""


def key_digest(key: str) -> str:
    """Returns the form in which a key is configured: SHA-256, hexadecimal."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


class KeyCheck:
    """Decides for which customer a request may run.

    A keyed request is admitted only while this instance would know of a
    revocation, or while nobody can have accepted one because the store is
    out for all.
    """

    def __init__(
        self, state: State, freshness: Freshness, metrics: MetricsSink
    ) -> None:
        self._state = state
        self._freshness = freshness
        self._metrics = metrics
        self._public = metrics.series("key_checks_total", outcome="public")
        self._known = metrics.series("key_checks_total", outcome="known")
        # Keys that were found in `_cached_index`, which is replaced with
        # each version; unknown keys are not kept, so that callers cannot
        # fill the cache.
        self._cached: dict[str, Customer] = {}
        self._cached_index: ConfigIndex | None = None
        self._outage = False
        self._outage_checked_at = -math.inf

    def check(
        self, key: str | None, route: Route, now: float
    ) -> Customer | None | Refusal:
        """Checks the key of one request.

        To be called again for a request that waited: a key may be revoked in
        the meantime.

        Args:
            key: Value of the key header, or None without one.
            route: The route that the request matched.
            now: Monotonic seconds.

        Returns:
            The customer; None on a public route, whatever the key; or why
            the request is refused. A refused request was not run.
        """
        if route.open_to_all:
            self._public.add()
            return None
        result = self._check_keyed(key, now)
        if isinstance(result, Refusal):
            self._metrics.count("key_checks_total", outcome=result.reason)
        else:
            self._known.add()
        return result

    def is_still_valid(
        self, digest: str, customer: str, config_version: int, now: float
    ) -> bool:
        """Whether a key that admitted a request is still valid.

        Args:
            digest: SHA-256 of the key, hexadecimal.
            customer: Name of the customer that it stood for.
            config_version: Version in force where the request was admitted.
                A key that a higher version granted is not known here yet.
            now: Monotonic seconds.
        """
        if not self._admits(now):
            return False
        index = self._state.index
        if index.configuration.version < config_version:
            return True
        found = index.customer_of_digest(digest)
        return found is not None and found.name == customer

    def _check_keyed(self, key: str | None, now: float) -> Customer | Refusal:
        if not key:
            return _unauthorized("no_key", "The request carries no key.")
        if len(key) > MAX_KEY_BYTES:
            return _unauthorized("unknown_key", "The key is not known.")
        # Before the key, since a key that is unknown here may be new.
        if not self._admits(now):
            return self._not_fresh()
        customer = self._find(key)
        if customer is None:
            return _unauthorized("unknown_key", "The key is not known.")
        return customer

    def _admits(self, now: float) -> bool:
        return self._freshness.is_fresh(now) or self._outage_admits(now)

    def _outage_admits(self, now: float) -> bool:
        """Whether the store is out for all and nobody knows more.

        A peer that was not heard until now may have read a revocation before
        the outage; its version must be in force here first.
        """
        if now - self._outage_checked_at >= _OUTAGE_CHECK_S:
            self._outage_checked_at = now
            self._outage = self._freshness.store_out_for_all(now)
        if not self._outage:
            return False
        known = self._freshness.config_versions().values()
        own = self._state.index.configuration.version
        return own >= max(known, default=0)

    def _find(self, key: str) -> Customer | None:
        index = self._state.index
        if index is not self._cached_index:
            self._cached = {}
            self._cached_index = index
        customer = self._cached.get(key)
        if customer is not None:
            return customer
        customer = index.customer_of_digest(key_digest(key))
        if customer is not None:
            if len(self._cached) >= MAX_CACHED_KEYS:
                self._cached.clear()
            self._cached[key] = customer
        return customer

    def _not_fresh(self) -> Refusal:
        return Refusal(
            verdict=Verdict.NOT_RUN,
            reason="not_fresh",
            message=(
                "This instance cannot tell whether the key is still valid;"
                " use another instance."
            ),
            status=_UNAVAILABLE,
            retry_after_s=_RETRY_AFTER_S,
            next_instances=self._next_instances(),
        )

    def _next_instances(self) -> tuple[str, ...]:
        """Returns the instances that are most likely fresh.

        This instance hears every live peer's knowledge in heartbeats, so
        that it would be fresh itself if one that it hears were. The fresh
        ones are therefore behind a network partition: first those that it
        does not hear, then those in other failure domains.
        """
        heard = {one.instance for one in self._freshness.live()}
        own_domain = self._freshness.own.failure_domain
        candidates = sorted(
            (
                one
                for one in self._freshness.peers()
                if one.state is InstanceState.LIVE
                and not self._freshness.proven_dead(one.instance)
            ),
            key=lambda one: (
                one.instance in heard,
                one.failure_domain == own_domain,
                one.instance,
            ),
        )
        addresses = (one.caller_address for one in candidates)
        return tuple(addresses)[:_MAX_NEXT_INSTANCES]


def _unauthorized(reason: str, message: str) -> Refusal:
    return Refusal(
        verdict=Verdict.NOT_RUN,
        reason=reason,
        message=message,
        status=_UNAUTHORIZED,
    )
