#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. Run after the build of the
# deploy file, from any folder.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/stand2
