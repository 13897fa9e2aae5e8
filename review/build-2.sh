#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/review-cases ./review/_cases
