#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="target/deps:."
python3 -S -P -c "import review.harness" || exit 2
exec python3 -S -P -m review.4.case
