#!/bin/sh
# Checks that the stand-ins of the review and of the project can be loaded. They are Python, so that
# nothing has to be compiled; the libraries are those that the build of the deploy file provides.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. python3 -c 'import review.harness'
