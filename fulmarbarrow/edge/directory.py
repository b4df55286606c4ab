"""Client accounts, routes and models of the configuration in force."""

from __future__ import annotations

import dataclasses
import hashlib
import hmac

from fulmarbarrow.config import bundle as bundles

KEY_DIGEST_BYTES = 32


def key_digest(key: str, salt: str) -> str:
    """Return the hex digest under which a bearer key is stored."""
    return hashlib.blake2b(
        key.encode(), salt=salt.encode()[:16], digest_size=KEY_DIGEST_BYTES
    ).hexdigest()


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouteMatch:
    """The service and route that a request belongs to."""

    service: bundles.Service
    route: bundles.Route


class Directory:
    """Looks up accounts and routes of one configuration.

    A key that was proven once is remembered by its unsalted digest, so that
    1,900 accounts cost one digest a request.
    """

    def __init__(self, *, bundle: bundles.Bundle) -> None:
        self._bundle = bundle
        self._proven: dict[bytes, bundles.Account] = {}
        self._models = {
            model.name: service
            for service in bundle.service
            for model in service.models
        }
        self._routes = sorted(
            (
                RouteMatch(service=service, route=route)
                for service in bundle.service
                for route in service.routes
            ),
            key=lambda match: -len(match.route.path),
        )

    @property
    def models(self) -> list[str]:
        """The names of all models, sorted."""
        return sorted(self._models)

    def account(self, key: str) -> bundles.Account | None:
        """Return the account that a bearer key belongs to."""
        remembered = hashlib.blake2b(key.encode()).digest()
        account = self._proven.get(remembered)
        if account is not None:
            return account
        for candidate in self._bundle.account:
            digest = key_digest(key, candidate.key_salt)
            if hmac.compare_digest(digest, candidate.key_digest):
                self._proven[remembered] = candidate
                return candidate
        return None

    def model_route(self, model: str, path: str) -> RouteMatch | None:
        """Return the route of a chat request for a model."""
        service = self._models.get(model)
        if service is None:
            return None
        for route in service.routes:
            if path.startswith(route.path):
                return RouteMatch(service=service, route=route)
        return None

    def plain_route(self, method: str, path: str) -> RouteMatch | None:
        """Return the plain service's route with the longest matching path."""
        for match in self._routes:
            if match.service.kind is not bundles.ServiceKind.PLAIN:
                continue
            if method in match.route.methods and _below(
                path, match.route.path
            ):
                return match
        return None


def _below(path: str, prefix: str) -> bool:
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")
