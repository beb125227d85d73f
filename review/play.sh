#!/bin/bash
# play.sh N CASE: plays a case of the stand-ins for review/N/run.sh, and ends what it has started.
cd "$(dirname "$0")/.." || exit 2
folder=review/$1
if [ ! -x target/release/notch-node ] || [ ! -x target/review/standin ]; then
    echo "run the build of deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
timeout -k 2 110 target/review/standin "$2" "$folder/record.txt"
code=$?
# Only if the stand-in itself was ended are processes left.
for process in $(sed -n 's/.* started as process \([0-9]*\)$/\1/p' "$folder/record.txt"); do
    if grep -q notch-node "/proc/$process/cmdline" 2>/dev/null; then
        kill -9 "$process"
    fi
done
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
