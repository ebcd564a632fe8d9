#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "records/records.h"

namespace jl::records {
namespace {

// Guards against bodies or answers changed on the way through the store.
RC_GTEST_PROP(request_record, round_trip_keeps_every_byte, (const std::string& body))
{
    request_record record;
    record.id = "a";
    record.state = request_state::answered;
    record.body = body;
    record.answer = body;
    const auto read = parse_request(to_json(record));
    RC_ASSERT(read.has_value());
    RC_ASSERT(read->body == body);
    RC_ASSERT(read->answer == body);
    RC_ASSERT(read->state == request_state::answered);
}

// Guards against a crash on a value that another program wrote.
RC_GTEST_PROP(records, arbitrary_text_is_refused, (const std::string& text))
{
    RC_ASSERT(!parse_vm(text).has_value());
    RC_ASSERT(!parse_member("{\"member\": 1}").has_value());
    RC_ASSERT(!parse_vm(R"({"vm": "a", "pool": "p", "phase": "gone"})").has_value());
}

} // namespace
} // namespace jl::records
