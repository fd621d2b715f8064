#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out. Needs target/release/yokefall and python3 (standard library only).
exec python3 "$(dirname "$0")/case.py"
