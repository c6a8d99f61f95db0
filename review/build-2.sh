#!/bin/sh
# Checks that the stand-ins of cases 6 to 10 can be loaded. They are Python and
# use what the build of the deploy file has put into target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review" python3 -c "import deployment"
