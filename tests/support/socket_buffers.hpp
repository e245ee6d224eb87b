/// @file
/// What the kernel may buffer of a TCP connection.
#pragma once

#include <cstddef>
#include <fstream>
#include <string>

namespace shuntbank::testing {

/// @return bytes that a sender may have written and the receiver not read: the largest buffers of
/// both sides by the system's settings.
inline std::size_t max_socket_buffers() {
  std::size_t sum = 0;
  for (const char* name : {"tcp_rmem", "tcp_wmem"}) {
    std::ifstream setting(std::string("/proc/sys/net/ipv4/") + name);
    std::size_t least = 0;
    std::size_t initial = 0;
    std::size_t largest = 0;
    setting >> least >> initial >> largest;
    sum += largest;
  }
  return sum;
}

}  // namespace shuntbank::testing
