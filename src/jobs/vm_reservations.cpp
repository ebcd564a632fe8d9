#include "jobs/vm_reservations.h"

namespace jl::jobs {

bool vm_reservations::reserve(const std::string& vm, reservation_purpose purpose)
{
    return reservations_.try_emplace(vm, reservation{purpose, false, ""}).first->second.purpose ==
           purpose;
}

void vm_reservations::confirm(const std::string& vm, reservation_purpose purpose,
                              const std::string& former_worker)
{
    const auto found = reservations_.find(vm);
    if (found != reservations_.end() && found->second.purpose == purpose) {
        found->second.confirmed = true;
        found->second.former_worker = former_worker;
    }
}

void vm_reservations::release(const std::string& vm, reservation_purpose purpose)
{
    const auto found = reservations_.find(vm);
    if (found != reservations_.end() && found->second.purpose == purpose) {
        reservations_.erase(found);
    }
}

bool vm_reservations::reserved_for(const std::string& vm, reservation_purpose purpose) const
{
    const auto found = reservations_.find(vm);
    return found != reservations_.end() && found->second.purpose == purpose;
}

bool vm_reservations::blocks(const std::string& vm, const std::string& worker) const
{
    const auto found = reservations_.find(vm);
    if (found == reservations_.end()) {
        return false;
    }
    return !found->second.confirmed || found->second.former_worker == worker;
}

} // namespace jl::jobs
