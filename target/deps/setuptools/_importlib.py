from importlib import (
    metadata,  # noqa: F401
    resources,  # noqa: F401
)
