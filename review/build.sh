#!/bin/sh
# The stand-ins are Python without dependencies: this compiles them, so that a mistake shows here. After the deploy file's build.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review
