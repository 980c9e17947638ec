#!/bin/bash
# A balancer is frozen while callers open flows, and the agents are restarted before it wakes.
# TROUBLE=0: no balancer is frozen. Exit: 1 rule broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in hemlock-balancer hemlock-agent review-2/frozen-balancer; do
	[ -x "target/$program" ] || { echo "target/$program is missing: run the build of deploy/system.toml and review/build-2.sh"; exit 2; }
done
exec target/review-2/frozen-balancer review/4/record.txt
