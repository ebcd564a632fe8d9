// The engine's access to the store: loads records, follows configuration and registrations, and
// encodes records for writing.

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "jobs/engine.h"
#include "jobs/vm_directory.h"
#include "jobs/vm_order_log.h"
#include "jobs/wave_manager.h"

namespace jl::jobs {

namespace {

using namespace std::chrono_literals;

constexpr auto load_retry_delay = 150ms;
// A new configuration must take effect within two seconds even if the watch delivers no event.
constexpr auto operator_resync_period = 700ms;
constexpr auto worker_resync_period = 1000ms;
constexpr const char* engine_prefix = "jl/";

bool starts_with(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

// --- Loading -----------------------------------------------------------------------------------

void engine::load_records()
{
    ports_.store->list(engine_prefix,
                       [this, alive = alive_](const store_result<store_listing>& result) {
                           if (!*alive) {
                               return;
                           }
                           if (!result.value) {
                               timers_.call_after(load_retry_delay, [this, alive] {
                                   if (*alive) {
                                       load_records();
                                   }
                               });
                               return;
                           }
                           on_records_listed(*result.value);
                       });
}

// The jobs come first: a worker of the roster is asked for its tasks at once, and what it reports
// of a job that is not known would be stopped.
void engine::on_records_listed(store_listing listing)
{
    std::stable_partition(listing.items.begin(), listing.items.end(),
                          [](const store_item& item) { return starts_with(item.key, job_prefix); });
    record_loader_.emplace(
        timers_, std::move(listing.items),
        [this](const store_item& item) { return load_record(item); },
        [this, revision = listing.at] { on_records_loaded(revision); });
}

std::size_t engine::load_record(const store_item& item)
{
    if (starts_with(item.key, job_prefix)) {
        return load_job(item);
    }
    if (worker_roster::owns(item.key)) {
        load_roster(item);
    }
    else if (vm_orders_ && item.key == vm_order_log::key) {
        writer_->set_revision(item.key, item.revision);
        vm_orders_->load(item);
    }
    else if (wave_manager_ && starts_with(item.key, wave_record::prefix)) {
        wave_manager_->load(item);
    }
    return 0;
}

void engine::on_records_loaded(std::int64_t revision)
{
    record_loader_.reset();
    records_loaded_ = true;
    log_event(log_level::info, "engine.loaded",
              {{"jobs", std::to_string(jobs_.all().size())},
               {"active", std::to_string(jobs_.active().size())},
               {"roster", std::to_string(roster_.size())},
               {"revision", std::to_string(revision)}});
    worker_registry_ = std::make_unique<worker_registry>(
        *ports_.documents,
        worker_registry::callbacks{
            [this](const worker_registration& info, registration_source source) {
                if (runner_->worker_registered(info, source)) {
                    record_worker(*runner_->find_worker(info.id));
                }
            },
            [this](const std::string& worker) { runner_->worker_unregistered(worker); }});
    worker_registrations_ = std::make_unique<watched_prefix>(
        timers_, *ports_.store, ports_.documents->worker_prefix(), worker_resync_period,
        watched_prefix::callbacks{[this](const store_item& item) { on_worker_item(item); },
                                  [this] {
                                      registrations_listed_ = true;
                                      runner_->registrations_listed();
                                      on_workers_changed();
                                  }});
    operator_items_ = std::make_unique<watched_prefix>(
        timers_, *ports_.store, "op/", operator_resync_period,
        watched_prefix::callbacks{[this](const store_item& item) { on_operator_item(item); },
                                  [] {}});
    run_housekeeping();
}

std::size_t engine::load_job(const store_item& item)
{
    job_spec spec;
    spec.id = item.key.substr(std::string(job_prefix).size());
    auto& job = jobs_.insert(std::move(spec));
    if (!decode_job(item.value, job)) {
        log_event(log_level::error, "job.record_unreadable", {{"job", job.spec.id}});
        jobs_.erase(item.key.substr(std::string(job_prefix).size()));
        return 0;
    }
    writer_->set_revision(item.key, item.revision);
    job.durable_version = job.version;
    const auto age = timers_.wall_now() - job.accepted;
    job.objective = timers_.now() - std::chrono::duration_cast<std::chrono::nanoseconds>(age);
    if (!job.active()) {
        job.finished_at = timers_.now();
        jobs_.active().erase(&job);
        return 0;
    }
    has_unresolved_tasks_ = true;
    runner_->crashes().load(job);
    give_up_crashing_tasks(job);
    return static_cast<std::size_t>(task_count(job.spec)) * job.occurrences.size();
}

void engine::load_roster(const store_item& item)
{
    writer_->set_revision(item.key, item.revision);
    for (const auto& entry : roster_.load(item)) {
        worker_registration info;
        info.id = entry.worker;
        info.service = entry.service;
        info.address = entry.address;
        info.vm = entry.vm;
        info.started_at_ms = entry.started_at_ms;
        runner_->worker_registered(info, registration_source::roster);
        auto& handle = *runner_->find_worker(entry.worker);
        handle.roster_entry_durable = true;
        if (entry.longest_lease) {
            handle.session->expect_longest_lease(entry.earlier_orders_open);
            workers_with_longest_lease_.insert(entry.worker);
        }
    }
}

bool engine::record_worker(const worker_handle& handle)
{
    const auto& info = handle.info();
    if (handle.session->may_have_longest_lease()) {
        workers_with_longest_lease_.insert(info.id);
    }
    return roster_.set({info.id, info.service, info.address, info.vm,
                        handle.session->started_at_ms(), handle.session->may_have_longest_lease(),
                        handle.session->earlier_orders_open()});
}

void engine::on_worker_restarted(worker_handle& handle)
{
    if (record_worker(handle)) {
        handle.roster_entry_durable = false;
    }
    runner_->raise_token(handle, writer_->newest_revision());
}

void engine::record_ended_leases()
{
    for (auto next = workers_with_longest_lease_.begin();
         next != workers_with_longest_lease_.end();) {
        const auto* const handle = runner_->find_worker(*next);
        if (handle != nullptr) {
            record_worker(*handle);
        }
        if (handle != nullptr && handle->session->may_have_longest_lease()) {
            ++next;
            continue;
        }
        next = workers_with_longest_lease_.erase(next);
    }
}

void engine::on_operator_item(const store_item& item)
{
    const auto& documents = *ports_.documents;
    if (item.key == documents.config_key() && item.revision != 0) {
        if (auto decoded = documents.decode_config(item)) {
            adopt_config(std::move(*decoded));
        }
        return;
    }
    if (wave_manager_ && starts_with(item.key, documents.wave_prefix()) && item.revision != 0) {
        if (const auto wave = documents.decode_wave(item)) {
            wave_manager_->add_wave(*wave);
        }
    }
}

void engine::adopt_config(fleet_config config)
{
    if (config_ && config.revision <= config_->revision) {
        return;
    }
    log_event(log_level::info, "config.adopted",
              {{"version", std::to_string(config.version)},
               {"revision", std::to_string(config.revision)},
               {"queues", std::to_string(config.queues.size())}});
    const bool first = !config_;
    config_ = std::move(config);
    config_->index_queues();
    if (vm_directory_) {
        vm_directory_->config_changed(*config_);
    }
    worker_registry_->config_changed(*config_);
    for (auto* const job : jobs_.active()) {
        if (const auto* const queue = config_->find_queue(job->spec.queue)) {
            add_service(*job, queue->service);
            if (first) {
                job->objective += completion_objective(*queue, job->spec);
            }
        }
        fail_if_attempts_exhausted(*job); // the limit of attempts may have been lowered
    }
    schedule_tick();
}

// Adds the service to those whose workers may run tasks of the job. It goes into the record, since
// a later leader must wait for the reports of all these workers before it restarts tasks. No task
// starts on them before that is durable.
void engine::add_service(job& job, const std::string& service)
{
    auto& services = job.services;
    if (std::find(services.begin(), services.end(), service) == services.end()) {
        services.push_back(service);
        job.services_version = record_change(job);
    }
}

void engine::on_worker_item(const store_item& item)
{
    worker_registry_->apply(item, registrations_listed_ ? registration_source::renewal
                                                        : registration_source::listing);
}

// --- Records -----------------------------------------------------------------------------------

std::optional<record_writer::record> engine::encode_record(const std::string& key)
{
    record_writer::record record;
    if (worker_roster::owns(key)) {
        return roster_.encode(key);
    }
    if (key == vm_order_log::key) {
        record.value = vm_orders_->encode();
        record.version = vm_orders_->version();
        return record;
    }
    const auto* const job = jobs_.find(key.substr(std::string(job_prefix).size()));
    if (job == nullptr) {
        record.removed = true;
        return record;
    }
    record.value = encode_job(*job);
    record.version = job->version;
    return record;
}

void engine::on_record_durable(const std::string& key, std::int64_t version)
{
    accept_held_submissions();
    if (worker_roster::owns(key)) {
        on_roster_durable(key, version);
        return;
    }
    if (key == vm_order_log::key) {
        vm_orders_->on_durable(version);
        return;
    }
    if (auto* const job = jobs_.find(key.substr(std::string(job_prefix).size()))) {
        on_job_durable(*job, version);
    }
}

void engine::on_roster_durable(const std::string& key, std::int64_t version)
{
    for (const auto& worker : roster_.on_durable(key, version)) {
        if (auto* const handle = runner_->find_worker(worker)) {
            handle->roster_entry_durable = true;
            runner_->raise_token(*handle, writer_->newest_revision());
        }
    }
    schedule_tick();
}

void engine::on_job_durable(job& job, std::int64_t version)
{
    job.durable_version = std::max(job.durable_version, version);
    if (job.durable_version >= job.version) {
        if (job.durable_state != job.state) {
            log_event(
                log_level::info, "job.state",
                {{"job", job.spec.id}, {"queue", job.spec.queue}, {"state", to_string(job.state)}});
        }
        job.durable_state = job.state;
        if (!job.durability_callbacks.empty()) {
            const auto durability_callbacks = std::move(job.durability_callbacks);
            job.durability_callbacks.clear();
            for (const auto& waiter : durability_callbacks) {
                waiter(true);
            }
        }
    }
    if (job.has_crash_evidence && job.active()) {
        runner_->send_recorded_starts(job);
    }
    if (job.cancelled() || job.state == job_state::failed) {
        stop_all_tasks(job, "the job has ended");
    }
    schedule_tick();
}

std::int64_t engine::record_change(job& job)
{
    ++job.version;
    writer_->mark_dirty(job_prefix + job.spec.id);
    return job.version;
}

} // namespace jl::jobs
