from ._memory import MemorySessionStore, declareMemoryAuthorizer


__all__ = [
    "declareMemoryAuthorizer",
    "MemorySessionStore",
]
