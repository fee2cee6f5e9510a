# Sets JAVA_HOME to JDK 21 or newer and QUIET_OPTIONS to JVM options. Source this file instead of running it.
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
  echo "basilswitch requires JDK 21 or newer: install it and set JAVA_HOME to its directory" >&2
  return 1
}
find_jdk || exit 2
# Options that suppress JDK warnings about libraries' use of sun.misc.Unsafe and native access. JDKs before 24 do not
# support them.
QUIET_OPTIONS=
if [ "$(jdk_major "$JAVA_HOME")" -ge 24 ]; then
  QUIET_OPTIONS="--sun-misc-unsafe-memory-access=allow --enable-native-access=ALL-UNNAMED"
fi
