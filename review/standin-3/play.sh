#!/bin/sh
# play.sh CASE FOLDER: plays a case of the stand-in and ends what is left of its processes.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
REPOSITORY=$(cd "$here/../.." && pwd)
export REPOSITORY
standin=$here/target/release/review-standin-3
if [ ! -x "$standin" ] || [ ! -x "$REPOSITORY/target/release/jackdawpier-platform" ]; then
    echo "the build of deploy/system.toml or review/build-3.sh is missing" >&2
    exit 2
fi
logs=$(mktemp -d) || exit 2
finish() {
    [ -n "$player" ] && kill "$player" 2>/dev/null
    for process in $(cat "$logs/processes" 2>/dev/null); do
        # Only the daemons that this play has started.
        if grep -qsF "$logs" "/proc/$process/environ"; then
            kill -9 "$process" 2>/dev/null
        fi
    done
    rm -rf "$logs"
}
trap 'exit 2' INT TERM HUP
trap finish EXIT
"$standin" "$1" "$2" "$logs" &
player=$!
wait "$player"
status=$?
player=
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
