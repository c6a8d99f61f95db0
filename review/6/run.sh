#!/bin/sh
# Two keepers of one quota, after a host has started with stale seeds.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review" exec python3 review/6/case.py
