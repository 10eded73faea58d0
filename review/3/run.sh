#!/bin/sh
# Runs the case and writes record.txt here; TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(dirname "$0")
exec "$folder/../run-case.sh" "$folder"
