#!/usr/bin/env bash
# Checks every case of cases.txt with Spin and prints its states and verdict.
# Fails when a specification fails or a variant with a removed guard passes.
set -euo pipefail
cd "$(dirname "$0")"
cases=$PWD/${1:-cases.txt}
models=$PWD
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
# Depth of the search in steps, and memory in MB; a search that reaches either
# limit is not exhaustive and counts as failed.
depth=200000
memory=12000

check() {
    local file=$1 macro=$2 expected=$3 define=() output verdict states violated
    [ "$macro" = - ] || define=($(sed "s/^/-D/; s/,/ -D/g" <<< "$macro"))
    rm -rf "$work/run" && mkdir "$work/run" && cd "$work/run"
    spin "${define[@]}" -a "$models/$file" > spin.log || { cat spin.log; return 1; }
    gcc -O2 -w -DSAFETY -DMEMLIM=$memory -o pan pan.c
    output=$(./pan -m$depth 2>&1 || true)
    states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' <<< "$output")
    if grep -q 'errors: 0' <<< "$output" && ! grep -qE 'max search depth too small|out of memory|Search not completed' <<< "$output"; then
        verdict=pass
    elif grep -q 'assertion violated' <<< "$output"; then
        verdict=fail
    else
        verdict=incomplete
    fi
    violated=$(sed -n 's/.*assertion violated \(.*\) (at depth.*/ violates \1/p' <<< "$output")
    printf '%-15s %-45s %-10s expected %-5s %s states%s\n' "$file" "$macro" "$verdict" "$expected" "${states:-?}" "$violated"
    if [ "$verdict" != "$expected" ]; then
        echo "$output" | head -30
        return 1
    fi
}

status=0
while read -r file macro expected; do
    case $file in ''|\#*) continue ;; esac
    check "$file" "$macro" "$expected" || status=1
done < "$cases"
exit $status
