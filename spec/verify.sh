#!/usr/bin/env bash
# Checks both specifications exhaustively and sees that every mutant is caught.
set -eu
cd "$(dirname "$0")"
command -v spin >/dev/null || { echo "spin is not installed: make setup"; exit 1; }
mkdir -p build
failed=0

# check MODEL [MUTANT]: prints "errors states" of an exhaustive search.
check() {
	local dir="build/$1${2:-}"
	rm -rf "$dir" && mkdir -p "$dir"
	(
		cd "$dir"
		spin ${2:+-D$2} -a "../../$1.pml" >/dev/null
		cc -O2 -w -DSAFETY -o pan pan.c
		./pan -m1000000 -w24 >out 2>&1 || true
		if grep -q 'max search depth too small\|Search not completed' out && [ -z "${2:-}" ]; then
			echo "incomplete 0"
			return
		fi
		awk '/errors:/ {e=$NF} /states, stored/ {s=$1} END {print e, s}' out
	)
}

for model in claims head adopt; do
	read -r errors states < <(check "$model")
	echo "$model: $states states, errors: $errors"
	[ "$errors" = 0 ] || failed=1
	caught=0
	mutants=$(grep -oE 'MUTANT_[A-Z_]+' "$model.pml" | sort -u | grep -v 'MUTANT_$' || true)
	for mutant in $mutants; do
		read -r errors states < <(check "$model" "$mutant")
		if [ "$errors" != 0 ] && [ "$errors" != incomplete ]; then
			caught=$((caught + 1))
			echo "  caught: $mutant"
		else
			echo "  NOT CAUGHT: $mutant ($errors)"
			failed=1
		fi
	done
	echo "$model: $caught mutants caught of $(echo "$mutants" | wc -l)"
done
exit $failed
