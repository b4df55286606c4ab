"""Turns a caller's HTTP request into a checked request of the system."""

from __future__ import annotations

import dataclasses
import datetime
import hashlib

import msgspec
from twisted.web import http

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.delivery import messages as delivery_messages
from fulmarbarrow.edge import directory as directories
from fulmarbarrow.edge import headers

CHAT_PATH = "/v1/chat/completions"
BYTES_PER_TOKEN = 4
DEFAULT_ANSWER_TOKENS = 256


class ChatMessage(msgspec.Struct, frozen=True, kw_only=True):
    """One message of a chat."""

    role: str
    content: str = ""


class ChatRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The parts of a chat completion request that routing looks at."""

    model: str
    messages: tuple[ChatMessage, ...]
    stream: bool = False
    max_tokens: int | None = None
    chat_id: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rejected:
    """Why an HTTP request was not taken; ``code`` is a refusal's."""

    code: str
    detail: str = ""


def header(request: http.Request, name: str) -> str:
    """Return a request header's text, or an empty string."""
    value = request.getHeader(name.encode())
    return value.decode("utf-8", "replace") if value else ""


def parse(
    request: http.Request,
    *,
    request_id: str,
    body: bytes,
    directory: directories.Directory,
    now: datetime.datetime,
) -> delivery_messages.RequestArrived | Rejected:
    """Return the checked request, or why it is refused."""
    scheme, _, key = header(request, "Authorization").partition(" ")
    account = directory.account(key) if scheme == "Bearer" else None
    if account is None:
        return Rejected(code="unauthorized")
    path = request.path.decode("utf-8", "replace")
    method = request.method.decode("ascii", "replace")
    chat = None
    if path == CHAT_PATH:
        try:
            chat = msgspec.json.decode(body, type=ChatRequest)
        except msgspec.DecodeError as error:
            return Rejected(code="bad_request", detail=str(error))
        match = directory.model_route(chat.model, path)
        if match is None:
            return Rejected(code="no_model", detail=chat.model)
    else:
        match = directory.plain_route(method, path)
        if match is None:
            return Rejected(code="no_route")
    deadline = _deadline(request, match.route)
    if deadline is None:
        return Rejected(code="bad_request", detail=headers.DEADLINE)
    idempotency_key = header(request, headers.KEY)
    if not match.route.idempotent and not idempotency_key:
        return Rejected(code="key_required")
    return delivery_messages.RequestArrived(
        request_id=request_id,
        account=account.name,
        service=match.service.name,
        model=chat.model if chat else "",
        chat=chat_identity(header(request, headers.CHAT), chat, request_id),
        route=match.route.path,
        method=method,
        path=request.uri.decode("utf-8", "replace"),
        digest=_digest(method, request.uri, body),
        idempotent=match.route.idempotent,
        key=idempotency_key,
        stream=chat.stream if chat else False,
        cost=_cost(match.route, chat, body),
        cost_class=match.route.cost_class,
        worth=match.route.worth,
        best_effort=match.route.best_effort,
        deadline=now + deadline,
        lookup_path=match.route.lookup_path,
    )


def _deadline(
    request: http.Request, route: bundles.Route
) -> datetime.timedelta | None:
    text = header(request, headers.DEADLINE)
    if not text:
        return route.deadline
    if not text.isdigit():
        return None
    return min(datetime.timedelta(milliseconds=int(text)), route.deadline)


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
