#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="target/deps:src:.:review" python3 -S "review/5/case.py"
case $? in 0) exit 0 ;; 10) exit 1 ;; *) exit 2 ;; esac
