#include "cluster/registration.h"

#include <utility>

#include "base/log.h"

namespace jl::cluster {

registration::registration(store::key_value_store& store, store::process_lease& lease,
                           const clock_source& clock, metrics& metrics,
                           records::member_record member, std::chrono::milliseconds call_limit)
    : store_(store),
      lease_(lease),
      clock_(clock),
      metrics_(metrics),
      member_(std::move(member)),
      call_limit_(call_limit)
{
}

bool registration::renew()
{
    if (!lease_.renew()) {
        metrics_.count("jl_cluster_lease_failures_total", "Failed renewals of the process lease");
        return false;
    }
    const auto epoch = lease_.epoch();
    if (epoch == registered_epoch_) {
        return true;
    }
    if (superseded_ || !write_record()) {
        return false;
    }
    registered_epoch_ = epoch;
    registered_ = true;
    log_event(log_level::info, "member_registered",
              {{"member", member_.member}, {"lease_epoch", std::to_string(epoch)}});
    return true;
}

bool registration::write_record()
{
    const std::string key = records::members_prefix + member_.member;
    const auto found = store_.range({key, "", 0}, clock_.steady_now() + call_limit_);
    if (!found) {
        return false;
    }
    std::int64_t revision = 0;
    if (!found->items.empty()) {
        revision = found->items[0].mod_revision;
        const auto present = records::parse_member(found->items[0].value);
        if (present && present->incarnation > member_.incarnation) {
            // This process was paused or cut off and has been replaced under its name.
            superseded_ = true;
            log_event(log_level::error, "member_superseded", {{"member", member_.member}});
            return false;
        }
    }
    const std::string text = records::to_json(member_);
    // A lost answer is resolved by the next attempt: it reads the record again and replaces it.
    const auto written =
        store_.commit({{store::unchanged_since(key, revision)},
                       {store::put(key, text, lease_.id()), store::put(process_key(), text)},
                       {}},
                      clock_.steady_now() + call_limit_);
    return written && written->succeeded;
}

std::string registration::process_key() const
{
    return records::entries_prefix + records::process_name(member_);
}

void registration::withdraw()
{
    if (!registered_) {
        return;
    }
    const auto deadline = clock_.steady_now() + call_limit_;
    store_.commit({{}, {store::remove(process_key())}, {}}, deadline);
    // Ends the member record and the roles at once; otherwise they would last until expiry.
    store_.revoke_lease(lease_.id(), deadline);
}

} // namespace jl::cluster
