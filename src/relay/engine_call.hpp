/// @file
/// Calls that a node makes to engines on its own behalf.
#pragma once

#include "net/http_client.hpp"
#include "relay/engine_dialect.hpp"

namespace shuntbank::relay {

/// Largest answer to a call, in bytes.
constexpr std::size_t kMaxCallAnswerBytes = 64UL << 10U;

/// Makes `call`, which has no request id, accept only an answer without one. The call uses a
/// connection that has carried no other such call.
void expect_unnamed_answer(OutgoingRequest& call, const HeaderNames& names);

}  // namespace shuntbank::relay
