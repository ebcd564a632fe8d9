#include "cluster/node.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "base/log.h"
#include "cluster/rendezvous.h"

namespace jl::cluster {

namespace internal {

namespace {

using std::chrono::milliseconds;

// How often a step looks for something that is due. Bounds the delay of hints that arrive while
// the step is running.
constexpr milliseconds step_period{100};
constexpr milliseconds step_jitter{20};
// An entry whose view is not confirmed by peers polls the VM list itself from this age on, in time
// before it must stop sending.
constexpr milliseconds self_poll_age{1200};
// A read prompted by peers is not repeated faster.
constexpr milliseconds min_read_interval{500};
// Delay before a watch that ended or could not be started is started again.
constexpr milliseconds watch_retry{1000};
// Other entries call the store only to renew their lease, every 1.7 s. One late or failed renewal
// does not make the store unreachable for the roles that follow from it.
constexpr milliseconds store_contact_limit{4000};
// Members that poll the VM list are pinged more often: the age of the view depends on them.
constexpr milliseconds poller_ping_period{500};
constexpr milliseconds member_ping_period{1000};

constexpr const char* configuration_duty = "watch/configuration";
constexpr const char* records_duty = "watch/vms";
constexpr const char* list_duty = "poll/vm_list";

void advance(std::optional<steady_time>& time, steady_time to)
{
    time = time ? std::max(*time, to) : to;
}

std::optional<vm_mark> mark_of(const store::key_value& item)
{
    const auto record = records::parse_vm(item.value);
    if (!record) {
        return std::nullopt;
    }
    return vm_mark{record->vm, record->pool, record->phase, item.mod_revision};
}

} // namespace

node::node(store::key_value_store& store, store::process_lease& lease, platform::vm_list& list,
           const clock_source& clock, metrics& metrics, cluster_options options,
           std::unique_ptr<peers::peer_transport> transport)
    : store_(store),
      list_(list),
      clock_(clock),
      metrics_(metrics),
      options_(std::move(options)),
      created_at_(clock.steady_now()),
      registration_(store, lease, clock, metrics, options_.member, options_.call_limit),
      snapshot_(std::make_shared<const vm_snapshot>()),
      transport_(std::move(transport))
{
}

node::~node()
{
    // First the threads that wake the tasks: links and, after the tasks that start them, watches.
    if (transport_) {
        transport_->stop();
    }
    configuration_task_.reset();
    configuration_feed_.watch.reset();
    records_task_.reset();
    records_feed_.watch.reset();
    lease_task_.reset();
    registration_.withdraw();
}

void node::set_in_flight_source(in_flight_source source)
{
    const std::unique_lock lock(handlers_mutex_);
    in_flight_ = std::move(source);
}

void node::set_load_source(load_source source)
{
    const std::unique_lock lock(handlers_mutex_);
    loads_ = std::move(source);
}

void node::set_queue_notice_handler(queue_notice_handler handler)
{
    const std::unique_lock lock(handlers_mutex_);
    queue_notice_ = std::move(handler);
}

void node::start_links()
{
    if (transport_ && !transport_->start(*this)) {
        throw std::runtime_error(peers::last_error().message);
    }
}

void node::start()
{
    const auto run = [this](milliseconds period, void (node::*step)()) {
        return std::make_unique<periodic_task>(period, step_jitter,
                                               [this, step] { (this->*step)(); });
    };
    configuration_task_ = run(step_period, &node::configuration_step);
    records_task_ = run(step_period, &node::vm_records_step);
    list_task_ = run(step_period, &node::vm_list_step);
    members_task_ = run(step_period, &node::members_step);
    report_task_ = run(step_period, &node::report_step);
    lease_task_ = run(options_.lease_renewal, &node::lease_step);
    start_links();
}

void node::wake(const std::unique_ptr<periodic_task>& task) const
{
    if (task) {
        task->wake();
    }
}

steady_time node::call_deadline() const
{
    return clock_.steady_now() + options_.call_limit;
}

steady_time node::next_backup_poll()
{
    const std::lock_guard lock(mutex_);
    std::uniform_int_distribution<std::int64_t> delay(options_.min_backup_poll.count(),
                                                      options_.max_backup_poll.count());
    return clock_.steady_now() + milliseconds(delay(random_));
}

void node::note_call(contact& contact, steady_time sent_at, bool answered)
{
    const std::lock_guard lock(mutex_);
    contact.failing = !answered;
    if (answered) {
        advance(contact.answered_at, sent_at);
    }
}

bool node::store_recently_reached(steady_time now) const
{
    return within(store_contact_.answered_at, now, store_contact_limit);
}

// A failed call counts at once, so that during an outage of the platform all members know of it
// by the time their views are too old.
bool node::platform_reachable(steady_time now) const
{
    return store_contact_.reached(now, store_contact_limit) ||
           list_contact_.reached(now, max_view_age);
}

bool node::selected(const char* duty) const
{
    const std::lock_guard lock(mutex_);
    return is_selected(self(), members_.able(clock_.steady_now()), duty);
}

// Returns the hint if it may be followed now, or nothing if a read has just been made.
std::optional<std::string> node::take_hint(feed& feed)
{
    const std::lock_guard lock(mutex_);
    if (!feed.hint || within(feed.read_at, clock_.steady_now(), min_read_interval)) {
        return std::nullopt;
    }
    return std::exchange(feed.hint, std::nullopt);
}

// Ends the watch of a member that is no longer selected.
bool node::must_start_watch(feed& feed, const char* duty)
{
    {
        // An entry that has not heard the others yet would select itself, so all entries that start
        // together would start every watch.
        const std::lock_guard lock(mutex_);
        const auto now = clock_.steady_now();
        const bool starting = now - created_at_ < failure_detection_time;
        const bool hears_all = members_.able(now).size() == members_.all().size();
        if (!members_read_at_ || (starting && !hears_all)) {
            return false;
        }
    }
    if (!selected(duty)) {
        feed.watch.reset();
        return false;
    }
    const auto now = clock_.steady_now();
    if ((feed.watch && feed.watch->active()) || now < feed.next_watch) {
        return false;
    }
    feed.next_watch = now + watch_retry;
    return true;
}

void node::lease_step()
{
    const auto sent_at = clock_.steady_now();
    note_call(store_contact_, sent_at, registration_.renew());
}

void node::members_step()
{
    const auto now = clock_.steady_now();
    {
        const std::lock_guard lock(mutex_);
        const bool early = (!members_read_at_ || members_.misses_records()) &&
                           !within(members_tried_at_, now, min_read_interval);
        if (now < next_members_poll_ && !early) {
            return;
        }
        next_members_poll_ = now + options_.members_poll;
        members_tried_at_ = now;
    }
    read_members();
    connect_members();
    const auto statuses = members();
    const auto alive = std::count_if(statuses.begin(), statuses.end(),
                                     [](const member_status& status) { return status.alive; });
    metrics_.set("jl_cluster_members_alive", "Members that this entry hears, itself included", {},
                 static_cast<double>(alive));
}

bool node::read_members()
{
    const std::string prefix = records::members_prefix;
    const auto sent_at = clock_.steady_now();
    const auto result = store_.range({prefix, store::prefix_end(prefix), 0}, call_deadline());
    note_call(store_contact_, sent_at, result.has_value());
    if (!result) {
        return false;
    }
    std::vector<records::member_record> members;
    for (const auto& item : result->items) {
        const auto member = records::parse_member(item.value);
        if (member && member->member != self()) {
            members.push_back(*member);
        }
    }
    const auto retention = departed_retention();
    const std::lock_guard lock(mutex_);
    members_.replace(members, sent_at, retention);
    members_read_at_ = sent_at;
    return true;
}

// Requests of a member that lost its record may be in flight until they reach the longest
// deadline; it stops starting new ones when its view is 2 s old.
milliseconds node::departed_retention() const
{
    constexpr milliseconds longest_without_configuration{60000};
    milliseconds longest{0};
    const auto configuration = configuration_.current();
    if (!configuration) {
        longest = longest_without_configuration;
    }
    else {
        for (const auto& service : configuration->services) {
            longest = std::max(longest, service.max_timeout);
        }
    }
    return max_view_age + longest;
}

void node::connect_members()
{
    if (!transport_) {
        return;
    }
    std::vector<peers::peer_address> addresses;
    {
        const std::lock_guard lock(mutex_);
        const auto able = members_.able(clock_.steady_now());
        for (const auto& [name, member] : members_.all()) {
            auto others = able;
            others.erase(std::remove(others.begin(), others.end(), name), others.end());
            others.push_back(self());
            const bool polls = is_selected(name, others, list_duty);
            // A member whose record has not been read can only dial us.
            addresses.push_back({name,
                                 parse_endpoint(member.record.peer_address).value_or(endpoint{}),
                                 polls ? poller_ping_period : member_ping_period});
        }
    }
    transport_->set_peers(std::move(addresses));
}

void node::configuration_step()
{
    auto& feed = configuration_feed_;
    const bool starts_watch = must_start_watch(feed, configuration_duty);
    const auto hint = take_hint(feed);
    if (!hint && !starts_watch && clock_.steady_now() < feed.next_poll) {
        return;
    }
    feed.next_poll = next_backup_poll();
    const bool answered = read_configuration();
    if (answered && starts_watch) {
        feed.watch.reset();
        feed.watch = store_.start_watch(
            records::configuration_key, "", feed.watch_from,
            [this](const std::vector<store::watch_event>& events, std::int64_t /*revision*/) {
                for (const auto& event : events) {
                    if (event.type == store::watch_event::kind::put) {
                        take_configuration(event.item);
                    }
                }
            });
    }
    if (!answered) {
        // Tried again soon: an entry without configuration serves nothing.
        feed.next_poll = clock_.steady_now() + options_.call_limit;
    }
    if (!answered && hint) {
        request_state(*hint, {true, false, false});
    }
}

bool node::read_configuration()
{
    auto& feed = configuration_feed_;
    std::int64_t known_revision = 0;
    {
        const std::lock_guard lock(mutex_);
        known_revision = feed.revision;
    }
    const std::string key = records::configuration_key;
    const auto sent_at = clock_.steady_now();
    // The condition keeps the document, up to 1 MB, out of the answer if it has not changed.
    const auto result = store_.commit(
        {{store::unchanged_since(key, known_revision)}, {}, {store::get(key)}}, call_deadline());
    note_call(store_contact_, sent_at, result.has_value());
    if (!result) {
        return false;
    }
    {
        const std::lock_guard lock(mutex_);
        feed.read_at = sent_at;
    }
    feed.watch_from = result->revision + 1;
    if (!result->succeeded && !result->ranges.empty() && !result->ranges[0].items.empty()) {
        take_configuration(result->ranges[0].items[0]);
    }
    return true;
}

void node::take_configuration(const store::key_value& item)
{
    offer_configuration(item.value, true);
    const std::lock_guard lock(mutex_);
    auto& revision = configuration_feed_.revision;
    revision = std::max(revision, item.mod_revision);
}

void node::offer_configuration(const std::string& published, bool from_store)
{
    std::string reason;
    const auto result = configuration_.offer(published, reason);
    if (result == offer_result::accepted) {
        const auto generation = configuration_.generation();
        log_event(log_level::info, "configuration_in_force",
                  {{"generation", std::to_string(generation)}});
        metrics_.set("jl_cluster_generation", "Generation of the configuration in force", {},
                     static_cast<double>(generation));
        {
            const std::lock_guard lock(mutex_);
            if (view_confirmed_at_) {
                confirm_view(*view_confirmed_at_);
            }
        }
        if (from_store) {
            announce_generation();
        }
    }
    if (result == offer_result::refused) {
        metrics_.count("jl_cluster_configurations_refused_total",
                       "Configurations refused because they could not be read");
        log_event(log_level::error, "configuration_refused", {{"reason", reason}});
    }
}

// Tells the members that have not stated this generation yet.
void node::announce_generation()
{
    const auto generation = configuration_.generation();
    std::vector<std::string> behind;
    {
        const std::lock_guard lock(mutex_);
        for (const auto& [name, member] : members_.all()) {
            if (member.linked && member.report.generation < generation) {
                behind.push_back(name);
            }
        }
    }
    for (const auto& name : behind) {
        send(name, peers::generation_notice{generation}, peers::priority::urgent);
    }
}

void node::vm_records_step()
{
    auto& feed = records_feed_;
    const bool starts_watch = must_start_watch(feed, records_duty);
    const auto hint = take_hint(feed);
    if (!hint && !starts_watch && clock_.steady_now() < feed.next_poll) {
        return;
    }
    feed.next_poll = next_backup_poll();
    const bool answered = read_vm_records();
    if (answered && starts_watch) {
        feed.watch.reset();
        const std::string prefix = records::vms_prefix;
        feed.watch =
            store_.start_watch(prefix, store::prefix_end(prefix), feed.watch_from,
                               [this](const std::vector<store::watch_event>& events,
                                      std::int64_t revision) { on_vm_events(events, revision); });
    }
    if (!answered) {
        feed.next_poll = clock_.steady_now() + options_.call_limit;
    }
    if (!answered && hint) {
        request_state(*hint, {false, false, true});
    }
}

bool node::read_vm_records()
{
    const std::string prefix = records::vms_prefix;
    const auto sent_at = clock_.steady_now();
    const auto result = store_.range({prefix, store::prefix_end(prefix), 0}, call_deadline());
    note_call(store_contact_, sent_at, result.has_value());
    if (!result) {
        return false;
    }
    std::vector<vm_mark> marks;
    marks.reserve(result->items.size());
    for (const auto& item : result->items) {
        if (const auto mark = mark_of(item)) {
            marks.push_back(*mark);
        }
    }
    records_feed_.watch_from = result->revision + 1;
    const std::lock_guard lock(mutex_);
    records_loaded_ = true;
    records_feed_.read_at = sent_at;
    records_feed_.revision = std::max(records_feed_.revision, result->revision);
    const auto digest = table_.records_digest();
    table_.replace_records(marks, result->revision);
    if (digest != table_.records_digest()) {
        publish_vms();
    }
    confirm_view(sent_at);
    return true;
}

void node::on_vm_events(const std::vector<store::watch_event>& events, std::int64_t revision)
{
    peers::vm_records_push push;
    push.revision = revision;
    {
        const std::lock_guard lock(mutex_);
        records_feed_.revision = std::max(records_feed_.revision, revision);
        bool changed = false;
        for (const auto& event : events) {
            if (event.type == store::watch_event::kind::remove) {
                const auto vm = event.item.key.substr(std::string(records::vms_prefix).size());
                changed |= table_.remove_record(vm, event.item.mod_revision);
                continue;
            }
            const auto mark = mark_of(event.item);
            if (mark && table_.apply(*mark)) {
                changed = true;
                push.marks.push_back(*mark);
            }
        }
        if (changed) {
            publish_vms();
        }
    }
    // Removals reach the others through the digest in the pongs; they are rare.
    if (!push.marks.empty()) {
        broadcast(push, peers::priority::bulk);
    }
    wake(report_task_);
}

void node::vm_list_step()
{
    auto& feed = list_feed_;
    const auto now = clock_.steady_now();
    const bool polls = selected(list_duty);
    bool needed = false;
    {
        const std::lock_guard lock(mutex_);
        needed = !list_loaded_ || !within(view_confirmed_at_, now, self_poll_age);
    }
    if (now < feed.next_poll) {
        return;
    }
    const auto hint = take_hint(feed);
    if (!polls && !needed && !hint) {
        return;
    }
    feed.next_poll = now + options_.vm_list_poll;
    if (!read_vm_list() && hint) {
        request_state(*hint, {false, true, false});
    }
}

bool node::read_vm_list()
{
    const auto sent_at = clock_.steady_now();
    const auto list = list_.fetch(call_deadline());
    note_call(list_contact_, sent_at, list.has_value());
    if (!list) {
        return false;
    }
    const bool passes_on = selected(list_duty);
    peers::vm_list_push push;
    {
        const std::lock_guard lock(mutex_);
        list_loaded_ = true;
        list_feed_.read_at = sent_at;
        const bool first = table_.list().empty();
        auto change = table_.replace_list(*list);
        if (!change.empty()) {
            publish_vms();
            if (!first) {
                push.changed = std::move(change.changed);
                push.removed = std::move(change.removed);
            }
        }
        confirm_view(sent_at);
    }
    if (passes_on && !(push.changed.empty() && push.removed.empty())) {
        broadcast(push, peers::priority::bulk);
    }
    return true;
}

void node::confirm_view(steady_time at)
{
    advance(view_confirmed_at_, at);
    if (list_loaded_ && records_loaded_ && configuration_.generation() > 0) {
        sending_confirmed_at_ = view_confirmed_at_->time_since_epoch().count();
    }
}

void node::publish_vms()
{
    auto snapshot = table_.snapshot();
    ++view_version_;
    const std::lock_guard lock(snapshot_mutex_);
    snapshot_ = std::move(snapshot);
}

objects::object_set_ptr node::configuration() const
{
    return configuration_.current();
}

vm_snapshot_ptr node::vms() const
{
    const std::lock_guard lock(snapshot_mutex_);
    return snapshot_;
}

send_decision node::decision() const
{
    cluster_sight sight;
    sight.configuration_known = configuration_.generation() > 0;
    const auto now = clock_.steady_now();
    const std::lock_guard lock(mutex_);
    if (list_loaded_ && records_loaded_) {
        sight.view_confirmed_at = view_confirmed_at_;
    }
    sight.reaches_platform = platform_reachable(now);
    // A list read right after the start may lack entries that start at the same time.
    const auto settled_at = created_at_ + failure_detection_time;
    sight.members_known =
        !members_.all().empty() || (members_read_at_ && *members_read_at_ >= settled_at);
    sight.others = members_.sights();
    return decide_sending(sight, now);
}

bool node::may_send() const
{
    if (registration_.superseded()) {
        return false;
    }
    if (!registration_.registered()) {
        // The planner does not wait for a process that it does not know. While the platform is down
        // it stops no VM.
        return decision() == send_decision::platform_down;
    }
    const auto confirmed = sending_confirmed_at_.load();
    if (confirmed != 0 && clock_.steady_now().time_since_epoch().count() - confirmed <=
                              steady_time::duration(max_view_age).count()) {
        return true;
    }
    return allows_sending(decision());
}

std::vector<drain_acknowledgment> node::acknowledgments() const
{
    const auto snapshot = vms();
    std::vector<drain_acknowledgment> acknowledgments;
    const std::shared_lock lock(handlers_mutex_);
    for (const auto& vm : snapshot->vms) {
        if (vm.phase != records::vm_phase::in_service) {
            acknowledgments.push_back(
                {vm.vm, vm.record_revision, in_flight_ ? in_flight_(vm.vm) : 0});
        }
    }
    return acknowledgments;
}

std::vector<service_load> node::own_loads() const
{
    const std::shared_lock lock(handlers_mutex_);
    return loads_ ? loads_() : std::vector<service_load>{};
}

member_status node::own_status() const
{
    member_status status;
    status.member = options_.member;
    status.alive = true;
    status.generation = configuration_.generation();
    status.loads = own_loads();
    status.acknowledgments = acknowledgments();
    const std::lock_guard lock(mutex_);
    status.store_reachable = store_recently_reached(clock_.steady_now());
    return status;
}

std::vector<member_status> node::members() const
{
    std::vector<member_status> statuses{own_status()};
    const auto now = clock_.steady_now();
    const std::lock_guard lock(mutex_);
    for (const auto& [name, member] : members_.all()) {
        auto& status = statuses.emplace_back();
        status.member = member.record;
        status.alive = within(member.heard_at, now, failure_detection_time);
        status.generation = member.report.generation;
        status.store_reachable = member.report.store_reachable;
        status.report_age = std::chrono::hours(24);
        if (member.heard_at) {
            status.report_age = std::chrono::duration_cast<milliseconds>(now - *member.heard_at);
        }
        // Acknowledgments of a former process under this name say nothing of the present one.
        if (member.incarnation == member.record.incarnation) {
            status.loads = member.loads;
            status.acknowledgments = member.acknowledgments;
        }
    }
    return statuses;
}

} // namespace internal

std::unique_ptr<cluster_state> make_cluster(store::key_value_store& store,
                                            store::process_lease& lease, platform::vm_list& list,
                                            const clock_source& clock, metrics& metrics,
                                            cluster_options options)
{
    std::unique_ptr<peers::peer_transport> transport;
    if (options.peer_listen) {
        peers::transport_options links;
        links.listen = options.peer_listen;
        links.budget_bytes_per_second = options.budget_bytes_per_second;
        transport = peers::make_websocket_transport(clock, metrics, links);
    }
    return std::make_unique<internal::node>(store, lease, list, clock, metrics, std::move(options),
                                            std::move(transport));
}

} // namespace jl::cluster
