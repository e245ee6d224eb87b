#include "platform/support/fault_proxy.hpp"

#include <fcntl.h>

#include <algorithm>
#include <array>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include "net/address.hpp"

namespace shuntbank::testing {
namespace {

using Tcp = asio::ip::tcp;
using namespace std::chrono_literals;

/// How often a stalled direction checks whether it may resume.
constexpr std::chrono::milliseconds kHoldPollInterval{20};

/// Stands for the request's id in a flood.
constexpr std::string_view kIdMark = "{id}";

/// Bytes of a flood that are written at once.
constexpr std::size_t kFloodPiece = 64UL << 10U;

/// Closes with a TCP reset instead of a FIN.
void reset(Tcp::socket& socket) {
  std::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

/// Keeps a socket from child processes, which would hold it open after it is closed here.
void close_on_exec(int socket_fd) {
  ::fcntl(socket_fd, F_SETFD, FD_CLOEXEC);
}

}  // namespace

class FaultProxy::Impl : public std::enable_shared_from_this<FaultProxy::Impl> {
 public:
  /// One proxied connection. Kept alive by its pending operations.
  class Link : public std::enable_shared_from_this<Link> {
   public:
    Link(std::shared_ptr<Impl> proxy, Tcp::socket accepted)
        : owner(std::move(proxy)),
          client_side(std::move(accepted)),
          target_side(this->owner->loop) {}

    void start() {
      auto self = this->shared_from_this();
      std::error_code ignored;
      this->target_side.open(Tcp::v4(), ignored);
      close_on_exec(this->client_side.native_handle());
      close_on_exec(this->target_side.native_handle());
      this->target_side.set_option(asio::socket_base::reuse_address(true), ignored);
      this->target_side.bind({this->owner->source, 0}, ignored);
      this->target_side.async_connect(this->owner->target, [self](const std::error_code& error) {
        if (error) return self->abort();
        self->pump(self->client_side, self->target_side, self->up, true);
        self->pump(self->target_side, self->client_side, self->down, false);
      });
    }

    void abort() {
      reset(this->client_side);
      reset(this->target_side);
      this->owner->links.erase(this->shared_from_this());
    }

    /// From now on the connection carries nothing, and stays open.
    void lose() { this->lost = true; }

   private:
    /// Buffer of one direction.
    struct Direction {
      std::array<char, 16384> bytes{};
      std::size_t size = 0;
      std::string prefix;  ///< Sent before the bytes.
      std::unique_ptr<asio::steady_timer> timer;
    };

    void pump(Tcp::socket& from, Tcp::socket& to, Direction& direction, bool upward) {
      auto self = this->shared_from_this();
      from.async_read_some(
          asio::buffer(direction.bytes),
          [self, &from, &to, &direction, upward](const std::error_code& error, std::size_t size) {
            if (error == asio::error::eof) return self->forward_end(to);
            if (error) return self->abort();
            direction.size = size;
            if (self->lost) return self->pump(from, to, direction, upward);
            if (self->begin_flood({direction.bytes.data(), size}, upward)) return;
            self->add_answers({direction.bytes.data(), size}, upward);
            if (!upward) self->cut_off(direction);
            const auto transmission = upward ? 0ms : self->owner->transmission_time(size);
            self->schedule(from, to, direction, upward, self->owner->state.delay + transmission);
          });
    }

    /// @return whether the answer that begins with these bytes is replaced by a flood.
    bool begin_flood(std::string_view bytes, bool upward) {
      if (upward) {
        this->answer_awaited = true;
        this->read_request_id(bytes);
        return false;
      }
      if (!std::exchange(this->answer_awaited, false)) return false;
      this->cut = this->owner->next_cut();
      const auto flood = this->owner->next_flood();
      if (!flood) return false;
      this->flood_bytes = flood->prefix;
      const std::size_t mark = this->flood_bytes.find(kIdMark);
      if (mark != std::string::npos) {
        this->flood_bytes.replace(mark, kIdMark.size(), this->request_id);
      }
      while (this->flood_filler.size() < kFloodPiece) this->flood_filler += flood->filler;
      if (this->owner->flood_handler) this->owner->flood_handler();
      this->write_flood();
      return true;
    }

    /// Keeps the bytes before the answer's cut, if there is one.
    void cut_off(Direction& direction) {
      if (!this->cut) return;
      const std::size_t size = std::min(direction.size, this->cut->size);
      this->ending = size < direction.size;
      this->cut->size -= size;
      direction.size = size;
      if (this->ending && this->owner->cut_handler) this->owner->cut_handler();
    }

    void end() {
      if (this->cut->reset) return this->abort();
      std::error_code ignored;
      this->client_side.close(ignored);
      reset(this->target_side);
      this->owner->links.erase(this->shared_from_this());
    }

    void read_request_id(std::string_view bytes) {
      constexpr std::string_view kField = "X-Request-Id: ";
      const std::size_t field = bytes.find(kField);
      if (field == std::string_view::npos) return;
      const std::size_t begin = field + kField.size();
      this->request_id = bytes.substr(begin, bytes.find('\r', begin) - begin);
    }

    void write_flood() {
      auto self = this->shared_from_this();
      asio::async_write(this->client_side, asio::buffer(this->flood_bytes),
                        [self](const std::error_code& error, std::size_t size) {
                          self->flooded += size;
                          Impl& proxy = *self->owner;
                          proxy.largest_flood = std::max(proxy.largest_flood, self->flooded);
                          if (error) return self->abort();
                          self->flood_bytes = self->flood_filler;
                          self->write_flood();
                        });
    }

    /// Tells answers apart by the requests between them: there is one at a time.
    void add_answers(std::string_view bytes, bool upward) {
      if (!upward) {
        this->down.prefix = std::exchange(this->extra_answer, {});
        if (!this->down.prefix.empty() && this->owner->on_answer_added)
          this->owner->on_answer_added();
        this->answer.append(bytes);
      } else if (!this->answer.empty()) {
        this->extra_answer = this->owner->next_extra_answer(std::exchange(this->answer, {}));
      }
    }

    /// Forwards a half-close. The other direction may still carry bytes.
    void forward_end(Tcp::socket& to) {
      std::error_code ignored;
      to.shutdown(Tcp::socket::shutdown_send, ignored);
      if (std::exchange(this->half_closed, true)) this->abort();
    }

    void schedule(Tcp::socket& from, Tcp::socket& to, Direction& direction, bool upward,
                  std::chrono::milliseconds wait) {
      const LinkState& state = this->owner->state;
      const bool stalled = upward ? state.stalled_up : state.stalled_down;
      if (!stalled && wait.count() == 0) return this->forward(from, to, direction, upward);
      direction.timer = std::make_unique<asio::steady_timer>(
          this->owner->loop, wait.count() > 0 ? wait : kHoldPollInterval);
      auto self = this->shared_from_this();
      direction.timer->async_wait(
          [self, &from, &to, &direction, upward](const std::error_code& error) {
            if (!error) self->schedule(from, to, direction, upward, std::chrono::milliseconds(0));
          });
    }

    void forward(Tcp::socket& from, Tcp::socket& to, Direction& direction, bool upward) {
      auto self = this->shared_from_this();
      const std::array<asio::const_buffer, 2> buffers{
          asio::buffer(direction.prefix), asio::buffer(direction.bytes.data(), direction.size)};
      asio::async_write(
          to, buffers,
          [self, &from, &to, &direction, upward](const std::error_code& error, std::size_t) {
            if (error) return self->abort();
            if (self->ending && !upward) return self->end();
            self->pump(from, to, direction, upward);
          });
    }

    std::shared_ptr<Impl> owner;
    Tcp::socket client_side;
    Tcp::socket target_side;
    Direction up;
    Direction down;
    bool half_closed = false;
    std::string answer;        ///< The last one, or its beginning.
    std::string extra_answer;  ///< To be sent before the next one.
    bool lost = false;         ///< Carries nothing any more.
    bool answer_awaited = false;
    std::string request_id;        ///< Of the last request.
    std::string flood_bytes;       ///< Being written.
    std::string flood_filler;      ///< Written next, again and again.
    std::size_t flooded = 0;       ///< Bytes written.
    std::optional<AnswerCut> cut;  ///< Of the current answer, from here on.
    bool ending = false;           ///< The answer has been cut.
  };

  Impl(asio::io_context& own_loop, Tcp::endpoint to, const FaultProxyAddresses& addresses)
      : loop(own_loop),
        target(std::move(to)),
        source(asio::ip::make_address(addresses.source)),
        acceptor(own_loop, {asio::ip::make_address(addresses.listen), 0}),
        endpoint(this->acceptor.local_endpoint()) {
    close_on_exec(this->acceptor.native_handle());
  }

  void accept() {
    auto self = this->shared_from_this();
    const int generation = this->accept_generation;
    this->acceptor.async_accept(
        [self, generation](const std::error_code& error, Tcp::socket socket) {
          if (error || generation != self->accept_generation) return;
          if (self->state.refusing) {
            reset(socket);
          } else {
            const auto link = std::make_shared<Link>(self, std::move(socket));
            if (self->state.losing) link->lose();
            self->links.insert(link);
            link->start();
          }
          self->accept();
        });
  }

  void block(Blockade blockade) {
    ++this->accept_generation;
    std::error_code ignored;
    this->queue_filler.reset();
    this->acceptor.close(ignored);
    if (blockade == Blockade::kRefused) return;
    this->acceptor.open(Tcp::v4());
    close_on_exec(this->acceptor.native_handle());
    this->acceptor.set_option(Tcp::acceptor::reuse_address(true));
    this->acceptor.bind(this->endpoint);
    if (blockade == Blockade::kNone) {
      this->acceptor.listen();
      return this->accept();
    }
    // With the queue full and nothing accepted, connections hang.
    this->acceptor.listen(0);
    this->queue_filler = std::make_unique<Tcp::socket>(this->loop);
    this->queue_filler->connect(this->endpoint, ignored);
  }

  /// @return the time until these bytes, queued after all earlier ones, have been sent.
  std::chrono::milliseconds transmission_time(std::size_t bytes) {
    if (this->rate_down == 0) return 0ms;
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::microseconds duration(1'000'000 * bytes / this->rate_down);
    this->link_free_at = std::max(now, this->link_free_at) + duration;
    return std::chrono::duration_cast<std::chrono::milliseconds>(this->link_free_at - now);
  }

  /// @return what to send after `last`, if anything.
  std::string next_extra_answer(const std::string& last) {
    if (this->extra_interval == 0 || ++this->answer_count % this->extra_interval != 0) return {};
    return this->extra_answer.empty() ? last : this->extra_answer;
  }

  std::optional<Flood> next_flood() {
    if (this->flood_interval == 0 || ++this->flood_count % this->flood_interval != 0) return {};
    return this->floods[this->flood_count / this->flood_interval % this->floods.size()];
  }

  std::optional<AnswerCut> next_cut() {
    if (this->cut_interval == 0 || ++this->cut_count % this->cut_interval != 0) return {};
    return this->cuts[this->cut_count / this->cut_interval % this->cuts.size()];
  }

  asio::io_context& loop;
  Tcp::endpoint target;
  asio::ip::address source;
  Tcp::acceptor acceptor;
  Tcp::endpoint endpoint;  ///< Also while `acceptor` is closed.
  int accept_generation = 0;
  std::unique_ptr<Tcp::socket> queue_filler;
  std::size_t rate_down = 0;  ///< Bytes per second; 0: unlimited.
  std::chrono::steady_clock::time_point link_free_at{};
  LinkState state;
  int extra_interval = 0;    ///< Answers for each one that is added; 0: none is.
  std::string extra_answer;  ///< Empty: a copy of the last answer.
  std::function<void()> on_answer_added;
  int answer_count = 0;
  std::size_t flood_interval = 0;  ///< Answers for each one that is replaced; 0: none is.
  std::vector<Flood> floods;
  std::function<void()> flood_handler;
  std::size_t flood_count = 0;  ///< Answers since the floods began.
  std::size_t largest_flood = 0;
  std::size_t cut_interval = 0;  ///< Answers for each one that is cut; 0: none is.
  std::vector<AnswerCut> cuts;
  std::function<void()> cut_handler;
  std::size_t cut_count = 0;  ///< Answers since the cuts began.
  std::set<std::shared_ptr<Link>> links;
};

FaultProxy::FaultProxy(asio::io_context& loop, Tcp::endpoint target,
                       const FaultProxyAddresses& addresses)
    : impl(std::make_shared<Impl>(loop, std::move(target), addresses)) {
  this->impl->accept();
}

FaultProxy::~FaultProxy() {
  std::error_code ignored;
  this->impl->acceptor.close(ignored);
  this->reset_all();
}

std::string FaultProxy::address() const {
  return format_endpoint(this->impl->endpoint);
}

void FaultProxy::block(Blockade blockade) {
  this->impl->block(blockade);
}

void FaultProxy::set(const LinkState& state) {
  this->impl->state = state;
  if (!state.losing) return;
  for (const auto& link : this->impl->links) link->lose();
}

void FaultProxy::add_answers(int interval, std::string answer) {
  this->impl->extra_interval = interval;
  this->impl->extra_answer = std::move(answer);
}

void FaultProxy::on_answer_added(std::function<void()> handler) {
  this->impl->on_answer_added = std::move(handler);
}

void FaultProxy::flood_answers(int interval, std::vector<Flood> kinds) {
  this->impl->flood_interval = static_cast<std::size_t>(interval);
  this->impl->floods = std::move(kinds);
}

void FaultProxy::on_flood(std::function<void()> handler) {
  this->impl->flood_handler = std::move(handler);
}

void FaultProxy::cut_answers(int interval, std::vector<AnswerCut> cuts) {
  this->impl->cut_interval = static_cast<std::size_t>(interval);
  this->impl->cuts = std::move(cuts);
}

void FaultProxy::on_cut(std::function<void()> handler) {
  this->impl->cut_handler = std::move(handler);
}

std::size_t FaultProxy::largest_flood() const {
  return this->impl->largest_flood;
}

void FaultProxy::set_rate_down(std::size_t bytes_per_second) {
  this->impl->rate_down = bytes_per_second;
}

void FaultProxy::reset_all() {
  const auto open = this->impl->links;
  for (const auto& link : open) link->abort();
}

void FaultProxy::set_target(const Tcp::endpoint& target) {
  this->impl->target = target;
}

}  // namespace shuntbank::testing
