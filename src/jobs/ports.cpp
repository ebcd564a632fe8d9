#include "jobs/ports.h"

namespace jl::jobs {

const char* to_string(store_error error)
{
    switch (error) {
    case store_error::none:
        return "none";
    case store_error::unavailable:
        return "unavailable";
    case store_error::outcome_unknown:
        return "outcome_unknown";
    case store_error::lease_ended:
        return "lease_ended";
    case store_error::history_gone:
        return "history_gone";
    case store_error::malformed:
        return "malformed";
    }
    return "unknown";
}

const char* to_string(order_status status)
{
    switch (status) {
    case order_status::accepted:
        return "accepted";
    case order_status::fenced:
        return "fenced";
    case order_status::superseded:
        return "superseded";
    case order_status::lease_too_late:
        return "lease_too_late";
    case order_status::no_room:
        return "no_room";
    case order_status::ticket_rejected:
        return "ticket_rejected";
    case order_status::other_worker:
        return "other_worker";
    case order_status::unhealthy:
        return "unhealthy";
    case order_status::rejected:
        return "rejected";
    case order_status::unanswered:
        return "unanswered";
    case order_status::not_sent:
        return "not_sent";
    }
    return "unknown";
}

const char* to_string(end_kind kind)
{
    switch (kind) {
    case end_kind::done:
        return "done";
    case end_kind::failed:
        return "failed";
    case end_kind::stopped:
        return "stopped";
    case end_kind::lapsed:
        return "lapsed";
    case end_kind::broken:
        return "broken";
    case end_kind::alone:
        return "alone";
    case end_kind::unknown:
        return "unknown";
    }
    return "unknown";
}

const char* to_string(vm_order_status status)
{
    switch (status) {
    case vm_order_status::accepted:
        return "accepted";
    case vm_order_status::busy:
        return "busy";
    case vm_order_status::fenced:
        return "fenced";
    case vm_order_status::wrong_wave:
        return "wrong_wave";
    case vm_order_status::rejected:
        return "rejected";
    case vm_order_status::throttled:
        return "throttled";
    case vm_order_status::unanswered:
        return "unanswered";
    }
    return "unknown";
}

} // namespace jl::jobs
