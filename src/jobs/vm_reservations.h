#pragma once

#include <map>
#include <string>

namespace jl::jobs {

// Why a VM is reserved.
enum class reservation_purpose { move, maintenance };

// VMs that get no new tasks because they are about to be moved or maintained. A VM is reserved for
// one purpose at a time, so that it never gets orders of both kinds.
//
//   if (reservations.reserve("m-7", reservation_purpose::maintenance)) {
//       // drain the VM, send the order, and once the order is accepted:
//       reservations.confirm("m-7", reservation_purpose::maintenance, former_worker);
//   }
//
// Not thread-safe.
class vm_reservations {
public:
    // Returns false if the VM is reserved for another purpose.
    bool reserve(const std::string& vm, reservation_purpose purpose);
    // The order to the VM was accepted. From now on, new tasks may start on any worker of the VM
    // other than `former_worker`.
    void confirm(const std::string& vm, reservation_purpose purpose,
                 const std::string& former_worker);
    // Ends the reservation if it is for this purpose.
    void release(const std::string& vm, reservation_purpose purpose);

    bool reserved(const std::string& vm) const { return reservations_.count(vm) != 0; }
    bool reserved_for(const std::string& vm, reservation_purpose purpose) const;
    // True if no new tasks may start on the worker because of a reservation of its VM.
    bool blocks(const std::string& vm, const std::string& worker) const;

private:
    struct reservation {
        reservation_purpose purpose = reservation_purpose::move;
        bool confirmed = false;
        std::string former_worker; // valid if confirmed
    };
    std::map<std::string, reservation> reservations_; // by VM
};

} // namespace jl::jobs
