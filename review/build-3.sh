#!/usr/bin/env bash
# Checks and compiles the stand-ins that the scripts of this review start.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins_3 review/11 review/12 review/13 review/14
