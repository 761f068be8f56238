// Reads the settings of entries and agents.

#include <ibiswall/settings.hpp>

#include "objectreader.hpp"
#include <algorithm>
#include <fstream>
#include <sstream>

namespace ibiswall {

namespace {

constexpr std::int64_t maxSlots = 4096;
constexpr std::int64_t maxDelay = 600000;
// A day.
constexpr std::int64_t maxKeep = 86400000;
// A shorter lease could not be renewed in time.
constexpr std::int64_t minLease = 200;
constexpr double minCores = 0.01;
constexpr double maxCores = 1024;
constexpr std::int64_t maxBytes = 1 << 30;
constexpr std::size_t minToken = 8;
constexpr std::size_t maxToken = 256;
// Bytes of a relayed request besides the caller's body.
constexpr std::size_t relayOverhead = 1024;
constexpr std::int64_t minHeader = 256;
constexpr std::int64_t maxHeader = 1 << 20;
constexpr std::int64_t minFrame = 1024;
constexpr std::int64_t maxConnections = 65536;
constexpr std::int64_t maxCount = 10000000;

std::string readLogLevel(ObjectReader &in)
{
    return in.word("log_level", {"debug", "info", "warning", "error"}, "info");
}

// Reports a port that others have to know and that is left open.
void requirePort(ObjectReader &in, const std::string &key, const Address &place)
{
    if (!place.host_.empty() && place.port_ == 0) {
        in.problem(key, format(place) + ": port 0 is not allowed, others connect to it");
    }
}

void requirePorts(ObjectReader &in, const std::string &key, const std::vector<Address> &places)
{
    for (std::size_t i = 0; i < places.size(); ++i) {
        requirePort(in, key + '[' + std::to_string(i) + ']', places[i]);
    }
}

void addPlaces(std::vector<std::pair<std::string, Address>> &all, const std::string &key, const std::vector<Address> &places)
{
    for (std::size_t i = 0; i < places.size(); ++i) {
        all.emplace_back(key + '[' + std::to_string(i) + ']', places[i]);
    }
}

// Reports an address that stands for two things. Port 0 asks for any free port.
void refuseDuplicates(ObjectReader &in, const std::vector<std::pair<std::string, Address>> &places)
{
    std::map<std::string, std::string> seen;
    for (const auto &[key, place] : places) {
        if (place.port_ == 0) {
            continue;
        }
        const auto [first, fresh] = seen.emplace(format(place), key);
        if (!fresh) {
            in.problem(key, format(place) + " is given twice, first as " + first->second);
        }
    }
}

void refuseRepeatedNames(ObjectReader &in, const char *key, const std::vector<Credential> &credentials)
{
    std::set<std::string> names;
    std::set<std::string> tokens;
    for (const Credential &credential : credentials) {
        if (!names.insert(credential.name_).second) {
            in.problem(key, "name \"" + credential.name_ + "\" is given twice");
        }
        if (!tokens.insert(credential.token_).second) {
            in.problem(key, "\"" + credential.name_ + "\" has the token of another");
        }
    }
}

// Tokens travel in a header, so they are visible ASCII.
std::string readToken(ObjectReader &in)
{
    std::string token = in.text("token");
    const bool visible = std::all_of(token.begin(), token.end(), [](char c) { return c > ' ' && c <= '~'; });
    if (!token.empty() && (token.size() < minToken || token.size() > maxToken || !visible)) {
        in.problem("token", std::to_string(minToken) + " to " + std::to_string(maxToken) + " visible ASCII characters are required");
    }
    return token;
}

std::vector<Credential> readCredentials(ObjectReader &in, const char *key)
{
    auto credentials = in.objects<Credential>(key, true, [](ObjectReader &item) { return Credential{item.name("name"), readToken(item)}; });
    refuseRepeatedNames(in, key, credentials);
    return credentials;
}

// Reports a member and an operator that cannot be told apart.
void refuseSharedTokens(ObjectReader &in, const EntrySettings &settings)
{
    for (const Credential &op : settings.operators_) {
        const auto same = [&op](const Credential &member) {
            return !op.token_.empty() && member.token_ == op.token_;
        };
        if (std::any_of(settings.members_.begin(), settings.members_.end(), same)) {
            in.problem("operators", "\"" + op.name_ + "\" has the token of a member");
        }
    }
}

void checkPeers(ObjectReader &in, const EntrySettings &settings)
{
    std::set<std::string> names = {settings.name_};
    for (std::size_t i = 0; i < settings.peers_.size(); ++i) {
        const PeerSettings &peer = settings.peers_[i];
        const std::string key = "peers[" + std::to_string(i) + "].";
        if (!peer.name_.empty() && !names.insert(peer.name_).second) {
            in.problem(key + "name", '"' + peer.name_ + (peer.name_ == settings.name_ ? "\" is this entry" : "\" is given twice"));
        }
        requirePort(in, key + "links_address", peer.linksAddress_);
    }
    if (!settings.peers_.empty()) {
        requirePort(in, "links_address", settings.linksAddress_);
    }
    if (settings.maxFrame_ < settings.maxBody_ + relayOverhead) {
        in.problem("max_frame_bytes",
                   "must exceed max_body_bytes by " + std::to_string(relayOverhead) + ", since entries relay bodies in one frame");
    }
}

void readSize(ObjectReader &in, const char *key, std::int64_t least, std::int64_t most, std::size_t &value)
{
    value = static_cast<std::size_t>(in.number(key, least, most, static_cast<std::int64_t>(value)));
}

void readLimits(ObjectReader &in, EntrySettings &settings)
{
    readSize(in, "max_body_bytes", 1, maxBytes, settings.maxBody_);
    readSize(in, "max_header_bytes", minHeader, maxHeader, settings.maxHeader_);
    readSize(in, "max_connections", 1, maxConnections, settings.maxConnections_);
    readSize(in, "max_links", 1, maxConnections, settings.maxLinks_);
    readSize(in, "max_frame_bytes", minFrame, maxBytes, settings.maxFrame_);
    settings.idleTimeout_ = {in.number("idle_ms", 1, maxDelay, settings.idleTimeout_.count_)};
    settings.helloTimeout_ = {in.number("hello_ms", 1, maxDelay, settings.helloTimeout_.count_)};
    readSize(in, "max_tasks_per_job", 1, maxCount, settings.limits_.maxTasksPerJob_);
    readSize(in, "max_queued_tasks", 1, maxCount, settings.limits_.maxQueuedTasks_);
    readSize(in, "max_jobs", 1, maxCount, settings.limits_.maxJobs_);
    readSize(in, "max_answer_bytes", 0, maxBytes, settings.limits_.maxAnswerBytes_);
    readSize(in, "max_ended_jobs", 1, maxCount, settings.limits_.maxEndedJobs_);
}

EntrySettings readEntry(ObjectReader &in)
{
    EntrySettings settings;
    settings.name_ = in.name("name");
    settings.domain_ = in.name("failure_domain");
    settings.callersAddress_ = in.address("callers_address");
    settings.linksAddress_ = in.address("links_address");
    settings.platformAddresses_ = in.addresses("platform_addresses");
    settings.peers_ = in.objects<PeerSettings>("peers", false, [](ObjectReader &item) {
        return PeerSettings{item.name("name"), item.address("links_address")};
    });
    settings.members_ = readCredentials(in, "members");
    settings.operators_ = readCredentials(in, "operators");
    settings.logLevel_ = readLogLevel(in);
    settings.drainDelay_ = {in.number("drain_delay_ms", 0, maxDelay, settings.drainDelay_.count_)};
    readLimits(in, settings);
    refuseSharedTokens(in, settings);
    checkPeers(in, settings);
    requirePorts(in, "platform_addresses", settings.platformAddresses_);
    std::vector<std::pair<std::string, Address>> places
        = {{"callers_address", settings.callersAddress_}, {"links_address", settings.linksAddress_}};
    for (std::size_t i = 0; i < settings.peers_.size(); ++i) {
        places.emplace_back("peers[" + std::to_string(i) + "].links_address", settings.peers_[i].linksAddress_);
    }
    addPlaces(places, "platform_addresses", settings.platformAddresses_);
    refuseDuplicates(in, places);
    return settings;
}

AgentSettings readAgent(ObjectReader &in)
{
    AgentSettings settings;
    settings.target_ = in.name("target");
    settings.worker_ = in.name("worker");
    settings.domain_ = in.name("failure_domain");
    settings.slots_ = static_cast<int>(in.requiredNumber("slots", 1, maxSlots));
    settings.targetAddress_ = in.address("target_address");
    settings.healthAddress_ = in.address("health_address");
    settings.entryAddresses_ = in.addresses("entry_addresses");
    settings.logLevel_ = readLogLevel(in);
    settings.callTimeout_ = {in.number("call_timeout_ms", 1, maxDelay, settings.callTimeout_.count_)};
    std::vector<std::pair<std::string, Address>> places
        = {{"target_address", settings.targetAddress_}, {"health_address", settings.healthAddress_}};
    requirePort(in, "target_address", settings.targetAddress_);
    requirePorts(in, "entry_addresses", settings.entryAddresses_);
    addPlaces(places, "entry_addresses", settings.entryAddresses_);
    refuseDuplicates(in, places);
    return settings;
}

CellEntrySettings readCellEntry(ObjectReader &in)
{
    CellEntrySettings settings;
    settings.name_ = in.name("name");
    settings.domain_ = in.name("domain");
    settings.callersAddress_ = in.address("callers");
    settings.readyAddress_ = in.address("ready");
    settings.linksAddress_ = in.address("links");
    settings.metricsAddress_ = in.address("metrics");
    settings.storeAddress_ = in.address("store");
    settings.cores_ = in.fraction("cores", minCores, maxCores, settings.cores_);
    settings.logLevel_ = readLogLevel(in);
    settings.gracePeriod_ = {in.number("grace_ms", 0, maxDelay, settings.gracePeriod_.count_)};
    settings.stateRetention_ = {in.number("keep_states_ms", 0, maxKeep, settings.stateRetention_.count_)};
    return settings;
}

CellAgentSettings readCellAgent(ObjectReader &in)
{
    CellAgentSettings settings;
    settings.name_ = in.name("name");
    settings.domain_ = in.name("domain");
    settings.announcementsAddress_ = in.address("announcements");
    settings.target_ = in.address("target");
    settings.metricsAddress_ = in.address("metrics");
    settings.storeAddress_ = in.address("store");
    settings.logLevel_ = readLogLevel(in);
    settings.gracePeriod_ = {in.number("grace_ms", 0, maxDelay, settings.gracePeriod_.count_)};
    settings.maxLease_ = {in.number("max_lease_ms", minLease, maxDelay, settings.maxLease_.count_)};
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
    ObjectReader in(root, "", problems);
    const std::string role = in.word("role", {"entry", "agent", "cell-entry", "cell-agent"}, "");
    Settings settings;
    if (role == "entry") {
        settings = readEntry(in);
    } else if (role == "agent") {
        settings = readAgent(in);
    } else if (role == "cell-entry") {
        settings = readCellEntry(in);
    } else if (role == "cell-agent") {
        settings = readCellAgent(in);
    } else {
        return makeError(file, {"role: \"entry\", \"agent\", \"cell-entry\" or \"cell-agent\" is required"});
    }
    in.refuseUnknown();
    if (!problems.empty()) {
        return makeError(file, problems);
    }
    return settings;
}

Result<Settings> loadSettings(const std::string &file)
{
    std::ifstream in(file);
    if (!in) {
        return makeError(file, {"cannot be read"});
    }
    std::ostringstream text;
    text << in.rdbuf();
    return parseSettings(file, text.str());
}

} // namespace ibiswall
