#include "jobs/wave_record.h"

#include <charconv>
#include <string_view>

#include <nlohmann/json.hpp>

#include "base/json.h"
#include "base/log.h"

namespace jl::jobs {

namespace {

constexpr const char* finished_field = "finished";
constexpr const char* ordered_field = "ordered";
constexpr const char* accepted_field = "accepted";

std::set<std::string> names_in(const nlohmann::json& document, const char* key)
{
    std::set<std::string> names;
    for (const auto& name : list_or_empty(document, key)) {
        if (name.is_string()) {
            names.insert(name.get<std::string>());
        }
    }
    return names;
}

std::optional<std::int64_t> wave_number_of(const std::string& key)
{
    const auto prefix_length = std::string_view(wave_record::prefix).size();
    std::int64_t number = 0;
    const auto* const end = key.data() + key.size();
    const auto parsed = std::from_chars(key.data() + prefix_length, end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

} // namespace

std::string wave_record::key_of(std::int64_t wave)
{
    return prefix + std::to_string(wave);
}

std::string wave_record::encode() const
{
    return nlohmann::json{{"wave", wave},
                          {finished_field, finished},
                          {ordered_field, ordered},
                          {accepted_field, accepted}}
        .dump();
}

std::optional<wave_record> decode_wave_record(const store_item& item)
{
    const auto number = wave_number_of(item.key);
    const auto document = parse_json_object(item.value);
    const auto names_orders = [&document] {
        const auto found = document->find(ordered_field);
        return found != document->end() && found->is_array();
    };
    wave_record record;
    record.orders_known = document && names_orders();
    if (!number || !record.orders_known) {
        log_event(log_level::error, "wave.record_unreadable", {{"key", item.key}});
    }
    if (!number) {
        return std::nullopt;
    }
    record.wave = *number;
    if (document) {
        record.finished = names_in(*document, finished_field);
        record.ordered = names_in(*document, ordered_field);
        record.accepted = names_in(*document, accepted_field);
    }
    return record;
}

} // namespace jl::jobs
