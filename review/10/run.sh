#!/usr/bin/env bash
# TROUBLE=0 does the same without the disruption.
PYTHONDONTWRITEBYTECODE=1 exec python3 -W ignore "$(dirname "$0")/case.py"
