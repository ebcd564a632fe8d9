#include "standins/vm_file.h"

#include <fstream>

#include <nlohmann/json.hpp>

namespace jl::standins {

std::optional<std::vector<vm_definition>> load_vm_file(const std::string& path, std::string& error)
{
    std::ifstream file(path);
    try {
        const auto document = nlohmann::json::parse(file);
        std::vector<vm_definition> vms;
        for (const auto& item : document.at("vms")) {
            vm_definition vm;
            vm.vm = item.at("vm").get<std::string>();
            const auto address = parse_endpoint(item.at("address").get<std::string>());
            if (!address) {
                error = path + ": VM " + vm.vm + " has no valid address";
                return std::nullopt;
            }
            vm.address = *address;
            vm.data_centre = item.at("data_centre").get<std::string>();
            vm.rack = item.at("rack").get<std::string>();
            vm.pool = item.at("pool").get<std::string>();
            vm.cores = item.value("cores", vm.cores);
            vm.memory_gb = item.value("memory_gb", vm.memory_gb);
            vm.accelerators = item.value("accelerators", vm.accelerators);
            vms.push_back(std::move(vm));
        }
        return vms;
    }
    catch (const nlohmann::json::exception& fault) {
        error = path + ": " + fault.what();
        return std::nullopt;
    }
}

} // namespace jl::standins
