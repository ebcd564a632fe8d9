#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/periodic_task.h"
#include "cluster/cluster.h"
#include "cluster/configuration.h"
#include "cluster/liveness.h"
#include "cluster/registration.h"
#include "cluster/vm_table.h"

namespace jl::cluster::internal {

// The cluster state of one entry. The step functions read from the store and the VM list once;
// start() calls them from threads, tests call them directly. Thread-safe.
class node final : public cluster_state {
public:
    node(store::key_value_store& store, store::process_lease& lease, platform::vm_list& list,
         const clock_source& clock, metrics& metrics, cluster_options options);
    ~node() override;
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    objects::object_set_ptr configuration() const override;
    vm_snapshot_ptr vms() const override;
    std::vector<member_status> members() const override;
    bool may_send() const override;
    std::string self() const override { return options_.member.member; }
    void notify_queue(const std::string& service) override;
    void set_in_flight_source(in_flight_source source) override;
    void set_load_source(load_source source) override;
    void set_queue_notice_handler(queue_notice_handler handler) override;
    void start() override;

    // Each returns false if the store or the VM list did not answer.
    bool renew_lease();
    bool read_configuration();
    bool read_members();
    bool read_vm_list();
    bool read_vm_records();

    send_decision decision() const;

private:
    steady_time call_deadline() const;
    void store_answered(steady_time sent_at);
    void offer_configuration(const std::string& published);
    void publish_vms();
    std::vector<drain_acknowledgment> acknowledgments() const;

    store::key_value_store& store_;
    platform::vm_list& list_;
    const clock_source& clock_;
    metrics& metrics_;
    const cluster_options options_;
    registration registration_;
    configuration_holder configuration_;

    in_flight_source in_flight_;
    load_source loads_;
    queue_notice_handler queue_notice_;

    mutable std::mutex mutex_; // rank 2: VM view
    vm_table table_;
    vm_snapshot_ptr snapshot_;
    std::map<std::string, records::member_record> members_; // last known
    bool list_loaded_ = false;
    bool records_loaded_ = false;
    std::optional<steady_time> view_confirmed_at_;
    std::optional<steady_time> list_answered_at_;
    std::optional<steady_time> store_answered_at_;
    std::int64_t configuration_revision_ = 0;

    std::vector<std::unique_ptr<periodic_task>> tasks_;
};

} // namespace jl::cluster::internal
