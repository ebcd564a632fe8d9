#include "decisions/admission_queue.h"

#include <algorithm>
#include <cmath>

namespace jl::decisions {

namespace {

constexpr double urgent_weight = 6;
constexpr double normal_weight = 3;
constexpr double deferred_weight = 1;
constexpr double total_weight = urgent_weight + normal_weight + deferred_weight;

// A flow is long-running while the fraction of its calls that are long-running is above the
// threshold. One long-running call raises the fraction to at least the initial value, so that about
// 25 short calls must follow before the flow is no longer long-running.
constexpr double long_running_fraction_threshold = 0.05;
constexpr double initial_long_running_fraction = 0.25;
// Weight of a new sample in the moving averages.
constexpr double smoothing_factor = 1.0 / 16;

// Calls are expected to take at least the mean duration less this many mean deviations.
constexpr double duration_margin_deviations = 2;
// No call is skipped because of a duration estimate that is older than this.
constexpr std::chrono::seconds duration_estimate_lifetime{10};

// A flow whose durations are unknown may use at most this fraction of the slots until one of its
// calls has ended or become long-running. Otherwise a first burst of long calls could take every
// slot.
constexpr double max_unknown_duration_fraction = 0.25;

// As many slots as the recent peak of urgent or short calls are kept free of long-running work,
// within the following bounds. The peak decays with this half-life.
constexpr double peak_half_life_s = 10;
constexpr double max_reserved_fraction = 0.5;
// Applies even if there were no urgent or short calls lately. With only one slot kept free, urgent
// work that needs two slots waited 14.5 s behind calls of 30 s until the peak had risen.
constexpr double min_reserved_fraction = 0.25;

// Urgent calls must start within 4.4 s. An urgent call that has waited half of that is started
// before all other calls if its team has a quota and is below it, unless urgent work already holds
// this fraction of the slots.
constexpr std::chrono::milliseconds urgent_overdue_after{2200};
constexpr double max_urgent_fraction_for_overdue = 0.8;

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
    auto& flow = get_or_create_flow(request.priority, request.team);
    admission_result result;
    if (waiting_ >= limits_.max_waiting) {
        const auto* longest = find_longest_queue();
        if (longest == nullptr || relative_length(*longest) <= relative_length(flow)) {
            return result;
        }
        result.displaced = displace_from_longest_queue();
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
    update_urgent_or_short_peak(now);
    result.accepted = true;
    return result;
}

bool admission_queue::remove(call_id id)
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

std::optional<call_id> admission_queue::start_next(steady_time now)
{
    if (waiting_ == 0) {
        return std::nullopt;
    }
    update_urgent_or_short_peak(now);
    const int long_running_calls = mark_long_running_calls(now);
    std::map<flow*, std::deque<waiting_call>> late_calls;
    // Takes calls that cannot meet their deadline out of the queues while a call is chosen. They
    // are put back below and stay in the queue until the caller removes them.
    for (auto& [key, flow] : flows_) {
        while (!flow.waiting.empty() && cannot_meet_deadline(flow, flow.waiting.front(), now)) {
            late_calls[&flow].push_back(flow.waiting.front());
            flow.waiting.pop_front();
        }
    }
    auto* chosen = find_overdue_urgent_flow(now, long_running_calls);
    if (chosen == nullptr) {
        chosen = find_next_flow(long_running_calls);
    }
    std::optional<call_id> started;
    if (chosen != nullptr) {
        started = chosen->waiting.front().id;
        chosen->waiting.pop_front();
        --waiting_;
        waiting_flows_.erase(*started);
        auto& state = state_of(chosen->priority);
        system_virtual_time_ = std::max(system_virtual_time_, state.virtual_time);
        state.system_virtual_time = std::max(state.system_virtual_time, chosen->virtual_time);
        running_[*started] = {chosen, now, chosen->mean_seconds, false};
        charge(*chosen, chosen->mean_seconds);
        ++chosen->running;
        ++team_running_[chosen->team];
        --state.waiting;
        ++state.running;
    }
    for (auto& [flow, calls] : late_calls) {
        flow->waiting.insert(flow->waiting.begin(), calls.begin(), calls.end());
    }
    return started;
}

void admission_queue::finish(call_id id, steady_time now, bool completed)
{
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    auto& call = found->second;
    auto& flow = *call.owner;
    const double seconds = std::max(0.0, to_seconds(now - call.started));
    charge(flow, seconds - call.charged_seconds);
    update_duration_estimate(flow, seconds, completed, now);
    if (!call.marked_long_running) {
        const bool is_long_running = now - call.started > limits_.long_running_after;
        flow.long_running_fraction =
            is_long_running ? std::max(flow.long_running_fraction, initial_long_running_fraction)
                            : flow.long_running_fraction * (1 - smoothing_factor);
    }
    flow.duration_known = true;
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
    // While the deferred class runs fewer calls than its guaranteed share, one deferred call may
    // wait at a time. It starts soon, and a backlog of deferred calls thus gets the share of its
    // class even while other classes flood the queue.
    const auto found = classes_.find(work_class::deferred);
    if (found == classes_.end()) {
        return capacity_ > 0;
    }
    const int guaranteed =
        std::max(1, static_cast<int>(std::floor(capacity_ * deferred_weight / total_weight)));
    return capacity_ > 0 && found->second.waiting == 0 && found->second.running < guaranteed;
}

double admission_queue::max_relative_queue_length() const
{
    const auto* longest = find_longest_queue();
    return longest == nullptr ? 0 : relative_length(*longest);
}

double admission_queue::relative_queue_length(work_class priority, const std::string& team) const
{
    const auto found = flows_.find({priority, team});
    return found == flows_.end() ? 0 : relative_length(found->second);
}

std::optional<call_id> admission_queue::displace_from_longest_queue()
{
    const auto* longest = find_longest_queue();
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

admission_queue::flow& admission_queue::get_or_create_flow(work_class priority,
                                                           const std::string& team)
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

bool admission_queue::is_long_running(const flow& flow) const
{
    return flow.long_running_fraction > long_running_fraction_threshold;
}

// True if the call is not expected to end by its deadline; starting it would waste a slot. If no
// call of the flow has completed recently, only the deadline itself counts, so that calls are
// started and a changed duration is noticed.
bool admission_queue::cannot_meet_deadline(const flow& flow, const waiting_call& call,
                                           steady_time now)
{
    if (call.deadline <= now) {
        return true;
    }
    const double min_expected_seconds =
        flow.mean_seconds - duration_margin_deviations * flow.deviation_seconds;
    return flow.duration_known && now - flow.last_completed_at < duration_estimate_lifetime &&
           to_seconds(call.deadline - now) < min_expected_seconds;
}

// The first completed call replaces the initial value of the mean. An incomplete call can raise the
// mean but does not change the deviation. A larger deviation would lower the expected minimum
// duration, and later calls would again be started too late to meet their deadlines.
void admission_queue::update_duration_estimate(flow& flow, double seconds, bool completed,
                                               steady_time now)
{
    const double difference = seconds - flow.mean_seconds;
    if (!completed) {
        flow.mean_seconds += std::max(difference, 0.0) * smoothing_factor;
        return;
    }
    if (flow.last_completed_at == steady_time()) {
        flow.mean_seconds = seconds;
    }
    else {
        flow.mean_seconds += difference * smoothing_factor;
        flow.deviation_seconds +=
            (std::abs(difference) - flow.deviation_seconds) * smoothing_factor;
    }
    flow.last_completed_at = now;
}

// True for work for which slots are kept free of long-running work.
bool admission_queue::is_urgent_or_short(const flow& flow) const
{
    return flow.priority == work_class::urgent || (flow.duration_known && !is_long_running(flow));
}

// Number of slots that the calls of this flow may not use if they are long-running.
int admission_queue::reserved_slots(const flow& flow) const
{
    if (capacity_ < 2) {
        return 0;
    }
    if (flow.priority == work_class::urgent) {
        // Keeps one slot free of long-running urgent calls, for short urgent calls.
        return 1;
    }
    const int max_reserved =
        std::max(1, static_cast<int>(std::floor(capacity_ * max_reserved_fraction)));
    const int min_reserved = static_cast<int>(std::ceil(capacity_ * min_reserved_fraction));
    return std::clamp(static_cast<int>(std::ceil(urgent_or_short_peak_)),
                      std::min(min_reserved, max_reserved), max_reserved);
}

// True if neither the team's quota nor a bound on long-running work or on work of unknown duration
// prevents a call of the flow from starting. `long_running_calls`: slots held by long-running work.
bool admission_queue::may_start_call(const flow& flow, int long_running_calls) const
{
    const auto& quota = limits_of(flow.team).quota;
    if (quota && running(flow.team) >= *quota) {
        return false;
    }
    if (!flow.duration_known &&
        flow.running >= std::max(1.0, std::floor(capacity_ * max_unknown_duration_fraction))) {
        return false;
    }
    return !is_long_running(flow) ||
           long_running_calls < std::max(1, capacity_ - reserved_slots(flow));
}

// Marks running calls that have become long-running, and updates the estimates of their flows.
// Returns the number of slots held by long-running work, including the calls of long-running flows
// that have not run for long yet.
int admission_queue::mark_long_running_calls(steady_time now)
{
    int count = 0;
    for (auto& [id, call] : running_) {
        if (!call.marked_long_running && now - call.started > limits_.long_running_after) {
            call.marked_long_running = true;
            call.owner->duration_known = true;
            call.owner->long_running_fraction =
                std::max(call.owner->long_running_fraction, initial_long_running_fraction);
            call.owner->mean_seconds =
                std::max(call.owner->mean_seconds, to_seconds(now - call.started));
        }
        if (call.marked_long_running || is_long_running(*call.owner)) {
            ++count;
        }
    }
    return count;
}

// Updates the recent peak of the number of urgent or short calls, waiting and running.
void admission_queue::update_urgent_or_short_peak(steady_time now)
{
    int demand = 0;
    for (const auto& [key, flow] : flows_) {
        if (is_urgent_or_short(flow)) {
            demand += flow.running + static_cast<int>(flow.waiting.size());
        }
    }
    const double elapsed = std::max(0.0, to_seconds(now - peak_updated_at_));
    urgent_or_short_peak_ =
        std::max(static_cast<double>(demand),
                 urgent_or_short_peak_ * std::exp2(-elapsed / peak_half_life_s));
    peak_updated_at_ = now;
}

// Adds used slot time to the virtual times of the flow and its class.
void admission_queue::charge(flow& flow, double seconds)
{
    flow.virtual_time += seconds / weight_of(flow);
    state_of(flow.priority).virtual_time += seconds / class_weight(flow.priority);
}

// Called before a call is added to the flow. A flow or class that was idle continues at the virtual
// time of the one served last. Otherwise it could use all slots until it had caught up on the time
// while it was idle.
void admission_queue::activate(flow& flow)
{
    auto& state = state_of(flow.priority);
    if (state.waiting == 0 && state.running == 0) {
        state.virtual_time = std::max(state.virtual_time, system_virtual_time_);
    }
    if (flow.waiting.empty() && flow.running == 0) {
        flow.virtual_time = std::max(flow.virtual_time, state.system_virtual_time);
    }
}

// Returns the flow with the oldest overdue urgent call that may start, or nullptr.
admission_queue::flow* admission_queue::find_overdue_urgent_flow(steady_time now,
                                                                 int long_running_calls)
{
    if (state_of(work_class::urgent).running >=
        std::floor(capacity_ * max_urgent_fraction_for_overdue)) {
        return nullptr;
    }
    flow* oldest = nullptr;
    for (auto& [key, flow] : flows_) {
        if (flow.priority != work_class::urgent || flow.waiting.empty() ||
            !limits_of(flow.team).quota ||
            now - flow.waiting.front().arrived < urgent_overdue_after ||
            !may_start_call(flow, long_running_calls)) {
            continue;
        }
        if (oldest == nullptr || flow.waiting.front().arrived < oldest->waiting.front().arrived) {
            oldest = &flow;
        }
    }
    return oldest;
}

// Returns the flow whose first call is next by fair queueing, or nullptr if no call may start: the
// flow with the lowest virtual time in the class with the lowest virtual time.
admission_queue::flow* admission_queue::find_next_flow(int long_running_calls)
{
    flow* best = nullptr;
    double best_class_virtual_time = 0;
    for (auto& [key, flow] : flows_) {
        if (flow.waiting.empty()) {
            continue;
        }
        const auto& state = state_of(flow.priority);
        if (!may_start_call(flow, long_running_calls)) {
            // A flow that may not start calls now gets no extra slot time for that later.
            flow.virtual_time = std::max(flow.virtual_time, state.system_virtual_time);
            continue;
        }
        const bool same_class = best != nullptr && best->priority == flow.priority;
        if (best == nullptr || (!same_class && state.virtual_time < best_class_virtual_time) ||
            (same_class && flow.virtual_time < best->virtual_time)) {
            best = &flow;
            best_class_virtual_time = state.virtual_time;
        }
    }
    if (best != nullptr) {
        // A class with a lower virtual time than the chosen one has only flows that may not start
        // calls now. It gets no extra slot time for that later.
        for (auto& [priority, state] : classes_) {
            if (state.waiting > 0 && state.virtual_time < best_class_virtual_time) {
                state.virtual_time = best_class_virtual_time;
            }
        }
    }
    return best;
}

// Returns the flow with the longest queue relative to its weight, or nullptr if no call is waiting.
const admission_queue::flow* admission_queue::find_longest_queue() const
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

// Number of waiting calls divided by the weights of the team and the class.
double admission_queue::relative_length(const flow& flow) const
{
    return static_cast<double>(flow.waiting.size()) /
           (weight_of(flow) * class_weight(flow.priority));
}

} // namespace jl::decisions
