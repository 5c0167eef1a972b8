#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption, and has to pass.
export TROUBLE="${TROUBLE:-1}"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))' 2>/dev/null || { echo "needs python3"; exit 2; }
exec python3 -W ignore "${BASH_SOURCE[0]%/*}/case.py"
