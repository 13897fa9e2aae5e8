#!/bin/sh
# Builds the stand-ins of the third review into target/review-3/. The project's own programs are
# built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3/stand3 ./review/_stand3
