#include "net/blocking_client.hpp"

#include <utility>

namespace shuntbank {

tl::expected<HttpReply, TransferError> fetch_blocking(OutgoingRequest request) {
  asio::io_context loop(1);
  CurlHttpClient client(loop);
  tl::expected<HttpReply, TransferError> result =
      tl::make_unexpected(TransferError{TransferFailure::kUncertain, "no reply"});
  client.fetch(std::move(request), [&result, &loop](auto reply) {
    result = std::move(reply);
    loop.stop();
  });
  loop.run();
  return result;
}

}  // namespace shuntbank
