#!/bin/sh
# Builds the stand-ins of the scripted cases. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -buildvcs=false -o target/review/ ./review/drill
