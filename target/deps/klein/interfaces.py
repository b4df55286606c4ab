from ._iform import ValidationError, ValueAbsent
from ._interfaces import IKleinRequest
from ._isession import (
    EarlyExit,
    IDependencyInjector,
    IRequestLifecycle,
    IRequiredParameter,
    ISession,
    ISessionProcurer,
    ISessionStore,
    ISimpleAccount,
    ISimpleAccountBinding,
    NoSuchSession,
    SessionMechanism,
    TooLateForCookies,
    TransactionEnded,
)


__all__ = (
    "EarlyExit",
    "IDependencyInjector",
    "IKleinRequest",
    "IRequestLifecycle",
    "IRequiredParameter",
    "ISession",
    "ISessionProcurer",
    "ISessionStore",
    "ISimpleAccount",
    "ISimpleAccountBinding",
    "NoSuchSession",
    "SessionMechanism",
    "TooLateForCookies",
    "TransactionEnded",
    "ValidationError",
    "ValueAbsent",
)
