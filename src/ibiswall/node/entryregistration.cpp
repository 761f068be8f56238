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
        const std::string record = formatEntry({settings_.linksAddress_, self_.incarnation_, settings_.domain_, settings_.memory_});
        if (known && answer.items_.front().value_ == record) {
            // The answer to an earlier write was lost, or the registry was read before it.
            succession_.onRegistered(answer.items_.front().revision_, bootClock());
            return;
        }
        platform::Transaction transaction;
        const std::string key = keys::entries + self_.name_;
        transaction.conditions_.push_back({key, known ? answer.items_.front().revision_ : 0});
        transaction.writes_.push_back({key, record});
        store_.commit(transaction, [this](const platform::StoreResult &written) {
            if (written.outcome_ == platform::StoreOutcome::Ok) {
                succession_.onRegistered(written.revision_, bootClock());
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
        // An entry that has become the leader meanwhile must stay registered, so that this one knows of it.
        transaction.conditions_.push_back({keys::leader, static_cast<std::int64_t>(leadership_.leaderInfo().epoch_)});
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
    store_.readAll(keys::entries, true, [this, sentAt = now](const platform::StoreResult &answer) {
        readingEntries_ = false;
        if (answer.outcome_ != platform::StoreOutcome::Ok) {
            return;
        }
        EntryRecords records = parseEntries(answer.items_);
        const auto own = records.find(self_.name_);
        if (own == records.end() || !(own->second.address_ == settings_.linksAddress_) || succession_.registration() == 0) {
            publishEntry();
        }
        records.erase(self_.name_);
        std::set<std::string> others;
        for (const platform::Item &item : answer.items_) {
            // An entry counts as a candidate even if this version cannot read its record.
            others.insert(keys::nameOf(item.key_, keys::entries));
        }
        others.erase(self_.name_);
        for (const auto &[name, record] : records) {
            succession_.onIncarnation(name, record.incarnation_);
        }
        succession_.onRegistryRead(others, sentAt);
        entries_ = addressesOf(records);
        smallestMemory_ = smallestMemory(records);
        mesh_.setEntries(entries_);
        removeUnreachableEntries(answer.items_);
    });
}

} // namespace ibiswall::node
