#!/bin/sh
# The stand-ins of the cases are Python files of this folder; they need the
# standard library only.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q common [1-5]
