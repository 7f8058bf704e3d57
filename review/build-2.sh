#!/bin/sh
# Compiles the stand-ins and drivers of the scripted cases; run after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
mkdir -p target/review-2
exec javac -nowarn -encoding UTF-8 -d target/review-2 review/lab2/*.java
