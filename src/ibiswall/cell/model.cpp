// Operations on the data model.

#include <ibiswall/cell/model.hpp>

namespace ibiswall::cell {

Resources operator+(const Resources &a, const Resources &b)
{
    return {a.cpu_ + b.cpu_, a.memory_ + b.memory_, a.gpus_ + b.gpus_};
}

Resources operator-(const Resources &a, const Resources &b)
{
    return {a.cpu_ - b.cpu_, a.memory_ - b.memory_, a.gpus_ - b.gpus_};
}

bool fits(const Resources &need, const Resources &free)
{
    return need.cpu_ <= free.cpu_ && need.memory_ <= free.memory_ && need.gpus_ <= free.gpus_;
}

std::uint32_t taskCount(const JobSpec &spec)
{
    std::uint32_t count = 0;
    for (const Step &step : spec.steps_) {
        count += step.count_;
    }
    return count;
}

std::size_t recordBytes(const JobSpec &spec)
{
    // An entry of the map of jobs and what belongs to it; at an entry the callback of one caller as well.
    constexpr std::size_t bytesPerJob = 1024;
    std::size_t bytes = bytesPerJob + spec.queue_.size() + spec.payload_.size();
    for (const Step &step : spec.steps_) {
        bytes += sizeof(step) + step.after_.size() * sizeof(step.after_.front()) + step.requiredLabel_.size() + step.dataRack_.size()
            + step.image_.size();
    }
    return bytes;
}

std::size_t jobBytes(const JobSpec &spec)
{
    return recordBytes(spec) + taskCount(spec) * taskBytes;
}

const Queue *findQueue(const CellConfig &config, std::string_view host, std::string_view path)
{
    const Queue *best = nullptr;
    for (const auto &[name, queue] : config.queues_) {
        if (queue.host_ != host || path.substr(0, queue.prefix_.size()) != queue.prefix_) {
            continue;
        }
        if (best == nullptr || queue.prefix_.size() > best->prefix_.size()) {
            best = &queue;
        }
    }
    return best;
}

std::string kindOf(std::string_view queue, std::size_t number, const Step &step)
{
    if (!step.image_.empty()) {
        return step.image_;
    }
    return std::string(queue) + '/' + std::to_string(number);
}

} // namespace ibiswall::cell
