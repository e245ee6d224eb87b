// A relay node before engines on real sockets that send an answer once more, late.

#include <criterion/criterion.h>

#include <asio.hpp>

#include "net/address.hpp"
#include "net/asio_runtime.hpp"
#include "net/http1_client.hpp"
#include "net/http1_parser.hpp"
#include "relay/support/fakes.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;
using relay::EngineStage;
using Tcp = asio::ip::tcp;

namespace {

std::string answer_text(int status, const HttpHeaders& headers, const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const HttpHeader& field : headers.fields()) text += field.name + ": " + field.value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Sends each answer once more, right before the next answer on its connection.
class RepeatingEngine {
 public:
  using Handler = std::function<std::string(const HttpHeaders& request)>;

  RepeatingEngine(asio::io_context& loop, Handler own_handler)
      : handler(std::move(own_handler)), acceptor(loop, {asio::ip::make_address("127.0.0.1"), 0}) {
    this->accept();
  }

  std::string address() const { return format_endpoint(this->acceptor.local_endpoint()); }

 private:
  struct Connection {
    Connection(Tcp::socket accepted, HttpParserHandlers handlers)
        : socket(std::move(accepted)),
          parser(HttpMessageKind::kRequest, 64UL << 10U, std::move(handlers)) {}
    Tcp::socket socket;
    Http1Parser parser;
    std::array<char, 4096> buffer{};
    HttpHeaders request;
    std::string last_answer;
  };

  void accept() {
    this->acceptor.async_accept([this](const std::error_code& error, Tcp::socket socket) {
      if (error) return;
      auto owner = std::make_shared<std::weak_ptr<Connection>>();
      HttpParserHandlers handlers;
      handlers.on_head = [owner](const HttpHead& head) { owner->lock()->request = head.headers; };
      handlers.on_body = [](std::string_view) { return true; };
      handlers.on_end = [this, owner] { this->answer(*owner->lock()); };
      auto connection = std::make_shared<Connection>(std::move(socket), std::move(handlers));
      *owner = connection;
      read(connection);
      this->accept();
    });
  }

  static void read(const std::shared_ptr<Connection>& connection) {
    connection->socket.async_read_some(
        asio::buffer(connection->buffer),
        [connection](const std::error_code& error, std::size_t size) {
          if (error) return;
          std::string_view bytes(connection->buffer.data(), size);
          while (!bytes.empty()) bytes.remove_prefix(connection->parser.feed(bytes));
          read(connection);
        });
  }

  void answer(Connection& connection) const {
    const std::string answer = this->handler(connection.request);
    const std::string bytes = std::exchange(connection.last_answer, answer) + answer;
    asio::write(connection.socket, asio::buffer(bytes));
  }

  Handler handler;
  Tcp::acceptor acceptor;
};

/// A node with one prefill engine and one decode engine, at which all handles have lapsed.
struct LapsedHandleSite {
  LapsedHandleSite()
      : prefill(loop,
                [](const HttpHeaders& request) {
                  return answer_text(200, {{"id", std::string(request.get("id"))}}, "handle");
                }),
        decode(loop, [this](const HttpHeaders& request) { return this->decode_answer(request); }),
        node(relay::RelayIo{runtime, http, dialect}, settings()) {
    this->node.adopt(RelayFixture::configuration(1));
    this->node.set_engines({});
    this->add_engine("p", this->prefill, EngineStage::kPrefill);
    this->add_engine("d", this->decode, EngineStage::kDecode);
    this->node.set_fleet({1, 0});
  }

  static relay::RelaySettings settings() {
    relay::RelaySettings settings;
    settings.node = "n1";
    settings.zone = ZoneName("z1");
    settings.retry_budget.ratio = 100;  // The slack is not available at once.
    return settings;
  }

  void add_engine(const std::string& id, const RepeatingEngine& engine, EngineStage stage) {
    relay::EngineRecord record;
    record.id = EngineId(id);
    record.service = ServiceName("model");
    record.address = engine.address();
    record.zone = ZoneName("z1");
    record.slots = 8;
    record.stage = stage;
    this->node.set_engine(record);
  }

  std::string decode_answer(const HttpHeaders& request) {
    const std::string id(request.get("id"));
    if (request.count("source") > 0) return answer_text(503, {{"id", id}, {"refused", "1"}}, "");
    ++this->runs;
    return answer_text(200, RelayFixture::sealed_headers(id), "id: 1\ndata: a\n\n");
  }

  /// Sends a request for a stream that can't be repeated and waits for its reply.
  std::shared_ptr<RecordedReply> request() {
    HttpRequest request;
    request.method = "POST";
    request.target = "/stream/a";
    request.path = request.target;
    request.headers = {{"Host", "site"}, {"id", "r1"}, {"tokens", "20000"}};
    request.body = "body";
    auto reply = std::make_shared<RecordedReply>();
    this->node.handle(std::move(request), std::make_shared<RecordingResponder>(reply));
    while (!reply->finished && !reply->aborted) this->loop.run_one();
    return reply;
  }

  asio::io_context loop;
  AsioRuntime runtime{loop};
  PooledHttpClient http{loop, {}};
  TestDialect dialect;
  int runs = 0;
  RepeatingEngine prefill;
  RepeatingEngine decode;
  relay::RelayNode node;
};

}  // namespace

// Guards against a late second refusal that passes for the answer to the request's next send, so
// that a request which runs is refused or sent to another engine.
Test(late_answer, a_repeated_refusal_does_not_answer_the_next_send_to_the_engine) {
  LapsedHandleSite site;
  const auto reply = site.request();
  cr_assert_eq(site.runs, 1);
  cr_assert_eq(reply->status, 200, "a request that runs got %d", reply->status);
  cr_assert_eq(reply->body, "id: 1\ndata: a\n\n");
}
