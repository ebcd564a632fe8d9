#include "records/tasks.h"

#include <array>

#include <nlohmann/json.hpp>

#include "base/json.h"

namespace jl::records {

namespace {

using nlohmann::json;

constexpr std::array<const char*, 7> phase_names = {
    "waiting", "running", "throttled", "stopping", "unplaceable", "finished", "failed"};
constexpr std::array<const char*, 3> class_names = {"urgent", "normal", "deferred"};

template <typename Enum, std::size_t Size>
std::optional<Enum> find_name(const std::array<const char*, Size>& names, const std::string& text)
{
    for (std::size_t index = 0; index < Size; ++index) {
        if (text == names[index]) {
            return static_cast<Enum>(index);
        }
    }
    return std::nullopt;
}

} // namespace

const char* to_text(task_phase phase)
{
    return phase_names.at(static_cast<std::size_t>(phase));
}

const char* to_text(task_class urgency)
{
    return class_names.at(static_cast<std::size_t>(urgency));
}

std::string to_json(const task_record& record)
{
    return json{{"task", record.task},
                {"team", record.team},
                {"pool", record.pool},
                {"rack", record.rack},
                {"kind", record.kind},
                {"class", to_text(record.urgency)},
                {"cores", record.cores},
                {"memory_gb", record.memory_gb},
                {"accelerators", record.accelerators},
                {"submitted_at_ms", record.submitted_at.count()},
                {"phase", to_text(record.phase)},
                {"phase_since_ms", record.phase_since.count()},
                {"worker", record.worker},
                {"fencing_token", record.fencing_token},
                {"worker_boot_id", record.worker_boot_id},
                {"checkpoint", record.checkpoint},
                {"failed_on", record.failed_on},
                {"reason", record.reason},
                {"write_id", record.write_id}}
        .dump();
}

std::optional<task_record> parse_task(std::string_view text)
{
    const json value = parse_json(text);
    if (!value.is_object()) {
        return std::nullopt;
    }
    try {
        const auto phase = find_name<task_phase>(phase_names, value.value("phase", "waiting"));
        const auto urgency =
            find_name<task_class>(class_names, value.at("class").get<std::string>());
        if (!phase || !urgency) {
            return std::nullopt;
        }
        task_record record;
        record.task = value.at("task").get<std::string>();
        record.team = value.at("team").get<std::string>();
        record.pool = value.at("pool").get<std::string>();
        record.kind = value.at("kind").get<std::string>();
        record.cores = value.at("cores").get<double>();
        record.memory_gb = value.at("memory_gb").get<double>();
        record.accelerators = value.value("accelerators", 0);
        record.submitted_at =
            std::chrono::milliseconds(value.at("submitted_at_ms").get<std::int64_t>());
        record.urgency = *urgency;
        record.phase = *phase;
        record.rack = value.value("rack", "");
        record.phase_since =
            std::chrono::milliseconds(value.value("phase_since_ms", std::int64_t{0}));
        record.worker = value.value("worker", "");
        record.fencing_token = value.value("fencing_token", std::int64_t{0});
        record.worker_boot_id = value.value("worker_boot_id", std::int64_t{0});
        record.checkpoint = value.value("checkpoint", "");
        record.failed_on = value.value("failed_on", std::vector<std::string>{});
        record.reason = value.value("reason", "");
        record.write_id = value.value("write_id", "");
        return record;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace jl::records
