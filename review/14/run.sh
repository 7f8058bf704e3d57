#!/bin/sh
exec sh "$(dirname "$0")/../run-case-3.sh" 14 FrozenAtRelease
