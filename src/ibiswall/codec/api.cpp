// Parses submissions and formats answers.

#include <ibiswall/codec/api.hpp>

#include "fields.hpp"
#include <algorithm>
#include <xxhash.h>

namespace ibiswall {

namespace {

// Payloads and answers are arbitrary bytes; invalid UTF-8 becomes replacement characters.
std::string dump(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Whether a text equals its JSON form without the quotes.
bool needsNoEscaping(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~' && c != '"' && c != '\\'; });
}

void appendString(std::string &out, std::string_view text)
{
    if (!needsNoEscaping(text)) {
        out += dump(text);
        return;
    }
    out += '"';
    out += text;
    out += '"';
}

// Formats a task directly as text: building a JSON tree of a thousand small objects costs more than the rest of the answer.
void appendTask(std::string &out, std::size_t index, const TaskOutcome &outcome)
{
    const bool answered = outcome.state_ == TaskState::Done || outcome.state_ == TaskState::Failed;
    out += '{';
    if (answered) {
        out += R"("answer":)";
        appendString(out, outcome.answer_);
        out += ',';
    }
    out += R"("code":)" + std::to_string(static_cast<int>(outcome.code_)) + R"(,"outcome":)";
    appendString(out, stateName(outcome.state_));
    if (!answered) {
        out += R"(,"reason":)";
        appendString(out, describe(outcome.code_));
    }
    out += R"(,"task":)" + std::to_string(index) + '}';
}

} // namespace

Result<Submission> parseSubmission(const JobId &id, std::string_view member, std::string_view body)
{
    BOOST_OUTCOME_TRY(const auto object, parseObject(body, "body", Code::BadRequest));
    BOOST_OUTCOME_TRY(allowKeys(object, {"kind", "tasks"}, Code::BadRequest));
    Submission submission;
    submission.id_ = id;
    submission.member_ = std::string(member);
    submission.bodyHash_ = XXH3_64bits(body.data(), body.size());
    BOOST_OUTCOME_TRY(submission.kind_, stringField(object, "kind", Code::BadRequest));
    const auto tasks = object.find("tasks");
    if (tasks == object.end() || !tasks->is_array()) {
        return Error{Code::BadRequest, "tasks: an array is required"};
    }
    for (std::size_t i = 0; i < tasks->size(); ++i) {
        if (!(*tasks)[i].is_string()) {
            return Error{Code::BadRequest, "tasks[" + std::to_string(i) + "]: a string is required"};
        }
        submission.payloads_.push_back((*tasks)[i].get<std::string>());
    }
    return submission;
}

std::string formatAnswer(const JobAnswer &answer)
{
    nlohmann::json json;
    json["id"] = answer.id_;
    json["state"] = answer.code_ == Code::Ok ? "complete" : "failed";
    json["code"] = static_cast<int>(answer.code_);
    json["reason"] = answer.text_.empty() ? std::string(describe(answer.code_)) : std::string(describe(answer.code_)) + ": " + answer.text_;
    if (answer.retryAfter_ > Millis{0}) {
        json["retry_after_ms"] = answer.retryAfter_.count_;
    }
    std::string out = dump(json);
    out.back() = ',';
    out += R"("tasks":[)";
    for (std::size_t i = 0; i < answer.tasks_.size(); ++i) {
        out += i == 0 ? "" : ",";
        appendTask(out, i, answer.tasks_[i]);
    }
    out += "]}";
    return out;
}

std::string formatError(const Error &error)
{
    return dump({{"state", "failed"},
                 {"code", static_cast<int>(error.code_)},
                 {"reason", std::string(describe(error.code_)) + ": " + error.text_}});
}

std::string formatIds(Span<const JobId> ids, Millis lifetime)
{
    nlohmann::json json;
    json["ids"] = nlohmann::json::array();
    for (const JobId &id : ids) {
        json["ids"].push_back(format(id));
    }
    json["life_ms"] = lifetime.count_;
    return json.dump();
}

int httpStatus(Code code)
{
    switch (code) {
    case Code::Ok:
    case Code::TaskFailed:
    case Code::OwnerGone:
        return 200;
    case Code::TooLarge:
    case Code::TooManyTasks:
        return 413;
    case Code::Unauthorized:
        return 401;
    case Code::UnknownJob:
    case Code::UnknownPath:
        return 404;
    case Code::ExpiredId:
    case Code::AnswerDropped:
        return 410;
    case Code::BodyDiffers:
    case Code::StalePlan:
    case Code::LostRace:
    case Code::NoEffect:
        return 409;
    case Code::WrongMethod:
        return 405;
    case Code::QuotaExceeded:
        return 429;
    case Code::HandlerFailed:
        return 504;
    case Code::Overloaded:
    case Code::Draining:
    case Code::NotReady:
    case Code::OwnerUnreachable:
    case Code::PlatformDown:
    case Code::NoMajority:
    case Code::Unconfirmed:
    case Code::TooManyConnections:
        return 503;
    default:
        return 400;
    }
}

} // namespace ibiswall
