#include "net/tunnel_protocol.hpp"

#include <algorithm>

namespace shuntbank {
namespace {

std::uint32_t decode_length(std::string_view header) {
  std::uint32_t length = 0;
  for (const char byte : header) length = length << 8U | static_cast<unsigned char>(byte);
  return length;
}

}  // namespace

std::string encode_tunnel_request(std::string_view target) {
  if (target.empty() || target.size() > kMaxTunnelTarget) return "";
  std::string request(kTunnelPreface);
  request += static_cast<char>(target.size());
  request += target;
  return request;
}

std::string encode_tunnel_frame_header(std::uint32_t length) {
  return {static_cast<char>(length >> 24U), static_cast<char>(length >> 16U),
          static_cast<char>(length >> 8U), static_cast<char>(length)};
}

std::string TunnelDecoder::feed(std::string_view bytes) {
  std::string payload;
  while (!bytes.empty() && !this->end_seen) {
    if (this->frame_left > 0) {
      const std::size_t taken = std::min(this->frame_left, bytes.size());
      payload += bytes.substr(0, taken);
      this->frame_left -= taken;
      bytes.remove_prefix(taken);
      continue;
    }
    const std::size_t missing = kTunnelFrameHeaderSize - this->header.size();
    const std::size_t taken = std::min(missing, bytes.size());
    this->header += bytes.substr(0, taken);
    bytes.remove_prefix(taken);
    if (this->header.size() < kTunnelFrameHeaderSize) break;
    const std::uint32_t length = decode_length(this->header);
    this->header.clear();
    if (length == kTunnelEnd) this->end_seen = true;
    if (length == kTunnelClosing) this->closing_seen = true;
    const bool has_bytes = length != kTunnelEnd && length != kTunnelClosing;
    if (has_bytes) this->frame_left = length;
  }
  return payload;
}

}  // namespace shuntbank
