#!/usr/bin/env bash
# Builds the stand-ins of the review's cases.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review/ ./review/...
