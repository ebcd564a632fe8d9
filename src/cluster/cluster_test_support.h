#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/node.h"
#include "standins/memory_store.h"

// Fakes at the interfaces of the cluster state.
namespace jl::cluster {

using namespace std::chrono_literals;

class manual_clock final : public clock_source {
public:
    steady_time steady_now() const override { return steady_time(1000s) + elapsed; }
    wall_time wall_now() const override { return from_unix(1000s) + elapsed; }
    std::chrono::milliseconds elapsed{};
};

class fake_vm_list final : public platform::vm_list {
public:
    std::optional<std::vector<platform::listed_vm>> fetch(steady_time /*deadline*/) override
    {
        ++fetches;
        if (down) {
            return platform::internal::fail(platform::platform_error_code::unavailable, "down");
        }
        return vms;
    }
    std::vector<platform::listed_vm> vms;
    bool down = false;
    int fetches = 0;
};

inline platform::listed_vm make_vm(const std::string& name, bool leaving = false)
{
    platform::listed_vm vm;
    vm.vm = name;
    vm.address = {"127.0.0.1", 9000};
    vm.initial_pool = "rounds";
    vm.leaving = leaving;
    return vm;
}

inline std::string make_configuration(std::int64_t generation, int format = 1)
{
    return objects::to_json({generation, "test", 0ms, "w" + std::to_string(generation),
                             R"({"format": )" + std::to_string(format) + R"(, "objects": []})"});
}

// One entry's connection to the shared store. Watches deliver what pass_on() is given.
class store_connection final : public store::key_value_store {
public:
    explicit store_connection(store::key_value_store& shared) : shared_(shared) {}

    std::optional<store::range_result> range(const store::range_request& request,
                                             steady_time deadline) override
    {
        return down ? fail() : shared_.range(request, deadline);
    }
    std::optional<store::transaction_result> commit(const store::transaction& transaction,
                                                    steady_time deadline) override
    {
        return down ? fail() : shared_.commit(transaction, deadline);
    }
    std::optional<std::int64_t> grant_lease(std::chrono::seconds ttl, steady_time deadline) override
    {
        return down ? fail() : shared_.grant_lease(ttl, deadline);
    }
    std::optional<std::chrono::seconds> keep_alive(std::int64_t lease,
                                                   steady_time deadline) override
    {
        return down ? fail() : shared_.keep_alive(lease, deadline);
    }
    bool revoke_lease(std::int64_t lease, steady_time deadline) override
    {
        return !down && shared_.revoke_lease(lease, deadline);
    }
    std::unique_ptr<store::watch> start_watch(const std::string& key, const std::string& range_end,
                                              std::int64_t /*start_revision*/,
                                              store::watch_callback callback) override
    {
        if (down) {
            return nullptr;
        }
        auto started = std::make_unique<connection_watch>(*this);
        watches_[started.get()] = {key, range_end, std::move(callback)};
        return started;
    }
    void pass_on(const store::key_value& item) const
    {
        for (const auto& [handle, watch] : watches_) {
            const bool selected = watch.range_end.empty()
                                      ? item.key == watch.key
                                      : item.key >= watch.key && item.key < watch.range_end;
            if (!down && selected) {
                watch.callback({{store::watch_event::kind::put, item}}, item.mod_revision);
            }
        }
    }
    bool watching() const { return !watches_.empty(); }

    bool down = false;

private:
    class connection_watch final : public store::watch {
    public:
        explicit connection_watch(store_connection& owner) : owner_(owner) {}
        ~connection_watch() override { owner_.watches_.erase(this); }
        connection_watch(const connection_watch&) = delete;
        connection_watch& operator=(const connection_watch&) = delete;
        bool active() const override { return !owner_.down; }

    private:
        store_connection& owner_;
    };
    struct watch_state {
        std::string key;
        std::string range_end;
        store::watch_callback callback;
    };

    static std::nullopt_t fail()
    {
        return store::internal::fail(store::store_error_code::unavailable, "cut off");
    }

    store::key_value_store& shared_;
    std::map<connection_watch*, watch_state> watches_;
};

// Links between the entries of a test. Messages pass through the codec and are delivered by run().
class fake_network {
public:
    class transport final : public peers::peer_transport {
    public:
        transport(fake_network& network, std::string name)
            : network_(network), name_(std::move(name))
        {
        }
        bool start(peers::peer_events& events) override
        {
            network_.ends_[name_] = &events;
            return true;
        }
        void stop() override { network_.remove(name_); }
        void set_peers(std::vector<peers::peer_address> /*peers*/) override {}
        endpoint listening() const override { return {}; }
        void send(const std::string& member, const peers::message& message,
                  peers::priority /*priority*/) override
        {
            network_.queue_.push_back({name_, member, peers::encode(message)});
        }

    private:
        fake_network& network_;
        const std::string name_;
    };

    explicit fake_network(const clock_source& clock) : clock_(clock) {}

    void link(const std::string& one, const std::string& other)
    {
        links_.insert(std::minmax(one, other));
        ends_.at(one)->on_link_up(ends_.at(other)->describe_self());
        ends_.at(other)->on_link_up(ends_.at(one)->describe_self());
    }
    void cut(const std::string& one, const std::string& other)
    {
        if (links_.erase(std::minmax(one, other)) == 0) {
            return;
        }
        ends_.at(one)->on_link_down(other);
        ends_.at(other)->on_link_down(one);
    }
    // A silent link stays up for its ends and carries nothing.
    void silence(const std::string& member) { silent_.insert(member); }
    void resume(const std::string& member) { silent_.erase(member); }

    // Pings every link in both directions and delivers messages until there are none.
    void run()
    {
        for (const auto& [one, other] : links_) {
            ping(one, other);
            ping(other, one);
        }
        while (!queue_.empty()) {
            const auto next = queue_.front();
            queue_.pop_front();
            if (carries(next.from, next.to)) {
                ends_.at(next.to)->on_message(next.from, *peers::decode(next.bytes));
            }
        }
    }

private:
    struct queued {
        std::string from;
        std::string to;
        std::string bytes;
    };

    bool carries(const std::string& one, const std::string& other) const
    {
        return links_.count(std::minmax(one, other)) != 0 && silent_.count(one) == 0 &&
               silent_.count(other) == 0;
    }
    void ping(const std::string& from, const std::string& to)
    {
        if (carries(from, to)) {
            std::chrono::milliseconds view_age{};
            const auto report = ends_.at(to)->report(view_age);
            ends_.at(from)->on_pong(to, clock_.steady_now(), view_age, report);
        }
    }
    void remove(const std::string& member)
    {
        for (const auto& other : ends_) {
            cut(member, other.first);
        }
        ends_.erase(member);
    }

    const clock_source& clock_;
    std::map<std::string, peers::peer_events*> ends_;
    std::set<std::pair<std::string, std::string>> links_;
    std::set<std::string> silent_;
    std::deque<queued> queue_;
};

} // namespace jl::cluster
