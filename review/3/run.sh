#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
for program in "$root/target/release/jackdawpier-platform" "$root/review/standin/target/release/review_standin"; do
    if [ ! -x "$program" ]; then
        echo "$program isn't built" >&2
        exit 2
    fi
done
exec "$root/review/standin/target/release/review_standin" advice "$root" "$folder"
