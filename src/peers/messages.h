#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "platform/platform.h"
#include "records/records.h"

// Messages between our own processes, encoded as CBOR arrays: a type number, then the fields in
// the order of the struct.
namespace jl::peers {

inline constexpr int protocol_version = 1;
// A larger message closes the link before it is parsed. A configuration document has at most 1 MB.
inline constexpr std::size_t max_message_bytes = 2U << 20U;

// First message of each side of a link.
struct hello {
    int version = protocol_version;
    std::string member;
    std::int64_t incarnation = 0;
    std::int64_t generation = 0;
    bool attached = false; // jl-planner or jl-admin of the same VM, not a member of the mesh
};

struct ping {
    std::uint64_t sequence = 0;
};

// What a member states of itself.
struct member_report {
    std::int64_t generation = 0;
    bool store_reachable = false;
    bool platform_reachable = false; // the store or the VM list answered within 2 s
    bool view_complete = false;      // the VM list and the VM records have been read
    int known_members = 0;           // the sender included
    std::uint64_t list_digest = 0;
    std::uint64_t records_digest = 0;
    bool operator==(const member_report& other) const;
};

// Answer to a ping. `view_age` is the age of the VM view when the pong was sent. The report is
// left out if it is the same as the last one sent over this link.
struct pong {
    std::uint64_t sequence = 0;
    std::chrono::milliseconds view_age{};
    std::optional<member_report> report;
};

// Demand and use of one service as one entry sees it.
struct service_load {
    std::string service;
    int waiting = 0;         // calls that wait for a slot
    int running = 0;         // slots in use by this entry
    double arrival_rate = 0; // requests per second, smoothed
    int backlog = 0;         // deferred requests, reported by the queue's owner only
};

struct load_report {
    std::vector<service_load> loads;
};

// Acknowledgment that no new work is sent to a VM whose record has this revision.
struct drain_acknowledgment {
    std::string vm;
    std::int64_t record_revision = 0;
    int in_flight = 0;
};

// All acknowledgments of the sender.
struct drain_report {
    std::vector<drain_acknowledgment> acknowledgments;
};

// Requests were added to a deferred queue.
struct queue_notice {
    std::string service;
};

// Asks for what the sender cannot read from the store or the VM list itself.
struct state_request {
    bool configuration = false;
    bool vm_list = false;
    bool vm_records = false;
};

// A configuration of this generation was read from the store.
struct generation_notice {
    std::int64_t generation = 0;
};

// A published configuration, in its stored form.
struct configuration_push {
    std::int64_t generation = 0;
    std::string published; // objects::to_json(published_configuration)
};

// The part of a VM record that entries need, with its revision in the store.
struct vm_mark {
    std::string vm;
    std::string pool;
    records::vm_phase phase = records::vm_phase::in_service;
    std::int64_t revision = 0;
};

// Changes of the VM list, or all of it if `complete`.
struct vm_list_push {
    bool complete = false;
    std::vector<platform::listed_vm> changed;
    std::vector<std::string> removed;
};

// Changed VM records, or all of them as of the store's `revision` if `complete`.
struct vm_records_push {
    bool complete = false;
    std::int64_t revision = 0;
    std::vector<vm_mark> marks;
};

// Asks the local entry for its view; sent by attached processes. The entry leaves out what has
// not changed since the versions given.
struct observe {
    std::uint64_t sequence = 0;
    std::int64_t generation = 0;
    std::uint64_t view_version = 0;
};

struct observed_member {
    std::string record; // records::to_json(member_record)
    bool alive = false;
    std::int64_t generation = 0;
    bool store_reachable = false;
    std::chrono::milliseconds report_age{};
    std::vector<service_load> loads;
    std::vector<drain_acknowledgment> acknowledgments;
};

struct observation {
    std::uint64_t sequence = 0;
    std::string published; // empty: not newer than the generation in the request
    std::uint64_t view_version = 0;
    bool view_included = false; // false: the view has the version in the request
    // `initial_pool` holds the present pool, `leaving` is true for VMs not listed as live.
    std::vector<platform::listed_vm> vms;
    std::vector<vm_mark> marks; // of the VMs with a record
    std::vector<observed_member> members;
};

using message = std::variant<hello, ping, pong, load_report, drain_report, queue_notice,
                             state_request, generation_notice, configuration_push, vm_list_push,
                             vm_records_push, observe, observation>;

// Name of the message's type, for metrics.
const char* type_name(const message& message);

std::string encode(const message& message);

// Returns nothing if the bytes are not a valid message. Never throws and needs bounded stack for
// any input.
std::optional<message> decode(std::string_view bytes);

} // namespace jl::peers
