#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
exec python3 -W ignore review/5/case.py
