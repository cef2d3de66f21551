#!/bin/sh
# Builds the stand-ins of cases 7 and 8, after `build` of deploy/balancer.toml. They are of the standard library alone.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/bed2.py review/7 review/8
