#!/bin/sh
# Builds the tests of review/6 to review/10, their stand-ins included, into build/review-2. The project's own
# programs and stand-ins are sub-commands of build/robinhoist, which the build of the deploy file makes.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/6/test.cpp review/7/test.cpp review/8/test.cpp review/9/test.cpp review/10/test.cpp; do
  [ -e "$source" ] || continue
  case=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review-2/$case" "$source"
done
