#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: they are Python, so this only
# checks that they can be compiled and that the deploy file's programs are
# there. Needs python3 (3.11 or later) and no package.
set -euo pipefail
cd "$(dirname "$0")/.."
Scratch=$(mktemp -d)
trap 'rm -rf "$Scratch"' EXIT
for File in review/support-2/small_fleet.py review/{6,7,8,9,10}/case.py; do
  [ -f "$File" ] || continue
  python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], sys.argv[2], doraise=True)' \
    "$File" "$Scratch/$(echo "$File" | tr / _)c"
done
python3 -c 'import tomllib'
for Program in psp-gateway psp-coordinator psp-history; do
  [ -x "target/src/$Program" ] || { echo "target/src/$Program is not built: run the build of the deploy file first"; exit 1; }
done
echo "review/build-2.sh: all stand-ins compile"
