#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ start. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-rig ./review/rig
