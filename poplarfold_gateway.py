"""Runs the router on the platform from a source checkout."""

import os
import signal
import sys
from pathlib import Path

# The default signal actions would end the process during the imports, which take a
# while. Before the process listens, SIGHUP has nothing to reload and SIGTERM no
# call to wait for.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, lambda number, frame: os._exit(0))

sys.path.insert(0, str(Path(__file__).resolve().parent / "src"))

from poplarfold._internal.gateway.main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
