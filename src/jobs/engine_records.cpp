// What the engine reads from the store and writes there.

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
// A configuration must be in force within two seconds even if its watch is silent.
constexpr auto operator_resync = 700ms;
constexpr auto worker_resync = 1000ms;
constexpr const char* own_prefix = "jl/";

bool begins_with(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

// --- Loading -----------------------------------------------------------------------------------

void engine::load()
{
    ports_.store->list(own_prefix,
                       [this, alive = alive_](const store_result<store_listing>& result) {
                           if (!*alive) {
                               return;
                           }
                           if (!result.value) {
                               timers_.call_after(load_retry_delay, [this, alive] {
                                   if (*alive) {
                                       load();
                                   }
                               });
                               return;
                           }
                           on_loaded(*result.value);
                       });
}

void engine::on_loaded(const store_listing& listing)
{
    for (const auto& item : listing.items) {
        if (begins_with(item.key, job_prefix)) {
            load_job(item);
        }
        else if (worker_roster::owns(item.key)) {
            load_roster(item);
        }
        else if (vm_orders_ && item.key == vm_order_log::key) {
            writer_->set_revision(item.key, item.revision);
            vm_orders_->load(item);
        }
        else if (waves_ && begins_with(item.key, wave_manager::record_prefix)) {
            waves_->load(item);
        }
    }
    loaded_ = true;
    log_event(log_level::info, "engine.loaded",
              {{"jobs", std::to_string(jobs_.all().size())},
               {"active", std::to_string(jobs_.active().size())},
               {"roster", std::to_string(roster_.size())},
               {"revision", std::to_string(listing.at)}});
    workers_ = std::make_unique<watched_prefix>(
        timers_, *ports_.store, ports_.documents->worker_prefix(), worker_resync,
        watched_prefix::callbacks{[this](const store_item& item) { on_worker_item(item); },
                                  [this] { on_workers_changed(); }});
    operators_ = std::make_unique<watched_prefix>(
        timers_, *ports_.store, "op/", operator_resync,
        watched_prefix::callbacks{[this](const store_item& item) { on_operator_item(item); },
                                  [] {}});
    housekeeping();
}

void engine::load_job(const store_item& item)
{
    job_spec spec;
    spec.id = item.key.substr(std::string(job_prefix).size());
    auto& target = jobs_.insert(std::move(spec));
    if (!decode_job(item.value, target)) {
        log_event(log_level::error, "job.record_unreadable", {{"job", target.spec.id}});
        jobs_.erase(item.key.substr(std::string(job_prefix).size()));
        return;
    }
    writer_->set_revision(item.key, item.revision);
    target.durable_version = target.version;
    const auto age = timers_.wall_now() - target.accepted;
    target.objective = timers_.now() - std::chrono::duration_cast<std::chrono::nanoseconds>(age);
    if (!target.active()) {
        target.finished_at = timers_.now();
        jobs_.active().erase(&target);
        return;
    }
    unresolved_ = true;
}

void engine::load_roster(const store_item& item)
{
    writer_->set_revision(item.key, item.revision);
    for (const auto& entry : roster_.load(item)) {
        listed_worker info;
        info.id = entry.worker;
        info.service = entry.service;
        info.address = entry.address;
        info.vm = entry.vm;
        info.born = entry.born;
        runner_->worker_registered(info, true);
        runner_->find_worker(entry.worker)->roster_entry_durable = true;
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
    if (waves_ && begins_with(item.key, documents.wave_prefix()) && item.revision != 0) {
        if (const auto wave = documents.decode_wave(item)) {
            waves_->add_wave(*wave);
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
    if (vms_) {
        vms_->config_changed(*config_);
    }
    for (auto* const target : jobs_.active()) {
        if (const auto* const queue = config_->find_queue(target->spec.queue)) {
            extend_services(*target, queue->service);
            if (first) {
                target->objective += objective_of(*queue, target->spec);
            }
        }
        fail_exhausted(*target); // the attempts allowed may have changed
    }
    tick_soon();
}

// Tasks of the job may run in one more pool from now on, which a later leader must know.
void engine::extend_services(job& target, const std::string& service)
{
    auto& services = target.services;
    if (std::find(services.begin(), services.end(), service) == services.end()) {
        services.push_back(service);
        record_change(target);
    }
}

void engine::on_worker_item(const store_item& item)
{
    const auto prefix = ports_.documents->worker_prefix().size();
    if (item.revision == 0) {
        runner_->worker_unregistered(item.key.substr(prefix));
        return;
    }
    const auto info = ports_.documents->decode_worker(item);
    if (!info) {
        runner_->worker_unregistered(item.key.substr(prefix));
        return;
    }
    if (runner_->worker_registered(*info, false)) {
        roster_.set({info->id, info->service, info->address, info->vm, info->born});
    }
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
    const auto* const target = jobs_.find(key.substr(std::string(job_prefix).size()));
    if (target == nullptr) {
        record.removed = true;
        return record;
    }
    record.value = encode_job(*target);
    record.version = target->version;
    return record;
}

void engine::on_durable(const std::string& key, std::int64_t version)
{
    if (worker_roster::owns(key)) {
        on_roster_durable(key, version);
        return;
    }
    if (key == vm_order_log::key) {
        vm_orders_->on_durable(version);
        return;
    }
    if (auto* const target = jobs_.find(key.substr(std::string(job_prefix).size()))) {
        on_job_durable(*target, version);
    }
}

void engine::on_roster_durable(const std::string& key, std::int64_t version)
{
    for (const auto& worker : roster_.on_durable(key, version)) {
        if (auto* const handle = runner_->find_worker(worker)) {
            handle->roster_entry_durable = true;
        }
    }
    tick_soon();
}

void engine::on_job_durable(job& target, std::int64_t version)
{
    target.durable_version = std::max(target.durable_version, version);
    if (target.durable_version >= target.version) {
        if (target.durable_state != target.state) {
            log_event(log_level::info, "job.state",
                      {{"job", target.spec.id},
                       {"queue", target.spec.queue},
                       {"state", to_string(target.state)}});
        }
        target.durable_state = target.state;
        if (!target.waiters.empty()) {
            const auto waiters = std::move(target.waiters);
            target.waiters.clear();
            for (const auto& waiter : waiters) {
                waiter(true);
            }
        }
    }
    if (target.cancelled() || target.state == job_state::failed) {
        stop_tasks(target, "the job has ended");
    }
    tick_soon();
}

std::int64_t engine::record_change(job& target)
{
    ++target.version;
    writer_->mark(job_prefix + target.spec.id);
    return target.version;
}

} // namespace jl::jobs
