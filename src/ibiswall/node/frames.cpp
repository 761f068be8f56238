// Each frame is a CBOR array of its kind, a number, and its body.

#include "frames.hpp"

#include <ibiswall/cell/cbor.hpp>

namespace ibiswall::node {

namespace {

using Json = nlohmann::json;
using cell::Run;
using cell::RunResult;
using cell::TargetInfo;

Json toJson(const Run &run)
{
    return Json::array({run.task_.job_, run.task_.step_, run.task_.index_, run.number_});
}

Run parseRun(const Json &json)
{
    Run run;
    run.task_ = {json.at(0).get<std::string>(), json.at(1).get<std::uint32_t>(), json.at(2).get<std::uint32_t>()};
    run.number_ = json.at(3).get<std::uint64_t>();
    return run;
}

Json toJson(const RunResult &result)
{
    return Json::array({result.number_, toJson(result.run_), static_cast<int>(result.kind_), result.checkpoint_});
}

RunResult parseResult(const Json &json)
{
    const int kind = json.at(2).get<int>();
    if (kind < 0 || kind > static_cast<int>(cell::RunOutcome::Lost)) {
        throw std::out_of_range("unknown run outcome");
    }
    return {json.at(0).get<std::uint64_t>(), parseRun(json.at(1)), static_cast<cell::RunOutcome>(kind), json.at(3).get<std::string>()};
}

Json toJson(const TargetInfo &info)
{
    return Json::array({info.id_, info.targetIncarnation_, info.service_, info.failureDomain_, info.labels_, info.capacity_.cpu_,
                        info.capacity_.memory_, info.capacity_.gpus_, info.draining_, info.responsive_, info.leaving_});
}

TargetInfo parseInfo(const Json &json)
{
    std::size_t at = 0;
    TargetInfo info;
    info.id_ = json.at(at++).get<std::string>();
    info.targetIncarnation_ = json.at(at++).get<std::int64_t>();
    info.service_ = json.at(at++).get<std::string>();
    info.failureDomain_ = json.at(at++).get<std::string>();
    info.labels_ = json.at(at++).get<std::vector<std::string>>();
    info.capacity_.cpu_ = json.at(at++).get<std::int64_t>();
    info.capacity_.memory_ = json.at(at++).get<std::int64_t>();
    info.capacity_.gpus_ = json.at(at++).get<std::int64_t>();
    info.draining_ = json.at(at++).get<bool>();
    info.responsive_ = json.at(at++).get<bool>();
    // Earlier versions do not send it.
    info.leaving_ = json.size() > at && json.at(at++).get<bool>();
    return info;
}

Json binary(const std::string &bytes)
{
    return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string text(const Json &json)
{
    const auto &bytes = json.get_binary();
    return {bytes.begin(), bytes.end()};
}

Json body(const LeadFrame &frame)
{
    return Json::array({frame.epoch_, frame.lastReport_, frame.term_});
}

Json body(const PingFrame &frame)
{
    return Json::array({frame.epoch_, frame.sentAt_.count_});
}

Json body(const PongFrame &frame)
{
    return Json::array({frame.epoch_, frame.sentAt_.count_, frame.lease_.count_});
}

Json body(const ReportFrame &frame)
{
    Json running = Json::array();
    for (const Run &run : frame.report_.running_) {
        running.push_back(toJson(run));
    }
    Json results = Json::array();
    for (const RunResult &result : frame.report_.results_) {
        results.push_back(toJson(result));
    }
    Json rejected = Json::array();
    for (const auto &[run, noRoom] : frame.report_.rejected_) {
        rejected.push_back(Json::array({toJson(run), noRoom}));
    }
    Json crashes = Json::array();
    for (const cell::RunCrash &crash : frame.report_.crashes_) {
        crashes.push_back(Json::array({toJson(crash.run_), crash.suspected_, crash.started_, crash.age_.count_}));
    }
    return Json::array({frame.epoch_, frame.report_.number_, frame.report_.part_,
                        frame.report_.info_ ? toJson(*frame.report_.info_) : Json(), frame.report_.targetIncarnation_, std::move(running),
                        std::move(results), std::move(rejected), std::move(crashes),
                        frame.report_.unlistedResults_ ? Json(*frame.report_.unlistedResults_) : Json()});
}

// Several tasks of a job often go to the same agent, so each payload is sent once and referred to by index.
Json body(const OrdersFrame &frame)
{
    std::map<std::string_view, std::size_t> payloadIndexes;
    Json payloads = Json::array();
    Json starts = Json::array();
    for (const cell::StartOrder &start : frame.starts_) {
        const auto [payloadIndex, added] = payloadIndexes.try_emplace(start.payload_, payloads.size());
        if (added) {
            payloads.push_back(start.payload_);
        }
        starts.push_back(Json::array({toJson(start.run_), payloadIndex->second, start.checkpoint_, start.ephemeral_}));
    }
    Json stops = Json::array();
    for (const cell::StopOrder &stop : frame.stops_) {
        stops.push_back(toJson(stop.run_));
    }
    return Json::array({frame.epoch_, std::move(payloads), std::move(starts), std::move(stops), frame.acknowledged_,
                        frame.acknowledgedIncarnation_, frame.report_});
}

Json body(const HeartbeatFrame &frame)
{
    Json interfering = Json::array();
    for (const cell::InterferingPair &pair : frame.interfering_) {
        interfering.push_back(Json::array({pair.victim_, pair.neighbour_, pair.factor_}));
    }
    Json waits = Json::object();
    for (const auto &[queue, wait] : frame.waits_) {
        waits[queue] = wait.count_;
    }
    return Json::array({frame.epoch_, frame.leader_, frame.leaderAge_.count_, frame.storeAge_.count_, frame.leaving_, frame.steppedDown_,
                        frame.millicores_, frame.sentAt_.count_, frame.holdOffFrom_.count_, Json(frame.waiting_), frame.accepting_,
                        frame.nextIn_.count_, Json(frame.contained_), frame.successor_, std::move(interfering), std::move(waits)});
}

Json body(const OffersFrame &frame)
{
    Json offers = Json::array();
    for (const cell::JobOffer &offer : frame.offers_) {
        offers.push_back(Json::array({offer.id_, binary(formatRecord(offer.record_)), offer.revision_, offer.fresh_,
                                      offer.callerTimeout_.count_, offer.age_.count_, offer.domain_}));
    }
    return offers;
}

Json body(const NoticesFrame &frame)
{
    Json notices = Json::array();
    for (const cell::Notice &notice : frame.notices_) {
        Json each = Json::array({notice.job_, static_cast<int>(notice.state_)});
        if (notice.retryAfter_ > Millis{0}) {
            each.push_back(notice.retryAfter_.count_);
        }
        notices.push_back(std::move(each));
    }
    return Json::array({frame.epoch_, frame.ephemeral_, std::move(notices)});
}

Json body(const CancelFrame &frame)
{
    return Json::array({frame.job_, frame.abandoned_});
}

Json body(const UnknownJobFrame &frame)
{
    return frame.job_;
}

Json body(const CancelRefusedFrame &frame)
{
    return frame.job_;
}

Json body(const HandoverRequestFrame &frame)
{
    return Json::array({frame.epoch_, frame.requestedAt_.count_});
}

Json body(const HandoverFrame &frame)
{
    return Json::array({frame.epoch_, frame.requestedAt_.count_, Json(frame.agents_)});
}

ReportFrame parseReport(const Json &json)
{
    std::size_t at = 0;
    ReportFrame frame;
    frame.epoch_ = json.at(at++).get<std::uint64_t>();
    cell::AgentReport &report = frame.report_;
    report.number_ = json.at(at++).get<std::int64_t>();
    report.part_ = json.at(at++).get<std::uint32_t>();
    report.full_ = report.part_ == 0;
    if (const Json &info = json.at(at++); !info.is_null()) {
        report.info_ = parseInfo(info);
    }
    report.targetIncarnation_ = json.at(at++).get<std::int64_t>();
    for (const Json &each : json.at(at++)) {
        report.running_.push_back(parseRun(each));
    }
    for (const Json &each : json.at(at++)) {
        report.results_.push_back(parseResult(each));
    }
    for (const Json &each : json.at(at++)) {
        report.rejected_.emplace_back(parseRun(each.at(0)), each.at(1).get<bool>());
    }
    // Earlier versions do not send them.
    if (json.size() > at) {
        for (const Json &each : json.at(at++)) {
            report.crashes_.push_back(
                {parseRun(each.at(0)), each.at(1).get<bool>(), each.at(2).get<bool>(), {each.at(3).get<std::int64_t>()}});
        }
    }
    if (json.size() > at && !json.at(at).is_null()) {
        report.unlistedResults_ = json.at(at).get<bool>();
    }
    return frame;
}

OrdersFrame parseOrders(const Json &json)
{
    std::size_t at = 0;
    OrdersFrame frame;
    frame.epoch_ = json.at(at++).get<std::uint64_t>();
    const Json &payloads = json.at(at++);
    for (const Json &each : json.at(at++)) {
        frame.starts_.push_back({{},
                                 parseRun(each.at(0)),
                                 payloads.at(each.at(1).get<std::size_t>()).get<std::string>(),
                                 each.at(2).get<std::string>(),
                                 each.at(3).get<bool>()});
    }
    for (const Json &each : json.at(at++)) {
        frame.stops_.push_back({{}, parseRun(each)});
    }
    frame.acknowledged_ = json.at(at++).get<std::uint64_t>();
    frame.acknowledgedIncarnation_ = json.at(at++).get<std::int64_t>();
    frame.report_ = json.at(at++).get<std::int64_t>();
    return frame;
}

HeartbeatFrame parseHeartbeat(const Json &json)
{
    std::size_t at = 0;
    HeartbeatFrame frame;
    frame.epoch_ = json.at(at++).get<std::uint64_t>();
    frame.leader_ = json.at(at++).get<std::string>();
    frame.leaderAge_ = {json.at(at++).get<std::int64_t>()};
    frame.storeAge_ = {json.at(at++).get<std::int64_t>()};
    frame.leaving_ = json.at(at++).get<bool>();
    frame.steppedDown_ = json.at(at++).get<bool>();
    frame.millicores_ = json.at(at++).get<std::int64_t>();
    frame.sentAt_ = {json.at(at++).get<std::int64_t>()};
    frame.holdOffFrom_ = {json.at(at++).get<std::int64_t>()};
    frame.waiting_ = json.at(at++).get<std::map<std::string, std::size_t>>();
    // Earlier versions do not send it.
    frame.accepting_ = json.size() > at ? json.at(at++).get<bool>() : !frame.leaving_;
    if (json.size() > at) {
        frame.nextIn_ = {json.at(at++).get<std::int64_t>()};
    }
    if (json.size() > at) {
        frame.contained_ = json.at(at++).get<std::set<std::string>>();
    }
    if (json.size() > at) {
        frame.successor_ = json.at(at++).get<std::string>();
    }
    if (json.size() > at) {
        for (const Json &pair : json.at(at++)) {
            if (frame.interfering_.size() == maxHandedOverPairs) {
                break;
            }
            frame.interfering_.push_back({pair.at(0).get<std::string>(), pair.at(1).get<std::string>(), pair.at(2).get<double>()});
        }
    }
    if (json.size() > at) {
        for (const auto &[queue, wait] : json.at(at++).get<std::map<std::string, std::int64_t>>()) {
            frame.waits_[queue] = {wait};
        }
    }
    return frame;
}

OffersFrame parseOffers(const Json &json)
{
    OffersFrame frame;
    for (const Json &each : json) {
        auto record = cell::parseRecord(text(each.at(1)));
        if (record.has_error()) {
            throw std::out_of_range(record.error().text_);
        }
        frame.offers_.push_back({each.at(0).get<std::string>(),
                                 std::move(record.value()),
                                 each.at(2).get<std::int64_t>(),
                                 each.at(3).get<bool>(),
                                 {},
                                 {each.at(4).get<std::int64_t>()},
                                 {each.at(5).get<std::int64_t>()},
                                 // Earlier versions do not send it.
                                 each.size() > 6 ? each.at(6).get<std::string>() : std::string()});
    }
    return frame;
}

NoticesFrame parseNotices(const Json &json)
{
    NoticesFrame frame;
    frame.epoch_ = json.at(0).get<std::uint64_t>();
    frame.ephemeral_ = json.at(1).get<bool>();
    for (const Json &each : json.at(2)) {
        const int state = each.at(1).get<int>();
        if (state < 0 || state > static_cast<int>(cell::JobState::Refused)) {
            throw std::out_of_range("unknown job state");
        }
        // Sent only with refusals.
        const Millis retryAfter{each.size() > 2 ? each.at(2).get<std::int64_t>() : 0};
        frame.notices_.push_back({each.at(0).get<std::string>(), static_cast<cell::JobState>(state), {}, retryAfter});
    }
    return frame;
}

// Kinds of frames on the wire, in the order of the variant.
enum Kind { Lead, Ping, Pong, Report, Orders, Heartbeat, Offers, Notices, Cancel, UnknownJob, HandoverRequest, Handover, CancelRefused };

Frame readFrame(std::size_t kind, const Json &json)
{
    switch (kind) {
    case Lead:
        return LeadFrame{json.at(0).get<std::uint64_t>(), json.at(1).get<std::int64_t>(),
                         json.size() > 2 ? json[2].get<std::uint64_t>() : 0};
    case Ping:
        return PingFrame{json.at(0).get<std::uint64_t>(), {json.at(1).get<std::int64_t>()}};
    case Pong:
        return PongFrame{json.at(0).get<std::uint64_t>(), {json.at(1).get<std::int64_t>()}, {json.at(2).get<std::int64_t>()}};
    case Report:
        return parseReport(json);
    case Orders:
        return parseOrders(json);
    case Heartbeat:
        return parseHeartbeat(json);
    case Offers:
        return parseOffers(json);
    case Notices:
        return parseNotices(json);
    case Cancel:
        return CancelFrame{json.at(0).get<std::string>(), json.at(1).get<bool>()};
    case UnknownJob:
        return UnknownJobFrame{json.get<std::string>()};
    case HandoverRequest:
        return HandoverRequestFrame{json.at(0).get<std::uint64_t>(), {json.at(1).get<std::int64_t>()}};
    case Handover:
        return HandoverFrame{json.at(0).get<std::uint64_t>(), {json.at(1).get<std::int64_t>()}, json.at(2).get<RegisteredAgents>()};
    case CancelRefused:
        return CancelRefusedFrame{json.get<std::string>()};
    default:
        throw std::out_of_range("unknown frame kind " + std::to_string(kind));
    }
}

} // namespace

std::string formatFrame(const Frame &frame)
{
    Json json = Json::array({frame.index(), std::visit([](const auto &each) { return body(each); }, frame)});
    const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
    return {bytes.begin(), bytes.end()};
}

Result<Frame> parseFrame(std::string_view bytes)
{
    try {
        const Json json = cell::parseCbor(bytes);
        return readFrame(json.at(0).get<std::size_t>(), json.at(1));
    } catch (const std::exception &error) {
        return Error{Code::BadFrame, error.what()};
    }
}

} // namespace ibiswall::node
