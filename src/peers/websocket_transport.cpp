#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <thread>
#include <utility>

#include <asio.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/common/network.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

#include "base/log.h"
#include "peers/peer_transport.h"
#include "peers/traffic_budget.h"

namespace jl::peers {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds tick_period{100};
constexpr long handshake_limit_ms = 3000;
constexpr long close_limit_ms = 1000;
// Bytes handed to the socket of a link before more are taken from its queue.
constexpr std::size_t max_buffered_bytes = 256U << 10U;
// A link that received something within this time is kept when the peer with the higher name dials
// another. Shorter than the peer's delay before it dials after a failure.
constexpr milliseconds duplicate_check{1000};
// Pings whose pong is awaited; older ones no longer count.
constexpr std::size_t max_open_pings = 8;

// One thread runs all links, so the library needs no locks.
struct server_config : websocketpp::config::asio {
    using type = server_config;
    using concurrency_type = websocketpp::concurrency::none;
    using elog_type = websocketpp::log::stub;
    using alog_type = websocketpp::log::stub;
    static constexpr std::size_t max_message_size = max_message_bytes;
    struct transport_config : websocketpp::config::asio::transport_config {
        using concurrency_type = server_config::concurrency_type;
        using elog_type = server_config::elog_type;
        using alog_type = server_config::alog_type;
        static constexpr bool enable_multithreading = false;
    };
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;
};

struct client_config : websocketpp::config::asio_client {
    using type = client_config;
    using concurrency_type = websocketpp::concurrency::none;
    using elog_type = websocketpp::log::stub;
    using alog_type = websocketpp::log::stub;
    static constexpr std::size_t max_message_size = max_message_bytes;
    struct transport_config : websocketpp::config::asio_client::transport_config {
        using concurrency_type = client_config::concurrency_type;
        using elog_type = client_config::elog_type;
        using alog_type = client_config::alog_type;
        static constexpr bool enable_multithreading = false;
    };
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;
};

using server = websocketpp::server<server_config>;
using client = websocketpp::client<client_config>;

thread_local peer_error error_of_thread;

// Length of the frame header that carries `payload` bytes (RFC 6455, section 5.2). Frames of the
// dialing side are masked.
std::size_t frame_header_bytes(std::size_t payload, bool masked)
{
    constexpr std::size_t max_short = 125;
    constexpr std::size_t max_medium = 65535;
    const std::size_t length = payload <= max_short ? 2 : payload <= max_medium ? 4 : 10;
    return length + (masked ? 4 : 0);
}

struct queued_message {
    std::string bytes;
    const char* type = "";
};

// A connection of either direction.
class connection {
public:
    explicit connection(server::connection_ptr accepted) : accepted_(std::move(accepted)) {}
    explicit connection(client::connection_ptr dialed) : dialed_(std::move(dialed)) {}

    bool dialed() const { return dialed_ != nullptr; }
    std::size_t buffered() const
    {
        return dialed_ ? dialed_->get_buffered_amount() : accepted_->get_buffered_amount();
    }
    bool send(const std::string& bytes)
    {
        constexpr auto binary = websocketpp::frame::opcode::binary;
        return !(dialed_ ? dialed_->send(bytes, binary) : accepted_->send(bytes, binary));
    }
    void close(websocketpp::close::status::value status, const std::string& reason)
    {
        websocketpp::lib::error_code ignored;
        if (dialed_) {
            dialed_->close(status, reason, ignored);
        }
        else {
            accepted_->close(status, reason, ignored);
        }
    }

    // Ends the connection without a close handshake.
    void abort()
    {
        auto& socket = dialed_ ? dialed_->get_raw_socket() : accepted_->get_raw_socket();
        asio::error_code ignored;
        socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    }

private:
    server::connection_ptr accepted_;
    client::connection_ptr dialed_;
};

using link_id = std::uint64_t;

struct open_ping {
    std::uint64_t sequence = 0;
    steady_time sent_at;
};

struct link {
    connection wire;
    std::string expected; // member that was dialed; empty for accepted connections
    std::string member;   // known after its hello
    bool attached = false;
    std::int64_t incarnation = 0;
    steady_time received_at;
    steady_time pinged_at;
    std::uint64_t next_ping = 1;
    std::deque<open_ping> open_pings;
    std::deque<queued_message> urgent;
    std::deque<queued_message> bulk;
    std::optional<queued_message> deferrable;
    std::size_t queued_bytes = 0;
    std::optional<member_report> sent_report;
    std::optional<member_report> received_report;
};

// State of dialing one peer.
struct dial_state {
    peer_address peer;
    std::optional<link_id> dialing; // connection being opened or in use
    int failures = 0;
    steady_time next_attempt;
};

class websocket_transport final : public peer_transport {
public:
    websocket_transport(const clock_source& clock, metrics& metrics, transport_options options)
        : clock_(clock),
          metrics_(metrics),
          options_(std::move(options)),
          budget_(options_.budget_bytes_per_second),
          timer_(io_)
    {
        // The library determines the byte order on first use and keeps it in a plain static
        // variable, which transports in two threads must not do at once.
        static const auto byte_order_known = websocketpp::lib::net::_htonll(0);
        static_cast<void>(byte_order_known);
        server_.init_asio(&io_);
        server_.set_reuse_addr(true);
        configure(server_);
        client_.init_asio(&io_);
        configure(client_);
    }

    ~websocket_transport() override { stop(); }
    websocket_transport(const websocket_transport&) = delete;
    websocket_transport& operator=(const websocket_transport&) = delete;

    bool start(peer_events& events) override
    {
        events_ = &events;
        self_ = events.describe_self();
        if (options_.listen && !listen(*options_.listen)) {
            return false;
        }
        schedule_tick();
        thread_ = std::thread([this] { run(); });
        return true;
    }

    void stop() override
    {
        if (!thread_.joinable()) {
            return;
        }
        asio::post(io_, [this] {
            stopping_ = true;
            websocketpp::lib::error_code ignored;
            server_.stop_listening(ignored);
            for (auto& [id, link] : links_) {
                link.wire.abort();
            }
            io_.stop();
        });
        thread_.join();
    }

    void set_peers(std::vector<peer_address> peers) override
    {
        asio::post(io_, [this, peers = std::move(peers)] { replace_peers(peers); });
    }

    endpoint listening() const override { return listening_; }

    void send(const std::string& member, const message& message, priority priority) override
    {
        queued_message queued{encode(message), type_name(message)};
        asio::post(io_, [this, member, queued = std::move(queued), priority]() mutable {
            const auto found = members_.find(member);
            if (found != members_.end()) {
                enqueue(found->second, std::move(queued), priority);
            }
        });
    }

private:
    template <typename Endpoint>
    void configure(Endpoint& endpoint)
    {
        endpoint.set_open_handshake_timeout(handshake_limit_ms);
        endpoint.set_close_handshake_timeout(close_limit_ms);
        endpoint.set_max_message_size(max_message_bytes);
        endpoint.set_tcp_post_init_handler([&endpoint](websocketpp::connection_hdl handle) {
            websocketpp::lib::error_code error;
            const auto opened = endpoint.get_con_from_hdl(std::move(handle), error);
            if (!error) {
                asio::error_code ignored;
                opened->get_raw_socket().set_option(asio::ip::tcp::no_delay(true), ignored);
            }
        });
    }

    bool listen(const endpoint& address)
    {
        websocketpp::lib::error_code error;
        server_.listen(address.address, std::to_string(address.port), error);
        if (!error) {
            server_.set_validate_handler([this](const websocketpp::connection_hdl&) {
                return links_.size() < options_.max_links;
            });
            server_.set_open_handler(
                [this](websocketpp::connection_hdl handle) { accept(std::move(handle)); });
            server_.start_accept(error);
        }
        if (error) {
            error_of_thread = {peer_error_code::cannot_listen,
                               "cannot listen on " + address.to_string() + ": " + error.message()};
            return false;
        }
        listening_ = {address.address, server_.get_local_endpoint(error).port()};
        return true;
    }

    void run()
    {
        // An exception of the library ends the handler that caused it, not the links.
        while (!stopping_) {
            try {
                io_.run();
                return;
            }
            catch (const std::exception& error) {
                count("jl_peer_internal_errors_total", "Exceptions in the peer transport");
                log_event(log_level::error, "peer_transport_error", {{"reason", error.what()}});
            }
        }
    }

    void schedule_tick()
    {
        timer_.expires_after(tick_period);
        timer_.async_wait([this](const asio::error_code& error) {
            if (!error) {
                schedule_tick();
                tick();
            }
        });
    }

    void tick()
    {
        const auto now = clock_.steady_now();
        std::vector<link_id> silent;
        for (const auto& [id, link] : links_) {
            if (now - link.received_at > options_.silence_limit) {
                silent.push_back(id);
            }
        }
        for (const auto id : silent) {
            close(id, "silent", websocketpp::close::status::going_away);
        }
        // Each round begins with another link, so that all get their turn within the budget.
        auto members = copy_of_members();
        if (!members.empty()) {
            const auto first = static_cast<std::ptrdiff_t>(first_served_++ % members.size());
            std::rotate(members.begin(), members.begin() + first, members.end());
        }
        for (const auto& [member, id] : members) {
            ping_if_due(id, member, now);
            pump(id, true);
        }
        for (auto& [member, state] : dials_) {
            if (state.peer.address.port != 0 && !state.dialing && members_.count(member) == 0 &&
                now >= state.next_attempt) {
                dial(state);
            }
        }
    }

    // The callbacks of a closed link change members_ during a loop over it.
    std::vector<std::pair<std::string, link_id>> copy_of_members() const
    {
        return {members_.begin(), members_.end()};
    }

    void ping_if_due(link_id id, const std::string& member, steady_time now)
    {
        const auto found = links_.find(id);
        if (found == links_.end()) {
            return;
        }
        auto& link = found->second;
        const auto dial = dials_.find(member);
        const auto period =
            dial == dials_.end() ? peer_address{}.ping_period : dial->second.peer.ping_period;
        // Half a tick early, so that rounding to ticks does not stretch the period.
        if (now - link.pinged_at + tick_period / 2 < period) {
            return;
        }
        link.pinged_at = now;
        link.open_pings.push_back({link.next_ping++, now});
        if (link.open_pings.size() > max_open_pings) {
            link.open_pings.pop_front();
        }
        enqueue(id, ping{link.open_pings.back().sequence}, priority::urgent);
    }

    void replace_peers(const std::vector<peer_address>& peers)
    {
        std::map<std::string, dial_state> next;
        for (const auto& peer : peers) {
            dial_state state;
            const auto found = dials_.find(peer.member);
            if (found != dials_.end()) {
                state = found->second;
            }
            else {
                state.next_attempt = clock_.steady_now() + dial_delay(peer.member);
            }
            const bool moved = !(state.peer.address == peer.address);
            state.peer = peer;
            if (moved && state.dialing) {
                const auto id = *state.dialing;
                dials_.erase(peer.member);
                close(id, "moved", websocketpp::close::status::going_away);
                state.dialing.reset();
            }
            next[peer.member] = state;
        }
        dials_ = std::move(next);
        std::vector<link_id> unwanted;
        for (const auto& [id, link] : links_) {
            const auto& name = link.member.empty() ? link.expected : link.member;
            if (!name.empty() && !link.attached && dials_.count(name) == 0) {
                unwanted.push_back(id);
            }
        }
        for (const auto id : unwanted) {
            close(id, "not_a_member", websocketpp::close::status::going_away);
        }
    }

    void dial(dial_state& state)
    {
        websocketpp::lib::error_code error;
        const auto opened =
            client_.get_connection("ws://" + state.peer.address.to_string() + "/", error);
        if (error) {
            schedule_retry(state);
            return;
        }
        const auto id = add_link(connection(opened), state.peer.member);
        state.dialing = id;
        opened->set_open_handler([this, id](const websocketpp::connection_hdl&) { greet(id); });
        opened->set_fail_handler(
            [this, id](const websocketpp::connection_hdl&) { forget(id, "failed"); });
        attach_handlers(opened, id);
        client_.connect(opened);
    }

    // The member with the higher name leaves the first attempt to the other.
    milliseconds dial_delay(const std::string& member) const
    {
        return member.empty() || self_.member < member ? milliseconds(0)
                                                       : options_.second_dialer_delay;
    }

    void schedule_retry(dial_state& state)
    {
        constexpr int max_doublings = 10;
        const auto limit =
            std::min(options_.first_backoff * (1 << std::min(state.failures, max_doublings)),
                     options_.max_backoff);
        ++state.failures;
        std::uniform_int_distribution<std::int64_t> delay(limit.count() / 2, limit.count());
        state.next_attempt =
            clock_.steady_now() + dial_delay(state.peer.member) + milliseconds(delay(random_));
    }

    void accept(websocketpp::connection_hdl handle)
    {
        websocketpp::lib::error_code error;
        const auto opened = server_.get_con_from_hdl(std::move(handle), error);
        if (error) {
            return;
        }
        const auto id = add_link(connection(opened), "");
        attach_handlers(opened, id);
        greet(id);
    }

    link_id add_link(connection wire, const std::string& expected)
    {
        const auto id = next_link_++;
        const auto now = clock_.steady_now();
        link added{std::move(wire), expected, {}, false, 0, now, now, 1, {}, {}, {}, {}, 0, {}, {}};
        links_.emplace(id, std::move(added));
        return id;
    }

    template <typename ConnectionPtr>
    void attach_handlers(const ConnectionPtr& opened, link_id id)
    {
        const std::weak_ptr<typename ConnectionPtr::element_type> weak = opened;
        opened->set_close_handler([this, id, weak](const websocketpp::connection_hdl&) {
            const auto closed = weak.lock();
            // The library closes a connection whose message exceeds the limit before reading it.
            const bool oversized = closed && closed->get_local_close_code() ==
                                                 websocketpp::close::status::message_too_big;
            forget(id, oversized ? "oversized" : "closed");
        });
        opened->set_message_handler(
            [this, id](const websocketpp::connection_hdl&, const auto& received) {
                receive(id, received->get_payload());
            });
    }

    void greet(link_id id) { enqueue(id, events_->describe_self(), priority::urgent); }

    // Closes a connection and drops its link at once: a silent peer never answers the close frame.
    void close(link_id id, const std::string& reason, websocketpp::close::status::value status)
    {
        const auto found = links_.find(id);
        if (found == links_.end()) {
            return;
        }
        auto wire = found->second.wire;
        forget(id, reason);
        wire.close(status, reason);
    }

    void forget(link_id id, const std::string& reason)
    {
        const auto found = links_.find(id);
        if (found == links_.end()) {
            return;
        }
        const auto member = found->second.member;
        const auto expected = found->second.expected;
        links_.erase(found);
        count("jl_peer_links_closed_total", "Links closed, by reason", {{"reason", reason}});
        const auto dial = dials_.find(expected);
        if (dial != dials_.end() && dial->second.dialing == id) {
            dial->second.dialing.reset();
            schedule_retry(dial->second);
        }
        const auto known = members_.find(member);
        if (known != members_.end() && known->second == id) {
            members_.erase(known);
            const auto redial = dials_.find(member);
            if (redial != dials_.end() && !redial->second.dialing) {
                schedule_retry(redial->second);
            }
            log_event(log_level::warning, "peer_link_down",
                      {{"member", member}, {"reason", reason}});
            events_->on_link_down(member);
        }
    }

    void receive(link_id id, const std::string& bytes)
    {
        const auto found = links_.find(id);
        if (found == links_.end()) {
            return;
        }
        auto& link = found->second;
        link.received_at = clock_.steady_now();
        const auto received = decode(bytes);
        if (!received) {
            count("jl_peer_malformed_messages_total", "Messages that could not be read");
            close(id, "malformed", websocketpp::close::status::invalid_payload);
            return;
        }
        count_bytes("received", type_name(*received),
                    bytes.size() + frame_header_bytes(bytes.size(), !link.wire.dialed()));
        if (const auto* greeting = std::get_if<hello>(&*received)) {
            handle_hello(id, *greeting);
            return;
        }
        if (link.member.empty()) {
            close(id, "no_hello", websocketpp::close::status::policy_violation);
            return;
        }
        dispatch(id, link, *received);
    }

    void dispatch(link_id id, link& link, const message& received)
    {
        if (const auto* question = std::get_if<ping>(&received)) {
            answer(id, link, *question);
        }
        else if (const auto* reply = std::get_if<pong>(&received)) {
            handle_pong(link, *reply);
        }
        else {
            // A copy, since the callback may close the link.
            const auto member = link.member;
            events_->on_message(member, received);
        }
    }

    void answer(link_id id, link& link, const ping& question)
    {
        pong reply;
        reply.sequence = question.sequence;
        const auto report = events_->report(reply.view_age);
        if (!(link.sent_report == report)) {
            reply.report = report;
            link.sent_report = report;
        }
        enqueue(id, reply, priority::urgent);
    }

    void handle_pong(link& link, const pong& reply)
    {
        if (reply.report) {
            link.received_report = reply.report;
        }
        while (!link.open_pings.empty() && link.open_pings.front().sequence < reply.sequence) {
            link.open_pings.pop_front();
        }
        if (link.open_pings.empty() || link.open_pings.front().sequence != reply.sequence ||
            !link.received_report) {
            return;
        }
        const auto sent_at = link.open_pings.front().sent_at;
        link.open_pings.pop_front();
        events_->on_pong(link.member, sent_at, reply.view_age, *link.received_report);
    }

    void handle_hello(link_id id, const hello& greeting)
    {
        auto& link = links_.at(id);
        const char* refusal = refuse(link, greeting);
        if (refusal != nullptr) {
            log_event(log_level::warning, "peer_refused",
                      {{"member", greeting.member}, {"reason", refusal}});
            close(id, refusal, websocketpp::close::status::policy_violation);
            return;
        }
        const auto former = members_.find(greeting.member);
        if (former != members_.end()) {
            // A copy of the id, since closing erases the entry.
            const auto former_id = former->second;
            close(former_id, "replaced", websocketpp::close::status::going_away);
        }
        link.member = greeting.member;
        link.attached = greeting.attached;
        link.incarnation = greeting.incarnation;
        members_[link.member] = id;
        const auto dial = dials_.find(link.expected);
        if (dial != dials_.end()) {
            dial->second.failures = 0;
        }
        log_event(log_level::info, "peer_link_up", {{"member", greeting.member}});
        // The first ping follows at once: the peer's report is awaited.
        link.pinged_at = steady_time{};
        events_->on_link_up(greeting);
    }

    // Returns the reason for which a hello is refused, or null.
    const char* refuse(const link& link, const hello& greeting) const
    {
        if (greeting.version != protocol_version) {
            return "version";
        }
        if (!link.member.empty() || greeting.member.empty()) {
            return "unexpected_hello";
        }
        if (!link.expected.empty() && link.expected != greeting.member) {
            return "other_member";
        }
        const auto former = members_.find(greeting.member);
        if (former == members_.end()) {
            return nullptr;
        }
        const auto& present = links_.at(former->second);
        if (present.incarnation > greeting.incarnation) {
            return "older_incarnation";
        }
        const bool preferred = link.wire.dialed() == (self_.member < greeting.member);
        const bool active = clock_.steady_now() - present.received_at < duplicate_check;
        if (present.incarnation == greeting.incarnation && active && !preferred &&
            !greeting.attached && !self_.attached) {
            return "duplicate";
        }
        return nullptr;
    }

    void enqueue(link_id id, const message& message, priority priority)
    {
        enqueue(id, queued_message{encode(message), type_name(message)}, priority);
    }

    void enqueue(link_id id, queued_message queued, priority priority)
    {
        const auto found = links_.find(id);
        if (found == links_.end()) {
            return;
        }
        auto& link = found->second;
        switch (priority) {
        case priority::urgent:
            link.queued_bytes += queued.bytes.size();
            link.urgent.push_back(std::move(queued));
            break;
        case priority::bulk:
            link.queued_bytes += queued.bytes.size();
            link.bulk.push_back(std::move(queued));
            break;
        case priority::deferrable:
            link.deferrable = std::move(queued);
            break;
        }
        if (link.queued_bytes > options_.max_queue_bytes) {
            close(id, "queue_full", websocketpp::close::status::try_again_later);
            return;
        }
        pump(id, false);
    }

    // Hands queued messages to the socket while it keeps up.
    void pump(link_id id, bool with_deferrable)
    {
        const auto found = links_.find(id);
        if (found == links_.end()) {
            return;
        }
        auto& link = found->second;
        while (link.wire.buffered() < max_buffered_bytes) {
            queued_message next;
            if (!link.urgent.empty()) {
                next = std::move(link.urgent.front());
                link.urgent.pop_front();
                link.queued_bytes -= next.bytes.size();
            }
            else if (!link.bulk.empty()) {
                next = std::move(link.bulk.front());
                link.bulk.pop_front();
                link.queued_bytes -= next.bytes.size();
            }
            else if (with_deferrable && link.deferrable && budget_.allows(clock_.steady_now())) {
                next = std::move(*link.deferrable);
                link.deferrable.reset();
            }
            else {
                return;
            }
            transmit(link, next);
        }
    }

    void transmit(link& link, const queued_message& next)
    {
        if (!link.wire.send(next.bytes)) {
            // The close or failure handler of the connection follows.
            return;
        }
        const auto bytes =
            next.bytes.size() + frame_header_bytes(next.bytes.size(), link.wire.dialed());
        if (!link.attached) {
            budget_.record(bytes, clock_.steady_now());
        }
        count_bytes("sent", next.type, bytes);
    }

    void count(const std::string& name, const std::string& help, const metric_labels& labels = {})
    {
        metrics_.count(name, help, labels);
    }

    void count_bytes(const char* direction, const char* type, std::size_t bytes)
    {
        const metric_labels labels = {{"direction", direction}, {"type", type}};
        metrics_.count("jl_peer_bytes_total", "Bytes of frames between our processes", labels,
                       static_cast<double>(bytes));
        metrics_.count("jl_peer_messages_total", "Messages between our processes", labels);
    }

    const clock_source& clock_;
    metrics& metrics_;
    const transport_options options_;
    peer_events* events_ = nullptr;
    endpoint listening_;
    hello self_;

    // The following belong to the transport's thread once it runs.
    traffic_budget budget_;
    asio::io_service io_;
    asio::steady_timer timer_;
    server server_;
    client client_;
    std::map<link_id, link> links_;
    std::map<std::string, link_id> members_; // links whose hello has been received
    std::map<std::string, dial_state> dials_;
    link_id next_link_ = 1;
    std::size_t first_served_ = 0;
    std::mt19937_64 random_{std::random_device{}()};
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace

std::unique_ptr<peer_transport>
make_websocket_transport(const clock_source& clock, metrics& metrics, transport_options options)
{
    return std::make_unique<websocket_transport>(clock, metrics, std::move(options));
}

const peer_error& last_error()
{
    return error_of_thread;
}

} // namespace jl::peers
