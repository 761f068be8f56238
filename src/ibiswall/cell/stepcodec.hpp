// A step of a job as a CBOR array, shared by stored records and frames.

#pragma once

#include <ibiswall/cell/model.hpp>
#include <nlohmann/json.hpp>

namespace ibiswall::cell {

inline nlohmann::json formatStep(const Step &step)
{
    return nlohmann::json::array({step.count_, step.need_.cpu_, step.need_.memory_, step.need_.gpus_, step.estimate_.count_, step.after_,
                                  step.requiredLabel_, step.dataRack_, step.maxPerTarget_, step.checkpoints_, step.image_});
}

/// Throws when the array is not a step.
inline Step parseStep(const nlohmann::json &json)
{
    std::size_t at = 0;
    Step step;
    step.count_ = json.at(at++).get<std::uint32_t>();
    step.need_.cpu_ = json.at(at++).get<std::int64_t>();
    step.need_.memory_ = json.at(at++).get<std::int64_t>();
    step.need_.gpus_ = json.at(at++).get<std::int64_t>();
    step.estimate_ = {json.at(at++).get<std::int64_t>()};
    step.after_ = json.at(at++).get<std::vector<std::uint32_t>>();
    step.requiredLabel_ = json.at(at++).get<std::string>();
    step.dataRack_ = json.at(at++).get<std::string>();
    step.maxPerTarget_ = json.at(at++).get<std::uint32_t>();
    step.checkpoints_ = json.at(at++).get<bool>();
    // Earlier versions do not store it.
    if (json.size() > at) {
        step.image_ = json.at(at++).get<std::string>();
    }
    return step;
}

} // namespace ibiswall::cell
