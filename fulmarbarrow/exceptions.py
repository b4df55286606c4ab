"""Errors with stable codes."""

from __future__ import annotations

import typing


class FulmarbarrowError(Exception):
    """Base of the project's errors.

    ``code`` is stable across releases; ``exit_code`` is the command line's.
    """

    code: typing.ClassVar[str] = "internal_error"
    exit_code: typing.ClassVar[int] = 1


class ConfigurationError(FulmarbarrowError):
    """The settings or the operators' files have findings."""

    code = "configuration_invalid"
    exit_code = 2


class StorageError(FulmarbarrowError):
    """Durable state cannot be read or written."""

    code = "storage_failed"
    exit_code = 3


class CorruptLogError(StorageError):
    """A log segment is damaged before its tail."""

    code = "log_corrupt"


class StorageFullError(StorageError):
    """The disk has no room; nothing more is acknowledged."""

    code = "storage_full"


class UnreachableError(FulmarbarrowError):
    """A daemon does not answer."""

    code = "daemon_unreachable"
    exit_code = 4


class DispatchLeaseError(FulmarbarrowError):
    """The right to dispatch an action ended before it was sent."""

    code = "dispatch_lease_passed"


class ConflictError(FulmarbarrowError):
    """Another publish won the race for the revision."""

    code = "revision_conflict"
    exit_code = 5


class NotInForceError(FulmarbarrowError):
    """A revision did not reach every daemon within the wait."""

    code = "not_in_force"
    exit_code = 6


class ReplayMismatchError(FulmarbarrowError):
    """A replayed trace differs from its stated outcome."""

    code = "replay_mismatch"
    exit_code = 7


class UnauthorizedError(FulmarbarrowError):
    """A daemon's admin port does not accept the key."""

    code = "unauthorized"
    exit_code = 8


class RefusedError(FulmarbarrowError):
    """A daemon's admin port refused a request."""

    code = "request_refused"
    exit_code = 9
