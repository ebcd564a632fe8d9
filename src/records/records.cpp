#include "records/records.h"

#include <array>
#include <cstdio>

#include <nlohmann/json.hpp>

#include "base/json.h"

namespace jl::records {

namespace {

using nlohmann::json;

constexpr std::array<const char*, 5> phase_names = {"in_service", "preparing", "leaving",
                                                    "rebooting", "returning"};
constexpr std::array<const char*, 6> state_names = {"queued",  "running",   "answered",
                                                    "unknown", "cancelled", "expired"};

template <typename Enum, std::size_t Size>
std::optional<Enum> parse_name(const std::array<const char*, Size>& names, std::string_view text)
{
    for (std::size_t index = 0; index < Size; ++index) {
        if (text == names[index]) {
            return static_cast<Enum>(index);
        }
    }
    return std::nullopt;
}

// Bodies and answers are bytes of any kind, and JSON text holds only UTF-8.
json to_bytes(const std::string& text)
{
    static constexpr const char* digits = "0123456789abcdef";
    bool printable = true;
    for (const char c : text) {
        printable = printable && static_cast<unsigned char>(c) < 0x80;
    }
    if (printable) {
        return text;
    }
    std::string hex;
    hex.reserve(text.size() * 2);
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        hex += digits[byte >> 4U];
        hex += digits[byte & 15U];
    }
    return json{{"hex", hex}};
}

int hex_digit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    return c >= 'a' && c <= 'f' ? c - 'a' + 10 : 0;
}

std::string from_bytes(const json& value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    const auto hex = value.at("hex").get<std::string>();
    std::string bytes;
    for (std::size_t index = 0; index + 1 < hex.size(); index += 2) {
        bytes += static_cast<char>(hex_digit(hex[index]) * 16 + hex_digit(hex[index + 1]));
    }
    return bytes;
}

std::chrono::milliseconds time_field(const json& value, const char* key)
{
    return std::chrono::milliseconds(value.at(key).get<std::int64_t>());
}

template <typename Record, typename Function>
std::optional<Record> parse_record(std::string_view text, Function read)
{
    const json value = parse_json(text);
    if (!value.is_object()) {
        return std::nullopt;
    }
    try {
        return read(value);
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
    catch (const std::bad_optional_access&) {
        return std::nullopt;
    }
}

} // namespace

std::string configuration_history_key(std::int64_t generation)
{
    std::array<char, 24> digits{};
    std::snprintf(digits.data(), digits.size(), "%012lld", static_cast<long long>(generation));
    return std::string(configuration_history_prefix) + digits.data();
}

const char* to_text(vm_phase phase)
{
    return phase_names.at(static_cast<std::size_t>(phase));
}

const char* to_text(request_state state)
{
    return state_names.at(static_cast<std::size_t>(state));
}

std::optional<vm_phase> parse_vm_phase(std::string_view text)
{
    return parse_name<vm_phase>(phase_names, text);
}

std::optional<request_state> parse_request_state(std::string_view text)
{
    return parse_name<request_state>(state_names, text);
}

std::string process_name(const member_record& record)
{
    return record.member + "/" + std::to_string(record.incarnation);
}

std::string to_json(const member_record& record)
{
    return json{{"member", record.member},
                {"incarnation", record.incarnation},
                {"data_centre", record.data_centre},
                {"caller_address", record.caller_address},
                {"peer_address", record.peer_address}}
        .dump();
}

std::string to_json(const vm_record& record)
{
    return json{{"vm", record.vm},
                {"pool", record.pool},
                {"phase", to_text(record.phase)},
                {"operation_id", record.operation_id},
                {"reason", record.reason},
                {"move_to_pool", record.move_to_pool},
                {"data_centre", record.data_centre},
                {"rack", record.rack},
                {"phase_since_ms", record.phase_since.count()},
                {"maintained_at_ms", record.maintained_at.count()},
                {"boot_id", record.boot_id},
                {"write_id", record.write_id}}
        .dump();
}

std::string to_json(const request_record& record)
{
    return json{{"id", record.id},
                {"service", record.service},
                {"team", record.team},
                {"class", record.request_class},
                {"state", to_text(record.state)},
                {"idempotent", record.idempotent},
                {"body_hash", record.body_hash},
                {"holder", record.holder},
                {"accepted_at_ms", record.accepted_at.count()},
                {"expires_at_ms", record.expires_at.count()},
                {"body", to_bytes(record.body)},
                {"content_type", to_bytes(record.content_type)},
                {"unanswered_attempts", record.unanswered_attempts},
                {"answer_status", record.answer_status},
                {"answer_content_type", to_bytes(record.answer_content_type)},
                {"answer", to_bytes(record.answer)},
                {"write_id", record.write_id}}
        .dump();
}

std::optional<member_record> parse_member(std::string_view text)
{
    return parse_record<member_record>(text, [](const json& value) {
        member_record record;
        record.member = value.at("member").get<std::string>();
        record.incarnation = value.at("incarnation").get<std::int64_t>();
        record.data_centre = value.at("data_centre").get<std::string>();
        record.caller_address = value.at("caller_address").get<std::string>();
        record.peer_address = value.at("peer_address").get<std::string>();
        return record;
    });
}

std::optional<vm_record> parse_vm(std::string_view text)
{
    return parse_record<vm_record>(text, [](const json& value) {
        vm_record record;
        record.vm = value.at("vm").get<std::string>();
        record.pool = value.at("pool").get<std::string>();
        record.phase = parse_vm_phase(value.at("phase").get<std::string>()).value();
        record.operation_id = value.at("operation_id").get<std::string>();
        record.reason = value.at("reason").get<std::string>();
        record.move_to_pool = value.at("move_to_pool").get<std::string>();
        record.data_centre = value.value("data_centre", "");
        record.rack = value.value("rack", "");
        record.phase_since = time_field(value, "phase_since_ms");
        record.maintained_at = time_field(value, "maintained_at_ms");
        record.boot_id = value.value("boot_id", std::int64_t{0});
        record.write_id = value.at("write_id").get<std::string>();
        return record;
    });
}

std::optional<request_record> parse_request(std::string_view text)
{
    return parse_record<request_record>(text, [](const json& value) {
        request_record record;
        record.id = value.at("id").get<std::string>();
        record.service = value.at("service").get<std::string>();
        record.team = value.at("team").get<std::string>();
        record.request_class = value.at("class").get<std::string>();
        record.state = parse_request_state(value.at("state").get<std::string>()).value();
        record.idempotent = value.at("idempotent").get<bool>();
        record.body_hash = value.at("body_hash").get<std::uint64_t>();
        record.holder = value.at("holder").get<std::string>();
        record.accepted_at = time_field(value, "accepted_at_ms");
        record.expires_at = time_field(value, "expires_at_ms");
        record.body = from_bytes(value.at("body"));
        record.content_type = from_bytes(value.value("content_type", json("")));
        // Earlier versions of the program did not write it.
        record.unanswered_attempts = value.value("unanswered_attempts", 0);
        record.answer_status = value.at("answer_status").get<int>();
        record.answer_content_type = from_bytes(value.at("answer_content_type"));
        record.answer = from_bytes(value.at("answer"));
        record.write_id = value.at("write_id").get<std::string>();
        return record;
    });
}

} // namespace jl::records
