#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. What happened stands in record.txt.
exec "$(dirname "$0")/../play.sh" 1 stop
