#!/usr/bin/env bash
# Checks that the stand-ins compile; they need the standard library of Python only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common
