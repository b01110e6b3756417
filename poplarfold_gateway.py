"""Starts the router on the prepared platform from a checkout."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent / "src"))

from poplarfold._internal.gateway.main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
