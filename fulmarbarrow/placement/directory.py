"""Directory of the region's upstreams, their pools and owners."""

from __future__ import annotations

import collections.abc
import dataclasses

import msgspec

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.placement import messages
from fulmarbarrow.placement import rendezvous
from fulmarbarrow.placement import sizing
from fulmarbarrow.placement import trials
from fulmarbarrow.versions import messages as versions_messages

MAX_CANDIDATES = 6  # upstreams considered for one request


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Owner:
    """The daemon that manages the reservations of an upstream.

    ``assumed`` is set if a router assumed ownership because it had no peers.
    """

    daemon_id: str
    address: str
    incarnation: int
    epoch: int
    assumed: bool = False

    @property
    def precedence(self) -> tuple[int, int]:
        """Precedence; a record replaces one of lower or equal precedence."""
        return self.incarnation, self.epoch


class Directory:
    """Upstreams by pool, with the weights that distribute new work.

    A pool consists of the upstreams that serve one version of a model. Its
    rendezvous ring is cached until a member or a weight changes.
    """

    def __init__(self) -> None:
        self._upstreams: dict[str, membership_messages.Upstream] = {}
        self._owners: dict[str, Owner] = {}
        self._zone_weights: dict[str, float] = {}
        self._version_shares: dict[
            tuple[str, str], tuple[tuple[str, float], ...]
        ] = {}
        self._pool_rings: dict[tuple[str, str, str], rendezvous.Ring] = {}
        self._version_rings: dict[tuple[str, str], rendezvous.Ring] = {}
        self._sizing = sizing.Sizing()
        self._trials = trials.Trials()
        self._model_rings: dict[tuple[str, str], rendezvous.Ring] = {}

    @property
    def upstreams(
        self,
    ) -> collections.abc.Mapping[str, membership_messages.Upstream]:
        """All known upstreams by id."""
        return self._upstreams

    @property
    def owners(self) -> collections.abc.Mapping[str, Owner]:
        """The known owners by upstream id."""
        return self._owners

    def configure(
        self, bundle: bundles.Bundle
    ) -> list[membership_messages.Upstream]:
        """Apply a configuration; return upstreams whose capacity changed."""
        if not self._sizing.configure(bundle):
            return []
        changed = []
        for upstream in self._sizing.with_capacities(
            list(self._upstreams.values())
        ):
            if upstream != self._upstreams[upstream.upstream_id]:
                self._upstreams[upstream.upstream_id] = upstream
                changed.append(upstream)
        self._clear_rings()
        return changed

    def pool_config(self, upstream_id: str) -> bundles.Pool:
        """Return the configured pool of an upstream."""
        upstream = self._upstreams.get(upstream_id)
        return self._sizing.pool(upstream) if upstream else bundles.Pool()

    def store_upstream(self, upstream: membership_messages.Upstream) -> bool:
        """Store an upstream's record; return whether it is a new run.

        Records of an older incarnation are ignored.
        """
        known = self._upstreams.get(upstream.upstream_id)
        if known is not None and upstream.incarnation < known.incarnation:
            return False
        upstream = self._sizing.with_capacity(upstream)
        self._upstreams[upstream.upstream_id] = upstream
        self._clear_rings()
        return known is None or known.incarnation < upstream.incarnation

    def remove_upstream(self, upstream_id: str, incarnation: int) -> bool:
        """Remove an upstream unless a newer incarnation is known."""
        known = self._upstreams.get(upstream_id)
        if known is None or known.incarnation > incarnation:
            return False
        del self._upstreams[upstream_id]
        self._owners.pop(upstream_id, None)
        self._clear_rings()
        return True

    def set_owner(self, upstream_id: str, owner: Owner) -> bool:
        """Store an owner unless one of a higher precedence is known.

        Epochs start again with each incarnation of the upstream.
        """
        known = self._owners.get(upstream_id)
        if known is not None and owner.precedence < known.precedence:
            return False
        self._owners[upstream_id] = owner
        return True

    def remove_owner(self, upstream_id: str) -> None:
        """Remove the owner of an upstream."""
        self._owners.pop(upstream_id, None)

    def set_zone_weights(
        self, weights: collections.abc.Iterable[tuple[str, float]]
    ) -> None:
        """Set the fraction of its usual work that each zone gets."""
        self._zone_weights = dict(weights)
        self._clear_rings()

    def set_version_shares(
        self, service: str, model: str, shares: tuple[tuple[str, float], ...]
    ) -> None:
        """Set the traffic shares of a model's versions."""
        self._version_shares[service, model] = shares
        self._version_rings.pop((service, model), None)

    def set_service_versions(
        self, versions: versions_messages.ServiceVersions
    ) -> None:
        """Set which versions of a service get requests in a rollout."""
        self._trials.set(versions)
        self._clear_rings()

    def assign_version(
        self, request: messages.PlaceRequest
    ) -> messages.PlaceRequest:
        """Return the request with its version if its service has a rollout."""
        trial = self._trials.get(request.service)
        version = ""
        if trial is not None:
            new = trial.versions.new
            pool = self.pool_ring(request.service, request.model, new)
            version = trial.select(request, new_usable=len(pool) > 0)
        if version == request.version:
            return request
        return msgspec.structs.replace(request, version=version)

    def other_version(
        self, request: messages.PlaceRequest
    ) -> messages.PlaceRequest | None:
        """Return the request for the old version if the new one was chosen."""
        trial = self._trials.get(request.service)
        if trial is None or not trial.versions.move_id:
            return None
        if request.version != trial.versions.new:
            return None
        # The upstreams of the old version may be stopped at any time.
        pool = self.pool_ring(request.service, request.model, request.version)
        if trial.completed and len(pool):
            return None
        return msgspec.structs.replace(request, version=trial.take_back())

    def on_trial(self, request: messages.PlaceRequest) -> bool:
        """Return whether a request goes to a version that is not proven."""
        trial = self._trials.get(request.service)
        return (
            trial is not None
            and trial.bounded
            and request.version == trial.versions.new
        )

    def same_version(
        self, upstream_id: str, request: messages.PlaceRequest
    ) -> bool:
        """Return whether an upstream may have what a request shares."""
        if not request.version:
            return True
        upstream = self._upstreams.get(upstream_id)
        return upstream is not None and self._serves_version(
            upstream, request.service, request.model, request.version
        )

    def zone(self, upstream_id: str) -> str:
        """Return the zone of an upstream, "" if the upstream is unknown."""
        upstream = self._upstreams.get(upstream_id)
        return upstream.zone if upstream is not None else ""

    def zone_weight(self, zone: str) -> float:
        """Return the fraction of its usual work that a zone gets."""
        return self._zone_weights.get(zone, 1.0)

    def usable(self, upstream: membership_messages.Upstream) -> bool:
        """Return whether an upstream may get new work."""
        return (
            upstream.state is membership_messages.UpstreamState.SERVING
            and self.zone_weight(upstream.zone) > 0
            and upstream.weight > 0
        )

    def pool_ring(
        self, service: str, model: str, version: str = ""
    ) -> rendezvous.Ring:
        """Return the ring of a version's usable upstreams, "" for all."""
        key = (service, model, version)
        ring = self._pool_rings.get(key)
        if ring is None:
            ring = rendezvous.Ring(weights=self._pool_weights(*key))
            self._pool_rings[key] = ring
        return ring

    def model_members(self) -> list[list[str]]:
        """Return the ids of each model's upstreams."""
        members: dict[tuple[str, str], list[str]] = {}
        for upstream in self._upstreams.values():
            for offer in upstream.offers:
                pool = members.setdefault((offer.service, offer.model), [])
                pool.append(upstream.upstream_id)
        return list(members.values())

    def model_ring(self, service: str, model: str) -> rendezvous.Ring:
        """Return the ring of a model's upstreams, including unusable ones.

        An upstream that is leaving may still have prompts in its cache. The
        order is that of the pool's ring if all upstreams were usable.
        """
        ring = self._model_rings.get((service, model))
        if ring is None:
            weights = {
                upstream.upstream_id: (
                    upstream.weight * max(1, upstream.batch_tokens)
                )
                for upstream in self._upstreams.values()
                if self._serves_version(upstream, service, model, "")
            }
            ring = rendezvous.Ring(weights=weights)
            self._model_rings[service, model] = ring
        return ring

    def select_version(self, request: messages.PlaceRequest) -> str:
        """Return the version that serves a chat, "" if none is selected.

        Uses rendezvous hashing over the versions, so that a change of the
        shares moves as few chats as possible. Versions without usable
        upstreams are skipped.
        """
        key = (request.service, request.model)
        ring = self._version_rings.get(key)
        if ring is None:
            ring = rendezvous.Ring(weights=self._version_weights(*key))
            self._version_rings[key] = ring
        if len(ring) == 1 and len(self.pool_ring(*key, ring.members[0])):
            return ring.members[0]
        for version in ring.order(request.chat):
            if len(self.pool_ring(*key, version)):
                return version
        return ""

    def candidates(self, request: messages.PlaceRequest) -> list[str]:
        """Return the best usable upstreams for a chat, best first."""
        version = request.version or self.select_version(request)
        if not version and self._version_shares.get(
            (request.service, request.model)
        ):
            return []
        ring = self.pool_ring(request.service, request.model, version)
        count = MAX_CANDIDATES + len(request.excluded)
        best = ring.best(request.chat, count)
        if not request.excluded:
            return best
        return [item for item in best if item not in request.excluded]

    def serves(self, upstream_id: str, request: messages.PlaceRequest) -> bool:
        """Return whether an upstream may serve a request now."""
        upstream = self._upstreams.get(upstream_id)
        if upstream is None or not self.usable(upstream):
            return False
        if request.version:
            return self._serves_version(
                upstream, request.service, request.model, request.version
            )
        shares = dict(
            self._version_shares.get((request.service, request.model), ())
        )
        return any(
            not shares or shares.get(offer.version, 0.0) > 0
            for offer in upstream.offers
            if (offer.service, offer.model) == (request.service, request.model)
            and self._trials.allows(offer.service, offer.version)
        )

    def home_version(self, service: str, model: str, version: str) -> str:
        """Return the version whose ring selects homes, "" for all versions.

        Without traffic shares the versions of a model share one ring.
        """
        shares = self._version_shares.get((service, model))
        return version if shares else ""

    def served_version(
        self, upstream_id: str, request: messages.PlaceRequest
    ) -> str:
        """Return the version that an upstream runs for a request."""
        selected = request.version or self.select_version(request)
        offers = [
            offer.version
            for offer in self._upstreams[upstream_id].offers
            if (offer.service, offer.model) == (request.service, request.model)
        ]
        if selected in offers or not offers:
            return selected
        return offers[0]

    def _pool_weights(
        self, service: str, model: str, version: str
    ) -> dict[str, float]:
        return {
            upstream.upstream_id: (
                upstream.weight
                * self.zone_weight(upstream.zone)
                * max(1, upstream.batch_tokens)
            )
            for upstream in self._upstreams.values()
            if self.usable(upstream)
            and self._serves_version(upstream, service, model, version)
        }

    def _serves_version(
        self,
        upstream: membership_messages.Upstream,
        service: str,
        model: str,
        version: str,
    ) -> bool:
        return any(
            offer.service == service
            and offer.model == model
            and version in ("", offer.version)
            and self._trials.allows(service, offer.version)
            for offer in upstream.offers
        )

    def _version_weights(self, service: str, model: str) -> dict[str, float]:
        return dict(self._version_shares.get((service, model), ()))

    def _clear_rings(self) -> None:
        self._pool_rings.clear()
        self._model_rings.clear()
