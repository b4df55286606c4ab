"""Client accounts, routes and models of the configuration in force."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import hmac

from fulmarbarrow.config import bundle as bundles

KEY_DIGEST_BYTES = 32
SALT_BYTES = 16
MAX_UNKNOWN_KEYS = 4096


def key_digest(key: str, salt: str) -> str:
    """Return the hex digest under which a bearer key is stored."""
    return hashlib.blake2b(
        key.encode(),
        salt=salt.encode()[:SALT_BYTES],
        digest_size=KEY_DIGEST_BYTES,
    ).hexdigest()


def allowed(account: bundles.Account, service: bundles.Service) -> bool:
    """Return whether an account may use a service; no list allows all."""
    return not account.services or service.name in account.services


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouteMatch:
    """The service and route that a request belongs to."""

    service: bundles.Service
    route: bundles.Route


class HostRoutes:
    """Finds routes by host and the longest prefix of a path."""

    def __init__(self, *, routes: tuple[bundles.HostRoute, ...]) -> None:
        self._routes = {(item.host, item.prefix): item for item in routes}

    def __len__(self) -> int:
        """Return the number of routes."""
        return len(self._routes)

    def find(self, host: str, path: str) -> bundles.HostRoute | None:
        """Return the route of a path; prefixes end with a slash."""
        prefix = path
        while prefix:
            prefix = prefix[: prefix.rfind("/") + 1]
            route = self._routes.get((host, prefix))
            if route is not None:
                return route
            prefix = prefix[:-1]
        return None


class Directory:
    """Looks up accounts and routes of one configuration.

    A key is compared with every account, in constant time, when it is first
    seen. The result is remembered under the key's digest, for a bounded
    number of unknown keys, so that 1,900 accounts cost one digest a request.
    Without ``in_force`` it stands for a configuration that is not known yet.
    """

    def __init__(
        self, *, bundle: bundles.Bundle, in_force: bool = True
    ) -> None:
        self._bundle = bundle
        self.in_force = in_force
        self._services = {item.name: item for item in bundle.service}
        self.host_routes = HostRoutes(routes=bundle.host_route)
        self._proven: dict[bytes, bundles.Account] = {}
        self._unknown: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
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
    def has_accounts(self) -> bool:
        """Whether callers must show a key."""
        return bool(self._bundle.account)

    def service(self, name: str) -> bundles.Service | None:
        """Return a service by its name."""
        return self._services.get(name)

    def models(self, account: bundles.Account) -> list[str]:
        """Return the names of the models that an account may use, sorted."""
        return sorted(
            name
            for name, service in self._models.items()
            if allowed(account, service)
        )

    def account(self, key: str) -> bundles.Account | None:
        """Return the account that a bearer key belongs to."""
        if not key:
            return None
        seen = hashlib.blake2b(key.encode(), digest_size=16).digest()
        account = self._proven.get(seen)
        if account is not None or seen in self._unknown:
            return account
        account = self._compare(key)
        if account is not None:
            self._proven[seen] = account
            return account
        self._unknown[seen] = None
        if len(self._unknown) > MAX_UNKNOWN_KEYS:
            self._unknown.popitem(last=False)
        return None

    def model_route(self, model: str, path: str) -> RouteMatch | None:
        """Return the route of a chat request for a model."""
        service = self._models.get(model)
        if service is None:
            return None
        for route in service.routes:
            if _below(path, route.path):
                return RouteMatch(service=service, route=route)
        return None

    def plain_route(self, method: str, path: str) -> RouteMatch | None:
        """Return the plain service's route with the longest matching path."""
        for match in self._plain_routes(path):
            if method in match.route.methods:
                return match
        return None

    def methods(self, path: str) -> tuple[str, ...]:
        """Return the methods that plain services take on a path, sorted."""
        found = {
            method
            for match in self._plain_routes(path)
            for method in match.route.methods
        }
        return tuple(sorted(found))

    def _plain_routes(self, path: str) -> list[RouteMatch]:
        return [
            match
            for match in self._routes
            if match.service.kind is bundles.ServiceKind.PLAIN
            and _below(path, match.route.path)
        ]

    def _compare(self, key: str) -> bundles.Account | None:
        found = None
        for account in self._bundle.account:
            digest = key_digest(key, account.key_salt)
            for known in (account.key_digest, *account.more_digests):
                if hmac.compare_digest(digest, known):
                    found = account
        return found


def _below(path: str, prefix: str) -> bool:
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")
