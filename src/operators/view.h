#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "cluster/cluster_state.h"
#include "objects/objects.h"
#include "records/records.h"

// What operators read about the cluster: pure functions of the observed state and the records.
namespace jl::operators {

// State and record of one VM.
struct vm_picture {
    cluster::vm_state state;
    std::optional<records::vm_record> record;
};

// Everything that the functions below need, read at one time.
struct cluster_picture {
    objects::object_set_ptr configuration; // null until one has been read
    std::vector<vm_picture> vms;
    std::vector<cluster::member_status> members;
    std::vector<records::wave_record> waves;
    std::vector<records::operator_drain_record> drains;
    std::chrono::milliseconds now{}; // since the Unix epoch
};

// One limit of a budget as it stands: a budget with the name "*" has one for each rack or data
// centre.
struct budget_headroom {
    std::string budget;
    std::string scope;
    std::string scope_name;
    int vms = 0;
    int unavailable = 0;
    int allowed = 0; // may be unavailable at once
    std::vector<std::string> unavailable_vms;
    int left() const { return allowed - unavailable; }
};

std::vector<budget_headroom> budget_headrooms(const cluster_picture& picture);

struct wave_progress {
    std::string wave;
    records::wave_state state = records::wave_state::running;
    std::string changed_by;
    std::vector<std::string> pools;
    std::chrono::milliseconds period_start{}; // since the Unix epoch
    std::chrono::milliseconds period_end{};
    int vms = 0;
    int done = 0; // maintained since the start of the period
    std::vector<std::string> in_progress;
    std::vector<std::string> blocking; // reasons why no further VM is drained now
    int remaining() const { return vms - done; }
};

std::vector<wave_progress> wave_progresses(const cluster_picture& picture);

// Why a VM is where it is.
struct vm_explanation {
    vm_picture vm;
    std::string service;
    std::vector<budget_headroom> budgets; // those that cover the VM
    std::vector<std::string> waves;       // those that select the VM's pool
    std::optional<records::operator_drain_record> drain;
    struct acknowledgment {
        std::string member;
        bool alive = false;
        bool acknowledged = false;
        int in_flight = 0;
    };
    std::vector<acknowledgment> acknowledgments; // of the record's revision, by entry
    std::vector<std::string> blocking;           // reasons why the VM does not proceed
};

std::optional<vm_explanation> explain_vm(const cluster_picture& picture, const std::string& vm);

// Which generation each entry has in force.
struct in_force_report {
    std::int64_t generation = 0; // in the store
    int entries = 0;             // alive or registered
    int acknowledged = 0;        // alive and at this generation
    std::vector<std::string> behind;
    // False also without any entry: nothing is known then.
    bool in_force() const { return entries > 0 && acknowledged == entries; }
};

// `registered` are the entries with a member record in the store: an entry that the local entry has
// not heard of may serve an older generation, so it counts as behind.
in_force_report report_in_force(std::int64_t stored_generation,
                                const std::vector<cluster::member_status>& members,
                                const std::set<std::string>& registered);

// Load of one service over all live entries.
struct service_summary {
    std::string service;
    int waiting = 0;
    int running = 0;
    int backlog = 0;
    int max_backlog = 0;
    double arrival_rate = 0;
    int slots = 0; // of the usable VMs of the service's pool
};

std::vector<service_summary> summarize_services(const cluster_picture& picture);

const char* scope_text(objects::budget_scope scope);

} // namespace jl::operators
