#!/bin/sh
# Runs one case: run-case-3.sh FOLDER CLASS
cd "$(dirname "$0")/.." || exit 2
[ -f "target/review-3/$2.class" ] || exit 2
exec java -Xmx512m -XX:+UseSerialGC -cp target/review-3 "$2" "review/$1/record.txt"
