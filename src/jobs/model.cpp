#include "jobs/model.h"

#include <algorithm>
#include <charconv>
#include <tuple>

namespace jl::jobs {

namespace {

std::optional<int> parse_non_negative_int(const std::string& text, std::size_t begin,
                                          std::size_t end)
{
    int value = 0;
    const auto* first = text.data() + begin;
    const auto* last = text.data() + end;
    const auto [stop, error] = std::from_chars(first, last, value);
    if (error != std::errc{} || stop != last || value < 0) {
        return std::nullopt;
    }
    return value;
}

} // namespace

bool worker_registration::operator==(const worker_registration& other) const
{
    const auto members = [](const worker_registration& worker) {
        return std::tie(worker.id, worker.service, worker.data_centre, worker.vm, worker.labels,
                        worker.rack, worker.draining, worker.started_at_ms);
    };
    return members(*this) == members(other) && address == other.address &&
           capacity == other.capacity;
}

const queue_config* fleet_config::find_queue(const std::string& host, const std::string& path) const
{
    const queue_config* best = nullptr;
    for (const auto& queue : queues) {
        if (queue.host != host || path.compare(0, queue.prefix.size(), queue.prefix) != 0) {
            continue;
        }
        if (best == nullptr || queue.prefix.size() > best->prefix.size()) {
            best = &queue;
        }
    }
    return best;
}

const queue_config* fleet_config::find_queue(const std::string& name) const
{
    const auto found = queue_position_.find(name);
    return found == queue_position_.end() ? nullptr : &queues[found->second];
}

void fleet_config::index_queues()
{
    queue_position_.clear();
    for (std::size_t index = 0; index < queues.size(); ++index) {
        queue_position_.emplace(queues[index].name, index);
    }
}

const service_config* fleet_config::find_service(const std::string& name) const
{
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&](const auto& service) { return service.name == name; });
    return found == services.end() ? nullptr : &*found;
}

// Visits each dependency once. The number of paths through the steps may be exponential.
std::vector<milliseconds> critical_paths(const job_spec& spec)
{
    std::vector<milliseconds> paths(spec.steps.size(), milliseconds(0));
    for (std::size_t step = spec.steps.size(); step-- > 0;) {
        paths[step] += spec.steps[step].estimate; // holds the longest path of the later steps
        for (const int earlier : spec.steps[step].after) {
            auto& path = paths[static_cast<std::size_t>(earlier)];
            path = std::max(path, paths[step]);
        }
    }
    return paths;
}

milliseconds critical_path_duration(const job_spec& spec)
{
    const auto paths = critical_paths(spec);
    const auto longest = std::max_element(paths.begin(), paths.end());
    return longest == paths.end() ? milliseconds(0) : *longest;
}

milliseconds completion_objective(const queue_config& queue, const job_spec& spec)
{
    return queue.latency_objective +
           std::chrono::duration_cast<milliseconds>(critical_path_duration(spec) * queue.stretch);
}

std::int64_t task_count(const job_spec& spec)
{
    std::int64_t tasks = 0;
    for (const auto& step : spec.steps) {
        tasks += step.count;
    }
    return tasks;
}

bool is_valid(const job_spec& spec)
{
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        const auto& step = spec.steps[index];
        const auto is_earlier = [index](int other) {
            return other >= 0 && static_cast<std::size_t>(other) < index;
        };
        if (step.count < 1 || !std::all_of(step.after.begin(), step.after.end(), is_earlier)) {
            return false;
        }
    }
    const auto tasks = task_count(spec);
    return tasks > 0 && tasks <= max_tasks_per_job && spec.occurrences >= 0;
}

std::string task_name::to_string() const
{
    return job + '.' + std::to_string(occurrence) + '.' + std::to_string(step) + '.' +
           std::to_string(index);
}

std::optional<task_name> parse_task_name(const std::string& text)
{
    const auto first = text.find('.');
    const auto second = first == std::string::npos ? first : text.find('.', first + 1);
    const auto third = second == std::string::npos ? second : text.find('.', second + 1);
    if (third == std::string::npos) {
        return std::nullopt;
    }
    const auto occurrence = parse_non_negative_int(text, first + 1, second);
    const auto step = parse_non_negative_int(text, second + 1, third);
    const auto index = parse_non_negative_int(text, third + 1, text.size());
    if (!occurrence || !step || !index) {
        return std::nullopt;
    }
    return task_name{text.substr(0, first), *occurrence, *step, *index};
}

} // namespace jl::jobs
