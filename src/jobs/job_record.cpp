#include "jobs/job_record.h"

#include <cstdint>
#include <set>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "base/json.h"

namespace jl::jobs {

namespace {

using nlohmann::json;

constexpr char done_mark = 'd';
constexpr char unfinished_mark = '.';

json encode_step(const step_spec& step)
{
    // Stores values by position instead of by name to keep the record small, because it is
    // rewritten each time a task ends.
    return json::array({step.count, step.request.millicores, step.request.memory_mb,
                        step.request.accelerators, step.estimate.count(), step.after,
                        step.checkpointing, step.gang, step.same_rack, step.required_label,
                        step.preferred_rack, step.max_per_worker, step.speculative,
                        step.long_running, step.image, step.latency_target.count(), step.filler,
                        step.max_unavailable});
}

step_spec decode_step(const json& row)
{
    step_spec step;
    std::size_t column = 0;
    step.count = row.at(column++).get<int>();
    step.request.millicores = row.at(column++).get<std::int64_t>();
    step.request.memory_mb = row.at(column++).get<std::int64_t>();
    step.request.accelerators = row.at(column++).get<std::int64_t>();
    step.estimate = milliseconds(row.at(column++).get<std::int64_t>());
    step.after = row.at(column++).get<std::vector<int>>();
    step.checkpointing = row.at(column++).get<bool>();
    step.gang = row.at(column++).get<bool>();
    step.same_rack = row.at(column++).get<bool>();
    step.required_label = row.at(column++).get<std::string>();
    step.preferred_rack = row.at(column++).get<std::string>();
    step.max_per_worker = row.at(column++).get<int>();
    step.speculative = row.at(column++).get<bool>();
    step.long_running = row.at(column++).get<bool>();
    step.image = row.at(column++).get<std::string>();
    step.latency_target = milliseconds(row.at(column++).get<std::int64_t>());
    step.filler = row.at(column++).get<bool>();
    step.max_unavailable = row.at(column++).get<int>();
    return step;
}

// Returns one character per task.
std::string encode_marks(const step_progress& step)
{
    std::string marks;
    for (const auto& task : step.tasks) {
        marks += task.phase == task_phase::done ? done_mark : unfinished_mark;
    }
    return marks;
}

json encode_crashes(const std::vector<decisions::crash_observation>& crashes)
{
    json rows = json::array();
    for (const auto& crash : crashes) {
        rows.push_back(
            json::array({crash.worker, crash.worker_started_at_ms, crash.vm, crash.at.count(),
                         static_cast<int>(crash.link), crash.confirmed}));
    }
    return rows;
}

std::vector<decisions::crash_observation> decode_crashes(const json& rows)
{
    std::vector<decisions::crash_observation> crashes;
    for (const auto& row : rows) {
        decisions::crash_observation crash;
        crash.worker = row.at(0).get<std::string>();
        crash.worker_started_at_ms = row.at(1).get<std::int64_t>();
        crash.vm = row.at(2).get<std::string>();
        crash.at = milliseconds(row.at(3).get<std::int64_t>());
        crash.link = static_cast<decisions::crash_link>(row.at(4).get<int>());
        crash.confirmed = row.at(5).get<bool>();
        crashes.push_back(std::move(crash));
    }
    return crashes;
}

json encode_occurrence(const occurrence_progress& occurrence)
{
    json marks = json::array();
    json details = json::array(); // of unfinished tasks with a checkpoint, failed runs or crashes
    for (const auto& step : occurrence.steps) {
        marks.push_back(encode_marks(step));
        for (const auto& task : step.tasks) {
            if (task.phase != task_phase::done &&
                (!task.checkpoint.empty() || !task.failed_runs.empty() || !task.crashes.empty())) {
                details.push_back(json::array({task.step, task.index, task.checkpoint,
                                               task.failed_runs, encode_crashes(task.crashes)}));
            }
        }
    }
    return json::array({occurrence.number, std::move(marks), std::move(details)});
}

void restore_marks(const std::string& marks, step_progress& step)
{
    for (std::size_t index = 0; index < step.tasks.size() && index < marks.size(); ++index) {
        auto& target = step.tasks[index];
        if (marks[index] == done_mark) {
            target.phase = task_phase::done;
            ++step.done;
            continue;
        }
        target.phase = task_phase::unresolved;
    }
}

void restore_occurrence(const json& row, job& target)
{
    target.next_occurrence = row.at(0).get<int>();
    auto& occurrence = begin_occurrence(target);
    const auto& marks = row.at(1);
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
        restore_marks(marks.at(step).get<std::string>(), occurrence.steps[step]);
    }
    for (const auto& detail : row.at(2)) {
        auto& step = occurrence.steps.at(detail.at(0).get<std::size_t>());
        auto& restored = step.tasks.at(detail.at(1).get<std::size_t>());
        restored.checkpoint = detail.at(2).get<std::string>();
        restored.failed_runs = detail.at(3).get<std::set<std::int64_t>>();
        if (detail.size() > 4) { // earlier versions of the program did not write these
            restored.crashes = decode_crashes(detail.at(4));
        }
    }
}

json encode_spec(const job_spec& spec)
{
    json steps = json::array();
    for (const auto& step : spec.steps) {
        steps.push_back(encode_step(step));
    }
    return json::array({spec.payload, std::move(steps), spec.occurrences, spec.first_run.count(),
                        spec.interval.count()});
}

void decode_spec(const json& row, job_spec& spec)
{
    spec.payload = row.at(0).get<std::string>();
    for (const auto& step : row.at(1)) {
        spec.steps.push_back(decode_step(step));
    }
    spec.occurrences = row.at(2).get<int>();
    spec.first_run = milliseconds(row.at(3).get<std::int64_t>());
    spec.interval = milliseconds(row.at(4).get<std::int64_t>());
}

std::string to_bytes(const json& document)
{
    const auto bytes = json::to_cbor(document);
    return {bytes.begin(), bytes.end()};
}

} // namespace

std::string encode_job(const job& source)
{
    json document = {{"q", source.spec.queue},
                     {"s", static_cast<int>(source.state)},
                     {"a", to_unix(source.accepted).count()},
                     {"p", source.services},
                     {"n", source.next_occurrence}};
    if (!source.spec.team.empty()) {
        document["t"] = source.spec.team;
    }
    if (source.active()) {
        document["spec"] = encode_spec(source.spec);
        json occurrences = json::array();
        for (const auto& [number, occurrence] : source.occurrences) {
            occurrences.push_back(encode_occurrence(occurrence));
        }
        document["o"] = std::move(occurrences);
    }
    if (source.given_up) {
        document["c"] =
            json::array({source.given_up->tasks, encode_crashes(source.given_up->crashes)});
    }
    return to_bytes(document);
}

bool decode_job(const std::string& value, job& target)
{
    try {
        const auto parsed = parse_cbor(value);
        if (!parsed || !parsed->is_object()) {
            return false;
        }
        const auto& document = *parsed;
        target.spec.queue = document.at("q").get<std::string>();
        target.spec.team = document.value("t", ""); // earlier versions did not write it
        target.state = static_cast<job_state>(document.at("s").get<int>());
        target.accepted = from_unix(milliseconds(document.at("a").get<std::int64_t>()));
        target.services = document.at("p").get<std::vector<std::string>>();
        if (document.contains("spec")) {
            decode_spec(document.at("spec"), target.spec);
            const auto in_progress = static_cast<std::int64_t>(document.at("o").size());
            if (!is_valid(target.spec) || in_progress > max_tasks_per_job ||
                in_progress * task_count(target.spec) > max_tasks_per_job) {
                return false;
            }
            for (const auto& row : document.at("o")) {
                restore_occurrence(row, target);
            }
        }
        if (document.contains("c")) {
            const auto& report = document.at("c");
            target.given_up = crash_report{report.at(0).get<std::vector<std::string>>(),
                                           decode_crashes(report.at(1))};
        }
        target.next_occurrence = document.at("n").get<int>();
        target.durable_state = target.state;
        return true;
    }
    catch (const json::exception&) {
        return false;
    }
    catch (const std::out_of_range&) {
        return false;
    }
}

std::string encode_roster(const std::vector<roster_entry>& roster)
{
    json rows = json::array();
    for (const auto& entry : roster) {
        rows.push_back(
            json::array({entry.worker, entry.service, entry.address.to_string(), entry.vm,
                         entry.started_at_ms, entry.longest_lease, entry.earlier_orders_open}));
    }
    return to_bytes(rows);
}

std::optional<std::vector<roster_entry>> decode_roster(const std::string& value)
{
    try {
        const auto rows = parse_cbor(value);
        if (!rows || !rows->is_array()) {
            return std::nullopt;
        }
        std::vector<roster_entry> roster;
        for (const auto& row : *rows) {
            const auto address = parse_endpoint(row.at(2).get<std::string>());
            if (!address) {
                return std::nullopt;
            }
            roster_entry entry;
            entry.worker = row.at(0).get<std::string>();
            entry.service = row.at(1).get<std::string>();
            entry.address = *address;
            if (row.size() > 4) { // earlier versions of the program did not write these
                entry.vm = row.at(3).get<std::string>();
                entry.started_at_ms = row.at(4).get<std::int64_t>();
            }
            entry.longest_lease = row.size() > 5 && row.at(5).get<bool>();
            entry.earlier_orders_open = row.size() > 6 && row.at(6).get<bool>();
            roster.push_back(std::move(entry));
        }
        return roster;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace jl::jobs
