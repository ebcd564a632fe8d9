#include "peers/messages.h"

#include <algorithm>
#include <array>
#include <limits>
#include <stdexcept>
#include <type_traits>

#include <nlohmann/json.hpp>

#include "peers/cbor_depth.h"

namespace jl::peers {

namespace {

using nlohmann::json;

// Deepest message: observation, members, member, loads, load.
constexpr std::size_t max_depth = 6;

// Appends the fields of a struct to an array. fields() lists them once for writer and reader.
class writer {
public:
    explicit writer(json& target) : target_(target) {}

    template <typename T>
    void operator()(const T& value)
    {
        target_.push_back(to_json(value));
    }

    template <typename T>
    static json to_json(const T& value);

private:
    json& target_;
};

// Reads the fields of an array in order and throws std::invalid_argument on the first that does
// not fit; decode() converts this to an empty result.
class reader {
public:
    reader(const json& source, std::size_t first) : source_(source), next_(first)
    {
        if (!source.is_array()) {
            throw std::invalid_argument("not an array");
        }
    }

    template <typename T>
    void operator()(T& value)
    {
        if (next_ >= source_.size()) {
            throw std::invalid_argument("missing field");
        }
        from_json(source_[next_++], value);
    }

    void finish() const
    {
        if (next_ != source_.size()) {
            throw std::invalid_argument("too many fields");
        }
    }

    static void require(bool condition)
    {
        if (!condition) {
            throw std::invalid_argument("field does not fit its type");
        }
    }

    template <typename T>
    static void from_json(const json& item, T& value);

private:
    const json& source_;
    std::size_t next_;
};

template <typename Visitor, typename T>
void fields(Visitor& visit, T& value)
{
    using type = std::remove_const_t<T>;
    if constexpr (std::is_same_v<type, hello>) {
        visit(value.version);
        visit(value.member);
        visit(value.incarnation);
        visit(value.generation);
        visit(value.attached);
    }
    else if constexpr (std::is_same_v<type, ping>) {
        visit(value.sequence);
    }
    else if constexpr (std::is_same_v<type, member_report>) {
        visit(value.generation);
        visit(value.store_reachable);
        visit(value.platform_reachable);
        visit(value.view_complete);
        visit(value.known_members);
        visit(value.list_digest);
        visit(value.records_digest);
    }
    else if constexpr (std::is_same_v<type, pong>) {
        visit(value.sequence);
        visit(value.view_age);
        visit(value.report);
    }
    else if constexpr (std::is_same_v<type, service_load>) {
        visit(value.service);
        visit(value.waiting);
        visit(value.running);
        visit(value.arrival_rate);
        visit(value.backlog);
    }
    else if constexpr (std::is_same_v<type, load_report>) {
        visit(value.loads);
    }
    else if constexpr (std::is_same_v<type, drain_acknowledgment>) {
        visit(value.vm);
        visit(value.record_revision);
        visit(value.in_flight);
    }
    else if constexpr (std::is_same_v<type, drain_report>) {
        visit(value.acknowledgments);
    }
    else if constexpr (std::is_same_v<type, queue_notice>) {
        visit(value.service);
    }
    else if constexpr (std::is_same_v<type, state_request>) {
        visit(value.configuration);
        visit(value.vm_list);
        visit(value.vm_records);
    }
    else if constexpr (std::is_same_v<type, generation_notice>) {
        visit(value.generation);
    }
    else if constexpr (std::is_same_v<type, configuration_push>) {
        visit(value.generation);
        visit(value.published);
    }
    else if constexpr (std::is_same_v<type, vm_mark>) {
        visit(value.vm);
        visit(value.pool);
        visit(value.phase);
        visit(value.revision);
    }
    else if constexpr (std::is_same_v<type, endpoint>) {
        visit(value.address);
        visit(value.port);
    }
    else if constexpr (std::is_same_v<type, platform::vm_resources>) {
        visit(value.cores);
        visit(value.memory_gb);
        visit(value.accelerators);
    }
    else if constexpr (std::is_same_v<type, platform::listed_vm>) {
        visit(value.vm);
        visit(value.address);
        visit(value.data_centre);
        visit(value.rack);
        visit(value.initial_pool);
        visit(value.leaving);
        visit(value.boot_id);
        visit(value.resources);
    }
    else if constexpr (std::is_same_v<type, vm_list_push>) {
        visit(value.complete);
        visit(value.changed);
        visit(value.removed);
    }
    else if constexpr (std::is_same_v<type, vm_records_push>) {
        visit(value.complete);
        visit(value.revision);
        visit(value.marks);
    }
    else if constexpr (std::is_same_v<type, observe>) {
        visit(value.sequence);
        visit(value.generation);
        visit(value.view_version);
    }
    else if constexpr (std::is_same_v<type, observed_member>) {
        visit(value.record);
        visit(value.alive);
        visit(value.generation);
        visit(value.store_reachable);
        visit(value.report_age);
        visit(value.loads);
        visit(value.acknowledgments);
    }
    else {
        static_assert(std::is_same_v<type, observation>);
        visit(value.sequence);
        visit(value.published);
        visit(value.view_version);
        visit(value.view_included);
        visit(value.vms);
        visit(value.marks);
        visit(value.members);
    }
}

template <typename T>
struct is_vector : std::false_type {
};
template <typename T>
struct is_vector<std::vector<T>> : std::true_type {
};
template <typename T>
struct is_optional : std::false_type {
};
template <typename T>
struct is_optional<std::optional<T>> : std::true_type {
};

template <typename T>
json writer::to_json(const T& value)
{
    if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
        return value;
    }
    else if constexpr (std::is_enum_v<T>) {
        return static_cast<int>(value);
    }
    else if constexpr (std::is_same_v<T, std::chrono::milliseconds>) {
        return value.count();
    }
    else if constexpr (is_optional<T>::value) {
        return value ? to_json(*value) : json();
    }
    else if constexpr (is_vector<T>::value) {
        json items = json::array();
        for (const auto& item : value) {
            items.push_back(to_json(item));
        }
        return items;
    }
    else {
        json items = json::array();
        writer nested(items);
        fields(nested, value);
        return items;
    }
}

template <typename T>
void read_integer(const json& item, T& value)
{
    reader::require(item.is_number_integer());
    if (item.is_number_unsigned()) {
        const auto number = item.get<std::uint64_t>();
        reader::require(number <= static_cast<std::uint64_t>(std::numeric_limits<T>::max()));
        value = static_cast<T>(number);
        return;
    }
    const auto number = item.get<std::int64_t>();
    reader::require(std::is_signed_v<T> &&
                    number >= static_cast<std::int64_t>(std::numeric_limits<T>::min()));
    value = static_cast<T>(number);
}

template <typename T>
void reader::from_json(const json& item, T& value)
{
    if constexpr (std::is_same_v<T, bool>) {
        require(item.is_boolean());
        value = item.get<bool>();
    }
    else if constexpr (std::is_integral_v<T>) {
        read_integer(item, value);
    }
    else if constexpr (std::is_floating_point_v<T>) {
        require(item.is_number());
        value = item.get<T>();
    }
    else if constexpr (std::is_same_v<T, std::string>) {
        require(item.is_string());
        value = item.get<std::string>();
    }
    else if constexpr (std::is_same_v<T, records::vm_phase>) {
        int number = 0;
        read_integer(item, number);
        require(number >= 0 && number <= static_cast<int>(records::vm_phase::returning));
        value = static_cast<records::vm_phase>(number);
    }
    else if constexpr (std::is_same_v<T, std::chrono::milliseconds>) {
        std::int64_t number = 0;
        read_integer(item, number);
        // Ages are never negative, and one above a day says no more than a day.
        constexpr std::int64_t day = std::chrono::milliseconds(std::chrono::hours(24)).count();
        require(number >= 0);
        value = std::chrono::milliseconds(std::min(number, day));
    }
    else if constexpr (is_optional<T>::value) {
        value.reset();
        if (!item.is_null()) {
            from_json(item, value.emplace());
        }
    }
    else if constexpr (is_vector<T>::value) {
        require(item.is_array());
        value.clear();
        value.reserve(item.size());
        for (const auto& element : item) {
            from_json(element, value.emplace_back());
        }
    }
    else {
        reader nested(item, 0);
        fields(nested, value);
        nested.finish();
    }
}

template <std::size_t Index = 0>
message read_alternative(std::size_t type, const json& source)
{
    if constexpr (Index < std::variant_size_v<message>) {
        if (type != Index) {
            return read_alternative<Index + 1>(type, source);
        }
        std::variant_alternative_t<Index, message> result;
        reader reader(source, 1);
        fields(reader, result);
        reader.finish();
        return result;
    }
    throw std::invalid_argument("unknown message type");
}

} // namespace

bool member_report::operator==(const member_report& other) const
{
    return generation == other.generation && store_reachable == other.store_reachable &&
           platform_reachable == other.platform_reachable && view_complete == other.view_complete &&
           known_members == other.known_members && list_digest == other.list_digest &&
           records_digest == other.records_digest;
}

const char* type_name(const message& message)
{
    constexpr std::array<const char*, std::variant_size_v<peers::message>> names = {
        "hello",         "ping",         "pong",          "load_report",
        "drain_report",  "queue_notice", "state_request", "generation_notice",
        "configuration", "vm_list",      "vm_records",    "observe",
        "observation"};
    return names.at(message.index());
}

std::string encode(const message& message)
{
    json items = json::array({message.index()});
    std::visit(
        [&](const auto& typed) {
            writer writer(items);
            fields(writer, typed);
        },
        message);
    std::string bytes;
    json::to_cbor(items, bytes);
    return bytes;
}

std::optional<message> decode(std::string_view bytes)
{
    if (bytes.size() > max_message_bytes || !internal::has_bounded_depth(bytes, max_depth)) {
        return std::nullopt;
    }
    // The parser throws on some inputs in spite of allow_exceptions == false.
    try {
        const json value = json::from_cbor(bytes, true, false);
        reader::require(value.is_array() && !value.empty());
        std::size_t type = 0;
        reader::from_json(value[0], type);
        return read_alternative(type, value);
    }
    catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace jl::peers
