// Fixture for tests of the supervisor of a target.

#pragma once

#include "testparts.hpp"

#include <boost/test/unit_test.hpp>
#include <ibiswall/cell/targetsupervisor.hpp>

namespace ibiswall::cell {

/// A supervisor that follows a dispatcher, has reported to it and holds an agent lease.
struct TargetSupervisorFixture
{
    explicit TargetSupervisorFixture(Millis agentLeaseUntil = {100000})
    {
        supervisor_.onAnnouncement(testTarget("t"), 0, now_);
        supervisor_.follow({1, 0}, now_);
        answerRenewals({}, {});
        const AgentReport report = supervisor_.takeReport();
        BOOST_REQUIRE(report.full_);
        report_ = report.number_;
        supervisor_.renewAgentLease(agentLeaseUntil);
    }

    void start(const std::string &job, std::uint64_t number)
    {
        supervisor_.start({{job, 0, 0}, number}, "payload", {}, true, report_, now_);
    }

    std::vector<TargetCall> calls(TargetCall::Kind kind)
    {
        std::vector<TargetCall> matching;
        for (TargetCall &call : supervisor_.takeCalls()) {
            (call.kind_ == kind ? matching : otherCalls_).push_back(std::move(call));
        }
        for (auto each = otherCalls_.begin(); each != otherCalls_.end();) {
            if (each->kind_ == kind) {
                matching.push_back(std::move(*each));
                each = otherCalls_.erase(each);
            } else {
                ++each;
            }
        }
        return matching;
    }

    void answerRenewals(const std::vector<Run> &running, const std::vector<RunResult> &results, std::int64_t incarnation = 1)
    {
        supervisor_.tick(now_);
        for (const TargetCall &call : calls(TargetCall::Kind::Renew)) {
            supervisor_.onRenewalReply(call, {CallOutcome::Ok, now_.count_, incarnation, running, results}, now_);
        }
    }

    void answerStart(CallOutcome outcome)
    {
        supervisor_.onStartReply(calls(TargetCall::Kind::Start).at(0), outcome, now_);
    }

    void startRunning(const std::string &job, std::uint64_t number)
    {
        start(job, number);
        answerStart(CallOutcome::Ok);
    }

    /// The target announces itself as its second incarnation.
    void restartTarget()
    {
        TargetInfo restarted = testTarget("t");
        restarted.targetIncarnation_ = 2;
        supervisor_.onAnnouncement(restarted, 0, now_);
    }

    void failRenewals(CallOutcome outcome)
    {
        supervisor_.tick(now_);
        for (const TargetCall &call : calls(TargetCall::Kind::Renew)) {
            RenewalReply reply;
            reply.outcome_ = outcome;
            supervisor_.onRenewalReply(call, reply, now_);
        }
    }

    void refuseRenewals()
    {
        failRenewals(CallOutcome::Refused);
    }

    void advance(std::int64_t millis)
    {
        now_ = now_ + Millis{millis};
    }

    Millis now_{1000};
    TargetSupervisor supervisor_{{}, 1};
    std::int64_t report_ = 0;
    std::vector<TargetCall> otherCalls_;
};

} // namespace ibiswall::cell
