#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. Needs the compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in foreign_entry blamed_part plain_503; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review/$case" "review/standins/$case.cpp" review/standins/rig.cpp
done
