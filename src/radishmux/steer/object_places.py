"""Chooses the servers that handle each object for one instance; no I/O.

All instances of a small region start with the same server for an object, the
first one of the whole fleet by rendezvous hashing, so that one slow first
request warms the object's cache entry for all instances. An instance then moves
the objects that it uses often to a nearer server, the first one of its region.
Each move costs one slow request and saves the longer round trip afterwards.
Moves between regions are rate limited. Objects with large bodies or responses
start in the instance's own failure domain, where the cost of bytes across
failure domains outweighs a slow first request.

In a region with many instances, each sees an object too rarely to find out that
it is used often, so that most requests for objects that only this region uses
would go to another region. There objects start at the first server of the
region, as far as its servers have capacity for them. The others go to the first
server of the other regions, the same for all instances of this region.

Callers are assumed to be spread evenly over the failure domains; servers are
not. A failure domain or region handles only as many objects as its servers have
capacity for. A hash that is the same for all instances selects these objects.

A server keeps a few dozen objects warm. An object is sent only to the first
servers of each region: when requests were spread over all servers, each server
received all objects and evicted them before they were requested again.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Sequence

import xxhash

from radishmux.steer.move_budget import MoveBudget
from radishmux.steer.servers import Server

# Requests of this instance for an object before the object moves nearer. A slow
# first request costs about as much as the longer round trips of this many
# requests.
MOVE_AFTER_REQUESTS = 4
# Number of instances in a region from which on objects start at a server of the
# region. One request at an instance then stands for twice as many requests of
# the region as a move to a nearer server pays off after.
MANY_INSTANCES = 2 * MOVE_AFTER_REQUESTS
# Number of servers that an instance sends one object to, in its own region and
# in each other region.
OWN_CANDIDATES = 2
OTHER_CANDIDATES = 1
# Requests that transfer at least this many bytes stay in the failure domain.
LARGE_BYTES = 16_384
# Transferring this many bytes doubles the value of a nearby server.
LOCALITY_SCALE_BYTES = 8_192
MAX_OBJECTS = 8_192
_HASH_RANGE = 2.0**64
# Servers with capacity for this share of their callers' objects get all of
# them: load varies by more than the rest, and objects would otherwise move
# whenever a server joins or leaves.
FULL_SHARE_THRESHOLD = 0.75


class Level(enum.IntEnum):
    """The set of servers from which an object's home is chosen."""

    FLEET = 0
    REGION = 1
    DOMAIN = 2


class Homes:
    """The preferred servers of an object.

    Attributes:
        by_level: First servers of the fleet, of this region and of this
            failure domain, indexed by `Level`. A level without a server has
            that of the next wider level.
        candidates: Servers that requests for the object are normally limited
            to: the first ones of each region, so that no server receives more
            objects than it can keep warm.
        ranks: Rank of each server in the rendezvous order of the whole fleet.
    """

    __slots__ = ("by_level", "candidates", "ranks")

    def __init__(
        self,
        by_level: tuple[Server, Server, Server],
        candidates: tuple[Server, ...],
        ranks: dict[str, int],
    ) -> None:
        self.by_level = by_level
        self.candidates = candidates
        self.ranks = ranks


class ObjectPlace:
    """The servers that handle one object for this instance.

    Attributes:
        homes: Preferred servers of the object.
        servers: The servers that the homes were chosen from.
        level: Level that the object has been moved to.
        requests: Requests of this instance for the object at that level.
        consecutive_spillovers: Number of latest requests in a row for which
            the object's home was too busy.
    """

    __slots__ = (
        "homes",
        "level",
        "requests",
        "servers",
        "consecutive_spillovers",
    )

    def __init__(
        self, homes: Homes, servers: Sequence[Server], level: Level
    ) -> None:
        self.homes = homes
        self.servers = servers
        self.level = level
        self.requests = 0
        self.consecutive_spillovers = 0

    @property
    def candidates(self) -> tuple[Server, ...]:
        """The servers that requests for the object are normally limited to."""
        if self.level is Level.DOMAIN and self.home not in (
            self.homes.candidates
        ):
            return (self.home, *self.homes.candidates)
        return self.homes.candidates

    @property
    def home(self) -> Server:
        """The preferred server at the object's current level."""
        return self.homes.by_level[self.level]

    def is_home(self, server: Server) -> bool:
        """Returns whether a server is a home of the object.

        Homes are those of the current level and of wider levels; at level
        DOMAIN, only the current home.
        """
        if self.level is Level.DOMAIN:
            return server is self.home
        for home in self.homes.by_level[: self.level + 1]:
            if server is home:
                return True
        return False


class ObjectPlaces:
    """The places of the objects of one service.

    Args:
        region: Region of this instance.
        failure_domain: Failure domain of this instance.
        now: Monotonic seconds.
        regions: Region of each failure domain that has callers; None means
            the failure domains of the servers.
        starts_in_region: Whether objects start at a server of this region.
    """

    def __init__(
        self,
        region: str,
        failure_domain: str,
        now: float,
        regions: dict[str, str] | None = None,
        starts_in_region: bool = False,
    ) -> None:
        self._region = region
        self._failure_domain = failure_domain
        self._regions = regions
        self._starts_in_region = starts_in_region
        self._local_shares: tuple[Sequence[Server], tuple[float, float]] = (
            (),
            (1.0, 1.0),
        )
        self._places: OrderedDict[int, ObjectPlace] = OrderedDict()
        self._move_budget = MoveBudget(now)

    def place(
        self, key: int, servers: Sequence[Server], transfer_bytes: int = 0
    ) -> ObjectPlace:
        """Returns the place of an object, updated to the current servers.

        Args:
            key: Hash of the object.
            servers: All servers that may handle the object; not empty.
            transfer_bytes: Size of the request body and response.
        """
        place = self._places.get(key)
        if place is None:
            place = ObjectPlace(
                self._compute_homes(key, servers),
                servers,
                self._first_level(transfer_bytes),
            )
            self._places[key] = place
            if len(self._places) > MAX_OBJECTS:
                self._places.popitem(last=False)
        elif place.servers is not servers and place.servers != servers:
            place.homes = self._compute_homes(key, servers)
            place.servers = servers
        return place

    def record_request(
        self,
        place: ObjectPlace,
        transfer_bytes: int,
        has_room: bool,
        now: float,
    ) -> bool:
        """Counts a request and moves its object nearer if it is used often.

        Args:
            place: Place of the object.
            transfer_bytes: Size of the request body and response.
            has_room: Whether the nearer server has capacity left.
            now: Monotonic seconds.

        Returns:
            Whether the object was moved.
        """
        place.requests += 1
        target = self._next_level(place)
        if target is None or not has_room:
            return False
        if (
            place.requests * (1 + transfer_bytes / LOCALITY_SCALE_BYTES)
            < MOVE_AFTER_REQUESTS
        ):
            return False
        crosses_regions = (
            place.home.region != place.homes.by_level[target].region
        )
        share = 1.0 / max(1, len(self._places))
        if crosses_regions and not self._move_budget.try_acquire(share, now):
            return False
        place.level = target
        place.requests = 0
        return True

    def record_spillover(
        self, place: ObjectPlace, home_is_busy: bool, now: float
    ) -> bool:
        """Records whether the home of an object was too busy for a request.

        An object whose nearer home is too busy for several requests in a row
        moves back to its home in the fleet.

        Args:
            place: Place of the object.
            home_is_busy: Whether another region was expected to respond sooner.
            now: Monotonic seconds.

        Returns:
            Whether the object was moved.
        """
        place.consecutive_spillovers = (
            place.consecutive_spillovers + 1 if home_is_busy else 0
        )
        fleet_home = place.homes.by_level[Level.FLEET]
        if (
            place.consecutive_spillovers < MOVE_AFTER_REQUESTS
            or place.level is not Level.REGION
            or fleet_home.region == place.home.region
            or not self._move_budget.try_acquire(
                1.0 / max(1, len(self._places)), now
            )
        ):
            return False
        place.level = Level.FLEET
        place.requests = place.consecutive_spillovers = 0
        return True

    def _first_level(self, transfer_bytes: int) -> Level:
        """Returns the level at which an object starts."""
        if transfer_bytes >= LARGE_BYTES:
            return Level.DOMAIN
        return Level.REGION if self._starts_in_region else Level.FLEET

    def _next_level(self, place: ObjectPlace) -> Level | None:
        """Returns the next nearer level with another server, or None."""
        nearer = place.homes.by_level[Level.REGION]
        if place.level is Level.FLEET and nearer is not place.home:
            return Level.REGION
        return None

    def _compute_homes(self, key: int, servers: Sequence[Server]) -> Homes:
        ordered = sorted(
            servers,
            key=lambda server: xxhash.xxh3_64_intdigest(
                server.name.encode(), seed=key
            ),
            reverse=True,
        )
        if self._local_shares[0] is not servers:
            self._local_shares = (servers, self._compute_local_shares(servers))
        ranks = {server.name: rank for rank, server in enumerate(ordered)}
        counts: dict[str, int] = {}
        candidates: list[Server] = []
        for server in ordered:
            count = counts.get(server.region, 0)
            counts[server.region] = count + 1
            is_own = server.region == self._region
            if count < (OWN_CANDIDATES if is_own else OTHER_CANDIDATES):
                candidates.append(server)
        in_region, in_domain = self._compute_nearer_homes(key, ordered)
        # Servers at which no object starts are not warm.
        widest = in_region if self._starts_in_region else ordered[0]
        return Homes((widest, in_region, in_domain), tuple(candidates), ranks)

    def _compute_nearer_homes(
        self, key: int, ordered: list[Server]
    ) -> tuple[Server, Server]:
        """Returns the homes of an object in the region and failure domain.

        Objects for which the nearer servers lack capacity get wider homes.
        """
        hash_fraction = (
            xxhash.xxh3_64_intdigest(b"place", seed=key) / _HASH_RANGE
        )
        domain_share, region_share = self._local_shares[1]
        fleet_home = in_region = ordered[0]
        stays_in_region = hash_fraction < region_share
        if stays_in_region or self._starts_in_region:
            # Objects that the region lacks capacity for avoid its servers.
            in_region = next(
                (
                    server
                    for server in ordered
                    if (server.region == self._region) is stays_in_region
                ),
                fleet_home,
            )
        # Objects that do not stay in the failure domain avoid its servers,
        # which get their share of the load from the objects that stay.
        stays = hash_fraction < domain_share
        in_domain = next(
            (
                server
                for server in ordered
                if server.region == self._region
                and (server.entry.failure_domain == self._failure_domain)
                is stays
            ),
            in_region,
        )
        if not stays_in_region and not stays:
            in_domain = in_region
        return in_region, in_domain

    def _compute_local_shares(
        self, servers: Sequence[Server]
    ) -> tuple[float, float]:
        """Returns the shares of objects handled in the domain and region.

        They are the capacity of the servers of this failure domain and of this
        region relative to the load of their own callers; 1 and more means all
        objects.
        """
        own_domain, own_region = self._failure_domain, self._region
        fleet = domain = region = 0
        for server in servers:
            slots = server.entry.slots
            fleet += slots
            domain += slots * (server.entry.failure_domain == own_domain)
            region += slots * (server.region == own_region)
        regions = self._regions or {
            server.entry.failure_domain: server.region for server in servers
        }
        slots_per_domain = max(1, fleet) / max(1, len(regions))
        domain_count = max(1, list(regions.values()).count(own_region))
        region_share = region / (slots_per_domain * domain_count)
        # A region's lack of capacity limits each of its failure domains.
        domain_share = min(domain / slots_per_domain, region_share)
        return _round_up_near_full(domain_share), _round_up_near_full(
            region_share
        )


def _round_up_near_full(share: float) -> float:
    return 1.0 if share >= FULL_SHARE_THRESHOLD else share
