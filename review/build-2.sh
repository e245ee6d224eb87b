#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 6 into target/review-2/. Needs the build of the deploy file
# and its packages, nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O2 -DASIO_STANDALONE -DASIO_DISABLE_STD_ALIGNED_ALLOC -DSPDLOG_SHARED_LIB
  -DSPDLOG_COMPILED_LIB -DSPDLOG_FMT_EXTERNAL -Isrc -I. -Itests)
libraries=(target/libplatform_adapter.a target/librelay.a target/libstore.a target/libprotocol.a
  target/libnet.a target/libcore.a target/libconfig.a target/libcommon.a -lcurl -lhttp_parser
  -lspdlog -lfmt -lcrypto -lxxhash -lprometheus-cpp-core -lboost_program_options -lpthread)
g++ "${flags[@]}" -c tests/platform/support/store_standin.cpp -o "$out/store_standin.o"
for case in review/[456]/case.cpp; do
  [ -e "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  g++ "${flags[@]}" "$case" "$out/store_standin.o" -o "$out/case-$number" "${libraries[@]}"
done
