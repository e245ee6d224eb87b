// Guards against callers whose timer for the next call is lost: a call to an address that does not
// parse fails before the function that made it has gone on.
#include "net/peer_transport.hpp"

#include <criterion/criterion.h>

#include <optional>

using namespace shuntbank;
using namespace std::chrono_literals;

Test(peer_transport, fails_a_call_to_a_malformed_address_after_it_has_returned) {
  asio::io_context loop;
  const auto transport = make_peer_transport(loop, {asio::ip::make_address("127.0.0.1"), 0}, 1000);
  std::optional<bool> answered;
  transport->call("no address", "text", 1s,
                  [&answered](const auto& answer) { answered = answer.has_value(); });
  cr_assert_not(answered.has_value());
  while (!answered) loop.run_one();
  cr_assert_not(*answered);
}
