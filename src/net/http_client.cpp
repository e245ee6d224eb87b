#include "net/http_client.hpp"

#include <curl/curl.h>
#include <unistd.h>

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <unordered_map>
#include <utility>

#include "net/http_syntax.hpp"
#include "net/monotonic_timer.hpp"

namespace shuntbank {
namespace {

/// Size of libcurl's pool of idle connections.
constexpr long kMaxIdleConnections = 512;

struct CurlGlobal {
  CurlGlobal() { curl_global_init(CURL_GLOBAL_DEFAULT); }
};

/// A socket of libcurl that the loop polls.
struct WatchedSocket {
  explicit WatchedSocket(asio::io_context& loop, curl_socket_t socket) : descriptor(loop, socket) {}
  asio::posix::stream_descriptor descriptor;
  int interest = CURL_POLL_NONE;
  std::uint64_t generation = 0;  ///< Incremented when the interest changes, to ignore stale waits.
};

/// State of a transfer. Owns its libcurl handles.
struct Transfer {
  TransferId id = 0;
  CURL* easy = nullptr;
  curl_slist* header_list = nullptr;
  OutgoingRequest request;
  TransferHandlers handlers;
  int status = 0;
  HttpHeaders headers;
  bool inside_head = false;
  bool headers_reported = false;
  AnswerDefect defect = AnswerDefect::kNone;
  bool connected = false;
  bool cancelled = false;

  ~Transfer() {
    if (header_list != nullptr) curl_slist_free_all(header_list);
    if (easy != nullptr) curl_easy_cleanup(easy);
  }
};

std::string_view trim(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const std::size_t begin = std::min(text.find_first_not_of(kBlanks), text.size());
  return text.substr(begin, text.find_last_not_of(kBlanks) + 1 - begin);
}

}  // namespace

class CurlHttpClient::Impl : public std::enable_shared_from_this<CurlHttpClient::Impl> {
 public:
  explicit Impl(asio::io_context& loop) : loop_(loop), timer_(loop) {
    static const CurlGlobal global;
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &Impl::on_socket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &Impl::on_timer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  }

  void close() {
    closed_ = true;
    timer_.cancel();
    for (auto& [id, transfer] : transfers_) curl_multi_remove_handle(multi_, transfer->easy);
    transfers_.clear();
    curl_multi_cleanup(multi_);
    multi_ = nullptr;
    for (auto& [socket, watched] : sockets_) watched->descriptor.release();
    sockets_.clear();
  }

  TransferId start(OutgoingRequest request, TransferHandlers handlers) {
    auto transfer = std::make_shared<Transfer>();
    transfer->id = ++last_id_;
    transfer->request = std::move(request);
    transfer->handlers = std::move(handlers);
    transfer->easy = curl_easy_init();
    configure(*transfer);
    transfers_.emplace(transfer->id, transfer);
    // libcurl starts no transfer from within its callbacks, so it is deferred.
    asio::post(loop_, [self = shared_from_this(), transfer] {
      if (self->closed_ || transfer->cancelled) return;
      curl_multi_add_handle(self->multi_, transfer->easy);
    });
    return transfer->id;
  }

  void cancel(TransferId id) {
    const auto found = transfers_.find(id);
    if (found == transfers_.end()) return;
    const std::shared_ptr<Transfer> transfer = found->second;
    transfer->cancelled = true;
    transfers_.erase(found);
    // libcurl forbids removal from within its callbacks, so it is deferred.
    asio::post(loop_, [self = shared_from_this(), transfer] {
      if (self->closed_) return;
      curl_multi_remove_handle(self->multi_, transfer->easy);
    });
  }

  void resume(TransferId id) {
    asio::post(loop_, [self = shared_from_this(), id] {
      const auto found = self->transfers_.find(id);
      if (self->closed_ || found == self->transfers_.end()) return;
      const std::shared_ptr<Transfer> transfer = found->second;
      curl_easy_pause(transfer->easy, CURLPAUSE_CONT);
      self->socket_action(CURL_SOCKET_TIMEOUT, 0);
    });
  }

 private:
  static void configure(Transfer& transfer) {
    CURL* easy = transfer.easy;
    const OutgoingRequest& request = transfer.request;
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, milliseconds(request.connect_timeout));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, milliseconds(request.total_timeout));
    if (request.idle_timeout > Duration::zero()) {
      curl_easy_setopt(easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
      curl_easy_setopt(easy, CURLOPT_LOW_SPEED_TIME,
                       std::max(1L, milliseconds(request.idle_timeout) / 1000));
    }
    if (request.fresh_connection) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    set_method(transfer);
    set_headers(transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Impl::on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Impl::on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &Impl::before_request);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
  }

  static long milliseconds(Duration duration) {
    return static_cast<long>(
        std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
  }

  static void set_method(Transfer& transfer) {
    const OutgoingRequest& request = transfer.request;
    if (request.method == "GET" && request.body.empty()) return;
    curl_easy_setopt(transfer.easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    if (request.method == "GET") return;
    curl_easy_setopt(transfer.easy, CURLOPT_POSTFIELDS, request.body.data());
    curl_easy_setopt(transfer.easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
  }

  static void set_headers(Transfer& transfer) {
    for (const HttpHeader& field : transfer.request.headers.fields()) {
      const std::string line = field.name + ": " + field.value;
      transfer.header_list = curl_slist_append(transfer.header_list, line.c_str());
    }
    // Stops libcurl from waiting for "100 Continue" before it sends a large body.
    transfer.header_list = curl_slist_append(transfer.header_list, "Expect:");
    curl_easy_setopt(transfer.easy, CURLOPT_HTTPHEADER, transfer.header_list);
  }

  /// Called once the connection is established, before the first byte of the request is sent.
  static int before_request(void* data, char*, char*, int, int) {
    static_cast<Transfer*>(data)->connected = true;
    return CURL_PREREQFUNC_OK;
  }

  static std::size_t on_header(char* bytes, std::size_t size, std::size_t count, void* data) {
    auto& transfer = *static_cast<Transfer*>(data);
    std::string_view line(bytes, size * count);
    while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) line.remove_suffix(1);
    if (!transfer.inside_head && !transfer.headers_reported) {
      transfer.inside_head = true;
      transfer.headers = HttpHeaders();
      return is_status_line(line) ? size * count : reject(transfer);
    }
    if (line.empty()) {
      transfer.inside_head = false;
      long status = 0;
      curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &status);
      transfer.status = static_cast<int>(status);
      if (status < 200 || transfer.headers_reported) return size * count;
      // libcurl reads until the connection ends if it cannot read the length.
      if (!has_known_framing(transfer.headers)) return reject(transfer);
      report_headers(transfer);
      return size * count;
    }
    if (!is_field_line(line)) return reject(transfer);
    const std::size_t colon = line.find(':');
    transfer.headers.add(std::string(line.substr(0, colon)),
                         std::string(trim(line.substr(colon + 1))));
    return size * count;
  }

  /// Returned by a callback, it fails the transfer.
  static std::size_t reject(Transfer& transfer) {
    transfer.defect = AnswerDefect::kMalformed;
    return CURL_WRITEFUNC_ERROR;
  }

  static void report_headers(Transfer& transfer) {
    transfer.headers_reported = true;
    if (transfer.cancelled) return;
    if (transfer.handlers.on_headers)
      transfer.handlers.on_headers(transfer.status, transfer.headers);
  }

  static std::size_t on_body(char* bytes, std::size_t size, std::size_t count, void* data) {
    auto& transfer = *static_cast<Transfer*>(data);
    if (transfer.cancelled) return size * count;
    // After an interim answer such as 101 libcurl passes on whatever follows.
    if (!transfer.headers_reported) return reject(transfer);
    const bool accepted = transfer.handlers.on_data(std::string_view(bytes, size * count));
    return accepted ? size * count : CURL_WRITEFUNC_PAUSE;
  }

  static int on_socket(CURL*, curl_socket_t socket, int what, void* data, void*) {
    static_cast<Impl*>(data)->watch(socket, what);
    return 0;
  }

  static int on_timer(CURLM*, long timeout_ms, void* data) {
    static_cast<Impl*>(data)->set_timer(timeout_ms);
    return 0;
  }

  void watch(curl_socket_t socket, int what) {
    const auto found = sockets_.find(socket);
    if (what == CURL_POLL_REMOVE) {
      if (found == sockets_.end()) return;
      found->second->generation++;
      found->second->descriptor.release();  // libcurl owns and closes the socket.
      sockets_.erase(found);
      return;
    }
    std::shared_ptr<WatchedSocket> watched;
    if (found == sockets_.end()) {
      watched = std::make_shared<WatchedSocket>(loop_, socket);
      sockets_.emplace(socket, watched);
    } else {
      watched = found->second;
    }
    watched->interest = what;
    watched->generation++;
    watched->descriptor.cancel();
    wait(watched, socket);
  }

  void wait(const std::shared_ptr<WatchedSocket>& watched, curl_socket_t socket) {
    if ((watched->interest & CURL_POLL_IN) != 0) {
      wait_for(watched, socket, asio::posix::stream_descriptor::wait_read, CURL_CSELECT_IN);
    }
    if ((watched->interest & CURL_POLL_OUT) != 0) {
      wait_for(watched, socket, asio::posix::stream_descriptor::wait_write, CURL_CSELECT_OUT);
    }
  }

  void wait_for(const std::shared_ptr<WatchedSocket>& watched, curl_socket_t socket,
                asio::posix::stream_descriptor::wait_type type, int event) {
    watched->descriptor.async_wait(
        type, [self = shared_from_this(), watched, socket, type, event,
               generation = watched->generation](const std::error_code& error) {
          if (self->closed_ || watched->generation != generation) return;
          self->socket_action(socket, error ? CURL_CSELECT_ERR : event);
          const bool still_current = !self->closed_ && watched->generation == generation;
          if (still_current) self->wait_for(watched, socket, type, event);
        });
  }

  void set_timer(long timeout_ms) {
    timer_.cancel();
    const std::uint64_t generation = ++timer_generation_;
    if (timeout_ms < 0) return;
    timer_.expires_after(std::chrono::milliseconds(timeout_ms));
    timer_.async_wait([self = shared_from_this(), generation](const std::error_code& error) {
      if (error || self->closed_ || self->timer_generation_ != generation) return;
      self->socket_action(CURL_SOCKET_TIMEOUT, 0);
    });
  }

  void socket_action(curl_socket_t socket, int event) {
    int running = 0;
    curl_multi_socket_action(multi_, socket, event, &running);
    collect_finished();
  }

  void collect_finished() {
    int messages_left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &messages_left)) {
      if (message->msg != CURLMSG_DONE) continue;
      Transfer* raw = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &raw);
      const CURLcode code = message->data.result;
      const auto found = transfers_.find(raw->id);
      if (found == transfers_.end()) continue;
      const std::shared_ptr<Transfer> transfer = found->second;
      transfers_.erase(found);
      curl_multi_remove_handle(multi_, transfer->easy);
      finish(*transfer, code);
    }
  }

  static void finish(Transfer& transfer, CURLcode code) {
    // libcurl also reports success when the peer closes the connection within a head.
    const bool head_incomplete = code == CURLE_OK && !transfer.headers_reported;
    if (code == CURLE_OK && !head_incomplete) {
      transfer.handlers.on_done({});
      return;
    }
    const TransferFailure failure =
        transfer.connected ? TransferFailure::kUncertain : TransferFailure::kNothingSent;
    TransferError error{failure, curl_easy_strerror(code)};
    error.defect = transfer.defect;
    if (head_incomplete) error.message = "the peer closed the connection";
    if (error.defect != AnswerDefect::kNone) error.message = "the answer is no HTTP";
    transfer.handlers.on_done(tl::make_unexpected(std::move(error)));
  }

  asio::io_context& loop_;
  MonotonicTimer timer_;
  CURLM* multi_ = nullptr;
  bool closed_ = false;
  TransferId last_id_ = 0;
  std::uint64_t timer_generation_ = 0;
  std::unordered_map<TransferId, std::shared_ptr<Transfer>> transfers_;
  std::unordered_map<curl_socket_t, std::shared_ptr<WatchedSocket>> sockets_;

  friend class CurlHttpClient;
};

CurlHttpClient::CurlHttpClient(asio::io_context& loop) : impl_(std::make_shared<Impl>(loop)) {}

CurlHttpClient::~CurlHttpClient() {
  impl_->close();
}

TransferId CurlHttpClient::start(OutgoingRequest request, TransferHandlers handlers) {
  return impl_->start(std::move(request), std::move(handlers));
}

void CurlHttpClient::cancel(TransferId id) {
  impl_->cancel(id);
}

void CurlHttpClient::resume(TransferId id) {
  impl_->resume(id);
}

const char* to_text(AnswerDefect defect) {
  switch (defect) {
    case AnswerDefect::kNone:
      return "none";
    case AnswerDefect::kMalformed:
      return "malformed";
    case AnswerDefect::kHeadTooLarge:
      return "head_too_large";
    case AnswerDefect::kSurplusBytes:
      return "surplus_bytes";
    case AnswerDefect::kBodyTooLarge:
      return "body_too_large";
  }
  return "none";
}

TransferId HttpClient::fetch(OutgoingRequest request, FetchHandler handler,
                             ProgressHandler on_progress) {
  struct Fetch {
    TransferId id = 0;
    HttpReply reply;
    FetchHandler handler;
  };
  auto fetch = std::make_shared<Fetch>();
  fetch->handler = std::move(handler);
  TransferHandlers handlers;
  handlers.on_headers = [fetch](int status, const HttpHeaders& headers) {
    fetch->reply.status = status;
    fetch->reply.headers = headers;
  };
  handlers.on_data = [this, fetch, max = request.max_answer_bytes,
                      on_progress = std::move(on_progress)](std::string_view piece) {
    std::string& body = fetch->reply.body;
    if (body.size() + piece.size() > max) {
      cancel(fetch->id);
      TransferError error{TransferFailure::kUncertain, "the reply is larger than the bound"};
      error.defect = AnswerDefect::kBodyTooLarge;
      fetch->handler(tl::make_unexpected(std::move(error)));
      return true;
    }
    body += piece;
    if (on_progress) on_progress(body.size());
    return true;
  };
  handlers.on_done = [fetch](const tl::expected<void, TransferError>& result) {
    if (!result) return fetch->handler(tl::make_unexpected(result.error()));
    fetch->handler(std::move(fetch->reply));
  };
  fetch->id = start(std::move(request), std::move(handlers));
  return fetch->id;
}

}  // namespace shuntbank
