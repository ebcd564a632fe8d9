#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/crash_ledger.h"
#include "jobs/job_metrics.h"
#include "jobs/job_table.h"
#include "jobs/open_starts.h"
#include "jobs/order_pacer.h"
#include "jobs/worker_session.h"

namespace jl::jobs {

struct worker_handle;

// Receives the outcomes of tasks and the changes of workers from task_runner.
class task_listener {
public:
    virtual ~task_listener() = default;
    // Both functions return the version of the job's record that must be durable before the end of
    // the task is acknowledged to the worker; 0 if it can be acknowledged at once.
    virtual std::int64_t on_task_done(task& ended) = 0;
    virtual std::int64_t on_task_failed(task& ended, std::int64_t run) = 0;
    // The task no longer runs on any worker and waits to be started again.
    virtual void on_task_released(task& released) = 0;
    virtual void on_ticket_rejected(task& refused) = 0;
    // The evidence that the task crashes its workers has changed and must be recorded.
    virtual void on_crash_evidence(task& suspect) = 0;
    // The worker reported which tasks run on it.
    virtual void on_worker_report(worker_handle& handle) = 0;
    virtual void on_workers_changed() = 0;
    // The worker has restarted under its id, as it or its clock tells. No task is started on it
    // before that is recorded.
    virtual void on_worker_restarted(worker_handle& handle) = 0;
    // The worker refused an order because it has seen the fencing token of a newer leader.
    virtual void fenced(const std::string& worker) = 0;
};

// Where a worker's registration comes from.
enum class registration_source {
    roster,  // the record of a previous leader
    listing, // read at the start of the leadership, and written at an unknown time before
    renewal, // written by the worker since then
};

// What the leader knows about one worker, and its session with it.
struct worker_handle {
    std::unique_ptr<worker_session> session;
    std::set<task*> assigned;          // starting, running or stopping on the worker
    bool registered = true;            // its registration is in the store
    bool loaded_from_roster = false;   // a previous leader may have started tasks on it
    bool roster_entry_durable = false; // required before a task is started on it
    net::boot_time unhealthy_until{};
    net::boot_time no_room_until{};    // it rejected a start for lack of capacity
    double failure_score = 0;          // number of failures, decaying over time
    net::boot_time failure_score_at{}; // when the score was computed
    // When its registration was found missing; nothing before the registrations have been listed.
    std::optional<net::boot_time> unregistered_since;
    net::boot_time last_start_at{}; // when the last start was sent to it
    net::boot_time renewed_at{};    // when its last renewal was read, which states its capacity
    net::boot_time restarted_at{};  // when its last restart under the same id was suspected or seen
    std::string indexed_vm;         // the VM under which it is found
    // The VM and the incarnation for which earlier workers on the VM have been asked.
    std::string checked_vm;
    std::int64_t checked_incarnation = 0;

    // Runs on the worker that belong to no task in `assigned`. They are being stopped and occupy
    // the worker until a report shows that they have ended.
    struct stray_run {
        std::int64_t run = 0;
        net::boot_time stop_confirmed_at = order_unconfirmed;
    };
    std::map<std::string, stray_run> strays; // by task name

    const worker_registration& info() const { return session->info(); }

    // The end of a task that the worker reported and keeps until it is acknowledged.
    struct unacknowledged_end {
        std::int64_t number = 0;
        std::string job;
        std::int64_t version = 0; // of the job's record, which must be durable first; 0 for none
    };
    std::deque<unacknowledged_end> unacknowledged_ends;
};

// Returns the incarnation of the worker that the session is with.
worker_identity identity_of(const worker_handle& handle);

struct start_options {
    std::string ticket;    // the advisor's permission; empty: none needed
    bool isolated = false; // the task may crash its worker
};

struct runner_settings {
    session_settings session;
    milliseconds stop_time{400}; // a worker ends a task within this time after a stop order
    std::int64_t term = 1;       // run numbers of a term are higher than those of all earlier terms
    std::int64_t token = 0;      // fencing token of the leadership
};

// Starts and stops tasks on workers and tracks their outcome. The callers decide which task runs
// where.
//
// A worker may execute an order whose answer was lost, even seconds later. A start without an
// answer is therefore sent again to the same worker, which accepts a run that it already has. If no
// attempt is answered, or one is refused while others are open, the run is stopped; a worker
// rejects every later start of a stopped run. The task becomes waiting only after that stop or
// after the worker's lease has expired, since it could otherwise run twice. Not thread-safe.
class task_runner final : private session_listener {
public:
    task_runner(net::timer_service& timers, worker_connector& connector, job_table& jobs,
                task_listener& listener, job_metrics& metrics, runner_settings settings);
    ~task_runner() override;
    task_runner(const task_runner&) = delete;
    task_runner& operator=(const task_runner&) = delete;

    // Adds the worker or updates it from its new registration. Returns true if anything changed.
    bool worker_registered(const worker_registration& info, registration_source source);
    void worker_unregistered(const std::string& worker);
    // The worker's VM was powered off, which ends this incarnation of the worker unless it answers.
    void end_incarnation(const worker_incarnation& life);
    // All registrations have been read: the workers without one are not registered.
    void registrations_listed();
    // Removes the workers that are not registered, run nothing and keep no end that is still to be
    // recorded. Returns their ids.
    std::vector<std::string> forget_unregistered();

    // An isolated start is sent once it is recorded, as is that of a task with
    // task::maybe_crashed_unseen.
    void start(task& target, worker_handle& handle, start_options options);
    // See worker_session::raise_token(). Later sessions begin with the highest token that any has,
    // as the worker may have seen it.
    void raise_token(worker_handle& handle, std::int64_t token);
    // Sends the starts that have waited for the job's record.
    void send_recorded_starts(job& recorded);
    void stop(task& target, const char* reason);
    // False while so many starts and stops wait to be sent that no further ones should be decided
    // on. task_listener::on_workers_changed() is called once all of them have been sent.
    bool accepts_orders() const { return orders_.accepts_more(); }
    void set_pace(task& target, int percent);
    // Removes the task from its worker without an order, because it has already ended.
    void detach(task& target);

    // Acknowledges the reported ends whose job records are durable, so that workers drop them.
    void acknowledge_durable();

    // True if the former leader may have ordered the task to stop, and its end is not reported yet.
    bool may_be_stopping(const task& target) const
    {
        return timers_.now() < target.may_be_stopping_until;
    }

    bool started_by_former_leader(const task& target) const;
    crash_ledger& crashes() { return crashes_; }
    std::map<std::string, worker_handle>& worker_handles() { return worker_handles_; }
    worker_handle* find_worker(const std::string& worker);
    // All workers that are registered on a VM, also former ones and those of other writers. At most
    // one of them runs there.
    std::vector<worker_handle*> workers_on_vm(const std::string& vm);
    // Runs that may occupy a worker and belong to no task in worker_handle::assigned: those being
    // stopped, and starts without an answer that may still be carried out. One entry for each run.
    std::vector<task_name> unassigned_runs() const;
    // Services with workers on which unknown tasks of a previous leader may still run.
    std::set<std::string> unresolved_services() const;
    // Services of which workers of a previous leader were lost before this one had reached them.
    const std::set<std::string>& services_with_unseen_losses() const
    {
        return services_with_unseen_losses_;
    }

private:
    void on_report(worker_session& session, const hold_report& report,
                   net::boot_time requested_at) override;
    void on_unreachable(worker_session& session) override;
    void on_restarted(worker_session& session, const worker_incarnation& former,
                      incarnation_source source) override;
    void on_restart_suspected(worker_session& session) override;
    void on_lost(worker_session& session, loss_cause cause) override;
    void on_fenced(worker_session& session) override;
    bool in_use(const worker_session& session) const override;

    bool apply_registration(const worker_registration& info, registration_source source);
    void add_worker(const worker_registration& info, registration_source source);
    bool update_worker(worker_handle& handle, const worker_registration& info);
    std::map<std::string, worker_handle>::iterator
    erase_worker(std::map<std::string, worker_handle>::iterator handle);
    void remove_from_vm_index(const worker_handle& handle);
    void update_vm_index(worker_handle& handle);
    static bool needs_new_session(const worker_handle& handle, const worker_registration& info,
                                  registration_source source);
    // Follows the worker to this address if it does not answer at the present one.
    void check_address(worker_handle& handle, const endpoint& address);
    // Ends the earlier workers on the VM of a worker that has answered, unless they answer as well.
    void check_earlier_workers(worker_handle& handle);
    void end_if_absent(worker_handle& handle, loss_cause cause);
    void isolate(task& target, const worker_handle& handle);
    void send_start(const task_name& name, std::int64_t run, const std::string& worker);
    void transmit_start(const task_name& name, std::int64_t run, const std::string& worker);
    void on_started(const task_name& name, std::int64_t run, const std::string& worker,
                    const order_result& result);
    void log_accepted_start(const worker_handle& handle, const task& started,
                            const order_result& result) const;
    // The task's worker has answered or reported that it runs.
    void confirm_running(task& target);
    void retry_start(task& target);
    void send_stop(const task_name& name, std::int64_t run, const std::string& worker);
    void transmit_stop(const task_name& name, std::int64_t run, const std::string& worker);
    void stop_stray(worker_handle& handle, const task_name& name, std::int64_t run);
    void transmit_stray_stop(const task_name& name, std::int64_t run, const std::string& worker);
    // Stops the task on the new incarnation of its worker, which a start may still reach.
    void stop_on_new_incarnation(task& target);
    // Stops what open starts may still begin on a new incarnation of the worker, except the current
    // runs of tasks.
    void stop_open_starts(worker_handle& handle);
    bool pace_repeat_due(const task& target) const;
    bool start_is_open(const task& target) const;
    std::int64_t first_run_of_term() const;
    // True if the run is the current one of its task, or is listed in worker_handle::strays.
    bool is_assigned(const open_starts::task_run& open, const std::string& worker) const;
    bool is_stray(const open_starts::task_run& open, const std::string& worker) const;
    // The worker rejects further starts of the run, which has ended there or was stopped.
    void close_run(const task_name& name, std::int64_t run, const std::string& worker);
    int open_attempts(const task_name& name, std::int64_t run, const std::string& worker) const;
    // True if a stop with this result has ended the run, and no start can begin it any more.
    bool is_stop_settled(const task_name& name, std::int64_t run, const std::string& worker,
                         order_status status) const;
    // A start without an answer that was sent before this time has no effect any more.
    net::boot_time oldest_open_start() const;
    void expire_open_orders();
    // True if only the report of its restarted worker tells whether the task runs there.
    bool may_have_started_on_new_incarnation(const task& target) const;
    // True if the task may run on an incarnation of the worker that the leader has not heard of, or
    // if a start that was sent before the worker restarted may have begun it on the new one, or may
    // still do so. The leader doesn't know how long its lease is there.
    bool may_run_unseen(const worker_handle& handle, const task& target) const;
    // Releases the tasks that were kept because of may_run_unseen() when the lease expired.
    void release_tasks_kept_after_lease();
    void on_stray_stopped(const task_name& name, std::int64_t run, const std::string& worker,
                          const order_result& result);
    static void forget_stopped_strays(worker_handle& handle);
    static void forget_ended_strays(worker_handle& handle, const hold_report& report,
                                    net::boot_time requested_at);
    // Returns the task if `run` is its current run and is on `worker`, otherwise null.
    task* find_current_run(const task_name& name, std::int64_t run, const std::string& worker);
    // `release` also drops a suspicion against the run, which has ended without a crash.
    void release(task& target);
    void requeue(task& target);
    void release_lost_tasks(worker_handle& handle, const std::set<task*>& lost, loss_cause cause);
    void requeue_lost_tasks(const worker_handle& handle, const std::set<task*>& lost,
                            loss_cause cause);
    void log_lost_task(const worker_handle& handle, const task& lost, loss_cause cause) const;
    void apply_ends(worker_handle& handle, const hold_report& report);
    void acknowledge_durable(worker_handle& handle);
    // Returns the version of the job's record that must be durable before the end is acknowledged;
    // 0: none.
    std::int64_t apply_end(worker_handle& handle, const ended_task& end);
    std::int64_t latest_version(const std::optional<task_name>& name);
    std::int64_t apply_earlier_run_end(worker_handle& handle, task& target, const ended_task& end);
    void apply_running_tasks(worker_handle& handle, const hold_report& report);
    void apply_running_task(worker_handle& handle, const running_task& reported);
    void release_vanished_tasks(worker_handle& handle, const hold_report& report,
                                net::boot_time requested_at);
    void record_failure(worker_handle& handle);

    net::timer_service& timers_;
    worker_connector& connector_;
    job_table& jobs_;
    task_listener& listener_;
    job_metrics& metrics_;
    runner_settings settings_;
    net::boot_time created_at_;
    crash_ledger crashes_;
    std::map<std::string, worker_handle> worker_handles_;                     // by worker id
    std::unordered_map<std::string, std::vector<std::string>> workers_by_vm_; // by VM
    // By worker id. Outlives the worker's handle, because an open start may reach a later
    // incarnation with the same id.
    std::map<std::string, open_starts> open_starts_;
    order_pacer orders_;
    std::int64_t highest_token_; // of all sessions
    // Of sessions that have ended, by worker id, for the next session with the worker.
    std::map<std::string, open_lease_orders> open_lease_orders_;
    std::set<std::string> workers_with_unacknowledged_ends_;
    std::set<std::string> services_with_unseen_losses_;
    // Set to false by the destructor. Pending callbacks check it before they use `this`.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace jl::jobs
