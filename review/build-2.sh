#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start.
set -eu
cd "$(dirname "$0")/standin-2"
exec go build -o ../../target/review-2/standin2 .
