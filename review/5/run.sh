#!/bin/bash
# Callers whose flows a crashed server lost return to the same ports; balancers restart in turn.
# TROUBLE=0: no server crashes. Exit: 1 rule broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in hemlock-balancer hemlock-agent review-2/reused-port; do
	[ -x "target/$program" ] || { echo "target/$program is missing: run the build of deploy/system.toml and review/build-2.sh"; exit 2; }
done
exec target/review-2/reused-port review/5/record.txt
