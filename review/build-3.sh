#!/bin/sh
# Checks that the stand-ins of cases 11 to 15 can be imported after the build of the deploy file.
# They are Python programs that need nothing beside target/deps.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
PYTHONPATH="$here/../target/deps:$here/lab3" PYTHONDONTWRITEBYTECODE=1 python3 -c "import deployment"
