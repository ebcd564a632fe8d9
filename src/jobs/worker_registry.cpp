#include "jobs/worker_registry.h"

#include <utility>

#include "base/log.h"

namespace jl::jobs {

namespace {

std::set<std::string> services_named_by(const fleet_config& config)
{
    std::set<std::string> names;
    for (const auto& service : config.services) {
        names.insert(service.name);
    }
    for (const auto& queue : config.queues) {
        names.insert(queue.service);
    }
    return names;
}

} // namespace

worker_registry::worker_registry(const document_codec& documents, callbacks callbacks)
    : documents_(documents), callbacks_(std::move(callbacks))
{
}

void worker_registry::apply(const store_item& item, registration_source source)
{
    const auto worker = item.key.substr(documents_.worker_prefix().size());
    unused_.erase(worker);
    if (item.revision == 0) {
        logged_reasons_.erase(worker);
        callbacks_.unregistered(worker);
        return;
    }
    std::string reason;
    const auto info = documents_.decode_worker(item, reason);
    if (!info) {
        leave_out(worker, reason);
        return;
    }
    if (!services_) {
        unused_[worker] = *info; // config_changed() decides
        return;
    }
    if (services_->count(info->service) == 0) {
        leave_out_unnamed(*info);
        return;
    }
    logged_reasons_.erase(worker);
    callbacks_.registered(*info, source);
}

void worker_registry::leave_out(const std::string& worker, const std::string& reason)
{
    auto& logged_reason = logged_reasons_[worker];
    if (logged_reason != reason) {
        logged_reason = reason;
        log_event(log_level::warning, "worker.registration_unused",
                  {{"worker", worker}, {"reason", reason}});
    }
    callbacks_.unregistered(worker);
}

void worker_registry::leave_out_unnamed(const worker_registration& info)
{
    unused_[info.id] = info;
    leave_out(info.id, "no configuration names its service " + info.service);
}

void worker_registry::config_changed(const fleet_config& config)
{
    services_ = services_named_by(config);
    const auto waiting = std::exchange(unused_, {});
    for (const auto& [worker, info] : waiting) {
        if (services_->count(info.service) == 0) {
            leave_out_unnamed(info);
            continue;
        }
        logged_reasons_.erase(worker);
        // It was written an unknown time ago.
        callbacks_.registered(info, registration_source::listing);
    }
}

} // namespace jl::jobs
