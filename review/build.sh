#!/bin/sh
# Compiles the stand-ins and the cases; run `deploy/build` first.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review
