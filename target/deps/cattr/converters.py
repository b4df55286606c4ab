from cattrs.converters import (
    BaseConverter,
    Converter,
    GenConverter,
    UnstructureStrategy,
)

__all__ = ["BaseConverter", "Converter", "GenConverter", "UnstructureStrategy"]
