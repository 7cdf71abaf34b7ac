#!/usr/bin/env bash
# The stand-ins of the scripts are Python files that need only the standard library: there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 8), "Python 3.8 or later"'
python3 -m py_compile harness.py */case.py
rm -rf __pycache__ */__pycache__
