from ._url import (
    parse,
    register_scheme,
    URL,
    EncodedURL,
    DecodedURL,
    URLParseError,
)

__all__ = (
    "parse",
    "register_scheme",
    "URL",
    "EncodedURL",
    "DecodedURL",
    "URLParseError",
)
