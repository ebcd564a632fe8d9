#pragma once

#include <string>
#include <vector>

#include "base/settings.h"

namespace jl::operators {

// The settings of jl-admin, also printed by `jl-admin --help-settings`.
const std::vector<setting_spec>& admin_settings_table();

// Reference page of the settings in Markdown.
std::string describe_admin_settings();

} // namespace jl::operators
