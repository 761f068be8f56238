// Registration of an entry in the store, and its view of the other registered entries.

#include "entrynode.hpp"

#include "entryregistry.hpp"
#include "keys.hpp"
#include <ibiswall/log/eventlog.hpp>

namespace ibiswall::node {

namespace {

constexpr Millis entriesPeriod{700};
// The leader removes an entry from the registry after this time without a path to it; longer than a restart.
constexpr Millis unreachableEntryTimeout{6000};

} // namespace

void EntryNode::publishEntry()
{
    // Reads the revision first, since an earlier incarnation may have left an entry of this name.
    store_.get(keys::entries + self_.name_, [this](const platform::StoreResult &answer) {
        const bool known = answer.outcome_ == platform::StoreOutcome::Ok && !answer.items_.empty();
        if (!known && answer.outcome_ != platform::StoreOutcome::NotFound) {
            return;
        }
        platform::Transaction transaction;
        const std::string key = keys::entries + self_.name_;
        transaction.conditions_.push_back({key, known ? answer.items_.front().revision_ : 0});
        transaction.writes_.push_back({key, formatEntry({settings_.linksAddress_, self_.incarnation_, settings_.domain_})});
        store_.commit(transaction, [this](const platform::StoreResult &written) {
            if (written.outcome_ == platform::StoreOutcome::Ok) {
                entriesReadAt_ = {};
            }
        });
    });
}

// The leader removes entries from the registry that it has not reached for a long time. An entry that is still running
// registers itself again.
void EntryNode::removeUnreachableEntries(Span<const platform::Item> items)
{
    const Millis now = bootClock();
    for (const platform::Item &item : items) {
        const std::string name = keys::nameOf(item.key_, keys::entries);
        Millis &reachedAt = entryReachedAt_[name];
        if (name == self_.name_ || mesh_.isReachable(name) || reachedAt == Millis{0}) {
            reachedAt = now;
        }
        if (!leaderSession_ || now < reachedAt + unreachableEntryTimeout) {
            continue;
        }
        logEvent("entry.removed", {{"entry", std::string_view(name)}, {"unreached_ms", (now - reachedAt).count_}});
        platform::Transaction transaction;
        transaction.conditions_.push_back({item.key_, item.revision_});
        transaction.removals_.push_back(item.key_);
        store_.commit(transaction, [](const platform::StoreResult &) {
            // A removal that failed is retried after a later read of the registry.
        });
        reachedAt = now;
    }
}

void EntryNode::readEntries()
{
    const Millis now = bootClock();
    if (readingEntries_ || now < entriesReadAt_ + entriesPeriod) {
        return;
    }
    entriesReadAt_ = now;
    readingEntries_ = true;
    store_.readAll(keys::entries, true, [this](const platform::StoreResult &answer) {
        readingEntries_ = false;
        if (answer.outcome_ != platform::StoreOutcome::Ok) {
            return;
        }
        std::map<std::string, Address> entries = addressesOf(parseEntries(answer.items_));
        const auto own = entries.find(self_.name_);
        if (own == entries.end() || !(own->second == settings_.linksAddress_)) {
            publishEntry();
        }
        entries.erase(self_.name_);
        entries_ = entries;
        entriesKnown_ = true;
        mesh_.setEntries(entries);
        removeUnreachableEntries(answer.items_);
    });
}

} // namespace ibiswall::node
