#include "decisions/crash_evidence.h"

#include <algorithm>
#include <set>

namespace jl::decisions {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

// A long-running task outlives many workers. Crashes this far apart are no sign of a common cause.
constexpr milliseconds max_observation_age = 10min;
constexpr std::size_t max_observations = 16;
// Different VMs with a crash that no other start explains.
constexpr std::size_t max_sole_crashes = 2;
// The same, where it is not known of some that they followed the start at once.
constexpr std::size_t max_possibly_sole_crashes = 3;
// A task with as many crashes is given up if no other start explains those on two different VMs.
constexpr std::size_t max_crashes = 4;
constexpr std::size_t max_unexplained_places = 2;
// A task is isolated for as long as it runs once its crashes some time after a start weigh as much.
constexpr int min_late_weight_for_isolated_run = 3;
constexpr int unexplained_weight = 2;
constexpr int beside_weight = 1;

bool counts(const crash_observation& observation, milliseconds now)
{
    return now - observation.at < max_observation_age;
}

const std::string& place_of(const crash_observation& observation)
{
    return observation.vm.empty() ? observation.worker : observation.vm;
}

bool may_have_just_started(std::chrono::nanoseconds start_sent, const worker_loss& loss)
{
    return loss.last_alive - start_sent <= crash_window;
}

bool had_just_started(std::chrono::nanoseconds start_sent, const worker_loss& loss)
{
    return may_have_just_started(start_sent, loss) && loss.ended_by &&
           *loss.ended_by - start_sent <= crash_notice_time;
}

} // namespace

crash_verdict judge_crashes(const std::vector<crash_observation>& observations, milliseconds now)
{
    std::set<std::string> sole_places;
    std::set<std::string> possibly_sole_places; // includes `sole_places`
    std::set<std::string> unexplained_places;   // includes `possibly_sole_places`
    std::size_t unexplained = 0;
    std::size_t confirmed = 0;
    std::size_t all = 0;
    int late_weight = 0;
    bool just_started_once = false;
    for (const auto& observation : observations) {
        if (!counts(observation, now)) {
            continue;
        }
        ++all;
        const bool sole = observation.link == crash_link::sole;
        const bool possibly_sole = sole || observation.link == crash_link::silent;
        just_started_once =
            just_started_once || possibly_sole || observation.link == crash_link::shared;
        late_weight += observation.link == crash_link::beside ? beside_weight : 0;
        late_weight += observation.link == crash_link::unexplained ? unexplained_weight : 0;
        if (!observation.confirmed) {
            continue;
        }
        ++confirmed;
        if (sole) {
            sole_places.insert(place_of(observation));
        }
        if (possibly_sole) {
            possibly_sole_places.insert(place_of(observation));
        }
        if (possibly_sole || observation.link == crash_link::unexplained) {
            unexplained_places.insert(place_of(observation));
            ++unexplained;
        }
    }
    const bool crashes_later =
        confirmed >= max_crashes && unexplained_places.size() >= max_unexplained_places;
    const bool crashes_at_once = sole_places.size() >= max_sole_crashes ||
                                 possibly_sole_places.size() >= max_possibly_sole_crashes;
    if (crashes_at_once || crashes_later || unexplained >= max_crashes) {
        return crash_verdict::give_up;
    }
    if (all >= max_crashes && confirmed < all) {
        return crash_verdict::hold;
    }
    if (late_weight >= min_late_weight_for_isolated_run) {
        return crash_verdict::isolate_run;
    }
    return just_started_once ? crash_verdict::isolate_start : crash_verdict::none;
}

void drop_old_observations(std::vector<crash_observation>& observations, milliseconds now)
{
    observations.erase(std::remove_if(observations.begin(), observations.end(),
                                      [&](const auto& entry) { return !counts(entry, now); }),
                       observations.end());
    if (observations.size() > max_observations) {
        observations.erase(observations.begin(),
                           observations.end() - static_cast<std::ptrdiff_t>(max_observations));
    }
}

std::optional<crash_link> link_to_crash(std::chrono::nanoseconds start_sent,
                                        const worker_loss& loss,
                                        const std::vector<task_on_lost_worker>& others)
{
    if (loss.last_alive - start_sent >= crash_free_time) {
        return std::nullopt;
    }
    const auto explains = [&](const task_on_lost_worker& other) {
        return !other.same_job && may_have_just_started(other.start_sent, loss);
    };
    const bool explained = std::any_of(others.begin(), others.end(), explains);
    if (may_have_just_started(start_sent, loss)) {
        const auto alone =
            had_just_started(start_sent, loss) ? crash_link::sole : crash_link::silent;
        return explained ? crash_link::shared : alone;
    }
    return explained ? crash_link::beside : crash_link::unexplained;
}

} // namespace jl::decisions
