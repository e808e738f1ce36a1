#!/usr/bin/env bash
# Builds the stand-ins of the second review, after the build of the deploy file. They need no other
# packages than that build: they are linked with its library.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
compile() {
  g++ -std=c++20 -O2 -Wall -Wextra -Isrc -Itests -Ireview/lib2 -c "$1" -o "$out/$(basename "$1" .cc).o"
}
pids=()
for source in review/lib2/platform.cc review/lib2/cases.cc tests/fakes/fake_state_service.cc; do
  compile "$source" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
g++ "$out"/platform.o "$out"/cases.o "$out"/fake_state_service.o target/libhallpier_core.a \
  -lev -lconfuse -lspdlog -lfmt -lxxhash -o "$out/cases"
