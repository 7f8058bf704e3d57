#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption.
folder="$(cd "$(dirname "$0")" && pwd)"
exec sh "$folder/../run-case.sh" "$folder" FractionalGrace
