// An attendant under test, and its target as far as a test needs one.

#pragma once

#include "testparts.hpp"

#include <boost/test/unit_test.hpp>
#include <ibiswall/cell/targetsupervisor.hpp>

namespace ibiswall::cell {

/// An attendant that follows a dispatcher, has reported to it and holds a right.
struct TargetSupervisorFixture
{
    TargetSupervisorFixture()
    {
        attendant_.announced(testTarget("t"), 0, now_);
        attendant_.follow(1, 0, now_);
        answerHolds({}, {});
        const AgentReport report = attendant_.takeReport();
        BOOST_REQUIRE(report.whole_);
        report_ = report.number_;
        attendant_.grant({100000});
    }

    void start(const std::string &job, std::uint64_t number)
    {
        attendant_.start({{job, 0, 0}, number}, "payload", {}, true, report_, now_);
    }

    std::vector<TargetCall> calls(TargetCall::Kind kind)
    {
        std::vector<TargetCall> wanted;
        for (TargetCall &call : attendant_.takeCalls()) {
            (call.kind_ == kind ? wanted : left_).push_back(std::move(call));
        }
        for (auto each = left_.begin(); each != left_.end();) {
            if (each->kind_ == kind) {
                wanted.push_back(std::move(*each));
                each = left_.erase(each);
            } else {
                ++each;
            }
        }
        return wanted;
    }

    void answerHolds(const std::vector<Run> &running, const std::vector<End> &ends, std::int64_t born = 1)
    {
        attendant_.tick(now_);
        for (const TargetCall &call : calls(TargetCall::Kind::Hold)) {
            attendant_.held(call, {CallOutcome::Ok, now_.count_, born, running, ends}, now_);
        }
    }

    void pass(std::int64_t millis)
    {
        now_ = now_ + Millis{millis};
    }

    Millis now_{1000};
    TargetSupervisor attendant_{{}, 1};
    std::int64_t report_ = 0;
    std::vector<TargetCall> left_;
};

} // namespace ibiswall::cell
