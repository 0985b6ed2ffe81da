#!/bin/sh
# Builds the stand-ins of cases 11 to 13, after the build of the deploy file, which puts the
# project's own stand-ins under target/deps. They are Python programs that need nothing else.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/flamingoladder/platform/standins
test -d target/deps/flamingoladder/standins
PYTHONPATH=target/deps python3 -m py_compile review/lab3/*.py review/1[1-5]/*.py
PYTHONPATH=target/deps:review/lab3 python3 -c "import deployment"
