// Applies changes and describes the configuration to operators.

#include <ibiswall/core/configuration.hpp>

namespace ibiswall {

namespace {

void applyIntent(Configuration &configuration, const Intent &intent)
{
    switch (intent.op_) {
    case IntentOp::DomainOut:
        configuration.domainsOut_.insert(intent.name_);
        break;
    case IntentOp::DomainIn:
        configuration.domainsOut_.erase(intent.name_);
        break;
    case IntentOp::TargetOut:
        configuration.targetsOut_.insert(intent.name_);
        break;
    case IntentOp::TargetIn:
        configuration.targetsOut_.erase(intent.name_);
        break;
    case IntentOp::SetKind:
        configuration.kinds_[intent.name_] = intent.kind_;
        break;
    case IntentOp::SetMember:
        configuration.members_[intent.name_] = intent.member_;
        break;
    }
}

std::string describeService(bool out)
{
    return out ? "out of service" : "in service";
}

std::string describeKind(const Configuration &configuration, std::string_view name)
{
    const auto found = configuration.kinds_.find(name);
    if (found == configuration.kinds_.end()) {
        return "not set";
    }
    const Kind &kind = found->second;
    return "value " + std::to_string(kind.value_) + ", " + (kind.repeatable_ ? "repeatable" : "not repeatable") + ", deadline "
        + std::to_string(kind.deadline_.count_) + " ms";
}

std::string describeMember(const Configuration &configuration, std::string_view name)
{
    const auto found = configuration.members_.find(name);
    if (found == configuration.members_.end()) {
        return "not set";
    }
    const Member &member = found->second;
    return "weight " + std::to_string(member.weight_) + ", quota "
        + (member.quota_ == 0 ? "none" : std::to_string(member.quota_) + " open tasks");
}

} // namespace

bool apply(Configuration &configuration, const Change &change)
{
    if (change.version_ != configuration.version_ + 1) {
        return false;
    }
    applyIntent(configuration, change.intent_);
    configuration.version_ = change.version_;
    return true;
}

bool isOut(const Configuration &configuration, std::string_view domain, std::string_view target)
{
    return configuration.domainsOut_.find(domain) != configuration.domainsOut_.end()
        || configuration.targetsOut_.find(target) != configuration.targetsOut_.end();
}

std::string describeSubject(const Configuration &configuration, const Intent &intent)
{
    switch (intent.op_) {
    case IntentOp::DomainOut:
    case IntentOp::DomainIn:
        return describeService(configuration.domainsOut_.count(intent.name_) != 0);
    case IntentOp::TargetOut:
    case IntentOp::TargetIn:
        return describeService(configuration.targetsOut_.count(intent.name_) != 0);
    case IntentOp::SetKind:
        return describeKind(configuration, intent.name_);
    case IntentOp::SetMember:
        return describeMember(configuration, intent.name_);
    }
    return {};
}

std::string describeAfter(const Configuration &configuration, const Intent &intent)
{
    Configuration after = configuration;
    applyIntent(after, intent);
    return describeSubject(after, intent);
}

Member memberOf(const Configuration &configuration, std::string_view name)
{
    const auto found = configuration.members_.find(name);
    return found == configuration.members_.end() ? Member{} : found->second;
}

} // namespace ibiswall
