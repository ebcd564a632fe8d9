// Stand-in of the platform's store and of its list of machines, and the operator.
//
//   review-platform CONFIG.json ADDRESS:PORT...
//
// The first address serves workers and drivers; each node gets one of the others, so that the store
// can turn single nodes away. Control, for the drivers: POST /standin/mode {"mode": "ok" |
// "silent", "lapse": bool} for the whole store; POST /standin/refuse {"node": N, "refuse": bool};
// POST /standin/server {"id", "entry"} is how workers write their entries.
#include "kit.h"

using namespace review;

namespace {

constexpr auto entry_lifetime = 4500ms; // three heartbeat intervals of 1,500 ms

struct item {
    std::string value; // base64
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
};

struct lease {
    steady::time_point ends;
    std::chrono::milliseconds ttl{};
};

std::mutex mutex;
std::condition_variable changed;
std::map<std::string, item> items;
std::vector<json> events;
std::map<std::int64_t, lease> leases;
std::map<std::string, steady::time_point> written; // entries of servers
std::map<std::string, json> machines;
std::int64_t revision = 10;
std::int64_t next_lease = 1;
std::string mode = "ok";
bool lapse = false;
std::set<int> refused; // nodes that the store answers with 503

std::string base64(const std::string& bytes)
{
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group =
                group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63U] : '=';
        }
    }
    return text;
}

json row(const std::string& key, const item& stored)
{
    return {{"key", key},
            {"value", stored.value},
            {"revision", stored.revision},
            {"created", stored.created},
            {"lease", stored.lease}};
}

void put(const std::string& key, const std::string& value, std::int64_t lease_id, std::int64_t at)
{
    auto& stored = items[key];
    stored.created = stored.revision == 0 ? at : stored.created;
    stored.value = value;
    stored.revision = at;
    stored.lease = lease_id;
    events.push_back(row(key, stored));
}

void drop(const std::string& key, std::int64_t at)
{
    if (items.erase(key) != 0) {
        events.push_back({{"key", key}, {"revision", at}, {"deleted", true}});
    }
}

bool starts_with(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

void end_lease(std::int64_t id)
{
    leases.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, stored] : items) {
        if (stored.lease == id) {
            keys.push_back(key);
        }
    }
    if (!keys.empty()) {
        ++revision;
        for (const auto& key : keys) {
            drop(key, revision);
        }
    }
    changed.notify_all();
}

void expire()
{
    auto last = steady::now();
    while (true) {
        pause_for(5ms);
        const std::lock_guard lock(mutex);
        const auto now = steady::now();
        const bool paused = mode == "silent" && !lapse;
        std::vector<std::int64_t> ended;
        for (auto& [id, granted] : leases) {
            if (paused) {
                granted.ends += now - last;
            }
            else if (granted.ends <= now) {
                ended.push_back(id);
            }
        }
        last = now;
        for (const auto id : ended) {
            end_lease(id);
        }
        std::vector<std::string> silent;
        for (const auto& [id, at] : written) {
            if (at + entry_lifetime < now && mode != "silent") {
                silent.push_back(id);
            }
        }
        for (const auto& id : silent) {
            written.erase(id);
            drop("servers/" + id, ++revision);
            changed.notify_all();
        }
    }
}

response commit(const json& body)
{
    json current = json::array();
    bool holds = true;
    for (const auto& wanted : body.value("expectedRevision", json::array())) {
        const auto key = wanted.at("key").get<std::string>();
        const auto found = items.find(key);
        const auto is = found == items.end() ? 0 : found->second.revision;
        holds = holds && is == wanted.at("revision").get<std::int64_t>();
        if (found != items.end()) {
            current.push_back(row(key, found->second));
        }
    }
    if (!holds) {
        return {412, {{"items", current}}};
    }
    for (const auto& write : body.value("writes", json::array())) {
        const auto lease_id = write.value("lease", std::int64_t{0});
        if (lease_id != 0 && leases.count(lease_id) == 0) {
            return {404, json::object()};
        }
        const auto key = write.at("key").get<std::string>();
        if (starts_with(key, "op/") || starts_with(key, "servers/")) {
            return {403, json::object()};
        }
    }
    ++revision;
    for (const auto& write : body.value("writes", json::array())) {
        put(write.at("key"), write.at("value"), write.value("lease", std::int64_t{0}), revision);
    }
    for (const auto& key : body.value("removals", json::array())) {
        drop(key, revision);
    }
    changed.notify_all();
    return {200, {{"revision", revision}}};
}

response watch(const request& asked, int node, std::unique_lock<std::mutex>& lock)
{
    const auto prefix = asked.query("prefix");
    const auto after = std::atoll(asked.query("after").c_str());
    const auto until =
        steady::now() + std::chrono::milliseconds(std::atoll(asked.query("waitMs").c_str()));
    json found = json::array();
    while (true) {
        for (const auto& event : events) {
            if (event["revision"].get<std::int64_t>() > after &&
                starts_with(event["key"].get<std::string>(), prefix)) {
                found.push_back(event);
            }
        }
        if (!found.empty() || changed.wait_until(lock, until) == std::cv_status::timeout) {
            return {200, {{"events", found}, {"at", revision}}};
        }
        if (mode == "silent") {
            return {0, {}};
        }
        if (refused.count(node) != 0) {
            return {503, json::object()};
        }
    }
}

response range(const request& asked)
{
    constexpr std::size_t page = 500;
    const auto prefix = asked.query("prefix");
    const auto after = asked.query("after");
    json found = json::array();
    bool more = false;
    for (const auto& [key, stored] : items) {
        if (!starts_with(key, prefix) || key <= after) {
            continue;
        }
        if (found.size() == page) {
            more = true;
            break;
        }
        found.push_back(row(key, stored));
    }
    return {200, {{"items", found}, {"hasMore", more}, {"at", revision}}};
}

response control(const request& asked)
{
    const auto body = asked.content();
    if (asked.path() == "/standin/mode") {
        mode = body.value("mode", "ok");
        lapse = body.value("lapse", false);
        changed.notify_all();
    }
    else if (asked.path() == "/standin/refuse") {
        const int node = body.value("node", -1);
        body.value("refuse", true) ? void(refused.insert(node)) : void(refused.erase(node));
        changed.notify_all();
    }
    else if (asked.path() == "/standin/server") {
        if (mode == "silent") {
            return {0, {}};
        }
        const auto id = body.at("id").get<std::string>();
        const auto& entry = body.at("entry");
        written[id] = steady::now();
        machines[entry.at("machine")] = {{"machine", entry.at("machine")},
                                         {"pool", entry.at("service")},
                                         {"state", "up"},
                                         {"zone", entry.at("zone")},
                                         {"labels", entry.at("labels")},
                                         {"capacity", entry.at("capacity")},
                                         {"id", id}};
        put("servers/" + id, base64(entry.dump()), 0, ++revision);
        changed.notify_all();
    }
    return {200, json::object()};
}

response handle(const request& asked, int node)
{
    std::unique_lock lock(mutex);
    const auto path = asked.path();
    if (starts_with(path, "/standin/")) {
        return control(asked);
    }
    if (path == "/api/machines") {
        json rows = json::array();
        for (const auto& [name, machine] : machines) {
            rows.push_back(machine);
        }
        return {200, {{"machines", rows}, {"nextPageToken", nullptr}}};
    }
    if (path == "/api/advise") {
        const auto body = asked.content();
        json good = json::array();
        for (const auto& worker : body.value("workers", json::array())) {
            const auto id = worker.get<std::string>();
            good.push_back(json::array({id, "t-" + body.value("step", "") + "-" + id}));
        }
        return {200, {{"good", good}}};
    }
    if (!starts_with(path, "/api/kv-")) {
        return {404, json::object()};
    }
    if (mode == "silent") {
        changed.wait(lock, [] { return mode != "silent"; });
        return {0, {}}; // the call was not carried out, and the connection is of no use any more
    }
    if (refused.count(node) != 0) {
        return {503, json::object()}; // nothing was done
    }
    if (path == "/api/kv-key") {
        const auto found = items.find(asked.query("key"));
        return found == items.end() ? response{404, json::object()}
                                    : response{200, row(found->first, found->second)};
    }
    if (path == "/api/kv-range") {
        return range(asked);
    }
    if (path == "/api/kv-watch") {
        return watch(asked, node, lock);
    }
    if (path == "/api/kv-txn") {
        return commit(asked.content());
    }
    if (path == "/api/kv-lease") {
        const auto ttl = std::max(1000, asked.content().value("ttlMs", 1000));
        const auto id = next_lease++;
        leases[id] = {steady::now() + std::chrono::milliseconds(ttl),
                      std::chrono::milliseconds(ttl)};
        return {200, {{"lease", id}, {"ttlMs", ttl}}};
    }
    const auto id = std::atoll(path.substr(path.rfind('/') + 1).c_str());
    const auto found = leases.find(id);
    if (found == leases.end()) {
        return {404, json::object()};
    }
    if (starts_with(path, "/api/kv-keep/")) {
        found->second.ends = steady::now() + found->second.ttl;
        return {200, {{"ttlMs", found->second.ttl.count()}}};
    }
    end_lease(id);
    return {200, json::object()};
}

} // namespace

int main(int count, char** words)
{
    if (count < 3) {
        return 2;
    }
    std::ifstream file(words[1]);
    put("op/config", base64(json::parse(file).dump()), 0, ++revision);
    std::thread(expire).detach();
    for (int index = 3; index < count; ++index) {
        std::thread([at = parse_address(words[index]), node = index - 3] {
            serve(at, [node](const request& asked) { return handle(asked, node); });
        }).detach();
    }
    serve(parse_address(words[2]), [](const request& asked) { return handle(asked, -1); });
}
