#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jobs/model.h"

// Interfaces through which the jobs subsystem uses the platform. platform/ implements them; tests
// use fakes. Calls return immediately. Each call runs its callback exactly once, on the thread of
// the event loop, unless the port is destroyed first.
namespace jl::jobs {

// --- Key-value store ---------------------------------------------------------------------------

enum class store_error {
    none,
    unavailable,     // the store did not carry out the call
    outcome_unknown, // the write may have been applied, or may be later if its conditions hold
    lease_ended,
    history_gone, // the store no longer keeps the revision that a watch starts from
    malformed,    // the answer could not be decoded
};
const char* to_string(store_error error);

struct store_item {
    std::string key;
    std::string value;
    std::int64_t revision = 0; // 0: the key does not exist
    std::int64_t lease = 0;    // 0: none
};

struct store_listing {
    std::vector<store_item> items;
    std::int64_t at = 0; // revision of the store at which the first page was read
};

struct store_condition {
    std::string key;
    std::int64_t revision = 0; // 0: the key must not exist
};

struct store_write {
    std::string key;
    std::string value;
    std::int64_t lease = 0; // the key is removed when this lease ends; 0: none
};

// Applies all writes and removals if all conditions hold, else none.
struct store_transaction {
    std::vector<store_condition> conditions;
    std::vector<store_write> writes;
    std::vector<std::string> removals;

    std::size_t entries() const { return conditions.size() + writes.size() + removals.size(); }
};
// Limit of the store on store_transaction::entries().
constexpr std::size_t max_transaction_entries = 32;

struct commit_outcome {
    bool committed = false;
    std::int64_t revision = 0;       // of the writes, if committed
    std::vector<store_item> current; // the items that the conditions name, if not committed
};

struct store_lease {
    std::int64_t id = 0;
    milliseconds ttl{0};
};

template <typename T>
struct store_result {
    std::optional<T> value; // nothing: see `error`
    store_error error = store_error::none;
};

class store_port {
public:
    template <typename T>
    using callback = std::function<void(const store_result<T>&)>;

    virtual ~store_port() = default;
    virtual void get(const std::string& key, callback<store_item> done) = 0;
    // Lists all items whose key begins with `prefix`. Reads page by page, so the result is not a
    // consistent snapshot.
    virtual void list(const std::string& prefix, callback<store_listing> done) = 0;
    // Waits up to `wait` for changes after revision `after` to keys that begin with `prefix`.
    // Reports removed keys with revision 0.
    virtual void watch(const std::string& prefix, std::int64_t after, milliseconds wait,
                       callback<store_listing> done) = 0;
    virtual void commit(const store_transaction& transaction, callback<commit_outcome> done) = 0;
    virtual void grant_lease(milliseconds ttl, callback<store_lease> done) = 0;
    virtual void renew_lease(std::int64_t lease, callback<milliseconds> done) = 0;
    virtual void end_lease(std::int64_t lease, std::function<void()> done) = 0;
};

// --- Workers -----------------------------------------------------------------------------------

enum class order_status {
    accepted,
    fenced,         // the worker has seen a higher fencing token, which is a newer leader's
    superseded,     // this run or a later one was stopped on the worker or has ended there
    lease_too_late, // the requested end of the lease has passed on the worker's clock
    no_room,
    ticket_rejected,
    other_worker, // another incarnation of a worker answered at this address; no effect
    unhealthy,    // the worker answered that it cannot take orders now; no effect
    rejected,     // the worker considers the order invalid
    unanswered,   // may have been carried out, or may still be seconds later
    not_sent,     // the order did not reach the worker
};
const char* to_string(order_status status);

// An order without an answer is taken not to be carried out later than this after it was sent. The
// platform names no bound.
constexpr std::chrono::seconds late_execution_limit{20};

struct order_result {
    order_status status = order_status::unanswered;
    std::optional<milliseconds> worker_clock; // when the worker answered
    std::int64_t started_at_ms = 0;           // of the incarnation that answered; 0: not reported
};

// Starts a run of a task.
struct start_order {
    task_name task;
    std::int64_t run = 0; // number of this start; increases with each start of the task
    std::string payload;
    milliseconds lease_until{0}; // on the worker's clock
    std::int64_t fencing_token = 0;
    std::string checkpoint; // to resume from; empty: start from the beginning
    std::string ticket;     // the advisor's permission; empty: none needed
};

struct stop_order {
    task_name task;
    std::int64_t run = 0;
    std::int64_t fencing_token = 0;
};

// Limits the speed of a task.
struct pace_order {
    task_name task;
    std::int64_t run = 0;
    int percent = 100; // of full speed
    std::int64_t fencing_token = 0;
};

// A long poll that asks a worker for its running and ended tasks, and can extend the lease without
// which the worker stops its tasks.
struct hold_order {
    std::int64_t fencing_token = 0;
    std::int64_t last_seen_end = 0;          // ends up to this number are not reported again
    std::optional<milliseconds> lease_until; // on the worker's clock; nothing: not extended
    milliseconds wait{0};                    // how long the worker waits for a task to end
};

struct running_task {
    std::string name;
    std::int64_t run = 0;
    std::string checkpoint;
    int percent = 0; // progress
    double load = 0; // serving tasks: tail latency in ms; others: millicores in use
};

// How a run ended, in the platform's words. `done` completes the task and `failed` counts as one of
// its attempts; after any other end the task is started again. `lapsed`: the lease ran out.
enum class end_kind { done, failed, stopped, lapsed, broken, alone, unknown };
const char* to_string(end_kind kind);

struct ended_task {
    std::int64_t number = 0; // counts the ends on this incarnation of the worker
    std::string name;
    std::int64_t run = 0;
    end_kind kind = end_kind::unknown;
    std::string checkpoint;
};

// The answer to a hold_order.
struct hold_report {
    order_result result;
    std::vector<running_task> running;
    // Those with the lowest numbers above hold_order::last_seen_end.
    std::vector<ended_task> ended;
    // The list of ends is full, so there may be more. They are listed once these are acknowledged.
    bool has_more_ends = false;
};

// Sends orders to one incarnation of one worker.
class worker_port {
public:
    virtual ~worker_port() = default;
    virtual void start(const start_order& order, milliseconds timeout,
                       std::function<void(const order_result&)> done) = 0;
    virtual void stop(const stop_order& order, milliseconds timeout,
                      std::function<void(const order_result&)> done) = 0;
    virtual void pace(const pace_order& order, milliseconds timeout,
                      std::function<void(const order_result&)> done) = 0;
    virtual void hold(const hold_order& order, milliseconds timeout,
                      std::function<void(const hold_report&)> done) = 0;
    // True if the connection for hold() is open and has carried an answer. What is sent on it then
    // reaches the same incarnation of the worker or none.
    virtual bool has_hold_connection() const = 0;
};

class worker_connector {
public:
    virtual ~worker_connector() = default;
    virtual std::unique_ptr<worker_port> connect(const endpoint& address,
                                                 const std::string& worker) = 0;
};

// --- VMs ---------------------------------------------------------------------------------------

enum class vm_state { up, moving, maintenance, down };

// One run of a worker process: after a restart the same id has another start time.
struct worker_incarnation {
    std::string worker;             // empty: none
    std::int64_t started_at_ms = 0; // 0: not known
};

// A VM as the platform lists it.
struct fleet_vm {
    std::string vm;
    std::string pool;
    vm_state state = vm_state::down;
    std::string data_centre;
    std::string rack;
    task_resources capacity;
    std::string worker; // registered on the VM; empty: none
};

enum class vm_order_status { accepted, busy, fenced, wrong_wave, rejected, throttled, unanswered };
const char* to_string(vm_order_status status);

// Lists the VMs of the fleet, moves them between pools and puts them into maintenance.
class vm_port {
public:
    virtual ~vm_port() = default;
    virtual void list(std::function<void(std::optional<std::vector<fleet_vm>>)> done) = 0;
    virtual void move(const std::string& vm, const std::string& pool, std::int64_t fencing_token,
                      std::function<void(vm_order_status)> done) = 0;
    virtual void maintain(const std::string& vm, std::int64_t wave, std::int64_t fencing_token,
                          std::function<void(vm_order_status)> done) = 0;
};

// --- Advice ------------------------------------------------------------------------------------

// The advisor's permission for a worker to run a step.
struct worker_ticket {
    std::string worker;
    std::string ticket;
};

struct advice_result {
    std::optional<std::vector<worker_ticket>> allowed; // nothing: no answer
    bool throttled = false;
};

// Asks the advisor, a service that decides which workers may run the steps of some queues.
class advice_port {
public:
    virtual ~advice_port() = default;
    // Asks which of `workers` may run `step`, given as JOB.OCCURRENCE.STEP.
    virtual void ask(const std::string& step, const std::vector<std::string>& workers,
                     std::function<void(const advice_result&)> done) = 0;
};

// --- Documents from operators and workers --------------------------------------------------------

// Decodes the documents that operators and workers write to the store. The decode functions return
// nothing if a document is invalid. Those for operators' documents log the reason.
class document_codec {
public:
    virtual ~document_codec() = default;
    virtual std::optional<fleet_config> decode_config(const store_item& item) const = 0;
    virtual std::optional<wave_request> decode_wave(const store_item& item) const = 0;
    // Returns nothing, with the reason in `error`, if the item is no worker's registration.
    virtual std::optional<worker_registration> decode_worker(const store_item& item,
                                                             std::string& error) const = 0;
    virtual std::string encode_wave_status(bool completed) const = 0;
    virtual std::string wave_status_key(std::int64_t wave) const = 0;

    virtual std::string config_key() const = 0;
    virtual std::string wave_prefix() const = 0;
    virtual std::string worker_prefix() const = 0;
};

} // namespace jl::jobs
