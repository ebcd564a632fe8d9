#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jl {

enum class setting_type { text, integer, number, boolean, milliseconds, text_list };

// One row of a program's settings table. The table is the only definition of the settings:
// validation, default values and `--help-settings` all use it.
struct setting_spec {
    std::string key; // dotted path in the JSON document, e.g. "store.timeout_ms"
    setting_type type = setting_type::text;
    std::string unit;
    std::string default_value; // JSON text; if empty, the setting is required
    std::optional<std::int64_t> minimum;
    std::optional<std::int64_t> maximum;
    std::string description;
};

// Validated values of a settings file.
//
//   auto settings = load_settings("entry.json", table, errors);
//   if (!settings) { print errors; exit(2); }
//   settings->text("caller.address");
//
// Immutable after loading, so safe to read from any thread. The accessors require that the key is
// in the table with the matching type.
class settings {
public:
    const std::string& text(const std::string& key) const;
    std::int64_t integer(const std::string& key) const;
    double number(const std::string& key) const;
    bool boolean(const std::string& key) const;
    std::chrono::milliseconds duration(const std::string& key) const;
    const std::vector<std::string>& list(const std::string& key) const;

private:
    friend std::optional<settings> parse_settings(std::string_view, const std::string&,
                                                  const std::vector<setting_spec>&,
                                                  std::vector<std::string>&);
    std::map<std::string, std::string> texts_;
    std::map<std::string, std::int64_t> integers_;
    std::map<std::string, double> numbers_;
    std::map<std::string, bool> booleans_;
    std::map<std::string, std::vector<std::string>> lists_;
};

// Validates a JSON document against `table`. Appends a message to `errors` for every error, with
// the file, the key and the expected value. Returns the settings only if there is no error.
std::optional<settings> parse_settings(std::string_view json, const std::string& file_name,
                                       const std::vector<setting_spec>& table,
                                       std::vector<std::string>& errors);

// Reads a file and validates it like parse_settings().
std::optional<settings> load_settings(const std::string& path,
                                      const std::vector<setting_spec>& table,
                                      std::vector<std::string>& errors);

// Returns the settings table in Markdown, for the operators' documentation and `--help-settings`.
std::string describe_settings(const std::vector<setting_spec>& table);

// An IP address and port, as written in settings and records: "127.0.0.1:8080".
struct endpoint {
    std::string address;
    std::uint16_t port = 0;
    std::string to_string() const;
    bool operator==(const endpoint& other) const
    {
        return address == other.address && port == other.port;
    }
    bool operator<(const endpoint& other) const
    {
        return address != other.address ? address < other.address : port < other.port;
    }
};
// Parses "ADDRESS:PORT"; returns nothing if the port is not in 1..65535. The address is not
// checked.
std::optional<endpoint> parse_endpoint(std::string_view text);

} // namespace jl
