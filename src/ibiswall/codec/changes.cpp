// Parses and formats intents, plans and changes.

#include <ibiswall/codec/changes.hpp>

#include "fields.hpp"

namespace ibiswall {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxReasonBytes = 2000;

Json toJson(const Intent &intent)
{
    Json json = {{"op", opName(intent.op_)}, {"name", intent.name_}};
    if (intent.op_ == IntentOp::SetKind) {
        json["value"] = intent.kind_.value_;
        json["repeatable"] = intent.kind_.repeatable_;
        json["deadline_ms"] = intent.kind_.deadline_.count_;
    }
    if (intent.op_ == IntentOp::SetMember) {
        json["weight"] = intent.member_.weight_;
        json["quota"] = intent.member_.quota_;
    }
    return json;
}

Result<int> boundedIntField(const Json &object, const char *key)
{
    constexpr std::int64_t maximum = 1000000;
    BOOST_OUTCOME_TRY(const auto value, numberField(object, key, Code::BadIntent));
    if (value < -maximum || value > maximum) {
        return Error{Code::BadIntent, std::string(key) + ": must lie between -1000000 and 1000000"};
    }
    return static_cast<int>(value);
}

Result<Kind> parseKind(const Json &json)
{
    BOOST_OUTCOME_TRY(allowKeys(json, {"op", "name", "value", "repeatable", "deadline_ms"}, Code::BadIntent));
    Kind kind;
    BOOST_OUTCOME_TRY(kind.value_, boundedIntField(json, "value"));
    BOOST_OUTCOME_TRY(kind.deadline_.count_, numberField(json, "deadline_ms", Code::BadIntent));
    const auto repeatable = json.find("repeatable");
    if (repeatable == json.end() || !repeatable->is_boolean()) {
        return Error{Code::BadIntent, "repeatable: true or false is required"};
    }
    kind.repeatable_ = repeatable->get<bool>();
    return kind;
}

Result<Member> parseMember(const Json &json)
{
    BOOST_OUTCOME_TRY(allowKeys(json, {"op", "name", "weight", "quota"}, Code::BadIntent));
    Member member;
    BOOST_OUTCOME_TRY(member.weight_, boundedIntField(json, "weight"));
    BOOST_OUTCOME_TRY(member.quota_, boundedIntField(json, "quota"));
    return member;
}

Result<Intent> parseIntentObject(const Json &json)
{
    if (!json.is_object()) {
        return Error{Code::BadIntent, "intent: an object is required"};
    }
    Intent intent;
    BOOST_OUTCOME_TRY(const auto operation, stringField(json, "op", Code::BadIntent));
    BOOST_OUTCOME_TRY(intent.op_, parseOp(operation));
    BOOST_OUTCOME_TRY(intent.name_, stringField(json, "name", Code::BadIntent));
    if (intent.op_ == IntentOp::SetKind) {
        BOOST_OUTCOME_TRY(intent.kind_, parseKind(json));
    } else if (intent.op_ == IntentOp::SetMember) {
        BOOST_OUTCOME_TRY(intent.member_, parseMember(json));
    } else {
        BOOST_OUTCOME_TRY(allowKeys(json, {"op", "name"}, Code::BadIntent));
    }
    return intent;
}

} // namespace

Result<Intent> parseIntent(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto object, parseObject(text, "intent", Code::BadIntent));
    return parseIntentObject(object);
}

std::string formatIntent(const Intent &intent)
{
    return toJson(intent).dump();
}

std::string formatPlan(const Plan &plan)
{
    Json json;
    json["base_version"] = plan.baseVersion_;
    json["intent"] = toJson(plan.intent_);
    json["before"] = plan.before_;
    json["after"] = plan.after_;
    json["digest"] = plan.digest_;
    json["targets"] = Json::array();
    for (const TargetPlace &place : plan.targets_) {
        json["targets"].push_back({{"target", place.target_}, {"worker", place.worker_}, {"failure_domain", place.domain_}});
    }
    return json.dump();
}

Result<Confirmation> parseConfirmation(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto object, parseObject(text, "confirmation", Code::BadIntent));
    BOOST_OUTCOME_TRY(allowKeys(object, {"intent", "base_version", "digest", "who", "why"}, Code::BadIntent));
    Confirmation confirmation;
    const auto intent = object.find("intent");
    if (intent == object.end()) {
        return Error{Code::BadIntent, "intent: an object is required"};
    }
    BOOST_OUTCOME_TRY(confirmation.intent_, parseIntentObject(*intent));
    BOOST_OUTCOME_TRY(const auto version, numberField(object, "base_version", Code::BadIntent));
    if (version < 0) {
        return Error{Code::BadIntent, "base_version: must not be negative"};
    }
    confirmation.baseVersion_ = static_cast<std::uint64_t>(version);
    BOOST_OUTCOME_TRY(confirmation.digest_, stringField(object, "digest", Code::BadIntent));
    BOOST_OUTCOME_TRY(confirmation.who_, stringField(object, "who", Code::BadIntent));
    BOOST_OUTCOME_TRY(confirmation.why_, stringField(object, "why", Code::BadIntent));
    if (confirmation.why_.size() > maxReasonBytes) {
        return Error{Code::BadIntent, "why: at most " + std::to_string(maxReasonBytes) + " bytes are allowed"};
    }
    return confirmation;
}

std::string formatConfirmation(const Confirmation &confirmation)
{
    const Json json = {{"intent", toJson(confirmation.intent_)},
                       {"base_version", confirmation.baseVersion_},
                       {"digest", confirmation.digest_},
                       {"who", confirmation.who_},
                       {"why", confirmation.why_}};
    return json.dump();
}

Result<Change> parseChange(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto object, parseObject(text, "change", Code::Corrupt));
    Change change;
    BOOST_OUTCOME_TRY(const auto version, numberField(object, "version", Code::Corrupt));
    change.version_ = static_cast<std::uint64_t>(version);
    BOOST_OUTCOME_TRY(change.changeId_, stringField(object, "change_id", Code::Corrupt));
    BOOST_OUTCOME_TRY(change.who_, stringField(object, "who", Code::Corrupt));
    BOOST_OUTCOME_TRY(change.why_, stringField(object, "why", Code::Corrupt));
    BOOST_OUTCOME_TRY(change.when_.count_, numberField(object, "when_ms", Code::Corrupt));
    BOOST_OUTCOME_TRY(change.before_, stringField(object, "before", Code::Corrupt));
    BOOST_OUTCOME_TRY(change.after_, stringField(object, "after", Code::Corrupt));
    const auto intent = object.find("intent");
    if (intent == object.end()) {
        return Error{Code::Corrupt, "change: no intent"};
    }
    BOOST_OUTCOME_TRY(change.intent_, parseIntentObject(*intent));
    return change;
}

std::string formatChange(const Change &change)
{
    const Json json
        = {{"version", change.version_},     {"change_id", change.changeId_},    {"who", change.who_},       {"why", change.why_},
           {"when_ms", change.when_.count_}, {"intent", toJson(change.intent_)}, {"before", change.before_}, {"after", change.after_}};
    return json.dump();
}

} // namespace ibiswall
