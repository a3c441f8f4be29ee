#!/bin/bash
# Builds the stand-ins of all cases into target/review. Needs the build of deploy/service.toml before (its jar has the JSON library).
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -cp target/honeyjunction.jar -d target/review review/standins/*.java
