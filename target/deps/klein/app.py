from ._app import (
    Klein,
    KleinRequest,
    handle_errors,
    resource,
    route,
    run,
    subroute,
    url_for,
    urlFor,
)


__all__ = (
    "Klein",
    "KleinRequest",
    "handle_errors",
    "resource",
    "route",
    "run",
    "subroute",
    "urlFor",
    "url_for",
)
