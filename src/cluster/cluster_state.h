#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/settings.h"
#include "base/time.h"
#include "objects/objects.h"
#include "peers/messages.h"
#include "platform/platform.h"
#include "records/records.h"

namespace jl::cluster {

// What an entry knows about one VM: the VM list combined with the planner's record.
struct vm_state {
    std::string vm;
    endpoint address;
    std::string pool;
    std::string data_centre;
    std::string rack;
    bool listed_live = false;
    records::vm_phase phase = records::vm_phase::in_service;
    std::int64_t record_revision = 0; // 0: no record yet
    platform::vm_resources resources;

    // True if new work may be sent to the VM.
    bool usable() const { return listed_live && phase == records::vm_phase::in_service; }
};

struct vm_snapshot {
    std::vector<vm_state> vms;
};

using vm_snapshot_ptr = std::shared_ptr<const vm_snapshot>;

using peers::drain_acknowledgment;
using peers::service_load;

struct member_status {
    records::member_record member;
    bool alive = false; // heard of within the failure detection time
    std::int64_t generation = 0;
    bool store_reachable = false;
    std::chrono::milliseconds report_age{};
    std::vector<service_load> loads;
    std::vector<drain_acknowledgment> acknowledgments;
};

// Answers "how many requests are in flight to this VM"; called from the cluster's threads.
using in_flight_source = std::function<int(const std::string& vm)>;
using load_source = std::function<std::vector<service_load>()>;
using queue_notice_handler = std::function<void(const std::string& service)>;

// Read-only view of the cluster: configuration in force, VMs, members. Used by jl-planner and
// jl-admin over a link to the jl-entry of their VM. Implementations are thread-safe, and the
// snapshots they return are immutable.
class cluster_observer {
public:
    virtual ~cluster_observer() = default;

    // Highest generation seen; null until the first one has been read.
    virtual objects::object_set_ptr configuration() const = 0;
    // Never null.
    virtual vm_snapshot_ptr vms() const = 0;
    // All known entries, this one included.
    virtual std::vector<member_status> members() const = 0;
};

// An entry's own view of the cluster, through which it also reports load and drains.
class cluster_state : public cluster_observer {
public:
    // False while the VM view is too old to send new work to targets safely.
    virtual bool may_send() const = 0;
    virtual std::string self() const = 0;

    // Tells the owner of the service's deferred queue that requests were added.
    virtual void notify_queue(const std::string& service) = 0;

    // Set once, before start().
    virtual void set_in_flight_source(in_flight_source source) = 0;
    virtual void set_load_source(load_source source) = 0;
    virtual void set_queue_notice_handler(queue_notice_handler handler) = 0;
    virtual void start() = 0;
};

} // namespace jl::cluster
