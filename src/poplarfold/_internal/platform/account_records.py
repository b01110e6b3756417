"""Decodes the client accounts of the platform's configuration.

No error quotes a value, since a misplaced value may be an API key, and errors are
logged.
"""

from typing import Any

from poplarfold._internal.core.fleet.accounts import (
    AccountLimit,
    AccountTable,
    ClientAccount,
    UsageUnit,
)
from poplarfold._internal.platform.api_keys import config_key_digest
from poplarfold._internal.utils.checks import (
    check_integer,
    check_number,
    check_sendable,
    check_text,
)

__all__ = ["decode_accounts", "decode_priority"]


def decode_accounts(rows: object) -> AccountTable | None:
    """Decode the list of accounts; without one the deployment has no accounts.

    An empty list is one: no key is valid then. Raises TypeError, KeyError or
    ValueError if any entry is malformed, or if two accounts have the same name. A key
    of two accounts belongs to the later one.
    """
    if rows is None:
        return None
    if not isinstance(rows, list):
        raise TypeError("tenants is not a list")
    table = AccountTable(decode_account(row) for row in rows)
    if len(table.accounts) != len(rows):
        raise ValueError("two tenants have the same name")
    return table


def decode_account(row: dict[str, Any]) -> tuple[ClientAccount, list[bytes]]:
    """Decode one account with the digests of its keys."""
    # Endpoints get the name in a header.
    name = check_sendable(row["name"], "name of a tenant")
    keys = row["api_keys"]
    if not isinstance(keys, list):
        raise TypeError("api_keys is not a list")
    digests = [config_key_digest(check_text(key, "API key")) for key in keys]
    account = ClientAccount(name, decode_priority(row), decode_limit(row))
    return account, digests


def decode_limit(row: dict[str, Any]) -> AccountLimit | None:
    """Decode the usage limit of an account; 0 or no number means no limit."""
    fields = ("rate_per_s", "burst", "plain_tokens")
    rate, burst, plain = (check_number(row.get(key, 0), key) for key in fields)
    if rate == 0 or burst == 0:
        return None
    is_tokens = row.get("unit") == UsageUnit.TOKENS.value
    unit = UsageUnit.TOKENS if is_tokens else UsageUnit.REQUESTS
    return AccountLimit(unit, rate, burst, plain)


def decode_priority(row: dict[str, Any]) -> int | None:
    """Decode the priority of an account or a route, or None if it has none."""
    value = row.get("priority")
    return None if value is None else check_integer(value, "priority")
