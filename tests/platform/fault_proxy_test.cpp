// Tests that the soak's proxy cuts answers where it is told to, so that its runs judge such
// answers.
#include "platform/support/fault_proxy.hpp"

#include <criterion/criterion.h>

#include <asio.hpp>

#include "support/cutting_server.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using Tcp = asio::ip::tcp;

namespace {

/// Sends a request on a connection of its own. @return what was received until its end.
std::string exchange(asio::io_context& loop, const std::string& address, std::error_code& end) {
  Tcp::socket socket(loop);
  socket.connect(*parse_endpoint(address));
  asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
  std::string received;
  bool done = false;
  asio::async_read(socket, asio::dynamic_buffer(received),
                   [&](const std::error_code& error, std::size_t) {
                     end = error;
                     done = true;
                   });
  while (!done) loop.run_one();
  return received;
}

}  // namespace

Test(fault_proxy, cuts_answers_after_the_given_bytes) {
  asio::io_context loop;
  const std::string answer = framed_answers("id: 1\r\n", "the body").front().text();
  CuttingServer server(loop, [&](const HttpHead&, const std::string&) { return answer; });
  FaultProxy proxy(loop, *parse_endpoint(server.address()));
  std::size_t cuts = 0;
  proxy.on_cut([&] { ++cuts; });
  proxy.cut_answers(2, {{20, false}, {0, true}, {answer.size(), false}});
  std::error_code end;
  const auto next = [&] { return exchange(loop, proxy.address(), end); };
  cr_assert_eq(next(), answer);
  cr_assert_eq(next(), "");
  cr_assert(end == asio::error::connection_reset, "%s", end.message().c_str());
  cr_assert_eq(next(), answer);
  cr_assert_eq(next(), answer, "the cut is behind the answer");
  cr_assert_eq(next(), answer);
  cr_assert_eq(next(), answer.substr(0, 20));
  cr_assert(end == asio::error::eof, "%s", end.message().c_str());
  cr_assert_eq(cuts, 2);
}
