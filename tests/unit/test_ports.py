"""Tests of the ports that tests choose for the processes that they start."""

import random
import subprocess
import sys

from tests.lib import ports


def test_no_port_is_given_twice(monkeypatch):
    """Guards against two listeners of one process with one port: no process listens on
    the first when the second is chosen."""
    draw = random.randrange
    port = ports.free_port()
    ports.RESERVED.pop().close()
    drawn = iter([port, port])
    monkeypatch.setattr(
        random, "randrange", lambda *given: next(drawn, None) or draw(*given)
    )
    first, second = ports.free_port(), ports.free_port()
    assert first == port
    assert second != port


def test_a_port_is_kept_from_other_runs():
    """Guards against another run that takes a port while the process that listens on
    it restarts."""
    port = ports.free_port()
    program = f"""
import random
from tests.lib import ports
draw = random.randrange
drawn = iter([{port}])
random.randrange = lambda *given: next(drawn, None) or draw(*given)
print(ports.free_port())
"""
    found = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert int(found.stdout) != port
