// The part of the node that talks with other entries and attached processes.

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/ids.h"
#include "base/log.h"
#include "cluster/node.h"

namespace jl::cluster::internal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds load_report_period{1000};
// Changes of an in-flight count above 0 are sent at most this often; the rest at once.
constexpr milliseconds drain_update_period{500};
// Requests are added to a queue far more often than its owner needs to be told.
constexpr milliseconds queue_notice_period{500};
// A push and the pong that already shows its effect may arrive in either order, so one pong with
// another digest is no reason to read.
constexpr int mismatches_before_read = 2;

bool same_vms(const peers::drain_report& one, const peers::drain_report& other)
{
    const auto& left = one.acknowledgments;
    const auto& right = other.acknowledgments;
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const auto& a, const auto& b) {
                          return a.vm == b.vm && a.record_revision == b.record_revision &&
                                 (a.in_flight == 0) == (b.in_flight == 0);
                      });
}

bool same_counts(const peers::drain_report& one, const peers::drain_report& other)
{
    const auto& left = one.acknowledgments;
    const auto& right = other.acknowledgments;
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const auto& a, const auto& b) { return a.in_flight == b.in_flight; });
}

bool is_idle(const service_load& load)
{
    return load.waiting == 0 && load.running == 0 && load.backlog == 0 && load.arrival_rate < 0.1;
}

// Reduces a rate to a value that CBOR carries in four bytes instead of eight.
double shorten(double rate)
{
    return static_cast<double>(static_cast<float>(rate));
}

} // namespace

void node::send(const std::string& member, const peers::message& message, peers::priority priority)
{
    if (transport_) {
        transport_->send(member, message, priority);
    }
}

void node::broadcast(const peers::message& message, peers::priority priority)
{
    std::vector<std::string> linked;
    {
        const std::lock_guard lock(mutex_);
        linked = members_.linked();
    }
    for (const auto& name : linked) {
        send(name, message, priority);
    }
}

void node::request_state(const std::string& member, const peers::state_request& request)
{
    send(member, request, peers::priority::urgent);
}

peers::hello node::describe_self()
{
    return {peers::protocol_version, self(), options_.member.incarnation,
            configuration_.generation(), false};
}

peers::member_report node::report(milliseconds& view_age)
{
    peers::member_report report;
    report.generation = configuration_.generation();
    const auto now = clock_.steady_now();
    const std::lock_guard lock(mutex_);
    report.store_reachable = store_recently_reached(now);
    report.platform_reachable = platform_reachable(now);
    report.view_complete = list_loaded_ && records_loaded_;
    report.known_members = static_cast<int>(members_.all().size()) + 1;
    report.list_digest = table_.list_digest();
    report.records_digest = table_.records_digest();
    view_age = std::chrono::hours(24);
    if (view_confirmed_at_) {
        // Rounded up: the receiver must not take the view for younger than it is.
        view_age = std::chrono::ceil<milliseconds>(now - *view_confirmed_at_);
    }
    return report;
}

void node::on_link_up(const peers::hello& peer)
{
    if (peer.attached) {
        return;
    }
    peers::drain_report drains;
    {
        const std::lock_guard lock(mutex_);
        members_.link_up(peer.member, peer.incarnation, clock_.steady_now());
        drains = sent_drains_;
    }
    send(peer.member, drains, peers::priority::urgent);
    wake(members_task_);
}

void node::on_link_down(const std::string& member)
{
    const std::lock_guard lock(mutex_);
    members_.link_down(member);
}

void node::on_pong(const std::string& member, steady_time sent_at, milliseconds view_age,
                   const peers::member_report& report)
{
    const bool behind = report.generation > configuration_.generation();
    {
        const std::lock_guard lock(mutex_);
        auto* known = members_.find(member);
        if (known == nullptr) {
            return;
        }
        known->heard_at = std::max(known->heard_at, std::optional(sent_at));
        known->report = report;
        note_digests(member, *known, report, sent_at - view_age);
        if (report.view_complete && list_loaded_ && records_loaded_ &&
            report.list_digest == table_.list_digest() &&
            report.records_digest == table_.records_digest()) {
            confirm_view(sent_at - view_age);
        }
        if (behind) {
            configuration_feed_.hint = member;
        }
    }
    if (behind) {
        wake(configuration_task_);
    }
}

// Has the list or the records read again when a peer's differ from ours.
void node::note_digests(const std::string& name, known_member& member,
                        const peers::member_report& report, steady_time confirmed_at)
{
    if (!report.view_complete) {
        return;
    }
    const auto note = [&](bool differs, bool loaded, int& mismatches, feed& feed) {
        mismatches = differs || !loaded ? mismatches + 1 : 0;
        if (mismatches >= mismatches_before_read || !loaded) {
            mismatches = 0;
            feed.hint = name;
        }
    };
    // Lists have no revisions, so only one that was confirmed later than ours is preferred.
    const bool newer = !view_confirmed_at_ || confirmed_at > *view_confirmed_at_;
    note(newer && report.list_digest != table_.list_digest(), list_loaded_, member.list_mismatches,
         list_feed_);
    note(report.records_digest != table_.records_digest(), records_loaded_,
         member.records_mismatches, records_feed_);
}

void node::on_message(const std::string& member, const peers::message& received)
{
    std::visit([&](const auto& typed) { handle(member, typed); }, received);
}

void node::handle(const std::string& member, const peers::load_report& received)
{
    const std::lock_guard lock(mutex_);
    if (auto* known = members_.find(member)) {
        known->loads = received.loads;
    }
}

void node::handle(const std::string& member, const peers::drain_report& received)
{
    const std::lock_guard lock(mutex_);
    if (auto* known = members_.find(member)) {
        known->acknowledgments = received.acknowledgments;
    }
}

void node::handle(const std::string& /*member*/, const peers::queue_notice& received)
{
    const std::shared_lock lock(handlers_mutex_);
    if (queue_notice_) {
        queue_notice_(received.service);
    }
}

void node::handle(const std::string& member, const peers::generation_notice& received)
{
    if (received.generation <= configuration_.generation()) {
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        configuration_feed_.hint = member;
        // Known to be newer, so the limit on reads prompted by pongs does not apply.
        configuration_feed_.read_at.reset();
    }
    wake(configuration_task_);
}

void node::handle(const std::string& /*member*/, const peers::configuration_push& received)
{
    offer_configuration(received.published, false);
}

void node::handle(const std::string& member, const peers::state_request& received)
{
    if (received.configuration) {
        if (const auto published = configuration_.published()) {
            send(member, peers::configuration_push{configuration_.generation(), *published},
                 peers::priority::bulk);
        }
    }
    peers::vm_list_push list;
    peers::vm_records_push marks;
    {
        const std::lock_guard lock(mutex_);
        list.complete = received.vm_list && list_loaded_;
        list.changed = table_.list();
        marks.complete = received.vm_records && records_loaded_;
        marks.revision = records_feed_.revision;
        marks.marks = table_.records();
    }
    if (list.complete) {
        send(member, list, peers::priority::bulk);
    }
    if (marks.complete) {
        send(member, marks, peers::priority::bulk);
    }
}

void node::handle(const std::string& /*member*/, const peers::vm_list_push& received)
{
    const std::lock_guard lock(mutex_);
    if (received.complete) {
        list_loaded_ = true;
        if (!table_.replace_list(received.changed).empty()) {
            publish_vms();
        }
        return;
    }
    // Changes of a list that is not known yet would look like the whole list.
    if (list_loaded_) {
        table_.apply({received.changed, received.removed});
        publish_vms();
    }
}

void node::handle(const std::string& /*member*/, const peers::vm_records_push& received)
{
    {
        const std::lock_guard lock(mutex_);
        const auto digest = table_.records_digest();
        if (received.complete) {
            records_loaded_ = true;
            records_feed_.revision = std::max(records_feed_.revision, received.revision);
            table_.replace_records(received.marks, received.revision);
        }
        else {
            for (const auto& mark : received.marks) {
                table_.apply(mark);
            }
        }
        if (digest == table_.records_digest()) {
            return;
        }
        publish_vms();
    }
    // Acknowledges the drains among them at once.
    wake(report_task_);
}

void node::handle(const std::string& member, const peers::observe& received)
{
    peers::observation answer;
    answer.sequence = received.sequence;
    if (configuration_.generation() > received.generation) {
        if (const auto published = configuration_.published()) {
            answer.published = *published;
        }
    }
    for (auto& status : members()) {
        answer.members.push_back({records::to_json(status.member), status.alive, status.generation,
                                  status.store_reachable, status.report_age,
                                  std::move(status.loads), std::move(status.acknowledgments)});
    }
    {
        const std::lock_guard lock(mutex_);
        answer.view_version = view_version_;
    }
    answer.view_included = answer.view_version != received.view_version;
    const auto snapshot = vms();
    if (answer.view_included) {
        for (const auto& vm : snapshot->vms) {
            answer.vms.push_back({vm.vm, vm.address, vm.data_centre, vm.rack, vm.pool,
                                  !vm.listed_live, 0, vm.resources});
            if (vm.record_revision != 0) {
                answer.marks.push_back({vm.vm, vm.pool, vm.phase, vm.record_revision});
            }
        }
    }
    send(member, answer, peers::priority::bulk);
}

void node::notify_queue(const std::string& service)
{
    const std::lock_guard lock(mutex_);
    pending_notices_.insert(service);
}

void node::report_step()
{
    const auto now = clock_.steady_now();
    report_drains(now);
    deliver_queue_notices(now);
    report_loads(now);
}

void node::report_loads(steady_time now)
{
    if (now < next_load_report_) {
        return;
    }
    next_load_report_ = now + load_report_period;
    peers::load_report report;
    for (auto& load : own_loads()) {
        if (!is_idle(load)) {
            load.arrival_rate = shorten(load.arrival_rate);
            report.loads.push_back(std::move(load));
        }
    }
    // An empty report is needed once, to end the former one.
    const bool sends = !report.loads.empty() || reported_loads_;
    reported_loads_ = !report.loads.empty();
    if (sends) {
        broadcast(report, peers::priority::deferrable);
    }
}

void node::report_drains(steady_time now)
{
    const peers::drain_report report{acknowledgments()};
    {
        const std::lock_guard lock(mutex_);
        const bool same = same_vms(report, sent_drains_);
        if (same && (same_counts(report, sent_drains_) || now < next_drain_update_)) {
            return;
        }
        next_drain_update_ = now + drain_update_period;
        sent_drains_ = report;
    }
    broadcast(report, peers::priority::urgent);
}

// Tells the preferred owner of each queue. The owner may be another member during a change; it
// rescans the queue from time to time.
void node::deliver_queue_notices(steady_time now)
{
    std::set<std::string> services;
    std::vector<std::string> candidates{self()};
    {
        const std::lock_guard lock(mutex_);
        if (pending_notices_.empty() || now < next_notices_) {
            return;
        }
        next_notices_ = now + queue_notice_period;
        services.swap(pending_notices_);
        for (const auto& [name, member] : members_.all()) {
            if (member.report.store_reachable &&
                within(member.heard_at, now, failure_detection_time)) {
                candidates.push_back(name);
            }
        }
    }
    for (const auto& service : services) {
        const auto role = "queue/" + service;
        const auto owner = *std::max_element(
            candidates.begin(), candidates.end(), [&](const auto& one, const auto& other) {
                return rendezvous_score(one, role) < rendezvous_score(other, role);
            });
        if (owner == self()) {
            handle(owner, peers::queue_notice{service});
        }
        else {
            send(owner, peers::queue_notice{service}, peers::priority::urgent);
        }
    }
}

} // namespace jl::cluster::internal
