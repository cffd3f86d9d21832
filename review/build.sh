#!/bin/sh
# The stand-ins are Python 3 scripts of the standard library alone; the stand-in database is a sub-command of
# build/robinhoist, which the build of the deploy file makes. This checks both.
cd "$(dirname "$0")/.." || exit 1
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))' || { echo "python3 is older than 3.9"; exit 1; }
python3 -m py_compile review/lib/*.py review/[0-9]/*.py || exit 1
[ -x build/robinhoist ] || { echo "build/robinhoist is missing: run the build of deploy/balancer.toml first"; exit 1; }
