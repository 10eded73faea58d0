#!/bin/sh
# Builds the stand-ins of the cases: review/bin/caseN.  Needs what the deploy
# file's build needs, and no more.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for scenario in review/*/scenario.c; do
  [ -f "$scenario" ] || continue
  number=$(basename "$(dirname "$scenario")")
  gcc -std=gnu17 -O1 -g -Wall -Wextra -D_GNU_SOURCE -Ireview/stand \
    "$scenario" review/stand/*.c -o "review/bin/case$number" \
    $(pkg-config --cflags --libs jansson) -lpthread
done
