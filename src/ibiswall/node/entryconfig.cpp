// Reads and watches the operators' configuration.

#include "entrynode.hpp"

#include "../../../platform/configuration.hpp"
#include <ibiswall/log/eventlog.hpp>

namespace ibiswall::node {

namespace {

constexpr Millis readRetry{100};
// A watch is renewed at this interval, so that an unresponsive connection does not delay a change for long.
constexpr Millis watchWait{1000};

} // namespace

// Reads the whole configuration. The answer is up to date, so a key that is missing from it is no longer in force.
void EntryNode::readConfig()
{
    store_.readAll(platform::operatorPrefix, false, [this](const platform::StoreResult &answer) {
        if (answer.outcome_ == platform::StoreOutcome::Ok) {
            watchFrom_ = answer.revision_;
            applyConfig(answer.items_, true);
            watchConfig();
            return;
        }
        configTimer_.expires_after(std::chrono::milliseconds(readRetry.count_));
        configTimer_.async_wait([this](boost::system::error_code error) {
            if (!error) {
                readConfig();
            }
        });
    });
}

void EntryNode::watchConfig()
{
    store_.watch(platform::operatorPrefix, watchFrom_, watchWait, [this](const platform::StoreResult &answer) {
        if (answer.outcome_ != platform::StoreOutcome::Ok) {
            readConfig();
            return;
        }
        watchFrom_ = std::max(watchFrom_, answer.revision_);
        if (!answer.items_.empty()) {
            applyConfig(answer.items_, false);
        }
        watchConfig();
    });
}

void EntryNode::applyConfig(Span<const platform::Item> items, bool isSnapshot)
{
    const std::set<std::string> before = evacuatedDomains_;
    bool changed = false;
    if (isSnapshot) {
        evacuatedDomains_.clear();
    }
    for (const platform::Item &item : items) {
        if (const auto domain = platform::evacuatedDomain(item.key_)) {
            if (item.deleted_) {
                evacuatedDomains_.erase(*domain);
            } else {
                evacuatedDomains_.insert(*domain);
            }
        } else if (item.key_ == platform::configKey && !item.deleted_ && item.revision_ > configRevision_) {
            auto config = platform::parseConfig(item.value_);
            if (config.has_error()) {
                logEvent("config.unreadable", {{"revision", item.revision_}, {"reason", std::string_view(config.error().text_)}});
                continue;
            }
            configRevision_ = item.revision_;
            config_ = std::move(config.value());
            config_.revision_ = item.revision_;
            configured_ = true;
            reachStage(RecoveryStage::Configuration);
            changed = true;
            logEvent("config.applied",
                     {{"version", static_cast<std::int64_t>(config_.version_)},
                      {"revision", item.revision_},
                      {"queues", static_cast<std::int64_t>(config_.queues_.size())}});
        }
    }
    if (evacuatedDomains_ != before) {
        std::string names;
        for (const std::string &domain : evacuatedDomains_) {
            names += (names.empty() ? "" : " ") + domain;
        }
        logEvent("domains.out", {{"domains", std::string_view(names)}});
        changed = true;
    }
    if (changed) {
        onConfigChanged();
    }
}

void EntryNode::onConfigChanged()
{
    if (leaderSession_) {
        leaderSession_->setConfig(config_, evacuatedDomains_);
    }
}

} // namespace ibiswall::node
