"""``fulmarbarrow key``: generates a bearer key for a client account."""

from __future__ import annotations

import re
import secrets

from fulmarbarrow.edge import directory
from fulmarbarrow import exceptions

KEY_BYTES = 32
SALT_BYTES = 8

_ACCOUNT_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]*")


def key(name: str) -> str:
    """Print an account entry for accounts.toml and its new bearer key.

    The file contains only a salted digest, so the key can't be shown again.

    Args:
        name: the client account's name
    """
    if not isinstance(name, str) or not _ACCOUNT_NAME.fullmatch(name):
        raise exceptions.ConfigurationError(
            f"account name {name!r} must start with a letter or a digit and "
            "contain only letters, digits, '.', '_' and '-'"
        )
    secret = secrets.token_urlsafe(KEY_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    digest = directory.key_digest(secret, salt)
    return (
        f"# Give this key to the account; it can't be shown again:\n"
        f"# {secret}\n"
        f"[[account]]\n"
        f'name = "{name}"\n'
        f'key_salt = "{salt}"\n'
        f'key_digest = "{digest}"\n'
    )
