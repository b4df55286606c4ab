#!/bin/sh
# Exit 0: the rule held, 1: it was broken, 2: the case could not run.
# TROUBLE=0 does the same with ids from 1.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
exec python3 "$here/case.py"
