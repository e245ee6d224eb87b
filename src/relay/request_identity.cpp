#include "relay/request_identity.hpp"

namespace shuntbank::relay {

RequestIdentity identity_of(const HttpRequest& request) {
  return sha256_128({request.caller, request.headers.get("Authorization"), request.method,
                     request.headers.get("Host"), request.target, request.body});
}

}  // namespace shuntbank::relay
