#!/bin/bash
# Builds the stand-ins that the cases 4 to 8 start, into target/review-2/. Needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -buildvcs=false -o target/review-2/ ./review/stand-ins-2/frozen-balancer ./review/stand-ins-2/late-heartbeat \
	./review/stand-ins-2/foreign-heartbeat ./review/stand-ins-2/reused-port ./review/stand-ins-2/moved-store
