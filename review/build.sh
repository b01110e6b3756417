#!/bin/sh
# The stand-ins are Python with the standard library only, so there is nothing to build.
# Checks that each file of the scripts compiles, without writing anything.
cd "$(dirname "$0")/.." || exit 2
exec python3 - <<'END'
from pathlib import Path

paths = sorted(Path("review").rglob("*.py"))
paths += [Path("tests/lib/platform_standin.py"), Path("tests/lib/ports.py")]
for path in paths:
    compile(path.read_text(), str(path), "exec")
print(f"{len(paths)} files compile")
END
