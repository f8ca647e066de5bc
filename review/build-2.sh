#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, from the libraries that the build of
# the deploy file leaves in target/ and the project's own stand-ins. Run it after that build.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out/objects"
flags="-std=c++20 -O1 -Wall -Wextra -Wno-maybe-uninitialized -Isrc -I."
flags="$flags $(pkg-config --cflags libzmq libuv yaml-cpp liblog4cxx libxxhash)"
libraries=""
for name in platform direct fleet relay admission placement records distribution membership tables \
  crashes runtime wire base; do
  libraries="$libraries target/libsavory_$name.a"
done
system="$(pkg-config --libs libzmq libuv yaml-cpp liblog4cxx libxxhash)"
system="$system -lprotobuf -ltbb -lboost_program_options -lcrypto -lpthread"
compile() {  # SOURCE
  echo "$out/objects/$(basename "$1" .cc).o"
  g++ $flags -c "$1" -o "$out/objects/$(basename "$1" .cc).o"
}
common=$(for source in review/common-2/harness.cc platform/testing/*.cc; do compile "$source" & done; wait)
for source in review/common-2/*_case.cc; do
  name=$(basename "$source" .cc)
  object=$(compile "$source")
  g++ "$object" $common -Wl,--start-group $libraries -Wl,--end-group $system -o "$out/$name"
  echo "built $out/$name"
done
