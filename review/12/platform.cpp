// The project's stand-in of the platform, with room for what PROTOCOL.md allows in one call of the
// store: 32 entries with values of up to 1 MB. The project's own stops at bodies of 256 KB.
#include "net/async_server.h"

#include "jobs/leadership.h"
#include "jobs/testing/fake_store.h"
#include "jobs/testing/fake_vms.h"
#include "jobs/testing/fake_workers.h"
#include "net/event_loop.h"
#include "platform/testing/platform_standin.h"
#include "platform/wire.h"

namespace jl::net {

struct roomy_server_limits : async_server_limits {
    roomy_server_limits()
    {
        max_body_bytes = 64U << 20U;
        max_buffered_bytes = 512U << 20U;
    }
};

} // namespace jl::net

#define async_server_limits roomy_server_limits
#include "platform/testing/platform_standin.cpp"
#undef async_server_limits

#include "platform/testing/standin_main.cpp"
