#!/bin/sh
# Runs one case: run-case.sh FOLDER CLASS. The programs and the stand-ins have to be built.
review="$(cd "$(dirname "$0")" && pwd)"
folder="$(cd "$1" && pwd)"
[ -d "$review/target" ] || exit 2
exec java -Xmx512m -Droot="$review/.." -cp "$review/target" "$2" "$folder"
