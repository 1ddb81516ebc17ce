#!/bin/bash
# Builds the stand-ins of the cases 4 to 8. It needs no network: they use the standard library only.
set -eu
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-2/review2 .
