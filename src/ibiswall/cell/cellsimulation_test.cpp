// The made-up cell, and the histories played in it.

#include "cellsimulation.hpp"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>

namespace ibiswall::cell {

namespace {

constexpr std::int64_t firstSecond = 1000;
constexpr std::int64_t faultsEnd = 20000;
constexpr std::int64_t worldEnd = 45000;
constexpr std::int64_t agentRight = 1000;
constexpr std::int64_t leaderRight = 3500;
constexpr std::int64_t slack = 200;

// A target as its agent meets it.
struct ModelTarget
{
    struct Running
    {
        std::uint64_t run_ = 0;
        std::int64_t endsAt_ = 0;
        bool fails_ = false;
    };

    bool up_ = true;
    std::int64_t born_ = 1;
    std::int64_t lease_ = 0;
    std::uint64_t fence_ = 0;
    std::map<TaskId, Running> running_;
    std::map<TaskId, std::uint64_t> over_;
    std::vector<End> ends_;
    std::uint64_t lastEnd_ = 0;

    void end(const TaskId &task, EndKind kind)
    {
        const std::uint64_t run = running_.at(task).run_;
        over_[task] = std::max(over_[task], run);
        ends_.push_back({++lastEnd_, {task, run}, kind, {}});
        running_.erase(task);
    }

    void crash()
    {
        up_ = false;
        running_.clear();
        over_.clear();
        ends_.clear();
        lastEnd_ = 0;
        fence_ = 0;
        lease_ = 0;
    }
};

struct ModelAgent
{
    std::string name_;
    ModelTarget target_;
    std::unique_ptr<TargetSupervisor> attendant_;
    std::int64_t pingedAt_ = 0;
    std::int64_t announcedAt_ = -10000;
    /// Numbers the processes beside the target, and the paths between each and the leaders.
    std::uint64_t life_ = 0;
    std::uint64_t path_ = 0;
};

// A dispatcher and what its process keeps of its agents.
struct ModelLeader
{
    struct Known
    {
        bool trusted_ = false;
        std::int64_t grantedAt_ = 0;
        ReportOrder reports_;
    };

    explicit ModelLeader(std::uint64_t epoch)
        : epoch_(epoch)
        , dispatcher_(epoch)
    {
    }

    std::uint64_t epoch_;
    Dispatcher dispatcher_;
    std::map<int, Known> known_;
    std::int64_t since_ = 0;
    std::int64_t provedAt_ = 0;
    bool gathered_ = false;
    /// Set once the agents that it reaches have reported; offers wait for it.
    bool settled_ = false;
    std::vector<JobOffer> early_;
    bool alive_ = true;
};

class CellSimulation
{
public:
    explicit CellSimulation(const SimulationSettings &settings)
        : settings_(settings)
        , noise_(settings.seed_)
        , agents_(static_cast<std::size_t>(settings.agents_))
        , cut_(static_cast<std::size_t>(settings.agents_), 0)
    {
    }

    SimulationResult play()
    {
        for (int i = 0; i < settings_.agents_; ++i) {
            agents_[static_cast<std::size_t>(i)].name_ = "a" + std::to_string(i);
            renewAgent(i);
        }
        lead(false);
        for (int i = 0; i < settings_.jobs_; ++i) {
            at(firstSecond + pick(faultsEnd - firstSecond), [this, i] { submit(i); });
        }
        for (int i = 0; i < settings_.faults_; ++i) {
            at(firstSecond + pick(faultsEnd - firstSecond), [this] { fault(); });
        }
        while (now_ < worldEnd) {
            step();
        }
        for (const auto &[id, done] : open_) {
            result_.violations_.push_back(id + " never ended");
        }
        return std::move(result_);
    }

private:
    using Event = std::pair<std::int64_t, std::uint64_t>;

    std::int64_t pick(std::int64_t bound)
    {
        return static_cast<std::int64_t>(noise_() % static_cast<std::uint64_t>(bound));
    }

    bool chance(double share)
    {
        return static_cast<double>(noise_() % 10000) < share * 10000;
    }

    void at(std::int64_t when, std::function<void()> what)
    {
        events_.emplace(Event{when, nextEvent_++}, std::move(what));
    }

    void after(std::int64_t delay, std::function<void()> what)
    {
        at(now_ + delay, std::move(what));
    }

    ModelAgent &agent(int i)
    {
        return agents_[static_cast<std::size_t>(i)];
    }

    void step()
    {
        ++now_;
        while (!events_.empty() && events_.begin()->first.first <= now_) {
            const auto what = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            what();
        }
        for (ModelAgent &each : agents_) {
            runTarget(each.target_);
        }
        if (now_ % 10 == 0) {
            for (int i = 0; i < settings_.agents_; ++i) {
                tickAgent(i);
            }
            for (const auto &leader : leaders_) {
                tickLeader(*leader);
            }
        }
    }

    static constexpr std::int64_t clockOffset = 50000;

    void runTarget(ModelTarget &target)
    {
        std::vector<std::pair<TaskId, EndKind>> over;
        for (const auto &[task, running] : target.running_) {
            if (now_ + clockOffset >= target.lease_) {
                over.emplace_back(task, EndKind::Lapsed);
            } else if (now_ >= running.endsAt_) {
                over.emplace_back(task, running.fails_ ? EndKind::Failed : EndKind::Done);
            }
        }
        for (const auto &[task, kind] : over) {
            target.end(task, kind);
        }
    }

    // Carries a call out at the target.
    HoldAnswer carryOut(ModelAgent &each, const TargetCall &call)
    {
        ModelTarget &target = each.target_;
        HoldAnswer answer;
        answer.born_ = target.born_;
        answer.clock_ = now_ + clockOffset;
        if (!target.up_ || (call.born_ != 0 && call.born_ != target.born_)) {
            answer.outcome_ = CallOutcome::NotSent;
            return answer;
        }
        if (call.epoch_ < target.fence_) {
            answer.outcome_ = CallOutcome::Rejected;
            return answer;
        }
        target.fence_ = std::max(target.fence_, call.epoch_);
        if (call.leaseEnd_) {
            target.lease_ = std::max(target.lease_, *call.leaseEnd_);
        }
        answer.outcome_ = CallOutcome::Ok;
        if (call.kind_ == TargetCall::Kind::Start) {
            answer.outcome_ = start(each, call);
        } else if (call.kind_ == TargetCall::Kind::Stop) {
            target.over_[call.run_.task_] = std::max(target.over_[call.run_.task_], call.run_.number_);
            const auto found = target.running_.find(call.run_.task_);
            if (found != target.running_.end() && found->second.run_ <= call.run_.number_) {
                target.end(call.run_.task_, EndKind::Stopped);
            }
        } else {
            forget(target, call.acknowledged_);
            for (const auto &[task, running] : target.running_) {
                answer.running_.push_back({task, running.run_});
            }
            answer.ends_ = target.ends_;
        }
        return answer;
    }

    CallOutcome start(ModelAgent &each, const TargetCall &call)
    {
        ModelTarget &target = each.target_;
        const TaskId &task = call.run_.task_;
        if (*call.leaseEnd_ <= now_ + clockOffset || call.run_.number_ <= target.over_[task]) {
            return CallOutcome::Rejected;
        }
        const auto found = target.running_.find(task);
        if (found != target.running_.end()) {
            return found->second.run_ == call.run_.number_ ? CallOutcome::Ok : CallOutcome::Rejected;
        }
        ++result_.starts_;
        for (const ModelAgent &other : agents_) {
            if (&other != &each && other.target_.up_ && other.target_.running_.count(task) != 0) {
                violation(task, "runs twice at once, on " + other.name_ + " and " + each.name_);
            }
        }
        if (durableDone_.count(task) != 0) {
            violation(task, "started again after its end was noted");
        }
        target.running_[task] = {call.run_.number_, now_ + 30 + pick(400), chance(0.03)};
        return CallOutcome::Ok;
    }

    void forget(ModelTarget &target, std::uint64_t through)
    {
        for (auto each = target.ends_.begin(); each != target.ends_.end();) {
            if (each->number_ > through) {
                ++each;
                continue;
            }
            if (each->kind_ == EndKind::Done && each->run_.task_.job_[0] == 'd') {
                durableDone_.insert(each->run_.task_);
            }
            each = target.ends_.erase(each);
        }
    }

    void violation(const TaskId &task, const std::string &what)
    {
        result_.violations_.push_back(std::to_string(now_) + " ms: " + task.job_ + '.' + std::to_string(task.index_) + ' ' + what);
    }

    void renewAgent(int i)
    {
        ModelAgent &each = agent(i);
        ++each.life_;
        ++each.path_;
        each.attendant_ = std::make_unique<TargetSupervisor>(TargetSupervisorSettings{}, now_ + 1);
        each.announcedAt_ = now_ - 1500 + pick(1500);
        reach(i);
    }

    // The path between an agent and the leaders is new: the leader introduces itself.
    void reach(int i)
    {
        for (const auto &leader : leaders_) {
            if (connected(*leader, i)) {
                leader->known_[i].reports_.restart();
                leader->dispatcher_.pause(agent(i).name_);
                sendLead(leader, i);
            }
        }
    }

    bool connected(const ModelLeader &leader, int i) const
    {
        // Set while the newest leader cannot reach an agent that an older one still reaches.
        const bool hidden = cut_[static_cast<std::size_t>(i)] > now_;
        return leader.alive_ && (hidden ? leader.epoch_ != leaders_.back()->epoch_ && hiddenFrom_ == leaders_.back()->epoch_ : true);
    }

    void sendLead(const std::shared_ptr<ModelLeader> &leader, int i)
    {
        const std::uint64_t path = agent(i).path_;
        after(1 + pick(3), [this, leader, i, path] {
            if (agent(i).path_ == path && connected(*leader, i)) {
                agent(i).attendant_->follow(leader->epoch_, leader->known_[i].reports_.last().number_, {now_});
                flushAgent(i);
            }
        });
    }

    void tickAgent(int i)
    {
        ModelAgent &each = agent(i);
        if (each.target_.up_ && now_ >= each.announcedAt_ + 1500) {
            each.announcedAt_ = now_;
            TargetInfo info = testTarget("t-" + each.name_);
            info.born_ = each.target_.born_;
            each.attendant_->announced(info, now_ + clockOffset, {now_});
        }
        if (now_ >= each.pingedAt_ + 150) {
            each.pingedAt_ = now_;
            ping(i);
        }
        each.attendant_->tick({now_});
        flushAgent(i);
    }

    std::shared_ptr<ModelLeader> leaderOf(std::uint64_t epoch) const
    {
        for (const auto &leader : leaders_) {
            if (leader->epoch_ == epoch) {
                return leader;
            }
        }
        return nullptr;
    }

    void ping(int i)
    {
        const auto leader = leaderOf(agent(i).attendant_->epoch());
        if (!leader || !connected(*leader, i)) {
            return;
        }
        const std::int64_t sentAt = now_;
        const std::uint64_t path = agent(i).path_;
        after(1 + pick(3), [this, leader, i, sentAt, path] {
            ModelLeader::Known &known = leader->known_[i];
            if (!leader->alive_ || !connected(*leader, i)) {
                return;
            }
            if (!known.reports_.isComplete()) {
                sendLead(leader, i);
                return;
            }
            const std::int64_t right = std::min(agentRight, leader->provedAt_ + leaderRight - now_);
            if (right <= 0) {
                return;
            }
            known.grantedAt_ = now_;
            after(1 + pick(3), [this, leader, i, sentAt, right, path] {
                if (agent(i).path_ == path && agent(i).attendant_->epoch() == leader->epoch_ && connected(*leader, i)) {
                    agent(i).attendant_->grant({sentAt + right});
                }
            });
        });
    }

    // Makes an agent's calls and sends its reports.
    void flushAgent(int i)
    {
        ModelAgent &each = agent(i);
        for (const TargetCall &call : each.attendant_->takeCalls()) {
            makeCall(i, call);
        }
        const AgentReport report = each.attendant_->takeReport();
        const auto leader = leaderOf(each.attendant_->epoch());
        if (report.isEmpty() || !leader || !connected(*leader, i)) {
            return;
        }
        // Some reports go over a path that is about to be replaced, and arrive after later ones.
        constexpr std::int64_t longestDetour = 60;
        const bool detour = now_ < faultsEnd && chance(0.02);
        const std::uint64_t path = each.path_;
        after(detour ? 1 + pick(longestDetour) : linkDelay(i, 0), [this, leader, i, report, path, detour] {
            if ((detour || agent(i).path_ == path) && connected(*leader, i)) {
                takeReport(*leader, i, report);
            }
        });
    }

    // Frames on one path do not overtake each other.
    std::int64_t linkDelay(int i, int direction)
    {
        std::int64_t &last = lastFrame_[{i, direction}];
        last = std::max(last, now_ + 1 + pick(4));
        return last - now_;
    }

    void makeCall(int i, const TargetCall &call)
    {
        ModelAgent &each = agent(i);
        const std::uint64_t life = each.life_;
        if (now_ < faultsEnd && chance(settings_.lostCalls_)) {
            after(80, [this, i, call, life] { answer(i, call, {}, life); });
            if (chance(0.5)) {
                after(2000 + pick(10000), [this, i, call] { carryOut(agent(i), call); });
            }
            return;
        }
        after(1, [this, i, call, life] {
            const HoldAnswer result = carryOut(agent(i), call);
            after(1 + pick(2), [this, i, call, result, life] { answer(i, call, result, life); });
        });
    }

    void answer(int i, const TargetCall &call, const HoldAnswer &result, std::uint64_t life)
    {
        if (agent(i).life_ != life) {
            return;
        }
        TargetSupervisor &attendant = *agent(i).attendant_;
        if (call.kind_ == TargetCall::Kind::Hold) {
            attendant.held(call, result, {now_});
        } else if (call.kind_ == TargetCall::Kind::Start) {
            attendant.started(call, result.outcome_, {now_});
        } else {
            attendant.stopped(call, result.outcome_, {now_});
        }
        flushAgent(i);
    }

    void takeReport(ModelLeader &leader, int i, const AgentReport &report)
    {
        ModelLeader::Known &known = leader.known_[i];
        const std::string &name = agent(i).name_;
        const ReportVerdict verdict = known.reports_.judge(report);
        if (verdict == ReportVerdict::Incomplete) {
            leader.dispatcher_.pause(name);
        }
        if (verdict != ReportVerdict::TakeIn && (!settings_.withoutStaleReports_ || verdict != ReportVerdict::Stale)) {
            return;
        }
        if (report.whole_) {
            known.trusted_ = true;
            known.grantedAt_ = now_;
            leader.dispatcher_.report(name, report.info_, report.born_, report.running_, report.ends_, {now_});
        } else {
            if (report.info_) {
                leader.dispatcher_.targetChanged(name, *report.info_);
            }
            for (const End &end : report.ends_) {
                leader.dispatcher_.ended(name, end, {now_});
            }
            for (const auto &[run, forRoom] : report.refused_) {
                leader.dispatcher_.refused(name, run, forRoom, {now_});
            }
        }
    }

    void tickLeader(ModelLeader &leader)
    {
        if (!leader.alive_) {
            return;
        }
        const bool current = leaders_.back()->epoch_ == leader.epoch_;
        if (current) {
            leader.provedAt_ = now_;
            leader.dispatcher_.confirmLost({now_});
        }
        for (auto &[i, known] : leader.known_) {
            if (known.trusted_ && now_ > known.grantedAt_ + agentRight + slack) {
                known.reports_.restart();
                known.trusted_ = false;
                leader.dispatcher_.targetLost(agent(i).name_, {now_});
                reach(i);
            }
        }
        if (!leader.settled_ && isSettled(leader)) {
            leader.settled_ = true;
            for (const JobOffer &offer : std::exchange(leader.early_, {})) {
                offerTo(leader, offer);
            }
        }
        if (!leader.gathered_ && isGathered(leader)) {
            leader.gathered_ = true;
            leader.dispatcher_.gathered({now_});
        }
        if (now_ < leader.provedAt_ + leaderRight) {
            leader.dispatcher_.schedule({now_});
        }
        sendEffects(leader);
        if (current) {
            storeWrites(leader);
        }
    }

    bool isSettled(const ModelLeader &leader) const
    {
        if (settings_.withoutSettling_ || leader.epoch_ == 1 || now_ > leader.since_ + agentRight + slack) {
            return true;
        }
        for (int i = 0; i < settings_.agents_; ++i) {
            const auto known = leader.known_.find(i);
            if (connected(leader, i) && (known == leader.known_.end() || !known->second.reports_.isComplete())) {
                return false;
            }
        }
        return true;
    }

    // Offers a job as an entry does; a job that has ended meanwhile is told so.
    void offerTo(ModelLeader &leader, const JobOffer &offer)
    {
        if (!leader.settled_) {
            leader.early_.push_back(offer);
        } else if (leader.dispatcher_.addJob(offer, {now_}) && open_.erase(offer.id_) > 0) {
            ++result_.completed_;
        }
    }

    bool isGathered(const ModelLeader &leader) const
    {
        if (settings_.withoutGathering_ || leader.provedAt_ > leader.since_ + leaderRight + slack) {
            return true;
        }
        for (int i = 0; i < settings_.agents_; ++i) {
            const auto known = leader.known_.find(i);
            if (known == leader.known_.end() || !known->second.reports_.isComplete()) {
                return false;
            }
        }
        return true;
    }

    void sendEffects(ModelLeader &leader)
    {
        const Effects effects = leader.dispatcher_.takeEffects();
        for (int i = 0; i < settings_.agents_; ++i) {
            sendOrders(leader, i, effects);
        }
        for (const Notice &notice : effects.notices_) {
            if (isFinal(notice.state_) && open_.erase(notice.job_) > 0) {
                ++result_.completed_;
            }
        }
        for (const std::string &job : effects.lookups_) {
            const auto stored = store_.find(job);
            if (stored != store_.end()) {
                leader.dispatcher_.addJob({job, stored->second.first, stored->second.second, false, {}, {}, {}}, {now_});
            } else {
                const auto self = leaderOf(leader.epoch_);
                after(2500, [self, job] {
                    if (!self->dispatcher_.knows(job)) {
                        self->dispatcher_.forgetJob(job);
                    }
                });
            }
        }
    }

    void sendOrders(ModelLeader &leader, int i, const Effects &effects)
    {
        const std::string &name = agent(i).name_;
        const auto self = leaderOf(leader.epoch_);
        const std::int64_t report = leader.known_[i].reports_.last().number_;
        std::vector<std::function<void(TargetSupervisor &)>> orders;
        for (const StopOrder &stop : effects.stops_) {
            if (stop.agent_ == name) {
                orders.emplace_back([this, stop](TargetSupervisor &attendant) { attendant.stop(stop.run_, {now_}); });
            }
        }
        for (const StartOrder &start : effects.starts_) {
            if (start.agent_ == name) {
                orders.emplace_back([this, start, report](TargetSupervisor &attendant) {
                    const std::int64_t named = settings_.withoutReportNumbers_ ? attendant.reports() : report;
                    attendant.start(start.run_, start.payload_, {}, start.ephemeral_, named, {now_});
                });
            }
        }
        for (const AckOrder &ack : effects.acks_) {
            if (ack.agent_ == name) {
                orders.emplace_back([ack](TargetSupervisor &attendant) { attendant.acknowledge(ack.born_, ack.through_); });
            }
        }
        if (orders.empty() || !connected(leader, i)) {
            return;
        }
        const std::uint64_t path = agent(i).path_;
        after(linkDelay(i, 1), [this, self, i, orders, path] {
            if (agent(i).path_ != path || agent(i).attendant_->epoch() != self->epoch_ || !connected(*self, i)) {
                return;
            }
            for (const auto &order : orders) {
                order(*agent(i).attendant_);
            }
            flushAgent(i);
        });
    }

    void storeWrites(ModelLeader &leader)
    {
        for (const JobWrite &write : leader.dispatcher_.takeWrites(15, {now_})) {
            auto &stored = store_[write.job_];
            if (stored.second != write.expectedRevision_) {
                result_.violations_.push_back(write.job_ + " written under a wrong revision");
            }
            stored = {write.record_, ++revision_};
            leader.dispatcher_.written(write.job_, revision_, {now_});
        }
    }

    void submit(int number)
    {
        const bool ephemeral = number % 2 == 0;
        JobOffer offer
            = testJob((ephemeral ? "e" : "d") + std::to_string(number), {testStep(1 + static_cast<std::uint32_t>(pick(6)))}, ephemeral);
        offer.revision_ = ++revision_;
        open_[offer.id_] = offer;
        if (!ephemeral) {
            store_[offer.id_] = {offer.record_, offer.revision_};
        }
        offerTo(*leaders_.back(), offer);
    }

    // A new dispatcher takes over; the old one is dead, or goes on without the store.
    void lead(bool oldLives)
    {
        if (!leaders_.empty()) {
            leaders_.back()->alive_ = oldLives;
            ++result_.takeovers_;
        }
        const auto leader = std::make_shared<ModelLeader>(++epoch_);
        leader->since_ = now_;
        leader->dispatcher_.setConfig(testConfig(), {});
        leaders_.push_back(leader);
        if (epoch_ == 1) {
            leader->gathered_ = true;
            leader->dispatcher_.gathered({now_});
        }
        if (oldLives) {
            hiddenFrom_ = epoch_;
            cut_[static_cast<std::size_t>(pick(settings_.agents_))] = now_ + 6000;
        }
        for (const auto &[id, stored] : store_) {
            leader->dispatcher_.addJob({id, stored.first, stored.second, false, {}, {}, {}}, {now_});
        }
        const bool alone = std::none_of(leaders_.begin(), leaders_.end() - 1, [this](const auto &each) {
            return each->alive_ && now_ < each->provedAt_ + leaderRight + agentRight + slack;
        });
        for (const auto &[id, offer] : open_) {
            JobOffer again = offer;
            // A caller who lost its connection may have asked again through an entry to which the job is new. Not while
            // an older leader lives on beside this one: that case is open, see GUARANTEES.md.
            again.fresh_ = offer.record_.spec_.ephemeral_ && alone && chance(0.3);
            offerTo(*leader, again);
        }
        for (int i = 0; i < settings_.agents_; ++i) {
            if (connected(*leader, i)) {
                sendLead(leader, i);
            } else {
                after(6001, [this, i] { reach(i); });
            }
        }
    }

    void fault()
    {
        const int i = static_cast<int>(pick(settings_.agents_));
        switch (pick(5)) {
        case 0:
            agent(i).target_.crash();
            after(300 + pick(3000), [this, i] {
                if (agent(i).target_.up_) {
                    return;
                }
                agent(i).target_.up_ = true;
                agent(i).target_.born_ = now_;
                agent(i).announcedAt_ = now_ - 1500;
            });
            break;
        case 1:
            renewAgent(i);
            break;
        case 2:
            after(400, [this] { lead(false); });
            break;
        case 3:
            after(400, [this] { lead(true); });
            break;
        default:
            // The path is replaced; frames on the way are lost, or still arrive.
            agent(i).path_ += chance(0.5) ? 1 : 0;
            agent(i).attendant_->reportAll();
            flushAgent(i);
            // The two ends notice at different times.
            after(pick(40), [this, i] { reach(i); });
            break;
        }
    }

    SimulationSettings settings_;
    std::mt19937 noise_;
    std::vector<ModelAgent> agents_;
    std::vector<std::int64_t> cut_;
    std::uint64_t hiddenFrom_ = 0;
    std::vector<std::shared_ptr<ModelLeader>> leaders_;
    std::map<Event, std::function<void()>> events_;
    std::uint64_t nextEvent_ = 0;
    std::map<std::pair<int, int>, std::int64_t> lastFrame_;
    std::int64_t now_ = 0;
    std::uint64_t epoch_ = 0;
    std::int64_t revision_ = 100;
    std::map<std::string, std::pair<JobRecord, std::int64_t>> store_;
    std::map<std::string, JobOffer> open_;
    std::set<TaskId> durableDone_;
    SimulationResult result_;
};

int histories()
{
    constexpr int inCi = 500;
    const char *count = std::getenv("IBISWALL_HISTORIES");
    return count == nullptr ? inCi : std::atoi(count);
}

std::uint32_t firstSeed()
{
    const char *seed = std::getenv("IBISWALL_SEED");
    return seed == nullptr ? 1U : static_cast<std::uint32_t>(std::atoi(seed));
}

// Histories until the first that breaks a check, with one safeguard left out.
bool isNoticed(SimulationSettings settings)
{
    constexpr std::uint32_t most = 60;
    for (std::uint32_t seed = 1; seed <= most; ++seed) {
        settings.seed_ = seed;
        if (!runSimulation(settings).violations_.empty()) {
            return true;
        }
    }
    return false;
}

} // namespace

SimulationResult runSimulation(const SimulationSettings &settings)
{
    return CellSimulation(settings).play();
}

BOOST_AUTO_TEST_SUITE(model_world)

BOOST_AUTO_TEST_CASE(no_history_runs_a_task_twice_or_loses_a_job)
{
    int starts = 0;
    int takeovers = 0;
    for (int i = 0; i < histories(); ++i) {
        SimulationSettings settings;
        settings.seed_ = firstSeed() + static_cast<std::uint32_t>(i);
        const SimulationResult result = runSimulation(settings);
        starts += result.starts_;
        takeovers += result.takeovers_;
        for (const std::string &violation : result.violations_) {
            BOOST_TEST(false, "seed " << settings.seed_ << ": " << violation);
        }
    }
    std::cout << histories() << " histories from seed " << firstSeed() << ": " << starts << " starts, " << takeovers << " takeovers\n";
}

// In history 8493 a report with an end was lost while the leader's path to the agent stayed as it was. The next report told
// of a later end, and its acknowledgement covered both.
BOOST_AUTO_TEST_CASE(no_end_is_acknowledged_whose_report_was_lost)
{
    SimulationSettings settings;
    settings.seed_ = 8493;
    BOOST_TEST(runSimulation(settings).violations_.empty());
}

BOOST_AUTO_TEST_CASE(the_checks_notice_orders_that_rest_on_an_old_report)
{
    SimulationSettings settings;
    settings.withoutReportNumbers_ = true;
    settings.faults_ = 100;
    settings.jobs_ = 300;
    BOOST_TEST(isNoticed(settings));
}

// Seen on the bench after the loss of all processes, while paths were being replaced.
BOOST_AUTO_TEST_CASE(the_checks_notice_reports_that_arrive_after_later_ones)
{
    SimulationSettings settings;
    settings.withoutStaleReports_ = true;
    settings.faults_ = 100;
    settings.jobs_ = 300;
    BOOST_TEST(isNoticed(settings));
}

BOOST_AUTO_TEST_CASE(the_checks_notice_a_dispatcher_that_does_not_wait_for_the_agents)
{
    SimulationSettings settings;
    settings.withoutGathering_ = true;
    BOOST_TEST(isNoticed(settings));
}

BOOST_AUTO_TEST_CASE(the_checks_notice_a_dispatcher_that_takes_offers_too_early)
{
    SimulationSettings settings;
    settings.withoutSettling_ = true;
    settings.faults_ = 30;
    BOOST_TEST(isNoticed(settings));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace ibiswall::cell
