#!/usr/bin/env bash
# Prepares the stand-ins of the third review: Python, which needs no build.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import pathlib
for file in sorted(pathlib.Path("review").glob("kit-3/*.py")) + sorted(
        p for n in range(11, 16) for p in pathlib.Path(f"review/{n}").glob("*.py")):
    compile(file.read_text(), str(file), "exec")
CHECK
for program in psp-gateway psp-coordinator psp-history; do
  test -x "target/src/$program" || { echo "target/src/$program is missing: build the deploy file first" >&2; exit 1; }
done
