// Reads and cross-checks the settings of each role.

#include <ibiswall/settings.hpp>

#include "objectreader.hpp"
#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

namespace ibiswall {

namespace {

constexpr std::int64_t maxSlots = 4096;
constexpr std::int64_t maxDelayMs = 600000;
// One day.
constexpr std::int64_t maxRetentionMs = 86400000;
// A shorter lease could not be renewed in time.
constexpr std::int64_t minLeaseMs = 200;
constexpr double minCores = 0.01;
constexpr double maxCores = 1024;
constexpr std::int64_t maxBytes = 1 << 30;
constexpr std::size_t minTokenLength = 8;
constexpr std::size_t maxTokenLength = 256;
// Space for the fields of a relayed request other than the body.
constexpr std::size_t relayOverheadBytes = 1024;
constexpr std::int64_t minHeaderBytes = 256;
constexpr std::int64_t maxHeaderBytes = 1 << 20;
constexpr std::int64_t minFrameBytes = 1024;
constexpr std::int64_t maxConnections = 65536;
constexpr std::int64_t maxCount = 10000000;
// 16 TB.
constexpr std::int64_t maxMemoryMb = 1 << 24;

std::string readLogLevel(ObjectReader &reader)
{
    return reader.choice("log_level", {"debug", "info", "warning", "error"}, "info");
}

// Reports port 0 (any free port) in an address that other processes connect to.
void checkPort(ObjectReader &reader, const std::string &key, const Address &endpoint)
{
    if (!endpoint.host_.empty() && endpoint.port_ == 0) {
        reader.problem(key, format(endpoint) + ": port 0 is not allowed, others connect to it");
    }
}

void checkPorts(ObjectReader &reader, const std::string &key, const std::vector<Address> &addressList)
{
    for (std::size_t i = 0; i < addressList.size(); ++i) {
        checkPort(reader, key + '[' + std::to_string(i) + ']', addressList[i]);
    }
}

void appendAddresses(std::vector<std::pair<std::string, Address>> &all, const std::string &key, const std::vector<Address> &addressList)
{
    for (std::size_t i = 0; i < addressList.size(); ++i) {
        all.emplace_back(key + '[' + std::to_string(i) + ']', addressList[i]);
    }
}

// Reports an address that is used for two keys. Port 0 means any free port, so it may be repeated.
void reportDuplicateAddresses(ObjectReader &reader, const std::vector<std::pair<std::string, Address>> &labeledAddresses)
{
    std::map<std::string, std::string> firstKeys;
    for (const auto &[key, endpoint] : labeledAddresses) {
        if (endpoint.port_ == 0) {
            continue;
        }
        const auto [first, inserted] = firstKeys.emplace(format(endpoint), key);
        if (!inserted) {
            reader.problem(key, format(endpoint) + " is given twice, first as " + first->second);
        }
    }
}

void reportDuplicateCredentials(ObjectReader &reader, const char *key, const std::vector<Credential> &credentials)
{
    std::set<std::string> names;
    std::set<std::string> tokens;
    for (const Credential &credential : credentials) {
        if (!names.insert(credential.name_).second) {
            reader.problem(key, "name \"" + credential.name_ + "\" is given twice");
        }
        if (!tokens.insert(credential.token_).second) {
            reader.problem(key, "\"" + credential.name_ + "\" has the token of another");
        }
    }
}

// Tokens are sent in an HTTP header, so only visible ASCII is allowed.
std::string readToken(ObjectReader &reader)
{
    std::string token = reader.text("token");
    const bool visible = std::all_of(token.begin(), token.end(), [](char c) { return c > ' ' && c <= '~'; });
    if (!token.empty() && (token.size() < minTokenLength || token.size() > maxTokenLength || !visible)) {
        reader.problem("token",
                       std::to_string(minTokenLength) + " to " + std::to_string(maxTokenLength) + " visible ASCII characters are required");
    }
    return token;
}

std::vector<Credential> readCredentials(ObjectReader &reader, const char *key)
{
    auto credentials = reader.objects<Credential>(key, true, [](ObjectReader &item) {
        return Credential{item.name("name"), readToken(item)};
    });
    reportDuplicateCredentials(reader, key, credentials);
    return credentials;
}

// Reports a token that belongs to both a member and an operator.
void reportSharedTokens(ObjectReader &reader, const EntrySettings &settings)
{
    for (const Credential &op : settings.operators_) {
        const auto hasSameToken = [&op](const Credential &member) {
            return !op.token_.empty() && member.token_ == op.token_;
        };
        if (std::any_of(settings.members_.begin(), settings.members_.end(), hasSameToken)) {
            reader.problem("operators", "\"" + op.name_ + "\" has the token of a member");
        }
    }
}

void checkPeers(ObjectReader &reader, const EntrySettings &settings)
{
    std::set<std::string> names = {settings.name_};
    for (std::size_t i = 0; i < settings.peers_.size(); ++i) {
        const PeerSettings &peer = settings.peers_[i];
        const std::string key = "peers[" + std::to_string(i) + "].";
        if (!peer.name_.empty() && !names.insert(peer.name_).second) {
            reader.problem(key + "name", '"' + peer.name_ + (peer.name_ == settings.name_ ? "\" is this entry" : "\" is given twice"));
        }
        checkPort(reader, key + "links_address", peer.linksAddress_);
    }
    if (!settings.peers_.empty()) {
        checkPort(reader, "links_address", settings.linksAddress_);
    }
    if (settings.maxFrame_ < settings.maxBody_ + relayOverheadBytes) {
        reader.problem("max_frame_bytes",
                       "must exceed max_body_bytes by " + std::to_string(relayOverheadBytes) + ", since entries relay bodies in one frame");
    }
}

void readSize(ObjectReader &reader, const char *key, std::int64_t minValue, std::int64_t maxValue, std::size_t &value)
{
    value = static_cast<std::size_t>(reader.integer(key, minValue, maxValue, static_cast<std::int64_t>(value)));
}

void readLimits(ObjectReader &reader, EntrySettings &settings)
{
    readSize(reader, "max_body_bytes", 1, maxBytes, settings.maxBody_);
    readSize(reader, "max_header_bytes", minHeaderBytes, maxHeaderBytes, settings.maxHeader_);
    readSize(reader, "max_connections", 1, maxConnections, settings.maxConnections_);
    readSize(reader, "max_links", 1, maxConnections, settings.maxLinks_);
    readSize(reader, "max_frame_bytes", minFrameBytes, maxBytes, settings.maxFrame_);
    settings.idleTimeout_ = {reader.integer("idle_ms", 1, maxDelayMs, settings.idleTimeout_.count_)};
    settings.helloTimeout_ = {reader.integer("hello_ms", 1, maxDelayMs, settings.helloTimeout_.count_)};
    readSize(reader, "max_tasks_per_job", 1, maxCount, settings.limits_.maxTasksPerJob_);
    readSize(reader, "max_queued_tasks", 1, maxCount, settings.limits_.maxQueuedTasks_);
    readSize(reader, "max_jobs", 1, maxCount, settings.limits_.maxJobs_);
    readSize(reader, "max_answer_bytes", 0, maxBytes, settings.limits_.maxAnswerBytes_);
    readSize(reader, "max_ended_jobs", 1, maxCount, settings.limits_.maxTombstones_);
}

EntrySettings readEntrySettings(ObjectReader &reader)
{
    EntrySettings settings;
    settings.name_ = reader.name("name");
    settings.domain_ = reader.name("failure_domain");
    settings.callersAddress_ = reader.address("callers_address");
    settings.linksAddress_ = reader.address("links_address");
    settings.platformAddresses_ = reader.addresses("platform_addresses");
    settings.peers_ = reader.objects<PeerSettings>("peers", false, [](ObjectReader &item) {
        return PeerSettings{item.name("name"), item.address("links_address")};
    });
    settings.members_ = readCredentials(reader, "members");
    settings.operators_ = readCredentials(reader, "operators");
    settings.logLevel_ = readLogLevel(reader);
    settings.drainDelay_ = {reader.integer("drain_delay_ms", 0, maxDelayMs, settings.drainDelay_.count_)};
    readLimits(reader, settings);
    reportSharedTokens(reader, settings);
    checkPeers(reader, settings);
    checkPorts(reader, "platform_addresses", settings.platformAddresses_);
    std::vector<std::pair<std::string, Address>> labeledAddresses
        = {{"callers_address", settings.callersAddress_}, {"links_address", settings.linksAddress_}};
    for (std::size_t i = 0; i < settings.peers_.size(); ++i) {
        labeledAddresses.emplace_back("peers[" + std::to_string(i) + "].links_address", settings.peers_[i].linksAddress_);
    }
    appendAddresses(labeledAddresses, "platform_addresses", settings.platformAddresses_);
    reportDuplicateAddresses(reader, labeledAddresses);
    return settings;
}

AgentSettings readAgentSettings(ObjectReader &reader)
{
    AgentSettings settings;
    settings.target_ = reader.name("target");
    settings.worker_ = reader.name("worker");
    settings.domain_ = reader.name("failure_domain");
    settings.slots_ = static_cast<int>(reader.requiredInteger("slots", 1, maxSlots));
    settings.targetAddress_ = reader.address("target_address");
    settings.healthAddress_ = reader.address("health_address");
    settings.entryAddresses_ = reader.addresses("entry_addresses");
    settings.logLevel_ = readLogLevel(reader);
    settings.callTimeout_ = {reader.integer("call_timeout_ms", 1, maxDelayMs, settings.callTimeout_.count_)};
    std::vector<std::pair<std::string, Address>> labeledAddresses
        = {{"target_address", settings.targetAddress_}, {"health_address", settings.healthAddress_}};
    checkPort(reader, "target_address", settings.targetAddress_);
    checkPorts(reader, "entry_addresses", settings.entryAddresses_);
    appendAddresses(labeledAddresses, "entry_addresses", settings.entryAddresses_);
    reportDuplicateAddresses(reader, labeledAddresses);
    return settings;
}

// Reads a time in milliseconds or, under another key, in seconds; either may have a fraction.
Millis readTime(ObjectReader &reader, const char *millisKey, const char *secondsKey, std::int64_t maxValue, Millis fallback)
{
    constexpr double millisPerSecond = 1000;
    const double millis = reader.realNumber(millisKey, 0, static_cast<double>(maxValue), static_cast<double>(fallback.count_));
    const double seconds = reader.realNumber(secondsKey, 0, static_cast<double>(maxValue) / millisPerSecond, millis / millisPerSecond);
    return {std::llround(seconds * millisPerSecond)};
}

// Limits of the machine; both kinds of process of a cell have them. Fractions are dropped.
template<typename OwnSettings>
void readMachineLimits(ObjectReader &reader, OwnSettings &settings)
{
    settings.memory_ = static_cast<std::size_t>(reader.realNumber("memory_mb", 0, maxMemoryMb, 0));
    settings.maxDescriptors_ = static_cast<std::size_t>(reader.realNumber("max_descriptors", 0, maxCount, 0));
}

cell::SchedulingSettings readScheduling(ObjectReader &reader)
{
    cell::SchedulingSettings settings;
    settings.admission_ = reader.boolean("admission", settings.admission_);
    settings.queueFloor_ = reader.realNumber("queue_floor", 0, cell::maxQueueFloor, settings.queueFloor_);
    settings.placeByEnd_ = reader.boolean("place_by_end", settings.placeByEnd_);
    settings.separateInterfering_ = reader.boolean("separate_interfering", settings.separateInterfering_);
    return settings;
}

CellEntrySettings readCellEntrySettings(ObjectReader &reader)
{
    CellEntrySettings settings;
    settings.name_ = reader.name("name");
    settings.domain_ = reader.name("domain");
    settings.callersAddress_ = reader.address("callers");
    settings.readyAddress_ = reader.address("ready");
    settings.linksAddress_ = reader.address("links");
    settings.metricsAddress_ = reader.address("metrics");
    settings.storeAddress_ = reader.address("store");
    settings.cores_ = reader.realNumber("cores", minCores, maxCores, settings.cores_);
    settings.logLevel_ = readLogLevel(reader);
    settings.gracePeriod_ = readTime(reader, "grace_ms", "grace_s", maxDelayMs, settings.gracePeriod_);
    settings.stateRetention_ = readTime(reader, "keep_states_ms", "keep_states_s", maxRetentionMs, settings.stateRetention_);
    readMachineLimits(reader, settings);
    settings.scheduling_ = reader.object("scheduling", settings.scheduling_, readScheduling);
    return settings;
}

CellAgentSettings readCellAgentSettings(ObjectReader &reader)
{
    CellAgentSettings settings;
    settings.name_ = reader.name("name");
    settings.domain_ = reader.name("domain");
    settings.announcementsAddress_ = reader.address("announcements");
    settings.callsAddress_ = reader.address("target");
    settings.metricsAddress_ = reader.address("metrics");
    settings.storeAddress_ = reader.address("store");
    settings.logLevel_ = readLogLevel(reader);
    settings.gracePeriod_ = readTime(reader, "grace_ms", "grace_s", maxDelayMs, settings.gracePeriod_);
    settings.maxLease_ = {static_cast<std::int64_t>(
        reader.realNumber("max_lease_ms", minLeaseMs, maxDelayMs, static_cast<double>(settings.maxLease_.count_)))};
    readMachineLimits(reader, settings);
    return settings;
}

Error makeError(std::string_view file, const std::vector<std::string> &problems)
{
    std::string text;
    for (const std::string &problem : problems) {
        text += (text.empty() ? "" : "\n") + std::string(file) + ": " + problem;
    }
    return {Code::BadSettings, text};
}

} // namespace

Result<Settings> parseSettings(std::string_view file, std::string_view text)
{
    nlohmann::json root;
    try {
        root = nlohmann::json::parse(text, nullptr, true, true);
    } catch (const nlohmann::json::parse_error &error) {
        return makeError(file, {std::string("not JSON: ") + error.what()});
    }
    if (!root.is_object()) {
        return makeError(file, {"an object is required"});
    }
    std::vector<std::string> problems;
    ObjectReader reader(root, "", problems);
    const std::string role = reader.choice("role", {"entry", "agent", "cell-entry", "cell-agent"}, "");
    Settings settings;
    if (role == "entry") {
        settings = readEntrySettings(reader);
    } else if (role == "agent") {
        settings = readAgentSettings(reader);
    } else if (role == "cell-entry") {
        settings = readCellEntrySettings(reader);
    } else if (role == "cell-agent") {
        settings = readCellAgentSettings(reader);
    } else {
        return makeError(file, {"role: \"entry\", \"agent\", \"cell-entry\" or \"cell-agent\" is required"});
    }
    reader.reportUnknownKeys();
    if (!problems.empty()) {
        return makeError(file, problems);
    }
    return settings;
}

Result<Settings> loadSettings(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream) {
        return makeError(file, {"cannot be read"});
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return parseSettings(file, text.str());
}

} // namespace ibiswall
