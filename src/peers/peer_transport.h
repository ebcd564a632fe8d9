#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/settings.h"
#include "base/time.h"
#include "peers/messages.h"

namespace jl::peers {

// A process to keep a link with. Of two members the one with the lower name dials first; the other
// dials if there is no link after a while, in case only its connections get through. Of two links
// of a pair, both sides keep the one dialed by the lower name.
// As the name of a peer: whoever answers at the address.
inline constexpr const char* any_member = "";

struct peer_address {
    std::string member;
    endpoint address; // port 0: not known, so it is not dialed
    std::chrono::milliseconds ping_period{1000};
};

// Order in which messages are sent over a link.
enum class priority {
    urgent,    // small and sent at once: acknowledgments, notices, requests
    bulk,      // configuration and VM changes: sent at once, after urgent messages
    deferrable // load reports: only within the traffic budget; a newer one replaces an older one
};

// Called from the transport's thread, one call at a time; must not block.
class peer_events {
public:
    virtual ~peer_events() = default;

    virtual hello describe_self() = 0;
    // Report and view age for a pong.
    virtual member_report report(std::chrono::milliseconds& view_age) = 0;

    virtual void on_link_up(const hello& peer) = 0;
    virtual void on_link_down(const std::string& member) = 0;
    // `sent_at` is when the ping that the pong answers was sent; `age` is the peer's view age then
    // or later.
    virtual void on_pong(const std::string& member, steady_time sent_at,
                         std::chrono::milliseconds view_age, const member_report& report) = 0;
    // Any other message but hello and ping.
    virtual void on_message(const std::string& member, const message& received) = 0;
};

// Links with other processes of ours. A link begins with a hello of each side; it is pinged, and
// one without traffic for 3 s is closed. A closed link is dialed again on a new connection after a
// jittered exponential delay. A malformed message closes its link and affects nothing else.
//
//   transport->set_peers({{"entry-2", {"10.0.0.2", 7001}}});
//   transport->start(events);
//   transport->send("entry-2", queue_notice{"rounds"}, priority::urgent);
//
// Thread-safe.
class peer_transport {
public:
    virtual ~peer_transport() = default;

    // Listens and begins to dial. Returns false if the address cannot be bound; the reason is in
    // last_error(). `events` must live until stop().
    virtual bool start(peer_events& events) = 0;
    // Ends all links and callbacks.
    virtual void stop() = 0;
    // Replaces the set of peers. Links with members that are no longer in it are closed.
    virtual void set_peers(std::vector<peer_address> peers) = 0;
    // The address that is listened on, with the port chosen if 0 was asked for. Call after start().
    virtual endpoint listening() const = 0;
    // Dropped without notice if there is no link; the peer's state is synchronized anew when the
    // link is up again.
    virtual void send(const std::string& member, const message& message, priority priority) = 0;
};

struct transport_options {
    std::optional<endpoint> listen; // nothing: only dials
    double budget_bytes_per_second = 3000;
    std::chrono::milliseconds silence_limit{3000};
    std::chrono::milliseconds first_backoff{100};
    std::chrono::milliseconds max_backoff{2000};
    // Time without a link after which the member with the higher name dials as well.
    std::chrono::milliseconds second_dialer_delay{1500};
    std::size_t max_queue_bytes = 8U << 20U; // per link; beyond it the link is closed
    std::size_t max_links = 256;
};

std::unique_ptr<peer_transport>
make_websocket_transport(const clock_source& clock, metrics& metrics, transport_options options);

enum class peer_error_code { cannot_listen };

struct peer_error {
    peer_error_code code = peer_error_code::cannot_listen;
    std::string message;
};

// Reason of the last failed call of this thread.
const peer_error& last_error();

} // namespace jl::peers
