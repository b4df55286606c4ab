"""Deltas between successive revisions of the configuration."""

from __future__ import annotations

import collections.abc
import dataclasses
import hashlib
import typing

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.publishing import messages
from fulmarbarrow.publishing import packing

DIGEST_BYTES = 16

Key = tuple[str, str]


def digest(data: bytes) -> str:
    """Return the digest that identifies an encoded bundle."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


class Content:
    """The items of a bundle, keyed by section and name.

    Their order in a bundle is not significant; they are encoded sorted by
    name.
    """

    def __init__(self, *, bundle: bundles.Bundle) -> None:
        self._items: dict[Key, typing.Any] = dict(_items(bundle))

    def bundle(self) -> bundles.Bundle:
        """Return the items as a bundle."""
        sections: dict[str, list[typing.Any]] = {}
        for section, name in sorted(self._items):
            item = self._items[section, name]
            sections.setdefault(section, []).append(item)
        return bundles.Bundle(
            **{section: tuple(items) for section, items in sections.items()}
        )

    def encode(self) -> bytes:
        """Return the canonical encoding, from which the digest is computed."""
        return bundles.encode(self.bundle())

    def delta_to(
        self, bundle: bundles.Bundle, *, base: int, publisher: str
    ) -> messages.Delta:
        """Return the delta that turns these items into those of ``bundle``."""
        target = dict(_items(bundle))
        changed = {
            key: item
            for key, item in target.items()
            if self._items.get(key) != item
        }
        changes = Content(bundle=bundles.Bundle())
        changes._items = changed
        return messages.Delta(
            base=base,
            digest=digest(Content(bundle=bundle).encode()),
            publisher=publisher,
            changed=packing.pack(changes.encode()),
            removed=tuple(
                label(key) for key in sorted(self._items) if key not in target
            ),
        )

    def apply(self, delta: messages.Delta) -> None:
        """Apply a delta to the items."""
        for section, name in map(parse_label, delta.removed):
            self._items.pop((section, name), None)
        self._items.update(_changed_items(delta))


def changed_labels(delta: messages.Delta) -> set[str]:
    """Return the labels of the items that a delta changes or removes."""
    return {label(key) for key, _ in _changed_items(delta)} | set(
        delta.removed
    )


def label(key: Key) -> str:
    """Return the label that operators see for an item."""
    return f"{key[0]} {key[1]}"


def parse_label(text: str) -> Key:
    """Return the section and name that a label stands for."""
    section, _, name = text.partition(" ")
    return section, name


def _changed_items(
    delta: messages.Delta,
) -> collections.abc.Iterator[tuple[Key, typing.Any]]:
    return _items(bundles.decode(packing.unpack(delta.changed)))


def _items(
    bundle: bundles.Bundle,
) -> collections.abc.Iterator[tuple[Key, typing.Any]]:
    for field in dataclasses.fields(bundle):
        for item in getattr(bundle, field.name):
            name = item.id if hasattr(item, "id") else item.name
            yield (field.name, name), item
