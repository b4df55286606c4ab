"""Exceptions with stable error codes and exit codes."""

from __future__ import annotations

import typing


class FulmarbarrowError(Exception):
    """Base class of all exceptions of the project.

    ``code`` is stable across releases. ``exit_code`` is the exit code of a
    command that fails with the exception.
    """

    code: typing.ClassVar[str] = "internal_error"
    exit_code: typing.ClassVar[int] = 1


class ConfigurationError(FulmarbarrowError):
    """The settings, the operators' files or the arguments are invalid."""

    code = "configuration_invalid"
    exit_code = 2


class StorageError(FulmarbarrowError):
    """Durable state cannot be read or written."""

    code = "storage_failed"
    exit_code = 3


class CorruptLogError(StorageError):
    """A stored log has damage that a crash during a write can't explain."""

    code = "log_corrupt"


class StorageFullError(StorageError):
    """The disk is full; no further write is acknowledged."""

    code = "storage_full"


class UnreachableError(FulmarbarrowError):
    """A daemon can't be reached or gives no valid answer."""

    code = "daemon_unreachable"
    exit_code = 4


class DispatchLeaseExpiredError(FulmarbarrowError):
    """The dispatch lease of an action expired before it was sent."""

    code = "dispatch_lease_passed"


class ConflictError(FulmarbarrowError):
    """Another publish replaced the base revision first."""

    code = "revision_conflict"
    exit_code = 5


class NotInForceError(FulmarbarrowError):
    """A revision was not confirmed in force everywhere before the deadline."""

    code = "not_in_force"
    exit_code = 6


class ReplayMismatchError(FulmarbarrowError):
    """A replay differs from the recording or the expected outcome."""

    code = "replay_mismatch"
    exit_code = 7


class UnauthorizedError(FulmarbarrowError):
    """The admin key is missing or wrong."""

    code = "unauthorized"
    exit_code = 8


class RequestRefusedError(FulmarbarrowError):
    """A daemon's admin port refused the request."""

    code = "request_refused"
    exit_code = 9
