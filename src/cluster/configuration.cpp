#include "cluster/configuration.h"

namespace jl::cluster {

offer_result configuration_holder::offer(const std::string& published, std::string& reason)
{
    const auto envelope = objects::parse_published(published);
    if (!envelope) {
        reason = "not a published configuration";
        return offer_result::refused;
    }
    if (envelope->generation <= generation()) {
        return offer_result::not_newer;
    }
    std::vector<objects::object_error> errors;
    auto set = objects::parse_objects(envelope->document, errors);
    if (!set) {
        reason = errors.empty() ? "invalid document" : errors.front().to_string();
        return offer_result::refused;
    }
    set->generation = envelope->generation;
    auto text = std::make_shared<const std::string>(published);
    auto next = std::make_shared<const objects::object_set>(std::move(*set));
    const std::lock_guard lock(mutex_);
    // Parsing takes place without the lock, so another thread may have offered a newer one.
    if (current_ && current_->generation >= next->generation) {
        return offer_result::not_newer;
    }
    current_ = std::move(next);
    published_ = std::move(text);
    return offer_result::accepted;
}

objects::object_set_ptr configuration_holder::current() const
{
    const std::lock_guard lock(mutex_);
    return current_;
}

std::int64_t configuration_holder::generation() const
{
    const std::lock_guard lock(mutex_);
    return current_ ? current_->generation : 0;
}

std::shared_ptr<const std::string> configuration_holder::published() const
{
    const std::lock_guard lock(mutex_);
    return published_;
}

} // namespace jl::cluster
