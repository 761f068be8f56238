// Job records in CBOR, as arrays in the order of the fields.

#include <ibiswall/cell/record.hpp>

#include "stepcodec.hpp"
#include <algorithm>
#include <ibiswall/cell/cbor.hpp>

namespace ibiswall::cell {

namespace {

using Json = nlohmann::json;

constexpr int recordFormat = 1;

Json formatQueue(const std::optional<Queue> &queue)
{
    if (!queue) {
        return Json::array();
    }
    return Json::array({queue->service_, queue->priority_, queue->maxAttempts_, queue->stretch_, queue->allowance_.count_});
}

std::optional<Queue> parseQueue(const Json &json, const std::string &name)
{
    if (json.empty()) {
        return std::nullopt;
    }
    Queue queue;
    queue.name_ = name;
    std::size_t at = 0;
    queue.service_ = json.at(at++).get<std::string>();
    queue.priority_ = json.at(at++).get<std::uint32_t>();
    queue.maxAttempts_ = json.at(at++).get<std::uint32_t>();
    queue.stretch_ = json.at(at++).get<double>();
    queue.allowance_ = {json.at(at++).get<std::int64_t>()};
    return queue;
}

Json formatSpec(const JobSpec &spec)
{
    Json steps = Json::array();
    for (const Step &step : spec.steps_) {
        steps.push_back(formatStep(step));
    }
    return Json::array({spec.queue_, spec.payload_, std::move(steps), spec.ephemeral_, formatQueue(spec.acceptedBy_)});
}

JobSpec parseSpec(const Json &json)
{
    JobSpec spec;
    spec.queue_ = json.at(0).get<std::string>();
    spec.payload_ = json.at(1).get<std::string>();
    std::uint64_t tasks = 0;
    for (const Json &each : json.at(2)) {
        Step step = parseStep(each);
        tasks += step.count_;
        if (step.count_ == 0 || tasks > maxTasksOfJob) {
            throw std::out_of_range("invalid number of tasks");
        }
        if (std::any_of(step.after_.begin(), step.after_.end(), [&spec](std::uint32_t before) { return before >= spec.steps_.size(); })) {
            throw std::out_of_range("step depends on a step that is not an earlier one");
        }
        spec.steps_.push_back(std::move(step));
    }
    spec.ephemeral_ = json.at(3).get<bool>();
    // Earlier versions do not store it.
    constexpr std::size_t queueAt = 4;
    if (json.size() > queueAt) {
        spec.acceptedBy_ = parseQueue(json.at(queueAt), spec.queue_);
    }
    return spec;
}

// Packs flags into the bytes of a string, lowest bit first.
std::string packFlags(const std::vector<bool> &flags)
{
    constexpr std::size_t bits = 8;
    std::string out((flags.size() + bits - 1) / bits, '\0');
    for (std::size_t i = 0; i < flags.size(); ++i) {
        if (flags[i]) {
            out[i / bits] = static_cast<char>(static_cast<unsigned char>(out[i / bits]) | (1U << (i % bits)));
        }
    }
    return out;
}

std::vector<bool> unpackFlags(const std::string &bytes, std::size_t count)
{
    constexpr std::size_t bits = 8;
    std::vector<bool> flags;
    if (bytes.empty()) {
        return flags;
    }
    flags.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
        flags[i] = ((static_cast<unsigned char>(bytes.at(i / bits)) >> (i % bits)) & 1U) != 0;
    }
    return flags;
}

Json::binary_t binary(const std::string &bytes)
{
    return Json::binary_t(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string text(const Json &json)
{
    const auto &bytes = json.get_binary();
    return {bytes.begin(), bytes.end()};
}

Json formatCrashes(const std::vector<StoredCrash> &crashes)
{
    Json out = Json::array();
    for (const StoredCrash &crash : crashes) {
        out.push_back(Json::array({crash.task_, crash.run_, crash.suspected_, crash.started_}));
    }
    return out;
}

std::vector<StoredCrash> parseCrashes(const Json &json, std::size_t tasks)
{
    std::vector<StoredCrash> crashes;
    for (const Json &each : json) {
        crashes.push_back(
            {each.at(0).get<std::uint32_t>(), each.at(1).get<std::uint64_t>(), each.at(2).get<bool>(), each.at(3).get<bool>()});
        if (crashes.back().task_ >= tasks) {
            throw std::out_of_range("crash refers to a task that the job does not have");
        }
    }
    return crashes;
}

JobRecord readRecord(const Json &json)
{
    if (json.at(0).get<int>() != recordFormat) {
        throw std::out_of_range("unknown job record format");
    }
    JobRecord record;
    record.nonce_ = json.at(1).get<std::string>();
    const int state = json.at(2).get<int>();
    if (state < 0 || (state > static_cast<int>(JobState::Cancelled) && state != static_cast<int>(JobState::Withdrawn))) {
        throw std::out_of_range("unknown job state");
    }
    record.progress_.state_ = static_cast<JobState>(state);
    record.progress_.endedAt_ = json.at(3).get<std::int64_t>();
    record.spec_ = parseSpec(json.at(4));
    const std::size_t tasks = taskCount(record.spec_);
    record.progress_.done_ = unpackFlags(text(json.at(5)), tasks);
    constexpr std::size_t failedRunsAt = 6;
    record.progress_.failedRuns_ = json.at(failedRunsAt).get<std::vector<std::pair<std::uint32_t, std::uint64_t>>>();
    for (const auto &[task, run] : record.progress_.failedRuns_) {
        if (task >= tasks) {
            throw std::out_of_range("failed run refers to a task that the job does not have");
        }
    }
    // Earlier versions do not store them.
    constexpr std::size_t crashesAt = 7;
    if (json.size() > crashesAt) {
        record.progress_.crashes_ = parseCrashes(json.at(crashesAt), tasks);
    }
    return record;
}

} // namespace

std::string formatRecord(const JobRecord &record)
{
    JobSpec spec = record.spec_;
    const bool ended = isFinal(record.progress_.state_);
    if (ended) {
        spec.payload_.clear();
        spec.steps_.clear();
        spec.acceptedBy_.reset();
    }
    const Json json = Json::array({recordFormat, record.nonce_, static_cast<int>(record.progress_.state_), record.progress_.endedAt_,
                                   formatSpec(spec), binary(ended ? std::string() : packFlags(record.progress_.done_)),
                                   ended ? Json::array() : Json(record.progress_.failedRuns_),
                                   formatCrashes(ended ? std::vector<StoredCrash>() : record.progress_.crashes_)});
    const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
    return {bytes.begin(), bytes.end()};
}

Result<JobRecord> parseRecord(std::string_view bytes)
{
    try {
        return readRecord(parseCbor(bytes));
    } catch (const std::exception &error) {
        return Error{Code::Corrupt, std::string("job record: ") + error.what()};
    }
}

} // namespace ibiswall::cell
