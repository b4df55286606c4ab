"""Preconfigured converters for tomlkit."""

from cattrs.preconf.tomlkit import TomlkitConverter, configure_converter, make_converter

__all__ = ["TomlkitConverter", "configure_converter", "make_converter"]
