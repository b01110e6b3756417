"""Tests of API keys: the decision about a call's account, and the decoders."""

import json

import pytest
from hypothesis import given, strategies as st
from tests.lib.platform_standin import configuration, route, tenant

from poplarfold._internal.core.fleet.account_admission import (
    RevocationPolicy,
    admit_account,
)
from poplarfold._internal.core.fleet.accounts import (
    AccountLimit,
    UsageUnit,
    compare_accounts,
)
from poplarfold._internal.exceptions import PlatformFormatError
from poplarfold._internal.platform import (
    CallTarget,
    decode_call,
    decode_routes,
    endpoint_headers,
)
from poplarfold._internal.platform.boot import Bounds, decode_bounds

KEY = "banfqasnmgkcuyj8pjbv"
STRICT = RevocationPolicy(is_strict=True, revoke_s=5.0)


def decode(*tenants, **changes):
    rows = [route("a", "/a/", "idempotent", "x", **changes)]
    return decode_routes(configuration(routes=rows, tenants=list(tenants)))


def decide(table, key, age_s=0.0, policy=STRICT, spread=0.0):
    """Return the decision about a call with a key in its header."""
    call = decode_call("GET", "/a/", {"Poplarfold-Key": key} if key else {})
    found = admit_account(
        table.accounts, table.routes[0], call.key_digest, age_s, policy, spread
    )
    return found.unwrap_err() if found.is_err() else found.unwrap()


@given(
    removed_at=st.floats(0, 100),
    read_at=st.floats(0, 100),
    sent_at=st.floats(0, 200),
    delay_s=st.floats(0, 20),
)
def test_revoked_key_is_refused_in_time(removed_at, read_at, sent_at, delay_s):
    """Guards against a call by a revoked key on a host that is cut off or was paused,
    and against 401 for a key that a newer configuration may have added."""
    table = decode(tenant("a", KEY) if read_at < removed_at else tenant("a"))
    age_s = max(0.0, sent_at + delay_s - read_at)
    found = decide(table, KEY, age_s)
    if sent_at > removed_at + STRICT.revoke_s:
        assert getattr(found, "account", None) is None
    if age_s >= 0.8 * STRICT.revoke_s:
        assert found.status == 503 and 0.1 < found.remaining_s < 1.0
    elif read_at >= removed_at:
        assert (found.code, found.status) == ("unknown_key", 401)


def test_only_strict_revocation_stops_known_keys():
    """Guards against an outage of the store that stops a deployment without need."""
    table = decode(tenant("a", KEY))
    lax = STRICT._replace(is_strict=False)
    assert decide(table, KEY, 1000.0, lax).account.name == "a"
    assert decide(table, "other", 1000.0, lax).status == 503
    assert decide(table, None, 1.0).status == 401
    early, late = (decide(table, KEY, 9.0, spread=spread) for spread in (0.0, 1.0))
    assert late.remaining_s > early.remaining_s > 0


def test_public_routes_and_deployments_without_accounts_need_no_key():
    """Guards against calls that were served before and are now rejected."""
    public = decode(tenant("a", KEY), public=True)
    assert decide(public, "other", 1000.0) == (None, 1)
    assert decide(decode_routes(configuration()), None, 1000.0) == (None, None)
    assert decide(decode_routes(configuration(tenants=None)), None) == (None, None)
    assert decide(decode(), KEY).status == 401


@pytest.mark.parametrize(
    ("own", "of_route", "expected"),
    [(0, 3, 0), (None, 3, 3), (None, None, 5), (12, 3, 9)],
)
def test_priority_of_the_account_goes_before_that_of_the_route(own, of_route, expected):
    """Guards against a priority that is lost, or that no engine understands."""
    table = decode(tenant("a", KEY, priority=own), priority=of_route)
    assert decide(table, KEY).priority == expected


def test_accounts_of_a_configuration():
    """Guards against limits that are decoded with a wrong meaning or lost keys."""
    before = decode(tenant("a", KEY, "k2"), tenant("b", "é", rate_per_s=0))
    limits = before.accounts.limits()
    assert limits == {"a": AccountLimit(UsageUnit.TOKENS, 171315, 171315, 200)}
    assert (limits["a"].units(5, 2, True), limits["a"].units(5, 2, False)) == (7, 200)
    # The HTTP server decodes the bytes of a header as Latin-1.
    assert decide(before, "é".encode().decode("latin-1")).account.name == "b"
    after = decode(tenant("a", "k2"), tenant("c", "\ud800", unit="requests"))
    assert after.accounts.limits()["c"].units(5, 2, True) == 1
    changes = compare_accounts(before.accounts, after.accounts)
    assert changes == (2, 2, ["c"], ["b"], 1, 2)
    assert compare_accounts(before.accounts, before.accounts) is None
    assert KEY not in repr(vars(before.accounts))


@pytest.mark.parametrize("field", ["name", "api_keys", "priority", "burst"])
@pytest.mark.parametrize(
    "value", [[7], {KEY: KEY}, -1, True, "", "a", KEY + "\r\nX: 1"]
)
def test_malformed_account_spoils_the_configuration(field, value):
    """Guards against an account that misses some of its keys or limits, a name that
    adds a header to calls, and a key in the log."""
    with pytest.raises(PlatformFormatError) as found:
        decode(tenant("a", KEY), {**tenant("b"), field: value})
    assert KEY not in str(found.value)


@given(position=st.integers(0, 200), byte=st.integers(0, 255))
def test_damaged_configuration_shows_no_key(position, byte):
    """Guards against a decoder's error that quotes the bytes of a document."""
    rows = {"tenants": [tenant("a", KEY)], **json.loads(configuration())}
    data = bytearray(json.dumps(rows).encode())
    data[position] = byte
    try:
        decode_routes(bytes(data))
    except PlatformFormatError as error:
        assert KEY not in f"{error} {error!r} {error.__cause__}"


@pytest.mark.parametrize("name", ["Poplarfold-Tenant", "poplarfold_tenant"])
def test_caller_cannot_name_an_account_or_pass_on_a_key(name):
    """Guards against work that is charged to another account, also by an endpoint
    that reads underscores as hyphens."""
    given = {"Poplarfold-Key": KEY, "poplarfold_key": KEY, name: "forged"}
    call = decode_call("GET", "/a/", given)
    assert KEY not in repr(call) and len(call.key_digest) == 32
    assert "forged" not in endpoint_headers(call, CallTarget("i-1", 2.0)).values()
    target = CallTarget("i-1", 2.0, account="a", priority=0)
    headers = endpoint_headers(call, target)
    assert headers["Poplarfold-Tenant"] == "a"
    assert headers["Poplarfold-Request-Priority"] == "0"


@pytest.mark.parametrize(
    ("value", "is_count"),
    [
        ("1460,80", True),
        ("0,0", True),
        ("1460", False),
        ("1,2,3", False),
        ("x,1", False),
    ],
)
def test_only_a_well_formed_token_count_is_one(value, is_count):
    """Guards against a malformed count that makes a call free of charge."""
    call = decode_call("POST", "/", {"Poplarfold-Token-Count": value})
    assert call.has_token_count is is_count


def test_bounds_of_revocation_and_quotas():
    """Guards against bounds in a wrong unit, and a string that counts as true."""
    fields = {"strict_revoke": True, "revoke_ms": 4000, "quota_window_s": 4}
    found = decode_bounds({**fields, "quota_over": 0.2, "quota_slack": 120000})
    assert found[-5:] == (True, 4.0, 4.0, 0.2, 120000.0)
    assert decode_bounds({})[-5:] == Bounds()[-5:] == (False, 5.0, 8.0, 0.1, 0.0)
    with pytest.raises(TypeError):
        decode_bounds({"strict_revoke": "false"})
