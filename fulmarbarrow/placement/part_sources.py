"""Uses the holders that owners name for copies and for placement."""

from __future__ import annotations

import collections
import dataclasses
import datetime

from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.placement import cache_sources
from fulmarbarrow.placement import directory as directories
from fulmarbarrow.placement import health as healths
from fulmarbarrow.placement import messages
from fulmarbarrow.placement import part_holders

MAX_ATTEMPTS = 4096  # attempts whose parts are remembered
MAX_ENGINES = 8192
MAX_MODELS = 256
# No copy is made from an engine with this expected wait or a full queue. One
# that has merely reached a bound still serves copies.
OVERLOADED_WAIT_MS = 1000
OVERLOADED_TIME = datetime.timedelta(seconds=1)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Attempt:
    """What is known of the parts of one attempt's prompt.

    ``model`` is the service and its model, ``homes`` the first two engines in
    rendezvous order, ``recorder`` the engine whose owner granted the attempt.
    """

    prompt: messages.PromptParts
    model: tuple[str, str]
    homes: tuple[str, ...]
    holders: list[str] = dataclasses.field(default_factory=list)
    recorder: str = ""
    target: str = ""
    source: str = ""


class PartSources:
    """Chooses sources of copies, and reports placements to the directory."""

    def __init__(
        self,
        *,
        directory: directories.Directory,
        engines: part_holders.EngineIndex,
        health: healths.Health,
        guesses: cache_sources.CacheSources,
        metrics: metrics_module.Metrics,
        enabled: bool,
    ) -> None:
        self._directory = directory
        self._engines = engines
        self._health = health
        self._guesses = guesses
        self._metrics = metrics
        self._enabled = enabled
        self._attempts: collections.OrderedDict[str, _Attempt] = (
            collections.OrderedDict()
        )
        self._overloaded_until: collections.OrderedDict[
            str, datetime.datetime
        ] = collections.OrderedDict()
        # Models whose engines count copied tokens as reused. Only for these
        # does a response without reused tokens show that a copy failed.
        self._reporting: set[tuple[str, str]] = set()
        self._reports: list[message.Message] = []

    def prompt(
        self, request: messages.PlaceRequest, candidates: list[str]
    ) -> messages.PromptParts | None:
        """Return the long parts of a request, None without any.

        The last part is left out while it is unique to the request, see
        ``prefixes``.
        """
        if not self._enabled or not request.model or not request.parts:
            return None
        version = self._directory.served_version(candidates[0], request)
        pool = (request.service, request.model, version)
        parts = request.parts
        if len(parts) > 1 and request.chat != parts[-1][0]:
            parts = parts[:-1]
        long_parts = tuple(
            part_holders.part_hash(pool, part)
            for part, tokens in parts
            if tokens >= part_holders.MIN_TOKENS
        )[-part_holders.MAX_KEYS :]
        if not long_parts:
            return None
        prompt = messages.PromptParts(key=request.chat, parts=long_parts)
        self._attempts[request.attempt_id] = _Attempt(
            prompt=prompt,
            model=(request.service, request.model),
            homes=tuple(candidates[:2]),
        )
        if len(self._attempts) > MAX_ATTEMPTS:
            self._attempts.popitem(last=False)
        return prompt

    def learn(
        self,
        reply: messages.Reserved | messages.ReserveRefused,
        now: datetime.datetime,
    ) -> None:
        """Learn holders and overload from an owner's reply."""
        if not self._enabled:
            return
        if isinstance(reply, messages.ReserveRefused) and (
            reply.code == "queue_full" or reply.wait_ms >= OVERLOADED_WAIT_MS
        ):
            self._overloaded_until[reply.upstream_id] = now + OVERLOADED_TIME
            self._overloaded_until.move_to_end(reply.upstream_id)
            if len(self._overloaded_until) > MAX_ENGINES:
                self._overloaded_until.popitem(last=False)
        attempt = self._attempts.get(reply.attempt_id)
        if attempt is None:
            return
        if isinstance(reply, messages.Reserved):
            attempt.recorder = reply.upstream_id
        if not reply.holders:
            return
        named = [
            self._engines.get(engine)
            for engine in reply.holders[: part_holders.MAX_REPLY_HOLDERS]
        ]
        attempt.holders = [
            upstream_id
            for upstream_id in named
            if upstream_id in self._directory.upstreams
        ]

    def holders(self, request: messages.PlaceRequest) -> list[str]:
        """Return the engines that hold the parts, [] if none is known."""
        attempt = self._attempts.get(request.attempt_id)
        return attempt.holders if attempt is not None else []

    def prefer_holders(
        self,
        request: messages.PlaceRequest,
        candidates: list[str],
        position: int,
        now: datetime.datetime,
    ) -> list[str]:
        """Move holders to the front of the candidates not asked yet."""
        asked = candidates[: position + 1]
        healthy = self._health.healthy(
            [*candidates, *self.holders(request)], now, once=request.once
        )
        holders = [
            upstream_id
            for upstream_id in self.holders(request)
            if upstream_id not in asked
            and upstream_id not in request.excluded
            and upstream_id in healthy
            and self._directory.serves(upstream_id, request)
            and self._same_version(upstream_id, candidates[0], request)
        ]
        rest = [
            item for item in candidates[position + 1 :] if item not in holders
        ]
        return [*asked, *holders, *rest]

    def select(
        self,
        request: messages.PlaceRequest,
        upstream: membership_messages.Upstream,
        now: datetime.datetime,
    ) -> str:
        """Return the URL of the engine to copy from, "" for none.

        Without an entry in the directory the source is guessed.
        """
        if not self._enabled:
            return ""
        attempt = self._attempts.get(request.attempt_id)
        if attempt is None:
            return self._guesses.find(request, upstream, now)
        attempt.target = upstream.upstream_id
        self._report_placed(attempt, upstream)
        if not attempt.holders:
            self._metrics.count("part_sources", kind="guess")
            return self._guesses.find(request, upstream, now)
        source = self._source(attempt, request, upstream, now)
        held = upstream.upstream_id in attempt.holders
        kind = "held" if held else "copy" if source else "none"
        self._metrics.count("part_sources", kind=kind)
        if source is None:
            return ""
        attempt.source = source.upstream_id
        return source.url

    def end(self, event: messages.WorkEnded) -> None:
        """Report engines that turned out not to hold the parts."""
        attempt = self._attempts.pop(event.attempt_id, None)
        if attempt is None or attempt.target != event.upstream_id:
            return
        completed = event.outcome is messages.WorkOutcome.COMPLETED
        if completed and attempt.source:
            if event.reused_tokens and len(self._reporting) < MAX_MODELS:
                self._reporting.add(attempt.model)
            elif event.reused_tokens == 0 and attempt.model in self._reporting:
                self._metrics.count("part_copies_failed")
                self._report(attempt, attempt.source, holds=False)
        prefilled = completed or event.first_token is not None
        if not prefilled and attempt.target not in attempt.holders:
            self._report(attempt, attempt.target, holds=False)

    def take_reports(self) -> list[message.Message]:
        """Return and clear the reports to owners."""
        if not self._reports:
            return self._reports
        reports, self._reports = self._reports, []
        return reports

    def _source(
        self,
        attempt: _Attempt,
        request: messages.PlaceRequest,
        upstream: membership_messages.Upstream,
        now: datetime.datetime,
    ) -> membership_messages.Upstream | None:
        """Return the best usable holder, one of the same zone first."""
        if upstream.upstream_id in attempt.holders:
            return None
        healthy = self._health.healthy(
            [upstream.upstream_id, *attempt.holders], now, once=False
        )
        sources = [
            self._directory.upstreams[upstream_id]
            for upstream_id in attempt.holders
            if upstream_id in healthy
            and self._is_source(upstream_id, request, upstream, now)
        ]
        sources.sort(key=lambda source: source.zone != upstream.zone)
        return sources[0] if sources else None

    def _is_source(
        self,
        upstream_id: str,
        request: messages.PlaceRequest,
        target: membership_messages.Upstream,
        now: datetime.datetime,
    ) -> bool:
        source = self._directory.upstreams.get(upstream_id)
        if source is None or self._directory.zone_weight(source.zone) <= 0:
            return False
        overloaded_until = self._overloaded_until.get(upstream_id)
        if overloaded_until is not None and overloaded_until > now:
            return False
        return self._offers_model(source, request) and self._same_version(
            upstream_id, target.upstream_id, request
        )

    def _same_version(
        self, upstream_id: str, other_id: str, request: messages.PlaceRequest
    ) -> bool:
        served = self._directory.served_version
        known = self._directory.upstreams
        return (
            upstream_id in known
            and other_id in known
            and served(upstream_id, request) == served(other_id, request)
        )

    @staticmethod
    def _offers_model(
        source: membership_messages.Upstream, request: messages.PlaceRequest
    ) -> bool:
        return any(
            (offer.service, offer.model) == (request.service, request.model)
            for offer in source.offers
        )

    def _report_placed(
        self, attempt: _Attempt, upstream: membership_messages.Upstream
    ) -> None:
        """Report a placement that no directory owner has granted."""
        entry_owner = self._entry_owner(attempt)
        if (
            entry_owner is None
            or attempt.recorder == upstream.upstream_id == (attempt.homes[0])
        ):
            return
        self._report(attempt, upstream.upstream_id, holds=True)

    def _entry_owner(self, attempt: _Attempt) -> tuple[str, str] | None:
        """Return the home, or else the backup, and its owner's address."""
        for upstream_id in attempt.homes:
            owner = self._directory.owners.get(upstream_id)
            if owner is not None and owner.address:
                return upstream_id, owner.address
        return None

    def _report(
        self, attempt: _Attempt, upstream_id: str, *, holds: bool
    ) -> None:
        entry_owner = self._entry_owner(attempt)
        upstream = self._directory.upstreams.get(upstream_id)
        if entry_owner is None or upstream is None:
            return
        home, address = entry_owner
        self._reports.append(
            message.Send(
                address=address,
                message=messages.PartsPlaced(
                    upstream_id=home,
                    service=attempt.model[0],
                    prompt=attempt.prompt,
                    holder=part_holders.engine_hash(upstream_id),
                    incarnation=upstream.incarnation,
                    holds=holds,
                ),
            )
        )
