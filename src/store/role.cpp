#include "store/role.h"

namespace jl::store {

namespace {

constexpr const char* owners_prefix = "/jl/owners/";
constexpr std::chrono::milliseconds call_limit{1000};

} // namespace

process_lease::process_lease(key_value_store& store, const clock_source& clock, std::string holder,
                             std::chrono::seconds ttl)
    : store_(store), clock_(clock), holder_(std::move(holder)), ttl_(ttl)
{
}

bool process_lease::renew()
{
    const auto sent_at = clock_.steady_now();
    std::int64_t lease = id();
    if (lease != 0) {
        if (store_.keep_alive(lease, sent_at + call_limit)) {
            const std::lock_guard lock(mutex_);
            renewed_at_ = sent_at;
            return true;
        }
        if (last_error().code != store_error_code::lease_not_found) {
            return false;
        }
    }
    const auto granted = store_.grant_lease(ttl_, sent_at + call_limit);
    const std::lock_guard lock(mutex_);
    lease_ = granted.value_or(0);
    tokens_.clear();
    if (!granted) {
        return false;
    }
    ++epoch_;
    renewed_at_ = sent_at;
    return true;
}

bool process_lease::valid() const
{
    const std::lock_guard lock(mutex_);
    return lease_ != 0 && clock_.steady_now() - renewed_at_ < ttl_ * 2 / 3;
}

std::int64_t process_lease::id() const
{
    const std::lock_guard lock(mutex_);
    return lease_;
}

std::int64_t process_lease::epoch() const
{
    const std::lock_guard lock(mutex_);
    return epoch_;
}

std::optional<std::int64_t> process_lease::token(const std::string& role) const
{
    if (!valid()) {
        return std::nullopt;
    }
    const std::lock_guard lock(mutex_);
    const auto found = tokens_.find(role);
    if (found == tokens_.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::optional<std::int64_t> process_lease::acquire(const std::string& role)
{
    if (auto held = token(role)) {
        return held;
    }
    if (!valid()) {
        return std::nullopt;
    }
    const std::int64_t lease = id();
    const std::string key = owners_prefix + role;
    // The result of the read decides, so a lost answer is resolved by the next call.
    const auto result =
        store_.commit({{key_absent(key)}, {put(key, holder_, lease), get(key)}, {get(key)}},
                      clock_.steady_now() + call_limit);
    if (!result || result->ranges.empty() || result->ranges[0].items.empty()) {
        return std::nullopt;
    }
    const auto& owner = result->ranges[0].items[0];
    if (owner.lease != lease) {
        return std::nullopt;
    }
    if (release_is_open(role, owner.create_revision)) {
        send_release(role, owner.create_revision);
        return std::nullopt;
    }
    const std::lock_guard lock(mutex_);
    if (lease_ != lease) {
        return std::nullopt;
    }
    tokens_[role] = owner.create_revision;
    return owner.create_revision;
}

bool process_lease::release_is_open(const std::string& role, std::int64_t token) const
{
    const std::lock_guard lock(mutex_);
    const auto found = open_releases_.find(role);
    return found != open_releases_.end() && found->second == token;
}

void process_lease::send_release(const std::string& role, std::int64_t token)
{
    const auto result = store_.commit({{fence(role, token)}, {remove(owners_prefix + role)}, {}},
                                      clock_.steady_now() + call_limit);
    const std::lock_guard lock(mutex_);
    if (result) {
        open_releases_.erase(role);
    }
    else {
        open_releases_[role] = token;
    }
}

void process_lease::release(const std::string& role)
{
    std::optional<std::int64_t> held;
    {
        const std::lock_guard lock(mutex_);
        const auto found = tokens_.find(role);
        if (found == tokens_.end()) {
            return;
        }
        held = found->second;
        tokens_.erase(found);
    }
    send_release(role, *held);
}

compare process_lease::fence(const std::string& role, std::int64_t token)
{
    return created_at(owners_prefix + role, token);
}

} // namespace jl::store
