"""Starts the router on the prepared platform from a checkout."""

import os
import signal
import sys
from pathlib import Path

# The imports take a while, in which the default actions would end the process.
# Until it listens, it has nothing to reload and no call to finish.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, lambda number, frame: os._exit(0))

sys.path.insert(0, str(Path(__file__).resolve().parent / "src"))

from poplarfold._internal.gateway.main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
