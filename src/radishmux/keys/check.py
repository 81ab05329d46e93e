"""Checks the key of a request against the current configuration."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from typing import Protocol

from radishmux.config.index import ConfigIndex
from radishmux.config.model import Customer, Route
from radishmux.instances.interface import Instance, InstanceState
from radishmux.verdict import Refusal, Verdict

# Longer header values are refused without being hashed.
MAX_KEY_BYTES = 512
# Far above the number of keys in use, also while keys are rotated: there are
# 8 customers.
MAX_CACHED_KEYS = 4_096
# Seconds until this instance may be fresh again; a configuration counts as
# fresh for 4 s after a read of the store.
_RETRY_AFTER_S = 1.0
_MAX_NEXT_INSTANCES = 3
# `store_out_for_all` scans the whole roster, too expensive for each request.
_OUTAGE_CHECK_INTERVAL_S = 0.1
_UNAUTHORIZED = 401
_UNAVAILABLE = 503


class ConfigSource(Protocol):
    """The part of config.state.ConfigState that the key check uses."""

    @property
    def index(self) -> ConfigIndex:
        """Indexes of the current configuration."""


class Membership(Protocol):
    """The part of membership.view.MembershipView that is used here."""

    @property
    def own(self) -> Instance:
        """This instance."""

    def is_fresh(self, now: float) -> bool:
        """Whether this instance would know of any revoked key by now."""

    def store_out_for_all(self, now: float) -> bool:
        """Whether no instance can reach the store."""

    def hears(self, instance: str, now: float) -> bool:
        """Whether a peer acknowledged a heartbeat of the last second."""

    def incarnation_of(self, instance: str) -> int:
        """Returns the highest known incarnation of a peer, or 0."""

    def incarnation_dead(self, instance: str, incarnation: int) -> bool:
        """Whether one process of an instance has certainly ended."""

    def config_versions(self) -> Mapping[str, int]:
        """Returns the configuration version of each live peer."""

    def peers(self) -> Iterable[Instance]:
        """Returns all other instances with a known address."""

    def live(self, region: str | None = None) -> Iterable[Instance]:
        """Returns the live instances, this one included."""

    def proven_dead(self, instance: str) -> bool:
        """Whether the process of an instance has certainly ended."""


class Series(Protocol):
    """A counter with fixed labels."""

    def add(self, amount: float = 1) -> None:
        """Adds to the counter."""


class MetricsSink(Protocol):
    """Counts events."""

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter."""

    def series(self, name: str, **labels: str) -> Series:
        """Returns a counter with fixed labels, cheap to increment."""


def key_digest(key: str) -> str:
    """Returns the hexadecimal SHA-256 of a key, as in the configuration."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


class KeyCheck:
    """Maps the key of a request to a customer, or refuses the request.

    A key is accepted only while this instance would know of its revocation, or
    while no revocation can have been accepted because no instance can reach
    the store.

    Args:
        config: Source of the current configuration.
        membership: Freshness of the configuration, and the peers.
        metrics: Receives `key_checks_total`.
    """

    def __init__(
        self, config: ConfigSource, membership: Membership, metrics: MetricsSink
    ) -> None:
        self._config = config
        self._membership = membership
        self._metrics = metrics
        self._public_counter = metrics.series(
            "key_checks_total", outcome="public"
        )
        self._known_counter = metrics.series(
            "key_checks_total", outcome="known"
        )
        # Valid keys of `_cached_index`. Each configuration version has a new
        # index and clears the cache. Unknown keys are not cached, so that
        # callers cannot fill it.
        self._customer_by_key: dict[str, Customer] = {}
        self._cached_index: ConfigIndex | None = None
        self._is_store_out = False
        self._outage_checked_at = -math.inf

    def check(
        self, key: str | None, route: Route, now: float
    ) -> Customer | None | Refusal:
        """Checks the key of one request.

        A request that waited must be checked again, since its key may have
        been revoked in the meantime.

        Args:
            key: Value of the key header, or None if absent.
            route: The route that the request matched.
            now: Monotonic seconds.

        Returns:
            The customer; None on a public route, where the key is ignored;
            or a refusal. A refused request has not run.
        """
        if route.open_to_all:
            self._public_counter.add()
            return None
        result = self._check_keyed(key, now)
        if isinstance(result, Refusal):
            self._metrics.count("key_checks_total", outcome=result.reason)
        else:
            self._known_counter.add()
        return result

    def is_still_valid(
        self, digest: str, customer: str, config_version: int, now: float
    ) -> bool:
        """Whether a key that admitted a request is still valid.

        False also if the configuration here is too old to tell.

        Args:
            digest: SHA-256 of the key, hexadecimal.
            customer: Name of the customer that the key belonged to.
            config_version: Configuration version of the instance that
                admitted the request. If it is higher than the version here,
                this instance may not know the key yet and trusts that check.
            now: Monotonic seconds.
        """
        if not self._may_admit(now):
            return False
        index = self._config.index
        if index.configuration.version < config_version:
            return True
        current_customer = index.customer_of_digest(digest)
        return (
            current_customer is not None and current_customer.name == customer
        )

    def _check_keyed(self, key: str | None, now: float) -> Customer | Refusal:
        if not key:
            return _unauthorized("no_key", "The request carries no key.")
        if len(key) > MAX_KEY_BYTES:
            return _unauthorized("unknown_key", "The key is not known.")
        # Freshness is checked before the key: a key that is unknown to a stale
        # configuration may have been added since.
        if not self._may_admit(now):
            return self._not_fresh_refusal()
        customer = self._find_customer(key)
        if customer is None:
            return _unauthorized("unknown_key", "The key is not known.")
        return customer

    def _may_admit(self, now: float) -> bool:
        return self._membership.is_fresh(now) or self._may_admit_in_outage(now)

    def _may_admit_in_outage(self, now: float) -> bool:
        """Whether the store is out for all and no peer has a newer version.

        A peer may have read a revocation just before the outage. Its version
        must be applied here before keys are accepted without the store.
        """
        if now - self._outage_checked_at >= _OUTAGE_CHECK_INTERVAL_S:
            self._outage_checked_at = now
            self._is_store_out = self._membership.store_out_for_all(now)
        if not self._is_store_out:
            return False
        peer_versions = self._membership.config_versions().values()
        own_version = self._config.index.configuration.version
        return own_version >= max(peer_versions, default=0)

    def _find_customer(self, key: str) -> Customer | None:
        index = self._config.index
        if index is not self._cached_index:
            self._customer_by_key = {}
            self._cached_index = index
        customer = self._customer_by_key.get(key)
        if customer is not None:
            return customer
        customer = index.customer_of_digest(key_digest(key))
        if customer is not None:
            if len(self._customer_by_key) >= MAX_CACHED_KEYS:
                self._customer_by_key.clear()
            self._customer_by_key[key] = customer
        return customer

    def _not_fresh_refusal(self) -> Refusal:
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
        """Returns the caller addresses of the instances most likely fresh.

        Heartbeats carry the freshness of every reachable peer, so this
        instance would be fresh itself if one of these peers were. Fresh
        instances are therefore on the other side of a network partition:
        unreachable peers come first, and within each group those in other
        failure domains.
        """
        live_names = {peer.instance for peer in self._membership.live()}
        own_domain = self._membership.own.failure_domain
        candidates = sorted(
            (
                peer
                for peer in self._membership.peers()
                if peer.state is InstanceState.LIVE
                and not self._membership.proven_dead(peer.instance)
            ),
            key=lambda peer: (
                peer.instance in live_names,
                peer.failure_domain == own_domain,
                peer.instance,
            ),
        )
        addresses = (peer.caller_address for peer in candidates)
        return tuple(addresses)[:_MAX_NEXT_INSTANCES]


def _unauthorized(reason: str, message: str) -> Refusal:
    return Refusal(
        verdict=Verdict.NOT_RUN,
        reason=reason,
        message=message,
        status=_UNAUTHORIZED,
    )
