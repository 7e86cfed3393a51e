#!/bin/sh
# Builds what the scripts of the third review start. The stand-ins are Python modules of the project
# and of the review; they need only the libraries that the build of the deploy file puts into
# target/deps. Exits with another status than 0 if one of them cannot be loaded.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
exec python3 -c '
from gevent import monkey
monkey.patch_all()
from bronzemux.platform import standin_store, standin_worker
from features import gateway_support, soak_proxy
from review import harness_3
'
