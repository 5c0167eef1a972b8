#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
python3 -c 'import sys; sys.path.insert(0, "../support-2"); import small_fleet' || exit 2
exec python3 -W ignore case.py
