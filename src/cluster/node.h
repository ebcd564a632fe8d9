#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <shared_mutex>
#include <string>
#include <vector>

#include "base/periodic_task.h"
#include "cluster/cluster.h"
#include "cluster/configuration.h"
#include "cluster/liveness.h"
#include "cluster/member_table.h"
#include "cluster/registration.h"
#include "cluster/vm_table.h"
#include "peers/peer_transport.h"

namespace jl::cluster::internal {

// The cluster state of one entry, fed by the store, the VM list and the links with other entries.
// The step functions do what is due; start() calls them from threads of their own, and tests call
// them directly. Thread-safe, but each step function is called from one thread at a time.
class node final : public cluster_state, public peers::peer_events {
public:
    // `transport` may be null.
    node(store::key_value_store& store, store::process_lease& lease, platform::vm_list& list,
         const clock_source& clock, metrics& metrics, cluster_options options,
         std::unique_ptr<peers::peer_transport> transport);
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

    // Read once. Each returns false if the store or the VM list did not answer.
    bool read_configuration();
    bool read_members();
    bool read_vm_list();
    bool read_vm_records();

    void lease_step();
    void members_step();
    void configuration_step();
    void vm_records_step();
    void vm_list_step();
    // Sends loads, acknowledgments and queue notices.
    void report_step();
    // Starts the links without the threads.
    void start_links();

    send_decision decision() const;

    peers::hello describe_self() override;
    peers::member_report report(std::chrono::milliseconds& view_age) override;
    void on_link_up(const peers::hello& peer) override;
    void on_link_down(const std::string& member) override;
    void on_pong(const std::string& member, steady_time sent_at, std::chrono::milliseconds view_age,
                 const peers::member_report& report) override;
    void on_message(const std::string& member, const peers::message& received) override;

private:
    // A feed that is polled, woken by hints of peers, and for records and configuration watched by
    // selected members.
    struct feed {
        steady_time next_poll;
        std::optional<steady_time> read_at; // start of the last read that was answered
        // Of the content: for the configuration the key's, for records the store's. Under mutex_.
        std::int64_t revision = 0;
        std::int64_t watch_from = 0;     // revision after the last read
        std::optional<std::string> hint; // member that has something newer
        std::unique_ptr<store::watch> watch;
        steady_time next_watch; // earliest time for a new watch after a failed one
    };

    // Calls to the store or the VM list.
    struct contact {
        std::optional<steady_time> answered_at; // start of the last call that was answered
        bool failing = false;                   // the last call was not answered
        bool reached(steady_time now, std::chrono::milliseconds limit) const
        {
            return !failing && within(answered_at, now, limit);
        }
    };

    steady_time call_deadline() const;
    steady_time next_backup_poll();
    void note_call(contact& contact, steady_time sent_at, bool answered);
    bool selected(const char* duty) const;
    std::optional<std::string> take_hint(feed& feed);
    bool must_start_watch(feed& feed, const char* duty);
    void take_configuration(const store::key_value& item);
    void offer_configuration(const std::string& published, bool from_store);
    void announce_generation();
    void on_vm_events(const std::vector<store::watch_event>& events, std::int64_t revision);
    void request_state(const std::string& member, const peers::state_request& request);

    // The following require mutex_.
    bool platform_reachable(steady_time now) const;
    bool store_recently_reached(steady_time now) const;
    void confirm_view(steady_time at);
    void publish_vms();
    void apply_list_change(const vm_table::list_change& change);
    void note_digests(const std::string& name, known_member& member,
                      const peers::member_report& report, steady_time confirmed_at);

    void handle(const std::string& member, const peers::load_report& received);
    void handle(const std::string& member, const peers::drain_report& received);
    void handle(const std::string& member, const peers::queue_notice& received);
    void handle(const std::string& member, const peers::state_request& received);
    void handle(const std::string& member, const peers::generation_notice& received);
    void handle(const std::string& member, const peers::configuration_push& received);
    void handle(const std::string& member, const peers::vm_list_push& received);
    void handle(const std::string& member, const peers::vm_records_push& received);
    void handle(const std::string& member, const peers::observe& received);
    // Sent by entries to attached processes only.
    void handle(const std::string& /*member*/, const peers::observation& /*received*/) {}
    // Handled by the transport.
    void handle(const std::string& /*member*/, const peers::hello& /*received*/) {}
    void handle(const std::string& /*member*/, const peers::ping& /*received*/) {}
    void handle(const std::string& /*member*/, const peers::pong& /*received*/) {}

    void send(const std::string& member, const peers::message& message, peers::priority priority);
    void broadcast(const peers::message& message, peers::priority priority);
    void report_loads(steady_time now);
    void report_drains(steady_time now);
    void deliver_queue_notices(steady_time now);
    std::vector<drain_acknowledgment> acknowledgments() const;
    std::vector<service_load> own_loads() const;
    member_status own_status() const;
    void connect_members();
    std::chrono::milliseconds departed_retention() const;
    void wake(const std::unique_ptr<periodic_task>& task) const;

    store::key_value_store& store_;
    platform::vm_list& list_;
    const clock_source& clock_;
    metrics& metrics_;
    const cluster_options options_;
    const steady_time created_at_;
    registration registration_;
    configuration_holder configuration_; // rank 1: configuration

    mutable std::shared_mutex handlers_mutex_;
    in_flight_source in_flight_;
    load_source loads_;
    queue_notice_handler queue_notice_;

    mutable std::mutex mutex_; // rank 2: VM view
    vm_table table_;
    std::uint64_t view_version_ = 1;
    member_table members_;
    bool list_loaded_ = false;
    bool records_loaded_ = false;
    contact list_contact_;
    contact store_contact_;
    std::optional<steady_time> view_confirmed_at_;
    feed configuration_feed_;
    feed records_feed_;
    feed list_feed_;
    steady_time next_members_poll_;
    std::optional<steady_time> members_tried_at_;
    // When the last read of the members that was answered was sent.
    std::optional<steady_time> members_read_at_;
    std::set<std::string> pending_notices_;
    peers::drain_report sent_drains_;
    std::mt19937_64 random_{std::random_device{}()};

    // Of report_step().
    bool reported_loads_ = false;
    steady_time next_load_report_;
    steady_time next_drain_update_;
    steady_time next_notices_;

    mutable std::mutex snapshot_mutex_; // held only to copy the pointer
    vm_snapshot_ptr snapshot_;
    // View confirmation for the fast path of may_send(), in ticks of the steady clock; 0 until the
    // view is complete and the configuration known.
    std::atomic<steady_time::rep> sending_confirmed_at_{0};

    std::unique_ptr<peers::peer_transport> transport_;
    std::unique_ptr<periodic_task> lease_task_;
    std::unique_ptr<periodic_task> members_task_;
    std::unique_ptr<periodic_task> configuration_task_;
    std::unique_ptr<periodic_task> records_task_;
    std::unique_ptr<periodic_task> list_task_;
    std::unique_ptr<periodic_task> report_task_;
};

} // namespace jl::cluster::internal
