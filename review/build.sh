#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's cases. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for folder in [0-9]*; do
  [ -f "$folder/case.cc" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$folder/case.cc" -o "bin/case$folder"
done
