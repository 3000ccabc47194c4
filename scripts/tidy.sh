#!/usr/bin/env bash
# Runs clang-tidy on one source file, unless the same text was found clean
# before: the file, every header it includes, the rules, and the tool.
#
#   scripts/tidy.sh FILE
set -euo pipefail
cd "$(dirname "$0")/.."

cache=${XDG_CACHE_HOME:-$HOME/.cache}/auburnmux-tidy
command=$(jq -r --arg file "$PWD/$1" \
  '[.[] | select(.file == $file) | .command][0] // empty' \
  build/compile_commands.json)
if [ -z "$command" ]; then
  exec clang-tidy -p build --quiet "$1"
fi
# The compiler lists what the file includes, with the flags of its own command.
flags=$(sed -E 's/^.*(g\+\+|c\+\+) //; s/ -o [^ ]+//; s/ -c [^ ]+//' <<<"$command")
included=$(cd build && eval "c++ $flags -M -MT it '$OLDPWD/$1'" |
  sed 's/^it://; s/\\$//' | tr -s ' ' '\n' | sed '/^$/d')
key=$({
  clang-tidy --version
  echo "$flags"
  cat .clang-tidy
  (cd build && xargs -d '\n' sha256sum <<<"$included")
} | sed "s#$PWD/##g" | sha256sum | cut -d' ' -f1)

if [ -e "$cache/$key" ]; then
  exit 0
fi
clang-tidy -p build --quiet "$1"
mkdir -p "$cache"
touch "$cache/$key"
