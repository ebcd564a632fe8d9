#include "cluster/node.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace jl::cluster {

namespace internal {

namespace {

// Spreads the polls of entries that were started together.
constexpr std::chrono::milliseconds poll_jitter{50};

void advance(std::optional<steady_time>& time, steady_time to)
{
    time = time ? std::max(*time, to) : to;
}

std::optional<steady_time> later_of(const std::optional<steady_time>& one,
                                    const std::optional<steady_time>& other)
{
    return std::max(one, other);
}

} // namespace

node::node(store::key_value_store& store, store::process_lease& lease, platform::vm_list& list,
           const clock_source& clock, metrics& metrics, cluster_options options)
    : store_(store),
      list_(list),
      clock_(clock),
      metrics_(metrics),
      options_(std::move(options)),
      registration_(store, lease, clock, metrics, options_.member, options_.call_limit),
      in_flight_([](const std::string&) { return 0; }),
      loads_([] { return std::vector<service_load>{}; }),
      queue_notice_([](const std::string&) {}),
      snapshot_(std::make_shared<const vm_snapshot>())
{
    members_[options_.member.member] = options_.member;
}

node::~node()
{
    tasks_.clear();
}

steady_time node::call_deadline() const
{
    return clock_.steady_now() + options_.call_limit;
}

void node::set_in_flight_source(in_flight_source source)
{
    in_flight_ = std::move(source);
}

void node::set_load_source(load_source source)
{
    loads_ = std::move(source);
}

void node::set_queue_notice_handler(queue_notice_handler handler)
{
    queue_notice_ = std::move(handler);
}

void node::start()
{
    const auto run = [this](std::chrono::milliseconds period, bool (node::*step)()) {
        tasks_.push_back(std::make_unique<periodic_task>(period, poll_jitter,
                                                         [this, step] { (this->*step)(); }));
    };
    run(options_.configuration_poll, &node::read_configuration);
    run(options_.vm_records_poll, &node::read_vm_records);
    run(options_.vm_list_poll, &node::read_vm_list);
    run(options_.members_poll, &node::read_members);
    run(options_.lease_renewal, &node::renew_lease);
}

void node::store_answered(steady_time sent_at)
{
    const std::lock_guard lock(mutex_);
    advance(store_answered_at_, sent_at);
}

bool node::renew_lease()
{
    const auto sent_at = clock_.steady_now();
    if (!registration_.renew()) {
        return false;
    }
    store_answered(sent_at);
    return true;
}

bool node::read_configuration()
{
    std::int64_t known_revision = 0;
    {
        const std::lock_guard lock(mutex_);
        known_revision = configuration_revision_;
    }
    const std::string key = records::configuration_key;
    const auto sent_at = clock_.steady_now();
    // The condition keeps the document, up to 1 MB, out of the answer if it has not changed.
    const auto result = store_.commit(
        {{store::unchanged_since(key, known_revision)}, {}, {store::get(key)}}, call_deadline());
    if (!result) {
        return false;
    }
    store_answered(sent_at);
    if (result->succeeded || result->ranges.empty() || result->ranges[0].items.empty()) {
        return true;
    }
    const auto& item = result->ranges[0].items[0];
    offer_configuration(item.value);
    const std::lock_guard lock(mutex_);
    configuration_revision_ = item.mod_revision;
    return true;
}

void node::offer_configuration(const std::string& published)
{
    std::string reason;
    const auto result = configuration_.offer(published, reason);
    if (result == offer_result::accepted) {
        log_event(log_level::info, "configuration_in_force",
                  {{"generation", std::to_string(configuration_.generation())}});
        metrics_.set("jl_cluster_generation", "Generation of the configuration in force", {},
                     static_cast<double>(configuration_.generation()));
    }
    if (result == offer_result::refused) {
        metrics_.count("jl_cluster_configurations_refused_total",
                       "Configurations refused because they could not be read");
        log_event(log_level::error, "configuration_refused", {{"reason", reason}});
    }
}

bool node::read_members()
{
    const std::string prefix = records::members_prefix;
    const auto sent_at = clock_.steady_now();
    const auto result = store_.range({prefix, store::prefix_end(prefix), 0}, call_deadline());
    if (!result) {
        return false;
    }
    store_answered(sent_at);
    std::map<std::string, records::member_record> members;
    members[options_.member.member] = options_.member;
    for (const auto& item : result->items) {
        if (const auto member = records::parse_member(item.value)) {
            members.emplace(member->member, *member);
        }
    }
    const std::lock_guard lock(mutex_);
    members_ = std::move(members);
    return true;
}

bool node::read_vm_list()
{
    const auto sent_at = clock_.steady_now();
    const auto list = list_.fetch(call_deadline());
    if (!list) {
        return false;
    }
    const std::lock_guard lock(mutex_);
    list_loaded_ = true;
    advance(list_answered_at_, sent_at);
    advance(view_confirmed_at_, sent_at);
    if (!table_.replace_list(*list).empty()) {
        publish_vms();
    }
    return true;
}

bool node::read_vm_records()
{
    const std::string prefix = records::vms_prefix;
    const auto sent_at = clock_.steady_now();
    const auto result = store_.range({prefix, store::prefix_end(prefix), 0}, call_deadline());
    if (!result) {
        return false;
    }
    store_answered(sent_at);
    std::vector<vm_mark> marks;
    marks.reserve(result->items.size());
    for (const auto& item : result->items) {
        if (const auto record = records::parse_vm(item.value)) {
            marks.push_back({record->vm, record->pool, record->phase, item.mod_revision});
        }
    }
    const std::lock_guard lock(mutex_);
    records_loaded_ = true;
    advance(view_confirmed_at_, sent_at);
    const auto digest = table_.records_digest();
    table_.replace_records(marks, result->revision);
    if (digest != table_.records_digest()) {
        publish_vms();
    }
    return true;
}

void node::publish_vms()
{
    snapshot_ = table_.snapshot();
}

objects::object_set_ptr node::configuration() const
{
    return configuration_.current();
}

vm_snapshot_ptr node::vms() const
{
    const std::lock_guard lock(mutex_);
    return snapshot_;
}

send_decision node::decision() const
{
    cluster_sight sight;
    sight.configuration_known = configuration_.generation() > 0;
    const std::lock_guard lock(mutex_);
    if (list_loaded_ && records_loaded_) {
        sight.view_confirmed_at = view_confirmed_at_;
    }
    sight.platform_reached_at = later_of(store_answered_at_, list_answered_at_);
    for (const auto& [name, member] : members_) {
        if (name != options_.member.member) {
            sight.others.push_back({name, std::nullopt, true});
        }
    }
    return decide_sending(sight, clock_.steady_now());
}

bool node::may_send() const
{
    return !registration_.superseded() && allows_sending(decision());
}

std::vector<drain_acknowledgment> node::acknowledgments() const
{
    const auto snapshot = vms();
    std::vector<drain_acknowledgment> acknowledgments;
    for (const auto& vm : snapshot->vms) {
        if (vm.phase != records::vm_phase::in_service) {
            acknowledgments.push_back({vm.vm, vm.record_revision, in_flight_(vm.vm)});
        }
    }
    return acknowledgments;
}

std::vector<member_status> node::members() const
{
    std::vector<member_status> statuses;
    {
        const std::lock_guard lock(mutex_);
        for (const auto& [name, member] : members_) {
            member_status status;
            status.member = member;
            status.alive = true;
            statuses.push_back(std::move(status));
        }
    }
    for (auto& status : statuses) {
        if (status.member.member == options_.member.member) {
            status.generation = configuration_.generation();
            status.loads = loads_();
            status.acknowledgments = acknowledgments();
            const std::lock_guard lock(mutex_);
            status.store_reachable = within(store_answered_at_, clock_.steady_now(), max_view_age);
        }
    }
    return statuses;
}

void node::notify_queue(const std::string& service)
{
    queue_notice_(service);
}

} // namespace internal

std::unique_ptr<cluster_state> make_cluster(store::key_value_store& store,
                                            store::process_lease& lease, platform::vm_list& list,
                                            const clock_source& clock, metrics& metrics,
                                            cluster_options options)
{
    return std::make_unique<internal::node>(store, lease, list, clock, metrics, std::move(options));
}

} // namespace jl::cluster
