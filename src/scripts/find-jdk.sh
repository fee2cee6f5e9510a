# Sets JAVA_HOME to a JDK of 21 or newer; to be sourced.
jdk_major() {
  [ -x "$1/bin/javac" ] || return 1
  "$1/bin/javac" -version 2>&1 | sed -n 's/^javac \([0-9]*\).*/\1/p'
}
find_jdk() {
  local candidate major on_path
  on_path=$(command -v javac || true)
  [ -z "$on_path" ] || on_path=$(dirname "$(dirname "$(readlink -f "$on_path")")")
  for candidate in "${JAVA_HOME:-}" "$on_path" /usr/lib/jvm/*; do
    [ -n "$candidate" ] || continue
    major=$(jdk_major "$candidate") || continue
    if [ "${major:-0}" -ge 21 ]; then
      JAVA_HOME=$candidate
      export JAVA_HOME
      return 0
    fi
  done
  echo "basilswitch needs a JDK of 21 or newer: install one and set JAVA_HOME to its folder" >&2
  return 1
}
find_jdk || exit 2
# Options that quiet a JDK's warnings about libraries; a JDK older than 24 does not know them.
QUIET_OPTIONS=
if [ "$(jdk_major "$JAVA_HOME")" -ge 24 ]; then
  QUIET_OPTIONS="--sun-misc-unsafe-memory-access=allow --enable-native-access=ALL-UNNAMED"
fi
