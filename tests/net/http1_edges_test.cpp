#include <criterion/criterion.h>

#include <asio.hpp>
#include <optional>
#include <random>

#include "net/address.hpp"
#include "net/http1_client.hpp"
#include "net/http1_server.hpp"
#include "support/socket_buffers.hpp"

using namespace shuntbank;
using namespace std::chrono_literals;

namespace {

const asio::ip::tcp::endpoint kAnyPort{asio::ip::make_address("127.0.0.1"), 0};

Http1ServerSettings server_settings() {
  Http1ServerSettings settings;
  settings.listen = kAnyPort;
  settings.linger_timeout = 50ms;
  return settings;
}

/// Sends bytes and runs the loop until the server closes. @return what the server sent.
std::string exchange_raw(asio::io_context& loop, const asio::ip::tcp::endpoint& server,
                         const std::string& bytes, bool end_after_send = false) {
  asio::ip::tcp::socket socket(loop);
  std::string received;
  std::array<char, 4096> buffer{};
  bool done = false;
  std::function<void()> read = [&] {
    socket.async_read_some(asio::buffer(buffer), [&](const std::error_code& error, std::size_t n) {
      received.append(buffer.data(), n);
      if (error) {
        done = true;
      } else {
        read();
      }
    });
  };
  socket.async_connect(server, [&](const std::error_code&) {
    asio::async_write(socket, asio::buffer(bytes), [&](const std::error_code&, std::size_t) {
      std::error_code ignored;
      if (end_after_send) socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    });
    read();
  });
  while (!done) loop.run_one();
  return received;
}

/// A server that answers with method, target and body.
struct EchoServer {
  explicit EchoServer(asio::io_context& loop)
      : server(loop, server_settings(), [this](const HttpRequest& request, const auto& responder) {
          ++requests;
          HttpReply reply;
          reply.status = 200;
          reply.body = request.method + " " + request.target + " " + request.body;
          responder->respond(std::move(reply));
        }) {
    CallerLimits limits;
    limits.max_header_bytes = 1000;
    limits.max_body_bytes = 100;
    limits.idle_timeout = 100ms;
    limits.header_timeout = 100ms;
    server.set_limits(limits);
  }
  int requests = 0;
  Http1Server server;
};

/// A server that sends a scripted response after each request head of a connection.
class ScriptedPeer {
 public:
  struct Step {
    std::string bytes;
    bool close = false;
    bool reset = false;
  };

  ScriptedPeer(asio::io_context& loop, std::vector<std::vector<Step>> connections)
      : acceptor_(loop, kAnyPort), connections_(std::move(connections)) {
    accept();
  }
  std::string url(const std::string& path = "/") const {
    return "http://" + format_endpoint(acceptor_.local_endpoint()) + path;
  }
  int accepted = 0;
  int received = 0;

 private:
  struct OpenConnection {
    explicit OpenConnection(asio::ip::tcp::socket accepted_socket)
        : socket(std::move(accepted_socket)) {}
    asio::ip::tcp::socket socket;
    std::string buffer;
    std::vector<Step> steps;
    std::size_t next = 0;
  };
  void accept() {
    acceptor_.async_accept([this](const std::error_code& error, asio::ip::tcp::socket socket) {
      if (error) return;
      auto connection = std::make_shared<OpenConnection>(std::move(socket));
      connection->steps =
          connections_.at(std::min<std::size_t>(accepted++, connections_.size() - 1));
      serve(connection);
      accept();
    });
  }
  void serve(const std::shared_ptr<OpenConnection>& connection) {
    asio::async_read_until(connection->socket, asio::dynamic_buffer(connection->buffer), "\r\n\r\n",
                           [this, connection](const std::error_code& error, std::size_t size) {
                             if (error) return;
                             connection->buffer.erase(0, size);
                             ++received;
                             send_next(connection);
                           });
  }
  void send_next(const std::shared_ptr<OpenConnection>& connection) {
    const Step step = connection->next < connection->steps.size()
                          ? connection->steps[connection->next++]
                          : Step{"", true};
    if (!step.bytes.empty()) asio::write(connection->socket, asio::buffer(step.bytes));
    if (step.reset) connection->socket.set_option(asio::socket_base::linger(true, 0));
    if (step.close || step.reset) return connection->socket.close();
    serve(connection);
  }

  asio::ip::tcp::acceptor acceptor_;
  std::vector<std::vector<Step>> connections_;
};

struct FetchResult {
  int status = 0;
  std::string body;
  std::optional<TransferFailure> failure;
  bool connection_refused = false;
};

FetchResult fetch(asio::io_context& loop, PooledHttpClient& client, OutgoingRequest request) {
  FetchResult result;
  bool done = false;
  request.total_timeout = 5s;
  client.fetch(std::move(request), [&](const tl::expected<HttpReply, TransferError>& reply) {
    done = true;
    if (reply) {
      result.status = reply->status;
      result.body = reply->body;
    } else {
      result.failure = reply.error().failure;
      result.connection_refused = reply.error().connection_refused;
    }
  });
  while (!done) loop.run_one();
  loop.poll();
  return result;
}

std::string sized_response(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nid: " + id + "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

OutgoingRequest make_request(const std::string& url, const std::string& id) {
  OutgoingRequest request;
  request.method = "POST";
  request.url = url;
  request.accepts_answer = [id](int, const HttpHeaders& headers) {
    return headers.get("id") == id;
  };
  request.answer_id = id;
  return request;
}

}  // namespace

Test(http1_server, preserves_target_and_body) {
  asio::io_context loop;
  EchoServer echo(loop);
  const std::string sent =
      "POST /a%2F?x=%20&&y HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
      "Connection: close\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
  const std::string reply = exchange_raw(loop, echo.server.local_endpoint(), sent);
  cr_assert_neq(reply.find("POST /a%2F?x=%20&&y abcde"), std::string::npos, "%s", reply.c_str());
}

Test(http1_server, reports_caller_address) {
  asio::io_context loop;
  std::string caller;
  Http1Server server(loop, server_settings(),
                     [&](const HttpRequest& request, const auto& responder) {
                       caller = request.caller;
                       responder->respond({200, {}, ""});
                     });
  exchange_raw(loop, server.local_endpoint(),
               "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  cr_assert_eq(caller, "127.0.0.1");
}

Test(http1_server, answers_pipelined_requests_in_order) {
  asio::io_context loop;
  EchoServer echo(loop);
  const std::string reply =
      exchange_raw(loop, echo.server.local_endpoint(),
                   "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n"
                   "Connection: close\r\n\r\n");
  cr_assert_lt(reply.find("GET /1"), reply.find("GET /2"));
}

Test(http1_server, answers_bad_input_with_a_4xx_and_closes) {
  const std::pair<std::string, std::string> cases[] = {
      {"no HTTP at all\r\n\r\n", "400"},
      {"GET / HTTP/1.1\r\nHost: h\r\nLong: " + std::string(2000, 'x') + "\r\n\r\n", "431"},
      {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", "413"},
      {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400"},
      {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: "
       "chunked\r\n\r\n0\r\n\r\n",
       "400"},
      {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
      {"GET / HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n", "400"},
      {"GET / HTTP/1.1\r\nHo", "408"}};
  asio::io_context loop;
  EchoServer echo(loop);
  for (const auto& [bytes, status] : cases) {
    const std::string reply = exchange_raw(loop, echo.server.local_endpoint(), bytes);
    cr_assert_eq(reply.rfind("HTTP/1.1 " + status, 0), 0, "%s got %s", bytes.c_str(),
                 reply.c_str());
    cr_assert_neq(reply.find("Connection: close"), std::string::npos);
  }
  cr_assert_eq(echo.requests, 0, "the handler must not be called");
}

Test(http1_server, keeps_serving_after_random_bytes) {
  asio::io_context loop;
  EchoServer echo(loop);
  std::mt19937 random(20261202);  // NOLINT: a fixed seed for reproducibility
  const std::string whole = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
  for (int i = 0; i < 300; ++i) {
    std::string bytes = whole;
    for (int k = 0; k < 4; ++k) bytes[random() % bytes.size()] = static_cast<char>(random());
    exchange_raw(loop, echo.server.local_endpoint(), bytes, true);
  }
  const std::string reply =
      exchange_raw(loop, echo.server.local_endpoint(),
                   "GET /still HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  cr_assert_neq(reply.find("GET /still"), std::string::npos);
}

Test(http1_server, ends_an_aborted_stream_without_its_last_chunk) {
  asio::io_context loop;
  std::shared_ptr<ConnectionResponder> saved_responder;
  Http1Server server(loop, server_settings(), [&](const HttpRequest&, const auto& responder) {
    saved_responder = responder;
    saved_responder->begin_stream(200, {});
    saved_responder->write("event");
    saved_responder->on_drained([&] { saved_responder->abort(); });
  });
  const std::string reply =
      exchange_raw(loop, server.local_endpoint(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  cr_assert_neq(reply.find("event"), std::string::npos);
  cr_assert_eq(reply.find("0\r\n\r\n"), std::string::npos);
}

Test(http1_server, calls_on_closed_when_caller_disconnects) {
  asio::io_context loop;
  bool closed = false;
  std::shared_ptr<ConnectionResponder> saved_responder;
  Http1Server server(loop, server_settings(), [&](const HttpRequest&, const auto& responder) {
    saved_responder = responder;
    saved_responder->on_closed([&] { closed = true; });
  });
  {
    asio::ip::tcp::socket socket(loop);
    socket.connect(server.local_endpoint());
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    while (!saved_responder) loop.run_one();
  }
  while (!closed) loop.run_one();
}

Test(http1_server, closes_connection_after_answer_without_keep_alive) {
  asio::io_context loop;
  EchoServer echo(loop);
  echo.server.disable_keep_alive();
  const std::string reply =
      exchange_raw(loop, echo.server.local_endpoint(), "GET /last HTTP/1.1\r\nHost: h\r\n\r\n");
  cr_assert_neq(reply.find("Connection: close"), std::string::npos);
  cr_assert_neq(reply.find("GET /last"), std::string::npos);
}

Test(http1_server, drain_does_not_truncate_an_answer_being_sent) {
  // drain() must not close a connection whose finished answer is still being written.
  asio::io_context loop;
  const std::string body(8UL << 20U, 'x');
  Http1Server* running = nullptr;
  Http1Server server(loop, server_settings(), [&](const HttpRequest&, const auto& responder) {
    responder->respond({200, {}, body});
    running->drain();
  });
  running = &server;
  const std::string reply =
      exchange_raw(loop, server.local_endpoint(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  cr_assert_gt(reply.size(), body.size());
}

// Guards against a stop that drops a request which was read behind an answer being sent.
Test(http1_server, drain_answers_a_request_that_was_read) {
  asio::io_context loop;
  const std::string body(8UL << 20U, 'x');
  Http1Server* running = nullptr;
  Http1Server server(loop, server_settings(),
                     [&](const HttpRequest& request, const auto& responder) {
                       if (request.target == "/2") return responder->respond({200, {}, "second"});
                       responder->respond({200, {}, body});
                       running->drain();
                     });
  running = &server;
  const std::string reply =
      exchange_raw(loop, server.local_endpoint(),
                   "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  cr_assert_neq(reply.find("second"), std::string::npos);
  cr_assert_neq(reply.find("Connection: close"), std::string::npos);
}

// Guards against memory that grows with the requests of a caller that reads no answers.
Test(http1_server, handles_no_further_request_while_an_answer_is_unread) {
  constexpr int kRequests = 400;
  constexpr std::size_t kBodySize = 256UL << 10U;
  asio::io_context loop;
  int handled = 0;
  Http1Server server(loop, server_settings(), [&](const HttpRequest&, const auto& responder) {
    ++handled;
    responder->respond({200, {}, std::string(kBodySize, 'x')});
  });
  asio::ip::tcp::socket caller(loop);
  caller.connect(server.local_endpoint());
  std::string requests;
  for (int i = 0; i + 1 < kRequests; ++i) requests += "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  requests += "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  asio::write(caller, asio::buffer(requests));
  while (loop.poll() > 0) {
  }
  const auto in_buffers = static_cast<int>(testing::max_socket_buffers() / kBodySize);
  cr_assert_leq(handled, in_buffers + 2, "%d were handled", handled);
  std::size_t received = 0;
  std::vector<char> buffer(kBodySize);
  bool done = false;
  std::function<void()> read = [&] {
    caller.async_read_some(asio::buffer(buffer), [&](const std::error_code& error, std::size_t n) {
      received += n;
      done = static_cast<bool>(error);
      if (!done) read();
    });
  };
  read();
  while (!done) loop.run_one();
  cr_assert_eq(handled, kRequests);
  cr_assert_gt(received, kRequests * kBodySize);
}

// Guards against cutting a stream off behind an answer that its caller reads slowly.
Test(http1_server, keeps_a_stream_open_behind_a_large_answer) {
  asio::io_context loop;
  const std::string body(2 * testing::max_socket_buffers(), 'x');
  std::shared_ptr<ConnectionResponder> stream;
  Http1Server server(loop, server_settings(),
                     [&](const HttpRequest& request, const auto& responder) {
                       if (request.target == "/1") return responder->respond({200, {}, body});
                       stream = responder;
                       stream->begin_stream(200, {});
                       stream->write("first");
                     });
  asio::ip::tcp::socket caller(loop);
  caller.connect(server.local_endpoint());
  asio::write(caller, asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 "
                                               "HTTP/1.1\r\nHost: h\r\nConnection: "
                                               "close\r\n\r\n")));
  std::string last;  // Bytes that the caller received, without the first ones.
  std::vector<char> buffer(64UL << 10U);
  bool done = false;
  std::function<void()> read = [&] {
    caller.async_read_some(asio::buffer(buffer), [&](const std::error_code& error, std::size_t n) {
      last.append(buffer.data(), n);
      if (last.size() > buffer.size()) last.erase(0, last.size() - buffer.size());
      done = static_cast<bool>(error);
      if (!done) read();
    });
  };
  while (loop.poll() > 0) {
  }
  read();
  while (!done && last.find("first") == std::string::npos) loop.run_one();
  while (loop.poll() > 0) {
  }
  cr_assert(stream);
  stream->write("second");
  stream->finish();
  while (!done) loop.run_one();
  cr_assert(last.ends_with("second\r\n0\r\n\r\n"), "the stream was cut off");
}

namespace {

/// Keeps its connection open between requests.
class KeepAliveCaller {
 public:
  KeepAliveCaller(asio::io_context& own_loop, const asio::ip::tcp::endpoint& server)
      : loop(own_loop), socket(own_loop) {
    this->socket.connect(server);
  }

  /// @return the body of the answer; empty if the connection was closed.
  std::string ask(const std::string& target) {
    std::error_code failed;
    asio::write(this->socket, asio::buffer("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n"),
                failed);
    std::string answer;
    bool done = false;
    asio::async_read_until(this->socket, asio::dynamic_buffer(answer), target + " ",
                           [&](const std::error_code& error, std::size_t) {
                             if (error) answer.clear();
                             done = true;
                           });
    while (!done) this->loop.run_one();
    return answer.substr(std::min(answer.find("GET "), answer.size()));
  }

 private:
  asio::io_context& loop;
  asio::ip::tcp::socket socket;
};

}  // namespace

// Guards against a server that takes no new connection while all that it has are idle.
Test(http1_server, closes_the_longest_idle_connection_for_a_new_one) {
  asio::io_context loop;
  Http1ServerSettings settings = server_settings();
  settings.max_connections = 2;
  Http1Server server(loop, settings, [](const HttpRequest& request, const auto& responder) {
    responder->respond({200, {}, "GET " + request.target + " "});
  });
  KeepAliveCaller first(loop, server.local_endpoint());
  KeepAliveCaller second(loop, server.local_endpoint());
  cr_assert_eq(first.ask("/1"), "GET /1 ");
  cr_assert_eq(second.ask("/2"), "GET /2 ");
  KeepAliveCaller third(loop, server.local_endpoint());
  cr_assert_eq(third.ask("/3"), "GET /3 ");
  cr_assert_eq(second.ask("/4"), "GET /4 ",
               "a connection that rested for a shorter time is closed");
  cr_assert_eq(first.ask("/5"), "", "the connection that rested for the longest time is kept");
  cr_assert_eq(server.stats().open_connections, 2);
}

// Guards against a new connection that takes the place of one whose request runs.
Test(http1_server, keeps_connections_with_a_request_when_it_is_full) {
  asio::io_context loop;
  Http1ServerSettings settings = server_settings();
  settings.max_connections = 1;
  std::shared_ptr<ConnectionResponder> running;
  bool closed = false;
  Http1Server server(loop, settings, [&](const HttpRequest& request, const auto& responder) {
    if (request.target == "/later") return responder->respond({200, {}, "GET /later "});
    running = responder;
    running->on_closed([&] { closed = true; });
  });
  asio::ip::tcp::socket busy(loop);
  busy.connect(server.local_endpoint());
  asio::write(busy, asio::buffer(std::string("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")));
  while (!running) loop.run_one();
  KeepAliveCaller later(loop, server.local_endpoint());
  loop.poll();
  cr_assert_not(closed);
  cr_assert_eq(server.stats().connections, 1);
  running->respond({200, {}, ""});
  cr_assert_eq(later.ask("/later"), "GET /later ");
}

Test(http1_client, reuses_connection_for_next_request) {
  asio::io_context loop;
  ScriptedPeer peer(loop, {{{sized_response("1", "one")}, {sized_response("2", "two")}}});
  PooledHttpClient client(loop, {});
  cr_assert_eq(fetch(loop, client, make_request(peer.url(), "1")).body, "one");
  cr_assert_eq(fetch(loop, client, make_request(peer.url(), "2")).body, "two");
  cr_assert_eq(peer.accepted, 1);
}

Test(http1_client, does_not_retry_requests) {
  asio::io_context loop;
  ScriptedPeer peer(loop,
                    {{{sized_response("1", "one")}, {"", true}}, {{sized_response("2", "two")}}});
  PooledHttpClient client(loop, {});
  fetch(loop, client, make_request(peer.url(), "1"));
  const FetchResult second = fetch(loop, client, make_request(peer.url(), "2"));
  cr_assert(second.failure == TransferFailure::kUncertain);
  cr_assert_eq(peer.received, 2);
}

Test(http1_client, reports_nothing_sent_when_connection_is_refused) {
  asio::io_context loop;
  asio::ip::tcp::acceptor closed_acceptor(loop, kAnyPort);
  const std::string url = "http://" + format_endpoint(closed_acceptor.local_endpoint()) + "/";
  closed_acceptor.close();
  PooledHttpClient client(loop, {});
  const FetchResult result = fetch(loop, client, make_request(url, "1"));
  cr_assert(result.failure == TransferFailure::kNothingSent);
  cr_assert(result.connection_refused, "the port is closed");
}

Test(http1_client, withdraws_unwanted_request_after_connect) {
  asio::io_context loop;
  ScriptedPeer peer(loop, {{{sized_response("1", "one")}}});
  PooledHttpClient client(loop, {});
  OutgoingRequest request = make_request(peer.url(), "1");
  request.still_wanted = [] { return false; };
  const FetchResult result = fetch(loop, client, std::move(request));
  cr_assert(result.failure == TransferFailure::kWithdrawn);
  cr_assert_eq(peer.received, 0);
}

Test(http1_client, skips_an_answer_that_belongs_to_another_request) {
  asio::io_context loop;
  ScriptedPeer peer(loop, {{{sized_response("1", "one")},
                            {sized_response("1", "late") + sized_response("2", "two")}}});
  PooledHttpClient client(loop, {});
  fetch(loop, client, make_request(peer.url(), "1"));
  cr_assert_eq(fetch(loop, client, make_request(peer.url(), "2")).body, "two");
  cr_assert_eq(client.stats().surplus_answers, 1);
}

Test(http1_client, does_not_reuse_a_connection_with_surplus_bytes) {
  asio::io_context loop;
  ScriptedPeer peer(loop, {{{sized_response("1", "one") + sized_response("1", "again")}},
                           {{sized_response("2", "two")}}});
  PooledHttpClient client(loop, {});
  cr_assert_eq(fetch(loop, client, make_request(peer.url(), "1")).body, "one");
  cr_assert_eq(fetch(loop, client, make_request(peer.url(), "2")).body, "two");
  cr_assert_eq(peer.accepted, 2);
}

// Guards against a late second answer to a request that passes for the answer to its next send.
Test(http1_client, sends_a_request_again_on_another_connection) {
  asio::io_context loop;
  ScriptedPeer peer(loop, {{{sized_response("1", "one")},
                            {sized_response("2", "two")},
                            {sized_response("1", "one") + sized_response("1", "never received")}},
                           {{sized_response("1", "again")}, {sized_response("3", "three")}}});
  PooledHttpClient client(loop, {});
  cr_assert_eq(fetch(loop, client, make_request(peer.url(), "1")).body, "one");
  cr_assert_eq(fetch(loop, client, make_request(peer.url(), "2")).body, "two");
  cr_assert_eq(fetch(loop, client, make_request(peer.url(), "1")).body, "again");
  cr_assert_eq(fetch(loop, client, make_request(peer.url(), "3")).body, "three");
  cr_assert_eq(peer.accepted, 2, "both connections remain in use for other requests");
}

// Guards against bytes after an answer that pass for the answer to a request that is sent at
// once.
Test(http1_client, sends_nothing_on_a_connection_with_surplus_bytes) {
  asio::io_context loop;
  ScriptedPeer peer(loop, {{{sized_response("1", "one") + sized_response("", "surplus")}},
                           {{sized_response("2", "two")}}});
  PooledHttpClient client(loop, {});
  const auto request = [&peer] {
    OutgoingRequest call;
    call.url = peer.url();
    return call;
  };
  std::string body;
  client.fetch(request(), [&](const auto&) {
    client.fetch(request(), [&](const tl::expected<HttpReply, TransferError>& reply) {
      body = reply ? reply->body : "failed";
    });
  });
  while (body.empty()) loop.run_one();
  cr_assert_eq(body, "two", "got %s", body.c_str());
}

// Guards against memory that grows with the requests that a connection has carried.
Test(http1_client, closes_a_connection_after_many_requests) {
  constexpr int kRequests = 1001;
  asio::io_context loop;
  std::vector<ScriptedPeer::Step> steps;
  for (int i = 0; i < kRequests; ++i) steps.push_back({sized_response(std::to_string(i), "")});
  ScriptedPeer peer(loop, {steps, {steps.back()}});
  PooledHttpClient client(loop, {});
  for (int i = 0; i < kRequests; ++i) {
    cr_assert_eq(fetch(loop, client, make_request(peer.url(), std::to_string(i))).status, 200);
  }
  cr_assert_eq(peer.accepted, 2);
}

Test(http1_client, accepts_body_until_close_but_not_broken_connection) {
  asio::io_context loop;
  const std::string unframed = "HTTP/1.1 200 OK\r\nid: 1\r\n\r\nall of it";
  ScriptedPeer whole(loop, {{{unframed, true}}});
  PooledHttpClient client(loop, {});
  cr_assert_eq(fetch(loop, client, make_request(whole.url(), "1")).body, "all of it");
  ScriptedPeer broken(loop, {{{unframed, false, true}}});
  cr_assert(fetch(loop, client, make_request(broken.url(), "1")).failure.has_value());
  ScriptedPeer truncated(loop,
                         {{{"HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 50\r\n\r\nhalf", true}}});
  cr_assert(fetch(loop, client, make_request(truncated.url(), "1")).failure.has_value());
}

// Guards against a failure without a length that is taken for a broken connection, and against
// its connection being used again.
Test(http1_client, accepts_a_failure_until_close) {
  asio::io_context loop;
  const std::string failure = "HTTP/1.1 500 Internal Server Error\r\nid: 1\r\n\r\nwhy";
  ScriptedPeer peer(loop, {{{failure, true}}, {{sized_response("2", "two")}}});
  PooledHttpClient client(loop, {});
  cr_assert_eq(fetch(loop, client, make_request(peer.url(), "1")).body, "why");
  cr_assert_eq(fetch(loop, client, make_request(peer.url(), "2")).body, "two");
  cr_assert_eq(peer.accepted, 2);
}

// Guards against a reused connection that ends before the first byte of an answer without a
// length and passes for an empty answer.
Test(http1_client, fails_when_a_reused_connection_closes_before_the_answer) {
  asio::io_context loop;
  ScriptedPeer peer(loop, {{{sized_response("1", "one")}, {"", true}}});
  PooledHttpClient client(loop, {});
  cr_assert_eq(fetch(loop, client, make_request(peer.url(), "1")).body, "one");
  cr_assert(fetch(loop, client, make_request(peer.url(), "2")).failure ==
            TransferFailure::kUncertain);
  cr_assert_eq(peer.received, 2, "it is not sent again by itself");
}

Test(http1_client, fails_on_malformed_answer) {
  asio::io_context loop;
  ScriptedPeer peer(loop, {{{"this is no answer\r\n\r\n", true}}});
  PooledHttpClient client(loop, {});
  cr_assert(fetch(loop, client, make_request(peer.url(), "1")).failure ==
            TransferFailure::kUncertain);
}

Test(http1_client, does_not_reuse_connection_answered_before_request_was_sent) {
  asio::io_context loop;
  ScriptedPeer peer(loop, {{{sized_response("1", "early")}, {sized_response("2", "wrong place")}},
                           {{sized_response("2", "two")}}});
  PooledHttpClient client(loop, {});
  OutgoingRequest large = make_request(peer.url(), "1");
  large.body = std::string(32UL << 20U, 'x');
  cr_assert_eq(fetch(loop, client, std::move(large)).body, "early");
  cr_assert_eq(fetch(loop, client, make_request(peer.url(), "2")).body, "two");
}

Test(http1_client, redelivers_refused_piece_after_resume) {
  asio::io_context loop;
  ScriptedPeer peer(loop, {{{sized_response("1", "piece")}}});
  PooledHttpClient client(loop, {});
  std::string received;
  int on_data_calls = 0;
  bool done = false;
  TransferHandlers handlers;
  TransferId id = 0;
  handlers.on_headers = [](int, const HttpHeaders&) {};
  handlers.on_data = [&](std::string_view piece) {
    if (++on_data_calls == 1) {
      client.resume(id);
      return false;
    }
    received += piece;
    return true;
  };
  handlers.on_done = [&](const auto& result) {
    cr_assert(result.has_value());
    done = true;
  };
  id = client.start(make_request(peer.url(), "1"), handlers);
  while (!done) loop.run_one();
  cr_assert_eq(received, "piece");
}

namespace {

/// A server that announces a body of `kPieces` bytes and sends one of them every `gap`.
class TricklingServer {
 public:
  static constexpr int kPieces = 6;

  /// @param piece_count pieces after which it stops sending.
  TricklingServer(asio::io_context& loop, Duration gap, int piece_count)
      : acceptor_(loop, kAnyPort), gap_(gap), remaining_(piece_count), timer_(loop) {
    acceptor_.async_accept([this](const std::error_code& error, asio::ip::tcp::socket socket) {
      if (error) return;
      socket_ = std::move(socket);
      asio::async_read_until(*socket_, request_, "\r\n\r\n",
                             [this](const std::error_code&, std::size_t) { begin(); });
    });
  }
  std::string address() const { return format_endpoint(acceptor_.local_endpoint()); }

 private:
  void begin() {
    out_ = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kPieces) + "\r\n\r\n";
    asio::async_write(*socket_, asio::buffer(out_),
                      [this](const std::error_code&, std::size_t) { schedule_next_piece(); });
  }
  void schedule_next_piece() {
    if (remaining_-- <= 0) return;
    timer_.expires_after(gap_);
    timer_.async_wait([this](const std::error_code& error) {
      if (error) return;
      asio::async_write(*socket_, asio::buffer("x", 1),
                        [this](const std::error_code&, std::size_t) { schedule_next_piece(); });
    });
  }

  asio::ip::tcp::acceptor acceptor_;
  std::optional<asio::ip::tcp::socket> socket_;
  asio::streambuf request_;
  std::string out_;
  Duration gap_;
  int remaining_;
  asio::steady_timer timer_;
};

/// Fetches from a `TricklingServer`. @return the body or an error message.
tl::expected<std::string, std::string> fetch_trickling(Duration gap, int piece_count,
                                                       Duration answer_idle_timeout,
                                                       Duration answer_timeout = Duration::zero()) {
  asio::io_context loop;
  TricklingServer server(loop, gap, piece_count);
  PooledHttpClient client(loop, {});
  OutgoingRequest request;
  request.url = "http://" + server.address() + "/";
  request.total_timeout = 1s;
  request.answer_idle_timeout = answer_idle_timeout;
  request.answer_timeout = answer_timeout;
  tl::expected<std::string, std::string> result;
  client.fetch(std::move(request), [&](const auto& reply) {
    if (reply) {
      result = reply->body;
    } else {
      result = tl::make_unexpected(reply.error().message);
    }
    loop.stop();
  });
  loop.run();
  return result;
}

}  // namespace

Test(http1_client, total_timeout_does_not_end_a_progressing_answer) {
  // The answer takes 1.5 s with a total timeout of 1 s: a slow link must not fail large answers.
  const auto whole = fetch_trickling(250ms, TricklingServer::kPieces, 10s);
  cr_assert(whole.has_value(), "%s", whole ? "" : whole.error().c_str());
  cr_assert_eq(*whole, "xxxxxx");
}

// Guards against an answer that trickles in for ever where only its silence is timed.
Test(http1_client, times_out_when_a_progressing_answer_takes_too_long) {
  cr_assert_not(fetch_trickling(250ms, TricklingServer::kPieces, 10s, 300ms).has_value());
}

Test(http1_client, times_out_when_answer_stalls) {
  cr_assert_not(fetch_trickling(1ms, 3, 50ms).has_value());
}

Test(http1_client, applies_total_timeout_without_answer_silence) {
  cr_assert_not(fetch_trickling(250ms, TricklingServer::kPieces, Duration::zero()).has_value());
}
