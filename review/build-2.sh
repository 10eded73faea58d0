#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, in
# build/review-2.  To be run in the project's folder, after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for case in review/stand-2/*.c; do
  name=$(basename "$case" .c)
  [ "$name" = stand ] && continue
  gcc -std=gnu17 -O2 -Wall -Wextra -Werror -D_GNU_SOURCE -pthread \
    $(pkg-config --cflags jansson) -o "build/review-2/$name" "$case" \
    review/stand-2/stand.c $(pkg-config --libs jansson)
done
