"""Preconfigured converters for ujson."""

from cattrs.preconf.ujson import UjsonConverter, configure_converter, make_converter

__all__ = ["UjsonConverter", "configure_converter", "make_converter"]
