#include <array>
#include <cstdio>

#include <nlohmann/json.hpp>

#include "base/json.h"
#include "records/records.h"

namespace jl::records {

namespace {

using nlohmann::json;

constexpr std::array<const char*, 3> wave_state_names = {"running", "paused", "cancelled"};

std::chrono::milliseconds read_time(const json& value, const char* key)
{
    return std::chrono::milliseconds(value.at(key).get<std::int64_t>());
}

template <typename Record, typename Function>
std::optional<Record> parse(std::string_view text, Function read)
{
    const auto value = parse_json(text);
    if (!value.is_object()) {
        return std::nullopt;
    }
    try {
        Record record;
        read(value, record);
        return record;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace

std::string operator_action_key(const operator_action_record& record)
{
    std::array<char, 24> time{};
    std::snprintf(time.data(), time.size(), "%016lld", static_cast<long long>(record.at.count()));
    return std::string(operator_actions_prefix) + time.data() + "-" + record.write_id;
}

const char* to_text(wave_state state)
{
    return wave_state_names[static_cast<std::size_t>(state)];
}

std::optional<wave_state> parse_wave_state(std::string_view text)
{
    for (std::size_t index = 0; index < wave_state_names.size(); ++index) {
        if (text == wave_state_names[index]) {
            return static_cast<wave_state>(index);
        }
    }
    return std::nullopt;
}

std::string to_json(const wave_record& record)
{
    return json{{"wave", record.wave},
                {"state", to_text(record.state)},
                {"changed_by", record.changed_by},
                {"changed_at_ms", record.changed_at.count()},
                {"write_id", record.write_id}}
        .dump();
}

std::string to_json(const operator_drain_record& record)
{
    return json{{"vm", record.vm},
                {"requested_by", record.requested_by},
                {"requested_at_ms", record.requested_at.count()},
                {"write_id", record.write_id}}
        .dump();
}

std::string to_json(const operator_action_record& record)
{
    return json{{"operator", record.operator_name},
                {"action", record.action},
                {"subject", record.subject},
                {"at_ms", record.at.count()},
                {"write_id", record.write_id}}
        .dump();
}

std::optional<wave_record> parse_wave(std::string_view text)
{
    auto record = parse<wave_record>(text, [](const json& value, wave_record& target) {
        target.wave = value.value("wave", "");
        target.state = parse_wave_state(value.at("state").get<std::string>())
                           .value_or(wave_state::paused); // an unknown state must not start drains
        target.changed_by = value.value("changed_by", "");
        target.changed_at = std::chrono::milliseconds(value.value("changed_at_ms", 0LL));
        target.write_id = value.value("write_id", "");
    });
    return record;
}

std::optional<operator_drain_record> parse_operator_drain(std::string_view text)
{
    return parse<operator_drain_record>(text, [](const json& value, operator_drain_record& target) {
        target.vm = value.value("vm", "");
        target.requested_by = value.at("requested_by").get<std::string>();
        target.requested_at = read_time(value, "requested_at_ms");
        target.write_id = value.value("write_id", "");
    });
}

std::optional<operator_action_record> parse_operator_action(std::string_view text)
{
    return parse<operator_action_record>(
        text, [](const json& value, operator_action_record& target) {
            target.operator_name = value.at("operator").get<std::string>();
            target.action = value.at("action").get<std::string>();
            target.subject = value.at("subject").get<std::string>();
            target.at = read_time(value, "at_ms");
            target.write_id = value.at("write_id").get<std::string>();
        });
}

} // namespace jl::records
