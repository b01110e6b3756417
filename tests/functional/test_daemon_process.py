"""A daemon in its own process, and the signals that stop it."""

import http.client
import json
import signal
import subprocess
import sys

import pytest
from tests.lib.http_calls import CREDENTIAL, completion
from tests.lib.ports import free_port
from tests.lib.waits import wait_until

from poplarfold._internal.bench.latency import SETTINGS, publish_entries
from poplarfold._internal.bench.local_fleet import (
    ACCOUNT_TOKEN,
    GLASSCAIRN,
    HOST,
    OPERATOR_TOKEN,
    LocalFleet,
    token_digest,
)


def ready_status(port):
    """Return the status of a readiness check of a daemon."""
    connection = http.client.HTTPConnection(HOST, port, timeout=5)
    connection.request("GET", "/readyz")
    status = connection.getresponse().status
    connection.close()
    return status


@pytest.mark.parametrize("signals", [1, 2])
def test_first_sigterm_finishes_streams_and_second_one_does_not(tmp_path, signals):
    """Guards against a planned stop that aborts streams or ignores a second SIGTERM."""
    callers, operators = free_port(), free_port()
    with LocalFleet(GLASSCAIRN) as fleet:
        settings = tmp_path / "settings.toml"
        settings.write_text(
            SETTINGS.format(
                domain="galway-a",
                host=HOST,
                callers=callers,
                operators=operators,
                peers=free_port(),
                log=fleet.log.address,
                host_list=fleet.host_list.address,
                account=GLASSCAIRN.account,
                account_digest=token_digest(ACCOUNT_TOKEN),
                operator_digest=token_digest(OPERATOR_TOKEN),
                log_path=tmp_path / "daemon.log",
            )
        )
        module = "poplarfold._internal.daemon.main"
        command = [sys.executable, "-m", module, "--settings", str(settings)]
        process = subprocess.Popen(command)
        try:
            publish_entries(f"{HOST}:{callers}", f"{HOST}:{operators}")
            connection = http.client.HTTPConnection(HOST, callers, timeout=20)
            body = json.dumps(completion("to the end", 150, stream=True))
            connection.request("POST", "/v1/completions", body, CREDENTIAL)
            response = connection.getresponse()
            assert response.read(10)
            process.send_signal(signal.SIGTERM)
            if signals == 1:
                assert response.read().endswith(b"data: [DONE]\n\n")
                assert process.wait(10) == 0
            else:
                # A second signal that comes before the first is noticed is lost.
                wait_until(lambda: ready_status(callers) == 503)
                with pytest.raises(subprocess.TimeoutExpired):
                    process.wait(0.3)
                process.send_signal(signal.SIGTERM)
                assert process.wait(1) == 1
        finally:
            process.kill()
            process.wait()
