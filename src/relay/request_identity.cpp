#include "relay/request_identity.hpp"

namespace shuntbank::relay {

CallerRequest identity_of(const HttpRequest& request, std::string_view tenant) {
  const RequestIdentity identity =
      sha256_128({request.headers.get("Authorization"), tenant, request.method,
                  request.headers.get("Host"), request.target, request.body});
  return {identity, static_cast<CallerAddressHash>(hash64(request.caller))};
}

}  // namespace shuntbank::relay
