#!/bin/sh
# Builds the stand-ins of the third review. Run it after the build of the deploy file; it needs no network.
set -eu
cd "$(dirname "$0")/.."
go build -tags review3 -o target/rig-3 ./review/rig-3
