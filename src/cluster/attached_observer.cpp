#include <algorithm>
#include <map>
#include <mutex>
#include <utility>

#include "base/periodic_task.h"
#include "cluster/cluster.h"
#include "cluster/configuration.h"
#include "cluster/liveness.h"

namespace jl::cluster {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds observe_period{250};

// Asks the local entry for its view in turn. Since the entry only answers, the age of an answer is
// known however long it waited in buffers.
class attached_observer final : public cluster_observer, public peers::peer_events {
public:
    attached_observer(const endpoint& entry, std::string name, const clock_source& clock,
                      metrics& metrics)
        : name_(std::move(name)),
          incarnation_(to_unix(clock.wall_now()).count()),
          clock_(clock),
          transport_(peers::make_websocket_transport(clock, metrics, {})),
          snapshot_(std::make_shared<const vm_snapshot>())
    {
        transport_->set_peers({{peers::any_member, entry}});
        task_ = std::make_unique<periodic_task>(observe_period, milliseconds(0),
                                                [this] { send_request(); });
        // Last, since its callbacks wake the task.
        transport_->start(*this);
    }

    ~attached_observer() override
    {
        transport_->stop();
        task_.reset();
    }
    attached_observer(const attached_observer&) = delete;
    attached_observer& operator=(const attached_observer&) = delete;

    objects::object_set_ptr configuration() const override { return configuration_.current(); }

    vm_snapshot_ptr vms() const override
    {
        const std::lock_guard lock(mutex_);
        return snapshot_;
    }

    std::vector<member_status> members() const override
    {
        const std::lock_guard lock(mutex_);
        auto statuses = members_;
        const auto elapsed =
            std::chrono::ceil<milliseconds>(clock_.steady_now() - members_asked_at_);
        for (auto& status : statuses) {
            status.report_age += elapsed;
            status.alive = status.alive && status.report_age <= failure_detection_time;
        }
        return statuses;
    }

    peers::hello describe_self() override
    {
        return {peers::protocol_version, name_, incarnation_, 0, true};
    }

    peers::member_report report(milliseconds& view_age) override
    {
        view_age = std::chrono::hours(24);
        return {};
    }

    void on_link_up(const peers::hello& peer) override
    {
        {
            const std::lock_guard lock(mutex_);
            entry_ = peer.member;
            // View versions are counted by each process on its own.
            view_version_ = 0;
        }
        task_->wake();
    }

    void on_link_down(const std::string& /*member*/) override
    {
        const std::lock_guard lock(mutex_);
        entry_.clear();
        asked_.clear();
    }

    void on_pong(const std::string& /*member*/, steady_time /*sent_at*/, milliseconds /*view_age*/,
                 const peers::member_report& /*report*/) override
    {
    }

    void on_message(const std::string& /*member*/, const peers::message& received) override
    {
        if (const auto* answer = std::get_if<peers::observation>(&received)) {
            take_over(*answer);
        }
    }

private:
    void send_request()
    {
        peers::observe request;
        std::string entry;
        request.generation = configuration_.generation();
        {
            const std::lock_guard lock(mutex_);
            if (entry_.empty()) {
                return;
            }
            entry = entry_;
            request.sequence = ++sequence_;
            request.view_version = view_version_;
            asked_[request.sequence] = clock_.steady_now();
        }
        transport_->send(entry, request, peers::priority::urgent);
    }

    void take_over(const peers::observation& answer)
    {
        std::string reason;
        if (!answer.published.empty()) {
            // The entry has checked it; a refusal leaves the configuration as it is.
            configuration_.offer(answer.published, reason);
        }
        const std::lock_guard lock(mutex_);
        const auto asked = asked_.find(answer.sequence);
        if (asked == asked_.end()) {
            return;
        }
        members_asked_at_ = asked->second;
        asked_.erase(asked_.begin(), std::next(asked));
        members_.clear();
        for (const auto& member : answer.members) {
            const auto record = records::parse_member(member.record);
            if (record) {
                members_.push_back({*record, member.alive, member.generation,
                                    member.store_reachable, member.report_age, member.loads,
                                    member.acknowledgments});
            }
        }
        if (answer.view_included) {
            view_version_ = answer.view_version;
            snapshot_ = make_snapshot(answer);
        }
    }

    static vm_snapshot_ptr make_snapshot(const peers::observation& answer)
    {
        std::map<std::string, const peers::vm_mark*> marks;
        for (const auto& mark : answer.marks) {
            marks[mark.vm] = &mark;
        }
        auto snapshot = std::make_shared<vm_snapshot>();
        snapshot->vms.reserve(answer.vms.size());
        for (const auto& vm : answer.vms) {
            auto& state = snapshot->vms.emplace_back();
            state.vm = vm.vm;
            state.address = vm.address;
            state.pool = vm.initial_pool;
            state.data_centre = vm.data_centre;
            state.rack = vm.rack;
            state.listed_live = !vm.leaving;
            state.resources = vm.resources;
            const auto mark = marks.find(vm.vm);
            if (mark != marks.end()) {
                state.phase = mark->second->phase;
                state.record_revision = mark->second->revision;
            }
        }
        return snapshot;
    }

    const std::string name_;
    const std::int64_t incarnation_;
    const clock_source& clock_;
    std::unique_ptr<peers::peer_transport> transport_;
    configuration_holder configuration_;

    mutable std::mutex mutex_; // rank 2: VM view
    std::string entry_;        // empty without a link
    std::uint64_t sequence_ = 0;
    std::map<std::uint64_t, steady_time> asked_; // send times of unanswered requests
    std::uint64_t view_version_ = 0;
    vm_snapshot_ptr snapshot_;
    std::vector<member_status> members_;
    steady_time members_asked_at_;
    std::unique_ptr<periodic_task> task_;
};

} // namespace

std::unique_ptr<cluster_observer> make_attached_observer(const endpoint& entry,
                                                         const std::string& name,
                                                         const clock_source& clock,
                                                         metrics& metrics)
{
    return std::make_unique<attached_observer>(entry, name, clock, metrics);
}

} // namespace jl::cluster
