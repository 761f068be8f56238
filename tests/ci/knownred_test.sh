#!/usr/bin/env bash
# Tests how .ci/test reads KNOWN-RED.txt, with a stand-in for ctest that knows one test with a failing and a passing case.
set -euo pipefail
script="$(cd "$(dirname "$0")/../.." && pwd)/.ci/test"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

cat >"$folder/ctest" <<'STANDIN'
#!/usr/bin/env bash
if [[ " $* " == *" -N "* ]]; then
  [[ "$*" == *'^sample$'* ]] && echo "Total Tests: 1" || echo "Total Tests: 0"
  exit 0
fi
case "${BOOST_TEST_RUN_FILTERS:-}" in
  '' | '!'* | suite/passing) exit 0 ;;
  suite/failing) exit 8 ;;
  *) echo "Test setup error: no test cases matching filter or all test cases were disabled"; exit 8 ;;
esac
STANDIN
chmod +x "$folder/ctest"

failures=0
# Arguments: the expected exit code, text that the output must contain, and the content of the list.
check() {
  local code=0 output
  printf '%b' "$3" >"$folder/list"
  output=$(PATH="$folder:$PATH" KNOWN_RED="$folder/list" "$script" 2>&1) || code=$?
  if [ "$code" -ne "$1" ] || [[ "$output" != *"$2"* ]]; then
    printf 'list "%s": exit code %s, not %s, or no "%s" in:\n%s\n' "$3" "$code" "$1" "$2" "$output"
    failures=$((failures + 1))
  fi
}

check 0 "" ""
check 0 "" "\n# a comment\n\n"
check 0 "played by hand: review/3:LOST" "review/3:LOST review/3/run.sh, seen often\n"
check 0 "failed: sample:suite/failing" "sample:suite/failing seed 1, issue 2\n"
check 0 "failed: sample:suite/failing" "sample:suite/failing without a line break"
check 0 "the cases that are not listed passed" "\nsample:suite/failing issue 2\n"
check 1 "passes, take it out: sample:suite/passing" "sample:suite/passing issue 2\n"
check 1 "no such case: sample:suite/gone" "sample:suite/gone issue 2\n"
check 1 "no such test: gone:suite/failing" "gone:suite/failing issue 2\n"
check 1 "not an entry: words" "words\n"
exit "$failures"
