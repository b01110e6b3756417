"""Tests how long streams that callers take up wait for a slot, and beside which others.

One host, with engines of one or two software versions and a clock of the test.
"""

import pytest
from tests.lib.relay_nodes import host_settings
from tests.lib.stream_calls import SERVICE, TIMEOUT_S, call_context

from poplarfold._internal.core.fleet.rows import (
    FleetEndpoint,
    RouteTable,
    Service,
)
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.settings import GatewaySettings
from poplarfold._internal.gateway.slot_turn import SlotTurn

TARGET_S = 1.0
NOW = 100.0


@pytest.fixture
def fleet():
    host = host_settings("a", "127.0.0.1:1")
    found = Fleet(host, GatewaySettings(), 1, lambda: NOW)
    found.directory.apply_routes(RouteTable(1, (), {SERVICE: Service(SERVICE, 12)}))
    return found


def announce(fleet, *versions):
    """Announce one decode engine of each version, known for long."""
    for number, version in enumerate(versions):
        row = FleetEndpoint(
            f"i-{version}", 1, SERVICE, f"10.0.0.{number + 1}:80", "lhr-a",
            EndpointRole.DECODE, 12, False, 0.0, software_version=version,
        )  # fmt: skip
        fleet.directory.apply_endpoint(row.endpoint_id, row, 0.0)


def turn_of(fleet, left_s, version=None):
    """Return the turn of a stream whose caller has some time left."""
    return SlotTurn(call_context(fleet, NOW, NOW + left_s, TARGET_S), version)


def test_streams_begin_while_others_wait_to_go_on_at_the_only_version(fleet):
    """Guards against hosts that begin no stream after a power cut, since those that
    are taken up wait for the engines that all streams need."""
    announce(fleet, "v1")
    first = turn_of(fleet, TIMEOUT_S)
    turn_of(fleet, 5.0, "v1")
    begun = fleet.pick_in_turn(first.row)
    assert begun is not None
    assert begun.endpoint_id == "i-v1"


def test_streams_go_on_in_their_turn_at_the_only_version(fleet):
    """Guards against streams that get no slot in a burst, since all new ones go first,
    and against new ones that do not, since those that are taken up do."""
    announce(fleet, "v1")
    rows = [turn_of(fleet, 5.0, "v1").row, turn_of(fleet, TIMEOUT_S).row]
    rows.append(turn_of(fleet, 5.0, "v1").row)
    positions = [fleet.admission_queue.position(row.ticket, NOW) for row in rows]
    assert positions == [0, 1, 2]


def test_streams_begin_elsewhere_while_others_wait_for_their_version(fleet):
    """Guards against streams that cannot go on, as new ones take the slots of the only
    engines that they may use."""
    announce(fleet, "v1", "v2")
    turn_of(fleet, 5.0, "v1")
    begun = [fleet.pick_in_turn(turn_of(fleet, TIMEOUT_S).row) for _ in range(8)]
    assert {row.endpoint_id for row in begun} == {"i-v2"}


@pytest.mark.parametrize(
    ("versions", "share"),
    [
        # All engines are those of the stream.
        (("v1",), GatewaySettings().admission.begun_among_new_share),
        (("v1", "v2"), GatewaySettings().admission.begun_wait_share),
        # Those of the stream may come back.
        (("v2",), GatewaySettings().admission.begun_wait_share),
    ],
)
def test_only_streams_that_are_bound_to_some_engines_wait_longer(
    fleet, versions, share
):
    """Guards against callers who wait for seconds and then get no slot, and against
    streams that are refused more often than new ones."""
    announce(fleet, *versions)
    turn = turn_of(fleet, 5.0, "v1")
    assert turn.left_s() == pytest.approx(share * TARGET_S)
