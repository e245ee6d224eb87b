// Tests that a request which its caller cuts, in its head or in its body, is never handled.
#include <criterion/criterion.h>

#include <asio.hpp>

#include "net/http1_server.hpp"
#include "support/cutting_server.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using Tcp = asio::ip::tcp;

namespace {

const std::string kLine = "POST /a HTTP/1.1\r\nHost: h\r\n";

const std::vector<std::string> kRequests = {
    kLine + "Content-Length: 4\r\n\r\nbody",
    kLine + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
    kLine + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nt: 1\r\n\r\n",
    "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"};

/// Sends bytes, ends the connection and waits until the server has closed it, too.
void send_cut(asio::io_context& loop, const Tcp::endpoint& server, const std::string& bytes,
              ConnectionEnd end) {
  Tcp::socket socket(loop);
  socket.connect(server);
  asio::write(socket, asio::buffer(bytes));
  if (end == ConnectionEnd::kReset) {
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
    return;
  }
  socket.shutdown(Tcp::socket::shutdown_send);
  std::string received;
  bool done = false;
  asio::async_read(socket, asio::dynamic_buffer(received),
                   [&done](const std::error_code&, std::size_t) { done = true; });
  while (!done) loop.run_one();
}

template <typename Server, typename Settings>
void expect_no_cut_request_handled() {
  asio::io_context loop;
  Settings settings;
  settings.listen = {asio::ip::make_address("127.0.0.1"), 0};
  std::string whole;
  std::string handled;
  Server server(loop, settings, [&](const HttpRequest& request, const auto& responder) {
    handled += request.method + " " + request.body + "\n";
    responder->respond({200, {}, ""});
  });
  for (const std::string& request : kRequests) {
    for (const ConnectionEnd end : {ConnectionEnd::kClose, ConnectionEnd::kReset}) {
      for (std::size_t cut = 0; cut < request.size(); ++cut) {
        send_cut(loop, server.local_endpoint(), request.substr(0, cut), end);
      }
    }
    // The server takes connections in order, so that it has read the others.
    send_cut(loop, server.local_endpoint(), kRequests.back(), ConnectionEnd::kClose);
    whole += "GET \n";
    cr_assert_eq(handled, whole, "%s", handled.c_str());
  }
}

}  // namespace

// Guards against a request that runs though its caller did not send it whole.
Test(cut_request, the_relays_server_handles_none) {
  expect_no_cut_request_handled<Http1Server, Http1ServerSettings>();
}

Test(cut_request, the_other_server_handles_none) {
  expect_no_cut_request_handled<HttpServer, HttpServerSettings>();
}
