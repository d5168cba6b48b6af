#!/bin/sh
# Checks the stand-ins that the scripts start. They are Python programs without dependencies; nothing else is built.
set -e
cd "$(dirname "$0")"
for program in lib/*.py [123]/case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$program"
done
