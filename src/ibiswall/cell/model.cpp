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
