#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jl::objects {

struct data_centre {
    std::string name;
    std::string region;
};

// A set of VMs that serve one service and run its tasks.
struct pool {
    std::string name;
    bool spare = false; // VMs may be lent to other pools
    int min_vms = 0;
    int max_vms = 0;
};

struct service {
    std::string name;
    std::string pool;
    int slots_per_instance = 8;
    int connections_per_instance = 64;
    std::chrono::milliseconds default_timeout{10000};
    std::chrono::milliseconds max_timeout{60000};
    int max_backlog = 100000; // deferred requests kept at most
    int max_waiting = 1000;   // calls waiting for a slot in one entry at most
};

struct team {
    std::string name;
    double weight = 1;
    // Slots (for tasks: cores) the team may hold in a pool; a pool without a number is unlimited.
    std::map<std::string, int> quotas;
};

enum class budget_scope { service, pool, rack, data_centre };

// Limits how many VMs of a scope may be unavailable at once. The name "*" of rack and data-centre
// budgets applies the limit to each rack or data centre separately.
struct budget {
    std::string name;
    budget_scope scope = budget_scope::service;
    std::string scope_name;
    std::optional<int> min_available;
    std::optional<int> max_unavailable;
    std::optional<int> max_unavailable_percent;
};

// Maintains every VM of the pools once per period.
struct maintenance_wave {
    std::string name;
    std::vector<std::string> pools;
    std::chrono::hours period{24 * 35};
    std::chrono::system_clock::time_point starts_at;
    std::chrono::seconds drain_limit{600};
};

// Weights of the measures that decisions trade against each other.
struct policy {
    double buffer_cost = 1;
    double moves = 1;
    double rollout_time = 1;
    double flood_service = 1;
};

// A complete, immutable configuration. Shared between threads as
// std::shared_ptr<const object_set>.
struct object_set {
    std::int64_t generation = 0;
    std::vector<data_centre> data_centres;
    std::vector<pool> pools;
    std::vector<service> services;
    std::vector<team> teams;
    std::vector<budget> budgets;
    std::vector<maintenance_wave> waves;
    jl::objects::policy policy;
    // Team that may change an object, by "kind name"; empty: administrators only.
    std::map<std::string, std::string> owners;

    const pool* find_pool(std::string_view name) const;
    const service* find_service(std::string_view name) const;
    const service* find_service_of_pool(std::string_view pool) const;
    const team* find_team(std::string_view name) const;
};

using object_set_ptr = std::shared_ptr<const object_set>;

// One fault in a set of objects: "service rounds, field pool: no pool named \"round\"".
struct object_error {
    std::string object; // "kind name"
    std::string field;
    std::string reason;
    std::string to_string() const;
};

// Format number written into every document. A document with another number is refused whole.
inline constexpr int document_format = 1;

// Reads {"format": 1, "objects": [{"kind": ..., "name": ..., ...}, ...]} and checks the set as a
// whole. Appends every fault to `errors`; returns a set only if there is none.
std::optional<object_set> parse_objects(std::string_view json, std::vector<object_error>& errors);

// Checks references and feasibility across objects.
void check_objects(const object_set& set, std::vector<object_error>& errors);

// What is stored below /jl/config/: one published generation.
struct published_configuration {
    std::int64_t generation = 0;
    std::string author;
    std::chrono::milliseconds published_at{}; // since the Unix epoch
    std::string write_id;
    std::string document; // JSON text accepted by parse_objects
};

std::string to_json(const published_configuration& configuration);
std::optional<published_configuration> parse_published(std::string_view json);

} // namespace jl::objects
