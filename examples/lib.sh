# Shared by the example scripts: finds the deployment, and states intents.
: "${IBISWALL:?} ${ENTRY:?} ${OTHER_ENTRY:?} ${MEMBER_TOKEN:?} ${OPERATOR_TOKEN:?}"

member() {
  local command=$1
  shift
  "$IBISWALL" "$command" --entry "$ENTRY" --token "$MEMBER_TOKEN" "$@"
}

operator() {
  local command=$1
  shift
  "$IBISWALL" "$command" --entry "$ENTRY" --token "$OPERATOR_TOKEN" "$@"
}

# Prints one field of a JSON object that has no such field further in.
field() {
  sed "s/.*\"$1\":\"\{0,1\}\([^\",}]*\).*/\1/"
}

# Plans an intent and confirms the plan: change WHY OPTIONS...
change() {
  local why=$1 plan
  shift
  plan=$(operator plan --json "$@")
  operator confirm "$@" --why "$why" --base-version "$(field base_version <<<"$plan")" --digest "$(field digest <<<"$plan")"
}
