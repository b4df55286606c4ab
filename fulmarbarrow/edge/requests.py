"""Turns a caller's HTTP request into a checked request of the system."""

from __future__ import annotations

import datetime
import hashlib
import typing
import urllib.parse

import msgspec
from twisted.web import http

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.delivery import messages as delivery_messages
from fulmarbarrow.edge import dialect
from fulmarbarrow.edge import directory as directories
from fulmarbarrow.edge import headers

CHAT_PATH = "/v1/chat/completions"
BYTES_PER_TOKEN = 4
DEFAULT_ANSWER_TOKENS = 256
MAX_ANSWER_TOKENS = 1_000_000
MAX_NAME_CHARACTERS = 255
MAX_DEADLINE_DIGITS = 9

AnswerTokens = typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_ANSWER_TOKENS)]
Name = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]


class ChatMessage(msgspec.Struct, frozen=True, kw_only=True):
    """One message of a chat; its content is text or a list of parts."""

    role: str
    content: str | list[dict[str, typing.Any]] | None = ""


class ChatRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The parts of a chat completion request that routing looks at."""

    model: Name
    messages: tuple[ChatMessage, ...]
    stream: bool = False
    max_tokens: AnswerTokens | None = None
    chat_id: Name = ""


class RejectedError(Exception):
    """Carries a rejection out of the checks."""

    def __init__(self, rejected: dialect.Rejected) -> None:
        super().__init__(rejected.code)
        self.rejected = rejected


def header(request: http.Request, name: str) -> str:
    """Return a request header's text, or an empty string."""
    value = request.getHeader(name.encode())
    return value.decode("utf-8", "replace") if value else ""


def bearer_key(request: http.Request) -> str:
    """Return the bearer key of a request, or an empty string."""
    scheme, _, key = header(request, "Authorization").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def parse(
    request: http.Request,
    *,
    request_id: str,
    body: bytes,
    directory: directories.Directory,
    now: datetime.datetime,
) -> delivery_messages.RequestArrived | dialect.Rejected:
    """Return the checked request, or why it is refused."""
    try:
        return _parse(request, request_id, body, directory, now)
    except RejectedError as error:
        return error.rejected


def chat_identity(
    named: str, chat: ChatRequest | None, request_id: str
) -> str:
    """Return the chat's id, or one that similar first messages share.

    ``named`` is the id in a header; a request without a chat is its own.
    """
    named = named or (chat.chat_id if chat else "")
    if named or chat is None:
        return named or request_id
    opening = msgspec.json.encode(chat.messages[:2])
    return hashlib.blake2b(opening, digest_size=12).hexdigest()


def _parse(
    request: http.Request,
    request_id: str,
    body: bytes,
    directory: directories.Directory,
    now: datetime.datetime,
) -> delivery_messages.RequestArrived:
    if not directory.in_force:
        raise RejectedError(dialect.Rejected(code="no_configuration"))
    account = directory.account(bearer_key(request))
    if account is None:
        raise RejectedError(dialect.Rejected(code="unauthorized"))
    path = _path(request)
    method = request.method.decode("ascii", "replace")
    chat = _chat(method, body) if path == CHAT_PATH else None
    match = _match(directory, method, path, chat)
    if not directories.allowed(account, match.service):
        raise RejectedError(
            dialect.Rejected(code="not_allowed", detail=match.service.name)
        )
    key = _key(request, match.route)
    named = _name(request, headers.CHAT)
    return delivery_messages.RequestArrived(
        request_id=request_id,
        account=account.name,
        service=match.service.name,
        model=chat.model if chat else "",
        chat=chat_identity(named, chat, request_id),
        route=match.route.path,
        method=method,
        path=request.uri.decode("ascii"),
        digest=_digest(method, request.uri, body),
        idempotent=match.route.idempotent,
        key=key,
        stream=chat.stream if chat else False,
        cost=_cost(match.route, chat, body),
        cost_class=match.route.cost_class,
        worth=match.route.worth,
        best_effort=match.route.best_effort,
        deadline=now + _deadline(request, match.route),
        lookup_path=match.route.lookup_path,
    )


def _path(request: http.Request) -> str:
    """Return the unquoted path, the same that any upstream will see."""
    if not request.uri.isascii():
        raise _bad("the URL is not ASCII")
    path = request.path.decode("ascii")
    unquoted = urllib.parse.unquote(path)
    segments = unquoted.split("/")
    untidy = "." in segments or ".." in segments or "" in segments[1:-1]
    if untidy or "%2f" in path.lower() or "\\" in unquoted:
        raise _bad("the path is not normalized")
    return unquoted


def _chat(method: str, body: bytes) -> ChatRequest:
    if method != "POST":
        raise RejectedError(
            dialect.Rejected(code="method_not_allowed", allow=("POST",))
        )
    try:
        return msgspec.json.decode(body, type=ChatRequest)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise _bad(str(error)) from error


def _match(
    directory: directories.Directory,
    method: str,
    path: str,
    chat: ChatRequest | None,
) -> directories.RouteMatch:
    if chat is not None:
        match = directory.model_route(chat.model, path)
        if match is None:
            raise RejectedError(
                dialect.Rejected(code="no_model", detail=chat.model)
            )
        return match
    match = directory.plain_route(method, path)
    if match is not None:
        return match
    allowed = directory.methods(path)
    if allowed:
        raise RejectedError(
            dialect.Rejected(code="method_not_allowed", allow=allowed)
        )
    raise RejectedError(dialect.Rejected(code="no_route"))


def _key(request: http.Request, route: bundles.Route) -> str:
    key = _name(request, headers.KEY)
    if not route.idempotent and not key:
        raise RejectedError(dialect.Rejected(code="key_required"))
    return key


def _name(request: http.Request, name: str) -> str:
    """Return a header that names something: short and printable."""
    value = header(request, name)
    if len(value) > MAX_NAME_CHARACTERS or not value.isprintable():
        raise _bad(name)
    return value


def _deadline(
    request: http.Request, route: bundles.Route
) -> datetime.timedelta:
    text = header(request, headers.DEADLINE)
    if not text:
        return route.deadline
    if not text.isdecimal() or len(text) > MAX_DEADLINE_DIGITS:
        raise _bad(headers.DEADLINE)
    return min(datetime.timedelta(milliseconds=int(text)), route.deadline)


def _bad(detail: str) -> RejectedError:
    return RejectedError(dialect.Rejected(code="bad_request", detail=detail))


def _digest(method: str, uri: bytes, body: bytes) -> str:
    digest = hashlib.blake2b(digest_size=16)
    for part in (method.encode(), uri, body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _cost(route: bundles.Route, chat: ChatRequest | None, body: bytes) -> int:
    """Return the estimated work of a request in tokens."""
    if chat is None:
        return route.cost_tokens
    answer = chat.max_tokens or DEFAULT_ANSWER_TOKENS
    return max(1, len(body) // BYTES_PER_TOKEN) + answer
