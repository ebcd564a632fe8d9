#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/settings.h"

namespace jl {

// Common start-up code of the daemons: handles `--settings FILE`, `--help`, `--help-settings` and
// `--version`, validates the settings, initializes logging and ignores SIGPIPE.
//
// Returns the settings. Returns nothing if the program must exit with `exit_code`: 0 after a help
// or version text, 2 after an error, which has been printed to standard error.
std::optional<settings> start_program(int argc, char** argv, const std::string& name,
                                      const std::vector<setting_spec>& table, int& exit_code);

// Blocks SIGTERM and SIGINT in the calling thread and in threads that it starts later. Call before
// starting threads: a signal delivered to a thread that does not block it terminates the process.
void block_termination_signals();

// Waits for SIGTERM or SIGINT, which block_termination_signals() must have blocked.
void wait_for_termination();

// Blocks SIGHUP, SIGTERM and SIGINT until their handlers are installed: without a handler they
// would terminate the process. Call at the start of main, before any other thread starts.
void block_handled_signals();
// Unblocks the signals that block_handled_signals() blocked. Pending ones are delivered now.
void unblock_handled_signals();

} // namespace jl
