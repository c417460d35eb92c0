#!/bin/bash
# Builds the stand-ins of the review's scripts into target/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/2/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../../target/review-standin .
