#include "fleet/task_manager.h"

#include <utility>

#include "base/ids.h"
#include "base/log.h"
#include "records/records.h"

namespace jl::fleet {

namespace {

using decisions::task_observation;
using records::task_phase;

// Reports lag, so a stop that they do not show yet is repeated after this time.
constexpr std::chrono::seconds stop_repeat{3};

bool on_worker(task_phase phase)
{
    return phase == task_phase::running || phase == task_phase::throttled ||
           phase == task_phase::stopping;
}

task_observation::state convert(platform::task_state state)
{
    switch (state) {
    case platform::task_state::running:
        return task_observation::state::running;
    case platform::task_state::throttled:
        return task_observation::state::throttled;
    case platform::task_state::stopped:
        return task_observation::state::stopped;
    case platform::task_state::finished:
        return task_observation::state::finished;
    case platform::task_state::failed:
        break;
    }
    return task_observation::state::failed;
}

} // namespace

void task_manager::clear()
{
    former_ = std::exchange(tasks_, {});
}

void task_manager::apply(const std::string& task, const store::watch_event& event)
{
    const auto known = tasks_.find(task);
    if (known != tasks_.end() && known->second.revision >= event.item.mod_revision) {
        return; // older than our own write
    }
    if (event.type == store::watch_event::kind::remove) {
        tasks_.erase(task);
        return;
    }
    auto record = records::parse_task(event.item.value);
    if (!record || record->task != task) {
        log_event(log_level::error, "task_record_unreadable", {{"key", event.item.key}});
        return;
    }
    const auto former = former_.find(task);
    if (former != former_.end() && former->second.revision == event.item.mod_revision) {
        tasks_[task] = former->second;
        return;
    }
    auto& stored = tasks_[task];
    stored.record = std::move(*record);
    stored.revision = event.item.mod_revision;
}

void task_manager::observe(const std::vector<platform::worker_report>& reports)
{
    for (auto& [name, task] : tasks_) {
        task.observation.reset();
    }
    for (const auto& worker : reports) {
        for (const auto& report : worker.tasks) {
            const auto found = tasks_.find(report.task);
            // Reports of former placements say nothing about the present one.
            if (found == tasks_.end() || found->second.record.worker != worker.vm ||
                found->second.record.fencing_token != report.fencing_token) {
                continue;
            }
            task_observation observation;
            observation.observed = convert(report.state);
            observation.fencing_token = report.fencing_token;
            observation.cores = report.used.cores;
            observation.memory_gb = report.used.memory_gb;
            observation.checkpoint = report.checkpoint;
            found->second.observation = std::move(observation);
        }
    }
}

std::map<std::string, int> task_manager::on_vms() const
{
    std::map<std::string, int> result;
    for (const auto& [name, task] : tasks_) {
        if (on_worker(task.record.phase)) {
            ++result[task.record.worker];
        }
    }
    return result;
}

decisions::placement_plan task_manager::plan(decisions::placement_snapshot snapshot,
                                             const decisions::placement_options& options)
{
    snapshot.tasks.reserve(tasks_.size());
    for (const auto& [name, task] : tasks_) {
        snapshot.tasks.push_back({task.record, task.revision, task.observation});
    }
    return decisions::plan_placement(snapshot, options, memory_);
}

std::vector<record_write> task_manager::prepare(const std::vector<decisions::task_step>& steps)
{
    std::vector<record_write> writes;
    writes.reserve(steps.size());
    for (const auto& step : steps) {
        record_write write;
        write.key = records::tasks_prefix + step.next.task;
        write.expected_revision = step.expected_revision;
        if (!step.remove) {
            auto record = step.next;
            record.write_id = new_id();
            write.value = records::to_json(record);
        }
        writes.push_back(std::move(write));
    }
    return writes;
}

void task_manager::committed(const decisions::task_step& step, std::int64_t revision)
{
    if (step.remove) {
        tasks_.erase(step.next.task);
        return;
    }
    auto& task = tasks_[step.next.task];
    const bool placed = step.next.fencing_token != task.record.fencing_token;
    task.record = step.next;
    task.revision = revision;
    log_event(log_level::info, "task_step",
              {{"task", task.record.task},
               {"phase", to_text(task.record.phase)},
               {"worker", task.record.worker},
               {"reason", task.record.reason}});
    if (placed) {
        task.observation.reset();
        task.start_pending = true;
        task.renewed_at.reset();
        task.stop_sent_at.reset();
    }
}

int task_manager::start(stored_task& task, platform::worker_control& workers,
                        const decisions::placement_options& options, steady_time now,
                        steady_time deadline)
{
    platform::task_spec spec;
    spec.task = task.record.task;
    spec.kind = task.record.kind;
    spec.declared = {task.record.cores, task.record.memory_gb, task.record.accelerators};
    spec.checkpoint = task.record.checkpoint;
    spec.fencing_token = task.record.fencing_token;
    const bool started = workers.start(task.record.worker, spec, options.lease_duration, deadline);
    // A start whose answer was lost is not repeated: the task may have run to its end already, and
    // a second start would run it again. Reports show what became of it.
    task.start_pending =
        !started && platform::last_error().code == platform::platform_error_code::unavailable;
    if (started) {
        task.renewed_at = now;
    }
    return 1;
}

int task_manager::keep_running(stored_task& task, platform::worker_control& workers,
                               const decisions::placement_options& options, steady_time now,
                               steady_time deadline)
{
    int calls = 0;
    const auto& record = task.record;
    if (!task.renewed_at || now - *task.renewed_at >= options.lease_duration / 3) {
        ++calls;
        if (workers.renew(record.worker, record.task, record.fencing_token, options.lease_duration,
                          deadline)) {
            task.renewed_at = now;
        }
    }
    if (!task.observation) {
        return calls;
    }
    const auto observed = task.observation->observed;
    const bool throttle =
        record.phase == task_phase::throttled && observed == task_observation::state::running;
    const bool release =
        record.phase == task_phase::running && observed == task_observation::state::throttled;
    if (throttle || release) {
        ++calls;
        workers.throttle(record.worker, record.task, record.fencing_token,
                         throttle ? options.throttled_cpu_share : 1, deadline);
    }
    return calls;
}

int task_manager::stop(stored_task& task, platform::worker_control& workers, steady_time now,
                       steady_time deadline)
{
    if (task.stop_sent_at && now - *task.stop_sent_at < stop_repeat) {
        return 0;
    }
    auto& record = task.record;
    task.start_pending = false;
    const auto checkpoint =
        workers.checkpoint(record.worker, record.task, record.fencing_token, deadline);
    if (checkpoint) {
        record.checkpoint = *checkpoint;
    }
    if (workers.stop(record.worker, record.task, record.fencing_token, deadline)) {
        task.stop_sent_at = now;
    }
    return 2;
}

int task_manager::send_commands(platform::worker_control& workers,
                                const decisions::placement_options& options,
                                const clock_source& clock,
                                const std::function<bool(steady_time)>& may_continue,
                                std::chrono::milliseconds timeout)
{
    const auto started_at = clock.steady_now();
    int calls = 0;
    auto next = tasks_.upper_bound(last_served_);
    for (std::size_t left = tasks_.size(); left > 0 && may_continue(started_at); --left) {
        if (next == tasks_.end()) {
            next = tasks_.begin();
        }
        auto& task = next->second;
        const auto now = clock.steady_now();
        const auto deadline = now + timeout;
        switch (task.record.phase) {
        case task_phase::running:
        case task_phase::throttled:
            calls += task.start_pending ? start(task, workers, options, now, deadline)
                                        : keep_running(task, workers, options, now, deadline);
            break;
        case task_phase::stopping:
            calls += stop(task, workers, now, deadline);
            break;
        case task_phase::waiting:
        case task_phase::unplaceable:
        case task_phase::finished:
        case task_phase::failed:
            break;
        }
        last_served_ = next->first;
        ++next;
    }
    return calls;
}

} // namespace jl::fleet
