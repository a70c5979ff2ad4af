#!/usr/bin/env bash
cd "$(dirname "$0")" || exit 2
PYTHONPATH=../common exec python3 case.py
