#include "jobs/testing/test_fleet.h"

#include <utility>

namespace jl::jobs::testing {

namespace {

using namespace std::chrono_literals;

constexpr auto poll_interval = 5ms;

} // namespace

test_node::test_node(net::timer_service& timers, fake_store& store, fake_workers& workers,
                     fake_vms& vms, fake_advisor& advisor, const test_documents& documents,
                     const std::string& name)
    : store_(store.connect())
{
    leadership_settings settings;
    settings.node = name;
    settings.address = {"10.0.0.9", 1};
    leadership::callbacks callbacks;
    callbacks.elected = [this, &timers, &workers, &vms, &advisor,
                         &documents](const leader_record& leader) {
        engine_ports ports;
        ports.store = &store_;
        ports.workers = &workers;
        ports.vms = &vms;
        ports.advisor = &advisor;
        ports.documents = &documents;
        ports.metrics = &metrics_;
        engine_settings settings;
        settings.max_lease = workers.max_lease;
        settings.remote_slowdown_factor = workers.remote_slowdown_factor;
        engine_ = std::make_unique<engine>(
            timers, ports, settings, leader, [this] { return election_->holds_lease(); },
            [this, &timers](const std::string& reason) {
                timers.defer([this, reason] { election_->step_down(reason); });
            });
    };
    callbacks.deposed = [this, &timers](const std::string&) {
        timers.defer([former = std::shared_ptr<engine>(std::move(engine_))] {});
    };
    callbacks.leader_changed = [] {};
    election_ = std::make_unique<leadership>(timers, store_, settings, std::move(callbacks));
    election_->start();
}

test_node::~test_node() = default;

engine* test_node::ready_engine()
{
    return engine_ && engine_->ready() && election_->holds_lease() ? engine_.get() : nullptr;
}

test_fleet::test_fleet(int count)
{
    queue_config queue;
    queue.name = "plans";
    queue.host = "plans.example";
    queue.prefix = "/plans/";
    queue.service = "rounds";
    queue.max_attempts = 4;
    queue.stretch = 1.6;
    queue.latency_objective = 600ms;
    documents.config.version = 1;
    documents.config.queues = {queue};
    documents.config.services = {{"rounds", false, true}};
    store.put(documents.config_key(), "");
    workers.on_recovered = [this](const std::string& former, const worker_registration& info) {
        unlist_worker(former);
        list_worker(info);
    };
    for (int index = 0; index < count; ++index) {
        list_worker(workers.add("w" + std::to_string(index), "rounds"));
    }
}

test_node& test_fleet::add_node(const std::string& name)
{
    auto& node = nodes[name];
    node = std::make_unique<test_node>(timers, store, workers, vms, advisor, documents, name);
    return *node;
}

void test_fleet::request_wave(const wave_request& wave)
{
    documents.wave = wave;
    store.put(documents.wave_prefix() + std::to_string(wave.wave), "");
}

void test_fleet::list_worker(const worker_registration& info)
{
    documents.workers[info.id] = info;
    store.put(documents.worker_prefix() + info.id, "");
}

void test_fleet::unlist_worker(const std::string& id)
{
    documents.workers.erase(id);
    store.remove(documents.worker_prefix() + id);
}

void test_fleet::renew_registrations(milliseconds interval)
{
    if (!renewals_paused) {
        const auto listed = documents.workers;
        for (const auto& [id, info] : listed) {
            list_worker(workers.knows(id) ? workers.registration(id) : info);
        }
    }
    timers.call_after(interval, [this, interval] { renew_registrations(interval); });
}

engine* test_fleet::leader()
{
    for (auto& [name, node] : nodes) {
        if (auto* const ready_engine = node->ready_engine()) {
            return ready_engine;
        }
    }
    return nullptr;
}

std::string test_fleet::leader_name()
{
    for (auto& [name, node] : nodes) {
        if (node->ready_engine() != nullptr) {
            return name;
        }
    }
    return "";
}

bool test_fleet::await_leader(milliseconds limit)
{
    for (milliseconds waited{0}; waited < limit; waited += poll_interval) {
        if (leader() != nullptr) {
            return true;
        }
        timers.run_for(poll_interval);
    }
    return leader() != nullptr;
}

bool test_fleet::start_leader_and_standby()
{
    add_node("a");
    if (!await_leader()) {
        return false;
    }
    add_node("b");
    timers.run_for(100ms);
    return true;
}

std::optional<submit_outcome> test_fleet::submit(job_spec spec, milliseconds limit,
                                                 const std::string& key)
{
    // Shared, because the answer may arrive after this function has returned.
    const auto outcome = std::make_shared<std::optional<submit_outcome>>();
    leader()->submit({std::move(spec), key},
                     [outcome](const submit_answer& answer) { *outcome = answer.outcome; });
    for (milliseconds waited{0}; waited < limit && !*outcome; waited += poll_interval) {
        timers.run_for(poll_interval);
    }
    return *outcome;
}

std::optional<cancel_outcome> test_fleet::cancel(const std::string& id, milliseconds limit)
{
    const auto outcome = std::make_shared<std::optional<cancel_outcome>>();
    leader()->cancel(id, [outcome](cancel_outcome result) { *outcome = result; });
    for (milliseconds waited{0}; waited < limit && !*outcome; waited += poll_interval) {
        timers.run_for(poll_interval);
    }
    return *outcome;
}

bool test_fleet::await_state(const std::string& id, job_state state, milliseconds limit)
{
    for (milliseconds waited{0}; waited < limit; waited += poll_interval) {
        const auto* const ready_engine = leader();
        if (ready_engine != nullptr && ready_engine->state(id) == state) {
            return true;
        }
        timers.run_for(poll_interval);
    }
    return false;
}

job_spec make_job(const std::string& id, int steps, int tasks_per_step)
{
    job_spec spec;
    spec.id = id;
    spec.queue = "plans";
    spec.payload = "payload of " + id;
    for (int number = 0; number < steps; ++number) {
        step_spec next;
        next.count = tasks_per_step;
        next.request = {4000, 4096, 0};
        next.estimate = 1000ms;
        if (number > 0) {
            next.after = {number - 1};
        }
        spec.steps.push_back(next);
    }
    return spec;
}

} // namespace jl::jobs::testing
