// Test data shared by the tests of a cell.

#pragma once

#include <ibiswall/cell/dispatcher.hpp>

namespace ibiswall::cell {

inline CellConfig testConfig()
{
    CellConfig config;
    config.version_ = 1;
    config.queues_["urgent"] = {"urgent", "h", "/u/", "desk", 0, 2, 1.6, {60}};
    config.queues_["later"] = {"later", "h", "/l/", "desk", 2, 2, 1.6, {60}};
    return config;
}

inline TargetInfo testTarget(const std::string &id, std::int64_t cpu = 8000, const std::string &domain = "fd-1")
{
    TargetInfo info;
    info.id_ = id;
    info.targetIncarnation_ = 1;
    info.service_ = "desk";
    info.failureDomain_ = domain;
    info.labels_ = {"a", "r1"};
    info.capacity_ = {cpu, 64000, 0};
    return info;
}

inline Step testStep(std::uint32_t count, std::int64_t cpu = 1000)
{
    Step step;
    step.count_ = count;
    step.need_ = {cpu, 64, 0};
    step.estimate_ = {100};
    return step;
}

inline JobOffer testJob(const std::string &id, std::vector<Step> steps, bool ephemeral = true, const std::string &queue = "urgent")
{
    JobOffer offer;
    offer.id_ = id;
    offer.record_.spec_ = {queue, "payload", std::move(steps), ephemeral};
    offer.revision_ = 7;
    offer.fresh_ = true;
    offer.origin_ = "entry-1";
    return offer;
}

} // namespace ibiswall::cell
