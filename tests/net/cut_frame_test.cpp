// Tests that a message between nodes which breaks off is never taken for whole.
#include <criterion/criterion.h>

#include <asio.hpp>
#include <optional>

#include "net/frame_channel.hpp"

using namespace shuntbank;
using Tcp = asio::ip::tcp;

namespace {

const Tcp::endpoint kAnyPort{asio::ip::make_address("127.0.0.1"), 0};

constexpr std::size_t kMaxFrame = 1000;

const std::string kFrame = std::string("\0\0\0\5", 4) + "whole";

/// Ends a connection by a reset, or by a close that lets the last bytes through.
void end(Tcp::socket& socket, bool by_reset) {
  if (by_reset) socket.set_option(asio::socket_base::linger(true, 0));
  socket.close();
}

}  // namespace

// Guards against a part of a configuration or a list that is applied as if it were all.
Test(cut_frame, an_answer_that_breaks_off_is_an_error) {
  asio::io_context loop;
  Tcp::acceptor acceptor(loop, kAnyPort);
  for (const bool by_reset : {false, true}) {
    for (std::size_t cut = 0; cut < kFrame.size(); ++cut) {
      std::optional<tl::expected<std::string, std::string>> answer;
      call_frame(loop, acceptor.local_endpoint(), "call", kMaxFrame, std::chrono::seconds(30),
                 [&](auto result) { answer = std::move(result); });
      Tcp::socket peer(loop);
      std::string call;
      acceptor.async_accept(peer, [&](const std::error_code&) {
        asio::async_read(peer, asio::dynamic_buffer(call), asio::transfer_exactly(8),
                         [&](const std::error_code&, std::size_t) {
                           asio::write(peer, asio::buffer(kFrame.substr(0, cut)));
                           end(peer, by_reset);
                         });
      });
      while (!answer) loop.run_one();
      cr_assert_not(answer->has_value(), "cut at %zu", cut);
    }
  }
}

// Guards against a call that is answered though the caller did not send it whole.
Test(cut_frame, a_call_that_breaks_off_is_not_handled) {
  asio::io_context loop;
  std::vector<std::string> calls;
  FrameServer server(loop, kAnyPort, kMaxFrame, [&calls](std::string call, const auto& reply) {
    calls.push_back(std::move(call));
    reply("answer");
  });
  for (const bool by_reset : {false, true}) {
    for (std::size_t cut = 0; cut < kFrame.size(); ++cut) {
      Tcp::socket peer(loop);
      peer.connect(server.local_endpoint());
      asio::write(peer, asio::buffer(kFrame.substr(0, cut)));
      end(peer, by_reset);
    }
  }
  bool done = false;
  call_frame(loop, server.local_endpoint(), "whole", kMaxFrame, std::chrono::seconds(30),
             [&done](const auto& answer) { done = answer.has_value(); });
  while (!done) loop.run_one();
  cr_assert_eq(calls.size(), 1, "%zu calls", calls.size());
}
