#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "jobs/ports.h"
#include "jobs/task_runner.h"

namespace jl::jobs {

// The registrations of workers in the store, where other writers may leave items as well. Passes on
// the registrations that name a worker to use: those that can be decoded and whose service the
// configuration names. An item that is left out is logged once, however often it is written.
//
//   worker_registry registry(documents, {on_registered, on_unregistered});
//   registry.apply(item, registration_source::renewal);
//
// Not thread-safe.
class worker_registry {
public:
    struct callbacks {
        std::function<void(const worker_registration&, registration_source)> registered;
        // The worker has no registration that can be used. It may still run.
        std::function<void(const std::string& worker)> unregistered;
    };

    worker_registry(const document_codec& documents, callbacks callbacks);

    // An item with the workers' prefix was written, or removed (revision 0).
    void apply(const store_item& item, registration_source source);
    // Passes on the registrations whose service the configuration has come to name. Registrations
    // in use are checked when they are renewed.
    void config_changed(const fleet_config& config);

private:
    void leave_out(const std::string& worker, const std::string& reason);
    void leave_out_unnamed(const worker_registration& info);

    const document_codec& documents_;
    callbacks callbacks_;
    // The services that the configuration names; nothing before it is known.
    std::optional<std::set<std::string>> services_;
    // Registrations of services that the configuration does not name, by worker.
    std::map<std::string, worker_registration> unused_;
    std::map<std::string, std::string> logged_reasons_; // of the items left out, by worker
};

} // namespace jl::jobs
