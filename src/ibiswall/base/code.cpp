// Descriptions of the result codes.

#include <ibiswall/base.hpp>

namespace ibiswall {

std::string_view describe(Code code)
{
    switch (code) {
    case Code::Ok:
        return "ok";
    case Code::BadRequest:
        return "bad request";
    case Code::TooLarge:
        return "body too large";
    case Code::TooManyTasks:
        return "too many tasks";
    case Code::Unauthorized:
        return "unknown caller";
    case Code::UnknownKind:
        return "unknown kind";
    case Code::UnknownJob:
        return "unknown job";
    case Code::ExpiredId:
        return "job id expired";
    case Code::BodyDiffers:
        return "job id already used with another body";
    case Code::WrongMethod:
        return "method not allowed";
    case Code::WrongProtocol:
        return "wrong version of the system protocol";
    case Code::BadFrame:
        return "malformed frame";
    case Code::UnknownPath:
        return "unknown path";
    case Code::TooManyConnections:
        return "too many connections";
    case Code::Overloaded:
        return "not run: overloaded";
    case Code::QuotaExceeded:
        return "not run: quota exceeded";
    case Code::DeadlinePassed:
        return "not run: deadline passed";
    case Code::Cancelled:
        return "not run: cancelled";
    case Code::NeverRunnable:
        return "not run: no worker can ever run it";
    case Code::OutOfService:
        return "not run: failure domain or target out of service";
    case Code::NoLease:
        return "not run: no current right to start";
    case Code::TargetDraining:
        return "not run: target is leaving";
    case Code::ConnectRefused:
        return "not run: target refused the connection";
    case Code::DuplicateStart:
        return "start refused: task seen before";
    case Code::Draining:
        return "not run: entry is stopping";
    case Code::NotReady:
        return "not run: entry is not ready";
    case Code::ConnectionLost:
        return "may have run: connection lost";
    case Code::OwnerGone:
        return "may have run: home entry is gone";
    case Code::CallTimeout:
        return "may have run: target did not answer in time";
    case Code::OwnerUnreachable:
        return "unknown: home entry cannot be reached, ask again";
    case Code::AnswerDropped:
        return "ran before: its answer is no longer kept";
    case Code::HandlerFailed:
        return "unknown: request failed inside the process, ask again";
    case Code::TargetFailed:
        return "ran: target reported failure";
    case Code::TaskFailed:
        return "failed: at least one task did not complete";
    case Code::StalePlan:
        return "plan is stale";
    case Code::LostRace:
        return "another change was accepted first";
    case Code::PlatformDown:
        return "platform cannot be reached";
    case Code::NoMajority:
        return "too few entries can be heard";
    case Code::Unconfirmed:
        return "change may take effect later, read the audit trail";
    case Code::NoEffect:
        return "intent changes nothing";
    case Code::BadIntent:
        return "bad intent";
    case Code::Corrupt:
        return "stored value cannot be read";
    case Code::BadSettings:
        return "bad settings";
    case Code::BadUsage:
        return "bad command line";
    case Code::CannotListen:
        return "cannot listen";
    case Code::CannotConnect:
        return "cannot connect";
    }
    return "unknown code";
}

bool meansNotRun(Code code)
{
    const int number = static_cast<int>(code);
    return number >= static_cast<int>(Code::Overloaded) && number < static_cast<int>(Code::ConnectionLost) && code != Code::DuplicateStart;
}

} // namespace ibiswall
