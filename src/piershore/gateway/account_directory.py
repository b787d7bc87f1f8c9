"""Lookup of client accounts by bearer key, with their effective parameters."""

from __future__ import annotations

from hashlib import sha256
from hmac import compare_digest

from piershore.core.configuration.config_view import ConfigView
from piershore.core.configuration.effective_account import EffectiveAccount
from piershore.core.configuration.objects import AccountTemplate, ObjectKind
from piershore.core.configuration.stored_object import StoredObject

BEARER = "Bearer "


def key_hash(key: str) -> str:
    """Return the hash under which a bearer key is stored."""
    return sha256(key.encode()).hexdigest()


def bearer_key(authorization: str | None) -> str | None:
    """Return the bearer key in an `Authorization` header, or None if there is none."""
    if authorization is None or not authorization.startswith(BEARER):
        return None
    return authorization.removeprefix(BEARER).strip() or None


class AccountDirectory:
    """Index of accounts by the hashes of their keys; follows changes of the view."""

    def __init__(self, view: ConfigView) -> None:
        self._view = view
        self._names_by_hash: dict[str, str] = {}
        self._hashes_by_name: dict[str, tuple[str, ...]] = {}
        view.add_listener(self._apply_change)

    def authenticate(self, key: str) -> EffectiveAccount | None:
        """Return the account that `key` belongs to, or None if the key is unknown."""
        digest = key_hash(key)
        name = self._names_by_hash.get(digest)
        if name is None:
            return None
        matching = next(
            h for h in self._hashes_by_name[name] if compare_digest(h, digest)
        )
        return self.effective(name) if matching else None

    def effective(self, name: str) -> EffectiveAccount | None:
        """Return the account merged with its template, or None if it doesn't exist."""
        account = self._view.get(ObjectKind.ACCOUNT, name)
        if account is None:
            return None
        template = self._view.get(ObjectKind.TEMPLATE, account.template)
        return EffectiveAccount.merge(name, account, template or AccountTemplate())

    def _apply_change(self, change: StoredObject) -> None:
        if change.name.kind is not ObjectKind.ACCOUNT:
            return
        name = change.name.name
        for digest in self._hashes_by_name.pop(name, ()):
            self._names_by_hash.pop(digest, None)
        account = self._view.get(ObjectKind.ACCOUNT, name)
        if account is None:
            return
        self._hashes_by_name[name] = account.key_hashes
        for digest in account.key_hashes:
            self._names_by_hash[digest] = name
