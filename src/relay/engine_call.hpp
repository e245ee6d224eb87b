/// @file
/// Calls that a node makes to engines on its own behalf.
#pragma once

#include "net/http_client.hpp"
#include "relay/engine_dialect.hpp"

namespace shuntbank::relay {

/// Makes `call`, which has no request id, accept only an answer without one. The call uses a
/// connection that has carried no other such call.
void expect_unnamed_answer(OutgoingRequest& call, const HeaderNames& names);

}  // namespace shuntbank::relay
