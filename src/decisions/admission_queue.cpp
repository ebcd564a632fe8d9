#include "decisions/admission_queue.h"

#include <algorithm>
#include <cmath>

namespace jl::decisions {

namespace {

constexpr double urgent_weight = 6;
constexpr double normal_weight = 3;
constexpr double deferred_weight = 1;
constexpr double total_weight = urgent_weight + normal_weight + deferred_weight;

// A team counts as long-running from this share of long calls on. One long call raises the share
// to `first_long_share`, so that some 25 short calls must follow before the team counts as short.
constexpr double long_share_threshold = 0.05;
constexpr double first_long_share = 0.25;
constexpr double smoothing = 1.0 / 16;

// Calls are expected to take at least the mean less this many mean deviations.
constexpr double usual_deviations = 2;
constexpr std::chrono::seconds durations_valid{10};

// A team whose run times are unknown may use at most this part of the slots until its first call
// ends; otherwise a first burst of long calls could take every slot.
constexpr double unknown_part = 0.25;

// Demand of urgent and short work is remembered with this half-life when slots are kept free of
// long-running work.
constexpr double peak_half_life_s = 10;
constexpr double max_reserved_part = 0.5;
// Slots kept free of long-running work even if no other work was seen lately. With one slot only,
// urgent work that needs two waited 14.5 s behind calls of 30 s until the demand had been learned.
constexpr double min_reserved_part = 0.25;

// Urgent work is promised to start within 4.4 s. Urgent calls of a team within its quota that have
// waited half of that are started first, unless urgent work already holds this part of the slots.
constexpr std::chrono::milliseconds urgent_overdue{2200};
constexpr double max_overdue_part = 0.8;

double to_seconds(steady_time::duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

double class_weight(work_class priority)
{
    switch (priority) {
    case work_class::urgent:
        return urgent_weight;
    case work_class::normal:
        return normal_weight;
    case work_class::deferred:
        break;
    }
    return deferred_weight;
}

admission_queue::admission_queue(admission_limits limits) : limits_(limits) {}

void admission_queue::set_capacity(int slots)
{
    capacity_ = slots;
}

void admission_queue::set_max_waiting(int count)
{
    limits_.max_waiting = count;
}

void admission_queue::set_team(const std::string& team, team_limits limits)
{
    teams_[team] = limits;
}

admission_result admission_queue::enqueue(const admission_request& request, steady_time now)
{
    auto& flow = find_flow(request.priority, request.team);
    admission_result result;
    if (waiting_ >= limits_.max_waiting) {
        const auto* longest = find_longest();
        if (longest == nullptr || relative_length(*longest) <= relative_length(flow)) {
            return result;
        }
        result.displaced = displace_longest();
    }
    activate(flow);
    const waiting_call call{request.id, now, request.deadline};
    if (request.retry) {
        flow.waiting.push_front(call);
    }
    else {
        flow.waiting.push_back(call);
    }
    ++waiting_;
    ++state_of(request.priority).waiting;
    waiting_flows_[request.id] = &flow;
    update_protected_peak(now);
    result.accepted = true;
    return result;
}

bool admission_queue::remove(ticket id)
{
    const auto found = waiting_flows_.find(id);
    if (found == waiting_flows_.end()) {
        return false;
    }
    auto& calls = found->second->waiting;
    calls.erase(std::find_if(calls.begin(), calls.end(),
                             [&](const waiting_call& call) { return call.id == id; }));
    --waiting_;
    --state_of(found->second->priority).waiting;
    waiting_flows_.erase(found);
    return true;
}

std::optional<ticket> admission_queue::start_next(steady_time now)
{
    if (waiting_ == 0) {
        return std::nullopt;
    }
    update_protected_peak(now);
    const int long_running = mark_long_running(now);
    std::map<flow*, std::deque<waiting_call>> expired;
    // Hides late calls from the choice; they stay counted until their owners remove them.
    for (auto& [key, flow] : flows_) {
        while (!flow.waiting.empty() && is_too_late(flow, flow.waiting.front(), now)) {
            expired[&flow].push_back(flow.waiting.front());
            flow.waiting.pop_front();
        }
    }
    auto* chosen = find_overdue_urgent(now, long_running);
    if (chosen == nullptr) {
        chosen = find_next(long_running);
    }
    std::optional<ticket> started;
    if (chosen != nullptr) {
        started = chosen->waiting.front().id;
        chosen->waiting.pop_front();
        --waiting_;
        waiting_flows_.erase(*started);
        auto& state = state_of(chosen->priority);
        system_time_ = std::max(system_time_, state.virtual_time);
        state.system_time = std::max(state.system_time, chosen->virtual_time);
        running_[*started] = {chosen, now, chosen->mean_seconds, false};
        charge(*chosen, chosen->mean_seconds);
        ++chosen->running;
        ++team_running_[chosen->team];
        --state.waiting;
        ++state.running;
    }
    for (auto& [flow, calls] : expired) {
        flow->waiting.insert(flow->waiting.begin(), calls.begin(), calls.end());
    }
    return started;
}

void admission_queue::finish(ticket id, steady_time now, bool completed)
{
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    auto& call = found->second;
    auto& flow = *call.owner;
    const double seconds = std::max(0.0, to_seconds(now - call.started));
    charge(flow, seconds - call.charged_seconds);
    learn_duration(flow, seconds, completed, now);
    if (!call.counted_long) {
        const bool is_long = now - call.started > limits_.long_after;
        flow.long_share = is_long ? std::max(flow.long_share, first_long_share)
                                  : flow.long_share * (1 - smoothing);
    }
    flow.known = true;
    --flow.running;
    --team_running_[flow.team];
    --state_of(flow.priority).running;
    running_.erase(found);
}

bool admission_queue::has_room_for_deferred(bool slot_is_free) const
{
    if (slot_is_free && waiting_ == 0) {
        return true;
    }
    // Below the guaranteed share one deferred call may wait at a time: it is started soon, and an
    // owner of a backlog thereby gets the share of its class during a flood of other classes.
    const auto found = classes_.find(work_class::deferred);
    if (found == classes_.end()) {
        return capacity_ > 0;
    }
    const int guaranteed =
        std::max(1, static_cast<int>(std::floor(capacity_ * deferred_weight / total_weight)));
    return capacity_ > 0 && found->second.waiting == 0 && found->second.running < guaranteed;
}

double admission_queue::longest_queue() const
{
    const auto* longest = find_longest();
    return longest == nullptr ? 0 : relative_length(*longest);
}

double admission_queue::queue_length(work_class priority, const std::string& team) const
{
    const auto found = flows_.find({priority, team});
    return found == flows_.end() ? 0 : relative_length(found->second);
}

std::optional<ticket> admission_queue::displace_longest()
{
    const auto* longest = find_longest();
    if (longest == nullptr) {
        return std::nullopt;
    }
    const auto id = longest->waiting.back().id;
    remove(id);
    return id;
}

int admission_queue::running(const std::string& team) const
{
    const auto found = team_running_.find(team);
    return found == team_running_.end() ? 0 : found->second;
}

std::chrono::milliseconds admission_queue::expected_wait(work_class priority,
                                                         const std::string& team) const
{
    const auto found = flows_.find({priority, team});
    if (found == flows_.end() || capacity_ == 0) {
        return std::chrono::milliseconds::zero();
    }
    const auto& flow = found->second;
    const int slots = std::max(1, flow.running);
    const double seconds = static_cast<double>(flow.waiting.size()) * flow.mean_seconds / slots;
    return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

admission_queue::flow& admission_queue::find_flow(work_class priority, const std::string& team)
{
    auto& flow = flows_[{priority, team}];
    flow.priority = priority;
    if (flow.team.empty()) {
        flow.team = team;
    }
    return flow;
}

admission_queue::class_state& admission_queue::state_of(work_class priority)
{
    return classes_[priority];
}

const team_limits& admission_queue::limits_of(const std::string& team) const
{
    static const team_limits defaults;
    const auto found = teams_.find(team);
    return found == teams_.end() ? defaults : found->second;
}

double admission_queue::weight_of(const flow& flow) const
{
    return std::max(limits_of(flow.team).weight, 1e-6);
}

bool admission_queue::is_long(const flow& flow) const
{
    return flow.long_share > long_share_threshold;
}

// A call that starts too late to end in time would use a slot for nothing. If no call has ended for
// a while, calls start in any case, so that a changed duration is noticed.
bool admission_queue::is_too_late(const flow& flow, const waiting_call& call, steady_time now)
{
    if (call.deadline <= now) {
        return true;
    }
    const double least = flow.mean_seconds - usual_deviations * flow.deviation_seconds;
    return flow.known && now - flow.learned_at < durations_valid &&
           to_seconds(call.deadline - now) < least;
}

// The first completed call replaces the initial guess, and a cut-off call only raises the mean: it
// would otherwise widen the deviation, and later calls would be started too late again.
void admission_queue::learn_duration(flow& flow, double seconds, bool completed, steady_time now)
{
    const double difference = seconds - flow.mean_seconds;
    if (!completed) {
        flow.mean_seconds += std::max(difference, 0.0) * smoothing;
        return;
    }
    if (flow.learned_at == steady_time()) {
        flow.mean_seconds = seconds;
    }
    else {
        flow.mean_seconds += difference * smoothing;
        flow.deviation_seconds += (std::abs(difference) - flow.deviation_seconds) * smoothing;
    }
    flow.learned_at = now;
}

// Work for which slots are kept free of long-running work.
bool admission_queue::is_protected(const flow& flow) const
{
    return flow.priority == work_class::urgent || (flow.known && !is_long(flow));
}

int admission_queue::reserved_slots(const flow& flow) const
{
    if (capacity_ < 2) {
        return 0;
    }
    if (flow.priority == work_class::urgent) {
        // Long urgent work leaves one slot to short urgent work.
        return 1;
    }
    const int most = std::max(1, static_cast<int>(std::floor(capacity_ * max_reserved_part)));
    const int least = static_cast<int>(std::ceil(capacity_ * min_reserved_part));
    return std::clamp(static_cast<int>(std::ceil(protected_peak_)), std::min(least, most), most);
}

bool admission_queue::may_start(const flow& flow, int long_running) const
{
    const auto& quota = limits_of(flow.team).quota;
    if (quota && running(flow.team) >= *quota) {
        return false;
    }
    if (!flow.known && flow.running >= std::max(1.0, std::floor(capacity_ * unknown_part))) {
        return false;
    }
    return !is_long(flow) || long_running < std::max(1, capacity_ - reserved_slots(flow));
}

// Returns how many slots are held by long-running work.
int admission_queue::mark_long_running(steady_time now)
{
    int count = 0;
    for (auto& [id, call] : running_) {
        if (!call.counted_long && now - call.started > limits_.long_after) {
            call.counted_long = true;
            call.owner->known = true;
            call.owner->long_share = std::max(call.owner->long_share, first_long_share);
            call.owner->mean_seconds =
                std::max(call.owner->mean_seconds, to_seconds(now - call.started));
        }
        if (call.counted_long || is_long(*call.owner)) {
            ++count;
        }
    }
    return count;
}

void admission_queue::update_protected_peak(steady_time now)
{
    int demand = 0;
    for (const auto& [key, flow] : flows_) {
        if (is_protected(flow)) {
            demand += flow.running + static_cast<int>(flow.waiting.size());
        }
    }
    const double elapsed = std::max(0.0, to_seconds(now - peak_updated_));
    protected_peak_ = std::max(static_cast<double>(demand),
                               protected_peak_ * std::exp2(-elapsed / peak_half_life_s));
    peak_updated_ = now;
}

void admission_queue::charge(flow& flow, double seconds)
{
    flow.virtual_time += seconds / weight_of(flow);
    state_of(flow.priority).virtual_time += seconds / class_weight(flow.priority);
}

// Idle teams and classes gain no credit: they join at the time of those served last.
void admission_queue::activate(flow& flow)
{
    auto& state = state_of(flow.priority);
    if (state.waiting == 0 && state.running == 0) {
        state.virtual_time = std::max(state.virtual_time, system_time_);
    }
    if (flow.waiting.empty() && flow.running == 0) {
        flow.virtual_time = std::max(flow.virtual_time, state.system_time);
    }
}

admission_queue::flow* admission_queue::find_overdue_urgent(steady_time now, int long_running)
{
    if (state_of(work_class::urgent).running >= std::floor(capacity_ * max_overdue_part)) {
        return nullptr;
    }
    flow* oldest = nullptr;
    for (auto& [key, flow] : flows_) {
        if (flow.priority != work_class::urgent || flow.waiting.empty() ||
            !limits_of(flow.team).quota || now - flow.waiting.front().arrived < urgent_overdue ||
            !may_start(flow, long_running)) {
            continue;
        }
        if (oldest == nullptr || flow.waiting.front().arrived < oldest->waiting.front().arrived) {
            oldest = &flow;
        }
    }
    return oldest;
}

admission_queue::flow* admission_queue::find_next(int long_running)
{
    flow* best = nullptr;
    double best_class_time = 0;
    for (auto& [key, flow] : flows_) {
        if (flow.waiting.empty()) {
            continue;
        }
        const auto& state = state_of(flow.priority);
        if (!may_start(flow, long_running)) {
            // A team held back by its quota or by the bound on long work saves up no credit.
            flow.virtual_time = std::max(flow.virtual_time, state.system_time);
            continue;
        }
        const bool same_class = best != nullptr && best->priority == flow.priority;
        if (best == nullptr || (!same_class && state.virtual_time < best_class_time) ||
            (same_class && flow.virtual_time < best->virtual_time)) {
            best = &flow;
            best_class_time = state.virtual_time;
        }
    }
    if (best != nullptr) {
        // A class that is behind but was not chosen had only teams that are held back.
        for (auto& [priority, state] : classes_) {
            if (state.waiting > 0 && state.virtual_time < best_class_time) {
                state.virtual_time = best_class_time;
            }
        }
    }
    return best;
}

const admission_queue::flow* admission_queue::find_longest() const
{
    const flow* longest = nullptr;
    for (const auto& [key, flow] : flows_) {
        if (!flow.waiting.empty() &&
            (longest == nullptr || relative_length(flow) > relative_length(*longest))) {
            longest = &flow;
        }
    }
    return longest;
}

double admission_queue::relative_length(const flow& flow) const
{
    return static_cast<double>(flow.waiting.size()) /
           (weight_of(flow) * class_weight(flow.priority));
}

} // namespace jl::decisions
