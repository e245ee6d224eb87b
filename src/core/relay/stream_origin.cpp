#include "core/relay/stream_origin.hpp"

#include "common/hash.hpp"

namespace shuntbank::relay {

StreamKey stream_key(std::string_view tenant, std::string_view request_id) {
  return sha256_128({tenant, request_id}).high;
}

}  // namespace shuntbank::relay
