#!/bin/sh
# Builds the stand-ins of the cases 4 to 8 into target/review-2. Run after the build of deploy/service.toml, from anywhere.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 -cp target/honeyjunction.jar review/standins-2/*.java
