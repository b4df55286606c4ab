"""Preconfigured converters for pyyaml."""

from cattrs.preconf.pyyaml import PyyamlConverter, configure_converter, make_converter

__all__ = ["PyyamlConverter", "configure_converter", "make_converter"]
