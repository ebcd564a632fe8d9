#include "tests/harness/deployment.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <Poco/Net/ServerSocket.h>

#include "base/ids.h"
#include "objects/objects.h"
#include "records/records.h"
#include "store/etcd_store.h"

namespace jl::harness {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds poll_interval{20};

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string bin_path(const std::string& program)
{
    const char* directory = getenv("JL_BIN_DIR");
    return (directory != nullptr ? directory : JL_BIN_DIR) + ("/" + program);
}

steady_time in(std::chrono::milliseconds time)
{
    return std::chrono::steady_clock::now() + time;
}

} // namespace

bool eventually(const std::function<bool()>& condition, std::chrono::milliseconds limit)
{
    const auto deadline = in(limit);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

endpoint free_endpoint(const std::string& address)
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress(address, 0));
    return {address, socket.address().port()};
}

deployment::deployment(deployment_options options) : options_(std::move(options))
{
    std::string pattern = "/tmp/jasminelink-XXXXXX";
    directory_ = mkdtemp(pattern.data());
}

deployment::~deployment()
{
    // Our processes first, so that their logs do not fill with errors about missing stand-ins.
    admins_.clear();
    planners_.clear();
    entries_.clear();
    if (getenv("JL_KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(directory_, ignored);
    }
}

std::string deployment::write_file(const std::string& name, const std::string& text) const
{
    std::string path = directory_ + "/" + name;
    std::ofstream(path) << text;
    return path;
}

std::unique_ptr<child_process> deployment::launch(const std::string& program,
                                                  const std::string& name,
                                                  const std::string& settings_path) const
{
    return std::make_unique<child_process>(bin_path(program),
                                           std::vector<std::string>{"--settings", settings_path},
                                           directory_ + "/" + name + ".log");
}

std::string deployment::example_document() const
{
    return read_file(std::string(JL_SOURCE_DIR) + "/examples/" + options_.example +
                     "/objects.json");
}

std::string deployment::add_route(const std::string& name, const endpoint& upstream)
{
    if (!options_.proxies) {
        return upstream.to_string();
    }
    auto listen = free_endpoint().to_string();
    routes_.push_back(name + " " + listen + " " + upstream.to_string());
    return listen;
}

void deployment::write_vm_file()
{
    const auto document = json::parse(example_document());
    std::vector<std::string> pools;
    for (const auto& object : document.at("objects")) {
        if (object.at("kind") == "pool") {
            pools.push_back(object.at("name").get<std::string>());
        }
        if (object.at("kind") == "data_centre") {
            data_centres_.push_back(object.at("name").get<std::string>());
        }
    }
    json platform_vms = json::array();
    json target_vms = json::array();
    for (const auto& pool : pools) {
        for (int index = 0; index < options_.vms_per_pool; ++index) {
            const int rack = index / options_.vms_per_rack;
            const auto& data_centre = data_centres_[rack % data_centres_.size()];
            const std::string name = pool + "-" + std::to_string(index + 1);
            const auto address = free_endpoint();
            json vm = {{"vm", name},
                       {"address", address.to_string()},
                       {"data_centre", data_centre},
                       {"rack", data_centre + "-" + pool + "-" + std::to_string(rack + 1)},
                       {"pool", pool}};
            target_vms.push_back(vm);
            vm["address"] = add_route("target-" + name, address);
            platform_vms.push_back(vm);
            vm_names_.push_back(name);
        }
    }
    vm_file_ = write_file("vms.json", json{{"vms", platform_vms}}.dump(1));
    write_file("target-vms.json", json{{"vms", target_vms}}.dump(1));
}

void deployment::start_standins()
{
    platform_address_ = free_endpoint();
    target_control_ = free_endpoint();
    const json target = {{"control", target_control_.to_string()},
                         {"vm_file", directory_ + "/target-vms.json"},
                         {"work_ms", options_.work_time.count()}};
    const json platform = {
        {"listen", platform_address_.to_string()},       {"vm_file", vm_file_},
        {"target_control", target_control_.to_string()}, {"list_lag_ms", options_.list_lag.count()},
        {"reboot_ms", options_.reboot_time.count()},     {"task_ms", options_.task_time.count()}};
    target_ = launch("jl-standin-target", "target", write_file("target.json", target.dump(1)));
    platform_ =
        launch("jl-standin-platform", "platform", write_file("platform.json", platform.dump(1)));
    wait_until_ready(target_control_, "/control/summary", "target");
    wait_until_ready(platform_address_, "/control/store", "platform");
    store::etcd_options store_options;
    store_options.endpoints = {platform_address_};
    store_ = store::make_etcd_store(store_options);
}

void deployment::prepare_entries()
{
    for (int index = 0; index < options_.entries; ++index) {
        member entry;
        entry.name = "entry-" + std::to_string(index);
        entry.address = free_endpoint();
        entry.peer_address = free_endpoint();
        const auto platform = add_route("store-" + std::to_string(index), platform_address_);
        json settings = {
            {"member",
             {{"id", entry.name},
              {"data_centre",
               data_centres_[static_cast<std::size_t>(index) % data_centres_.size()]}}},
            {"caller", {{"listen", entry.address.to_string()}}},
            {"peer",
             {{"listen", entry.peer_address.to_string()},
              {"advertise", add_route("peer-" + std::to_string(index), entry.peer_address)}}},
            {"store", {{"endpoints", {platform}}}},
            {"platform", {{"address", platform}}}};
        settings.merge_patch(options_.entry_settings);
        entry.settings_path = write_file(entry.name + ".json", settings.dump(1));
        entries_.push_back(std::move(entry));
    }
}

void deployment::prepare_companions()
{
    const auto platform = platform_address_.to_string();
    for (int index = 0; index < options_.entries; ++index) {
        const auto entry_peer = entries_[static_cast<std::size_t>(index)].peer_address.to_string();
        if (options_.planners) {
            member planner;
            planner.name = "planner-" + std::to_string(index);
            planner.address = free_endpoint();
            json settings = {
                {"planner",
                 {{"id", planner.name}, {"metrics_address", planner.address.to_string()}}},
                {"entry", {{"address", entry_peer}}},
                {"store", {{"endpoints", {platform}}}},
                {"platform", {{"address", platform}}}};
            settings.merge_patch(options_.planner_settings);
            planner.settings_path = write_file(planner.name + ".json", settings.dump(1));
            planners_.push_back(std::move(planner));
        }
        if (options_.admins) {
            member admin;
            admin.name = "admin-" + std::to_string(index);
            admin.address = free_endpoint();
            json settings = {{"admin", {{"listen", admin.address.to_string()}}},
                             {"entry", {{"address", entry_peer}}},
                             {"store", {{"endpoints", {platform}}}}};
            settings.merge_patch(options_.admin_settings);
            admin.settings_path = write_file(admin.name + ".json", settings.dump(1));
            admins_.push_back(std::move(admin));
        }
    }
}

void deployment::start()
{
    write_vm_file();
    start_standins();
    prepare_entries();
    prepare_companions();
    if (options_.proxies) {
        proxy_control_ = free_endpoint();
        const json proxy = {{"control", proxy_control_.to_string()}, {"routes", routes_}};
        proxy_ = launch("jl-fault-proxy", "proxy", write_file("proxy.json", proxy.dump(1)));
    }
    publish(example_document());
    for (auto& entry : entries_) {
        entry.process = launch("jl-entry", entry.name, entry.settings_path);
    }
    for (auto& planner : planners_) {
        planner.process = launch("jl-planner", planner.name, planner.settings_path);
    }
    for (auto& admin : admins_) {
        admin.process = launch("jl-admin", admin.name, admin.settings_path);
    }
    for (const auto& entry : entries_) {
        wait_until_ready(entry.address, "/readyz", entry.name);
    }
}

void deployment::wait_until_ready(const endpoint& server, const std::string& path,
                                  const std::string& name) const
{
    const bool ready = eventually([&] {
        const auto answer = request(server, "GET", path, "", {}, std::chrono::seconds(1));
        return answer && answer->status == 200;
    });
    if (!ready) {
        throw std::runtime_error(name + " is not ready after 20 s; log:\n" +
                                 read_file(directory_ + "/" + name + ".log"));
    }
}

std::int64_t deployment::publish(const std::string& document)
{
    const auto present =
        store_->range({records::configuration_key, "", 0}, in(std::chrono::seconds(5)));
    if (!present) {
        throw std::runtime_error("cannot read the configuration: " + store::last_error().message);
    }
    objects::published_configuration configuration;
    std::int64_t revision = 0;
    if (!present->items.empty()) {
        revision = present->items[0].mod_revision;
        configuration.generation = objects::parse_published(present->items[0].value)->generation;
    }
    ++configuration.generation;
    configuration.author = "harness";
    configuration.published_at = to_unix(std::chrono::system_clock::now());
    configuration.write_id = new_id();
    configuration.document = document;
    const auto value = objects::to_json(configuration);
    store::transaction transaction;
    transaction.compares = {store::unchanged_since(records::configuration_key, revision)};
    transaction.on_success = {
        store::put(records::configuration_key, value),
        store::put(records::configuration_history_key(configuration.generation), value)};
    const auto result = store_->commit(transaction, in(std::chrono::seconds(5)));
    if (!result || !result->succeeded) {
        throw std::runtime_error("cannot publish the configuration");
    }
    return configuration.generation;
}

std::optional<http::response> deployment::request(const endpoint& server, const std::string& method,
                                                  const std::string& path, const std::string& body,
                                                  const http::header_map& headers,
                                                  std::chrono::milliseconds timeout) const
{
    thread_local std::map<endpoint, std::unique_ptr<http::client>> clients;
    auto& client = clients[server];
    if (!client) {
        http::client_limits limits;
        limits.max_answer_bytes = 256U << 20U;
        client = std::make_unique<http::client>(server, limits);
    }
    http::request message;
    message.method = method;
    message.target = path;
    message.headers = headers;
    message.body = body;
    return client->exchange(message, in(timeout));
}

std::optional<http::response> deployment::call(int entry, const std::string& service,
                                               const http::header_map& headers,
                                               const std::string& body,
                                               std::chrono::milliseconds timeout) const
{
    return request(caller_address(entry), "POST", "/v1/services/" + service + "/call", body,
                   headers, timeout);
}

// Throws if the call fails: a fault that was not injected would make a test pass for nothing.
http::response deployment::control(const endpoint& server, const std::string& method,
                                   const std::string& path, const std::string& body) const
{
    const auto answer = request(server, method, path, body);
    if (!answer || answer->status != 200) {
        throw std::runtime_error(method + " " + path + " failed: " +
                                 (answer ? answer->body : http::client::last_error().message));
    }
    return *answer;
}

void deployment::proxy_control(const std::string& route, const json& fault) const
{
    control(proxy_control_, "POST", "/control/" + route, fault.dump());
}

void deployment::proxy_action(const std::string& route, const std::string& action) const
{
    control(proxy_control_, "POST", "/control/" + route + "/" + action);
}

void deployment::store_fault(const json& fault) const
{
    control(platform_address_, "POST", "/control/store", fault.dump());
}

json deployment::store_counts() const
{
    return json::parse(control(platform_address_, "GET", "/control/store").body);
}

void deployment::vm_control(const std::string& vm, const std::string& action) const
{
    control(platform_address_, "POST", "/control/vms/" + vm + "/" + action);
}

void deployment::target_control(const std::string& vm, const std::string& action) const
{
    control(target_control_, "POST", "/control/vms/" + vm + "/" + action);
}

std::map<std::string, deployment::execution> deployment::ledger() const
{
    std::map<std::string, execution> entries;
    std::istringstream lines(control(target_control_, "GET", "/control/ledger").body);
    std::string token;
    execution entry;
    while (lines >> token >> entry.starts >> entry.finishes >> entry.vm) {
        entries[token] = entry;
    }
    return entries;
}

json deployment::target_summary() const
{
    return json::parse(control(target_control_, "GET", "/control/summary").body);
}

void deployment::restart_entry(int index)
{
    auto& entry = entries_.at(static_cast<std::size_t>(index));
    entry.process.reset();
    entry.process = launch("jl-entry", entry.name, entry.settings_path);
}

void deployment::restart_planner(int index)
{
    auto& planner = planners_.at(static_cast<std::size_t>(index));
    planner.process.reset();
    planner.process = launch("jl-planner", planner.name, planner.settings_path);
}

} // namespace jl::harness
