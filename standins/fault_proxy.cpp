#include "standins/fault_proxy.h"

#include <array>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

namespace jl::standins {

namespace {

const Poco::Timespan poll_interval(0, 100000);
const Poco::Timespan connect_limit(2, 0);

} // namespace

struct fault_proxy::link {
    Poco::Net::StreamSocket client;
    Poco::Net::StreamSocket server;
    std::atomic<bool> silenced{false};
    std::atomic<int> running{2};
    std::uint64_t answer_bytes = 0; // only the answer direction's thread uses it
    std::thread to_server;
    std::thread to_client;

    void close()
    {
        for (auto* socket : {&client, &server}) {
            try {
                socket->shutdown();
            }
            catch (const Poco::Exception&) {
                continue; // closed already
            }
        }
    }
};

fault_proxy::fault_proxy(const endpoint& listen, endpoint upstream)
    : upstream_(std::move(upstream)),
      socket_(Poco::Net::SocketAddress(listen.address, listen.port), 256),
      thread_([this] { accept_loop(); })
{
}

fault_proxy::~fault_proxy()
{
    stopping_ = true;
    thread_.join();
    for (const auto& link : links_) {
        link->close();
        link->to_server.join();
        link->to_client.join();
    }
}

proxy_fault fault_proxy::fault() const
{
    const std::lock_guard lock(mutex_);
    return fault_;
}

void fault_proxy::set_fault(proxy_fault fault)
{
    const std::lock_guard lock(mutex_);
    fault_ = fault;
}

void fault_proxy::silence_existing()
{
    const std::lock_guard lock(mutex_);
    for (const auto& link : links_) {
        link->silenced = true;
    }
}

void fault_proxy::reset_existing()
{
    const std::lock_guard lock(mutex_);
    for (const auto& link : links_) {
        link->close();
    }
}

void fault_proxy::remove_ended()
{
    const std::lock_guard lock(mutex_);
    for (auto at = links_.begin(); at != links_.end();) {
        if ((*at)->running > 0) {
            ++at;
            continue;
        }
        (*at)->to_server.join();
        (*at)->to_client.join();
        at = links_.erase(at);
    }
}

void fault_proxy::accept_loop()
{
    while (!stopping_) {
        remove_ended();
        if (!socket_.poll(poll_interval, Poco::Net::Socket::SELECT_READ)) {
            continue;
        }
        auto client = socket_.acceptConnection();
        if (fault().type == proxy_fault::kind::refuse) {
            client.close();
            continue;
        }
        auto created = std::make_unique<link>();
        created->client = client;
        try {
            created->client.setNoDelay(true);
            created->server.connect(Poco::Net::SocketAddress(upstream_.address, upstream_.port),
                                    connect_limit);
            created->server.setNoDelay(true);
        }
        catch (const Poco::Exception&) {
            client.close();
            continue;
        }
        auto& link = *created;
        link.to_server =
            std::thread([this, &link] { forward(link, link.client, link.server, false); });
        link.to_client =
            std::thread([this, &link] { forward(link, link.server, link.client, true); });
        const std::lock_guard lock(mutex_);
        links_.push_back(std::move(created));
    }
}

bool fault_proxy::pass(link& link, Poco::Net::StreamSocket& to, const char* data, int size,
                       bool is_answer)
{
    const auto fault = this->fault();
    if (fault.delay.count() > 0) {
        std::this_thread::sleep_for(fault.delay);
    }
    if (link.silenced || fault.type == proxy_fault::kind::silent) {
        return true;
    }
    if (is_answer && fault.type == proxy_fault::kind::drop_answer) {
        return false;
    }
    if (is_answer && fault.type == proxy_fault::kind::cut_answer) {
        const auto left = fault.cut_after > link.answer_bytes ? fault.cut_after - link.answer_bytes
                                                              : std::uint64_t{0};
        const auto part = static_cast<int>(std::min<std::uint64_t>(left, size));
        to.sendBytes(data, part);
        return part == size;
    }
    for (int sent = 0; sent < size;) {
        sent += to.sendBytes(data + sent, size - sent);
    }
    if (is_answer) {
        link.answer_bytes += static_cast<std::uint64_t>(size);
    }
    return true;
}

void fault_proxy::forward(link& link, Poco::Net::StreamSocket from, Poco::Net::StreamSocket to,
                          bool is_answer)
{
    std::array<char, 65536> buffer{};
    try {
        while (!stopping_) {
            if (!from.poll(poll_interval, Poco::Net::Socket::SELECT_READ)) {
                continue;
            }
            const int size = from.receiveBytes(buffer.data(), buffer.size());
            if (size <= 0 && (link.silenced || fault().type == proxy_fault::kind::silent)) {
                break; // the other side must not notice
            }
            if (size <= 0 || !pass(link, to, buffer.data(), size, is_answer)) {
                link.close();
                break;
            }
        }
    }
    catch (const Poco::Exception&) {
        link.close();
    }
    --link.running;
}

} // namespace jl::standins
