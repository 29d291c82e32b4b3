#!/bin/sh
# Plays the case; needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/standins late review/5/record.txt
