/// @file
/// Wire format of a tunnel: a connection on which a node relays bytes between another node and a
/// target. The client sends `kTunnelPreface`, the length of the target's name in one byte, and the
/// name. The server sends one `TunnelStatus`. After `kOpen`, bytes of the client go to the target
/// unchanged, and bytes of the target come back in frames of a four-byte length in network byte
/// order and the bytes. Frames make the end of the target's connection distinct from a failure of
/// the tunnel.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace shuntbank {

/// Read as the length of a message frame, it exceeds every accepted frame, so that nodes without
/// tunnels close the connection.
constexpr std::string_view kTunnelPreface = "SBT1";

/// Result of opening a tunnel.
enum class TunnelStatus : std::uint8_t {
  kOpen = 0,
  kRefused = 1,        ///< The target's host refuses connections, while others accept them.
  kUnreachable = 2,    ///< The target's host does not answer, while others accept connections.
  kTargetUnknown = 3,  ///< The node does not know the target, or the target takes no new work.
  kUnavailable = 4,    ///< The node has no path to any target itself, is full or is stopping.
};

/// Frame length that marks the end of the target's connection. No bytes follow.
constexpr std::uint32_t kTunnelEnd = 0;

/// Frame length that tells the client not to use the tunnel for another request: the node is
/// stopping. No bytes follow.
constexpr std::uint32_t kTunnelClosing = 0xffffffff;

constexpr std::size_t kTunnelFrameHeaderSize = 4;

/// Longest name of a target, in bytes.
constexpr std::size_t kMaxTunnelTarget = 255;

/// @return the opening message for a target, or an empty string if its name is too long.
std::string encode_tunnel_request(std::string_view target);

/// @return the header of a frame of this many bytes.
std::string encode_tunnel_frame_header(std::uint32_t length);

/// Extracts the target's bytes from the frames that a client receives.
class TunnelDecoder {
 public:
  /// @return the target's bytes among `bytes`.
  std::string feed(std::string_view bytes);

  /// @return whether the target has closed its connection.
  bool ended() const { return this->end_seen; }

  /// @return whether the tunnel must not be used for another request.
  bool closing() const { return this->closing_seen; }

 private:
  std::string header;
  std::size_t frame_left = 0;
  bool end_seen = false;
  bool closing_seen = false;
};

}  // namespace shuntbank
