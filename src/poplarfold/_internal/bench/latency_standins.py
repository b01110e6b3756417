"""Runs the stand-ins of the latency bench in a separate process.

    python -m poplarfold._internal.bench.latency_standins platform
    python -m poplarfold._internal.bench.latency_standins decode --count 6

Prints one line of JSON with the addresses and exits when standard input closes.
The service answers within 2 ms, so that the lookup time is mostly the router's.
"""

import argparse
import json
import sys

from poplarfold._internal.bench.local_fleet import GLASSCAIRN
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.standins.engine import EngineStandIn
from poplarfold._internal.standins.engine_model import EngineConfig
from poplarfold._internal.standins.host_list import HostListStandIn
from poplarfold._internal.standins.http_server import ServerLoop
from poplarfold._internal.standins.log import LogStandIn
from poplarfold._internal.standins.service import ServiceStandIn
from poplarfold._internal.standins.service_model import ServiceConfig

SERVICE_MIN_S = 0.001
SERVICE_MAX_S = 0.002
# Step time of the engines, the same for every batch size. The two sides spread
# their streams differently over the engines, and the difference in batch sizes
# must not count as time of the router.
STEP_S = 0.025


def main() -> int:
    """Start stand-ins, print their addresses and run until standard input closes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("group", choices=["platform", "prefill", "decode"])
    parser.add_argument("--count", type=int, default=1)
    options = parser.parse_args()
    loop = ServerLoop()
    identity = GLASSCAIRN.model_entry.identity
    if options.group == "platform":
        service = ServiceConfig(
            "",
            GLASSCAIRN.lookup_entry.identity,
            workers=16,
            service_min_s=SERVICE_MIN_S,
            service_max_s=SERVICE_MAX_S,
        )
        addresses = {
            "service": ServiceStandIn(loop, service).address,
            "log": LogStandIn(loop).address,
            "host_list": HostListStandIn(loop, lag_s=0.0).address,
        }
        print(json.dumps(addresses), flush=True)
    else:
        config = EngineConfig(
            "",
            identity,
            EndpointRole(options.group),
            step_base_s=STEP_S,
            step_per_request_s=0.0,
        )
        engines = [EngineStandIn(loop, config) for _ in range(options.count)]
        print(json.dumps([engine.address for engine in engines]), flush=True)
    sys.stdin.read()
    loop.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
