#!/bin/sh
# Builds the stand-ins of the second review into target/review-2/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/standins-2/standin.cpp -o target/review-2/standin-2
