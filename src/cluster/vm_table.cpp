#include "cluster/vm_table.h"

#include <set>

#include "base/ids.h"

namespace jl::cluster {

namespace {

// The digests are sums of item hashes, so that one item is replaced without reading the others.
std::uint64_t hash_of(const platform::listed_vm& vm)
{
    std::string text = vm.vm;
    for (const auto& part :
         {vm.address.to_string(), vm.data_centre, vm.rack, vm.initial_pool,
          std::string(vm.leaving ? "leaving" : "live"), std::to_string(vm.boot_id),
          std::to_string(vm.resources.cores), std::to_string(vm.resources.memory_gb),
          std::to_string(vm.resources.accelerators)}) {
        text += '\n';
        text += part;
    }
    return stable_hash(text);
}

// Fields are compared in place of hashes: this runs for every VM at every poll, and a hash costs
// several allocations.
bool same(const platform::listed_vm& one, const platform::listed_vm& other)
{
    return one.vm == other.vm && one.address == other.address &&
           one.data_centre == other.data_centre && one.rack == other.rack &&
           one.initial_pool == other.initial_pool && one.leaving == other.leaving &&
           one.boot_id == other.boot_id && one.resources.cores == other.resources.cores &&
           one.resources.memory_gb == other.resources.memory_gb &&
           one.resources.accelerators == other.resources.accelerators;
}

std::uint64_t hash_of(const vm_mark& mark)
{
    return stable_hash(mark.vm, static_cast<std::uint64_t>(mark.revision));
}

} // namespace

void vm_table::put_listed(const platform::listed_vm& vm)
{
    erase_listed(vm.vm);
    listed_[vm.vm] = {vm, true};
    list_digest_ += hash_of(vm);
}

void vm_table::erase_listed(const std::string& vm)
{
    const auto found = listed_.find(vm);
    if (found != listed_.end() && found->second.listed) {
        list_digest_ -= hash_of(found->second.vm);
        found->second.listed = false;
    }
}

vm_table::list_change vm_table::replace_list(const std::vector<platform::listed_vm>& list)
{
    list_change change;
    std::set<std::string> present;
    for (const auto& vm : list) {
        present.insert(vm.vm);
        const auto found = listed_.find(vm.vm);
        if (found == listed_.end() || !found->second.listed || !same(found->second.vm, vm)) {
            change.changed.push_back(vm);
        }
    }
    for (const auto& [name, entry] : listed_) {
        if (entry.listed && present.count(name) == 0) {
            change.removed.push_back(name);
        }
    }
    apply(change);
    return change;
}

void vm_table::apply(const list_change& change)
{
    for (const auto& vm : change.changed) {
        put_listed(vm);
    }
    for (const auto& vm : change.removed) {
        erase_listed(vm);
        if (records_.count(vm) == 0) {
            listed_.erase(vm);
        }
    }
}

bool vm_table::apply(const vm_mark& mark)
{
    const auto found = records_.find(mark.vm);
    if (found != records_.end()) {
        if (found->second.revision >= mark.revision) {
            return false;
        }
        records_digest_ -= hash_of(found->second);
    }
    records_[mark.vm] = mark;
    records_digest_ += hash_of(mark);
    return true;
}

bool vm_table::remove_record(const std::string& vm, std::int64_t revision)
{
    const auto found = records_.find(vm);
    if (found == records_.end() || found->second.revision >= revision) {
        return false;
    }
    records_digest_ -= hash_of(found->second);
    records_.erase(found);
    const auto entry = listed_.find(vm);
    if (entry != listed_.end() && !entry->second.listed) {
        listed_.erase(entry);
    }
    return true;
}

std::vector<vm_mark> vm_table::replace_records(const std::vector<vm_mark>& marks,
                                               std::int64_t revision)
{
    std::vector<vm_mark> changed;
    std::set<std::string> present;
    for (const auto& mark : marks) {
        present.insert(mark.vm);
        if (apply(mark)) {
            changed.push_back(mark);
        }
    }
    for (const auto& mark : records()) {
        if (present.count(mark.vm) == 0) {
            remove_record(mark.vm, revision + 1);
        }
    }
    return changed;
}

std::vector<platform::listed_vm> vm_table::list() const
{
    std::vector<platform::listed_vm> list;
    for (const auto& [name, entry] : listed_) {
        if (entry.listed) {
            list.push_back(entry.vm);
        }
    }
    return list;
}

std::vector<vm_mark> vm_table::records() const
{
    std::vector<vm_mark> marks;
    marks.reserve(records_.size());
    for (const auto& [name, mark] : records_) {
        marks.push_back(mark);
    }
    return marks;
}

vm_snapshot_ptr vm_table::snapshot() const
{
    std::map<std::string, vm_state> states;
    for (const auto& [name, entry] : listed_) {
        auto& state = states[name];
        state.vm = name;
        state.address = entry.vm.address;
        state.pool = entry.vm.initial_pool;
        state.data_centre = entry.vm.data_centre;
        state.rack = entry.vm.rack;
        state.listed_live = entry.listed && !entry.vm.leaving;
        state.resources = entry.vm.resources;
    }
    for (const auto& [name, mark] : records_) {
        auto& state = states[name];
        state.vm = name;
        state.pool = mark.pool;
        state.phase = mark.phase;
        state.record_revision = mark.revision;
    }
    auto snapshot = std::make_shared<vm_snapshot>();
    snapshot->vms.reserve(states.size());
    for (auto& [name, state] : states) {
        snapshot->vms.push_back(std::move(state));
    }
    return snapshot;
}

} // namespace jl::cluster
